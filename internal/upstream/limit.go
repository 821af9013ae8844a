package upstream

import "time"

// typicalSmoothing weighs one observation in the typical time of use.
const typicalSmoothing = 0.05

// limit knows how long connections of a server are used for.
type limit struct {
	// typical time from taking a connection to giving it back; 0 before the first.
	typical time.Duration
}

// observe takes note of how long a connection was used.
func (l *limit) observe(took time.Duration) {
	if l.typical == 0 {
		l.typical = took
		return
	}
	l.typical += time.Duration(typicalSmoothing * float64(took-l.typical))
}
