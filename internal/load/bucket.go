package load

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// bucket is an exact token bucket over the whole fleet.
type bucket struct {
	// rate is in tokens a second; level never exceeds burst.
	rate  float64
	burst float64
	level float64
	at    time.Duration
}

// tolerance absorbs the rounding of sums of tokens.
const tolerance = 1e-6

func newBucket(rate, burst float64) *bucket {
	return &bucket{rate: rate, burst: burst, level: burst}
}

// take gives a token if there is one. Times never fall from call to call.
func (b *bucket) take(at time.Duration) bool {
	b.fill(at)
	if b.level < 1-tolerance {
		return false
	}
	b.level--
	return true
}

func (b *bucket) fill(at time.Duration) {
	b.level = min(b.burst, b.level+b.rate*(at-b.at).Seconds())
	b.at = at
}

// Span is the time in which a request was admitted.
type Span struct{ From, To time.Duration }

// OverAdmitted is the greatest number by which the admitted requests of any window of
// time are more than burst + rate x length of the window. A request counts in a window
// only if its whole span lies in it, so that what is above 0 is proven.
func OverAdmitted(admitted []Span, rate, burst float64) int {
	list := slices.Clone(admitted)
	slices.SortFunc(list, func(a, b Span) int { return cmp.Compare(b.From, a.From) })
	ends := make([]time.Duration, len(list))
	for i, a := range list {
		ends[i] = a.To
	}
	slices.Sort(ends)
	// counts holds how many spans seen so far end by each of ends.
	counts := make([]int, len(ends))
	worst := 0.0
	for _, a := range list {
		first, _ := slices.BinarySearch(ends, a.To)
		for i := first; i < len(ends); i++ {
			counts[i]++
			allowed := burst + rate*(ends[i]-a.From).Seconds()
			worst = max(worst, float64(counts[i])-allowed)
		}
	}
	return int(math.Ceil(worst - tolerance))
}

// inside tells for each arrival, in order of time, whether a bucket over the whole
// fleet would have had a token for it.
func inside(arrivals []time.Duration, rate, burst float64) []bool {
	b := newBucket(rate, burst)
	list := make([]bool, len(arrivals))
	for i, at := range arrivals {
		list[i] = b.take(at)
	}
	return list
}
