package contract

import (
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// evenFraction is the fraction of a limit that is divided evenly, regardless of demand.
const evenFraction = 0.5

// pickHolders selects at most maxCount holders for a group's shares by rendezvous hashing.
func pickHolders(candidates []Holder, group string, maxCount int) []Holder {
	score := func(h Holder) uint64 { return xxhash.Sum64String(group + "\x00" + string(h.VM)) }
	picked := append([]Holder(nil), candidates...)
	sort.Slice(picked, func(i, j int) bool {
		a, b := score(picked[i]), score(picked[j])
		return a < b || a == b && picked[i].VM < picked[j].VM
	})
	return picked[:min(len(picked), maxCount)]
}

// divide divides a limit among holders by demand. Caps are whole numbers of tokens and
// sum to at most the limit. If the limit has fewer tokens than there are holders, the
// last ones get neither cap nor refill: with a cap of 0 they could never accrue a whole
// token.
func divide(l Limit, holders []Holder, demand map[Holder]float64) map[Holder]Share {
	total := l.total()
	if n := int(total.Cap); n < len(holders) {
		holders = holders[:max(0, n)]
	}
	fractions := demandWeights(holders, demand)
	shares := map[Holder]Share{}
	remaining := total.Cap
	for _, h := range holders {
		c := Tokens(math.Floor(fractions[h] * float64(total.Cap)))
		shares[h] = Share{Cap: c, Refill: Refill(math.Floor(fractions[h] * float64(total.Refill)))}
		remaining -= c
	}
	for i := 0; remaining > 0 && len(holders) > 0; i++ {
		h := holders[i%len(holders)]
		s := shares[h]
		s.Cap++
		shares[h] = s
		remaining--
	}
	return ensureMinCap(shares, holders)
}

// ensureMinCap raises each cap of 0 to one token, which it takes from the holder with the
// largest cap.
func ensureMinCap(shares map[Holder]Share, holders []Holder) map[Holder]Share {
	for _, h := range holders {
		if shares[h].Cap > 0 {
			continue
		}
		largest := holders[0]
		for _, candidate := range holders {
			if shares[candidate].Cap > shares[largest].Cap {
				largest = candidate
			}
		}
		from, to := shares[largest], shares[h]
		from.Cap--
		to.Cap++
		shares[largest], shares[h] = from, to
	}
	return shares
}

// demandWeights returns the fraction of the limit for each holder. The fractions sum to
// at most 1.
func demandWeights(holders []Holder, demand map[Holder]float64) map[Holder]float64 {
	var sum float64
	for _, h := range holders {
		sum += demand[h]
	}
	fractions := map[Holder]float64{}
	evenShare := 1 / float64(len(holders))
	for _, h := range holders {
		fractions[h] = evenShare
		if sum > 0 {
			fractions[h] = evenFraction*evenShare + (1-evenFraction)*demand[h]/sum
		}
		fractions[h] *= 1 - 1e-9
	}
	return fractions
}

// nextRow returns the next row on the way to the wanted grants. Every share that has to
// shrink does so at once; shares grow only into capacity that no holder of the current
// row has.
func nextRow(current Row, limits map[Name]Limit, wanted []Grant) Row {
	next := Row{Version: current.Version + 1, Previous: current.holders()}
	for _, g := range wanted {
		next.Grants = append(next.Grants, Grant{Holder: g.Holder, Shares: map[Name]Share{}})
	}
	for name, l := range limits {
		free := l.total()
		for _, g := range current.Grants {
			free.Cap -= g.Shares[name].Cap
			free.Refill -= g.Shares[name].Refill
		}
		for i, g := range wanted {
			next.Grants[i].Shares[name] = growShare(current.sharesOf(g.Holder)[name], g.Shares[name], &free)
		}
	}
	return next
}

// growShare returns the next share on the way from current to wanted, and deducts what it
// grows by from free.
func growShare(current, wanted Share, free *Share) Share {
	moreCap := min(max(0, wanted.Cap-current.Cap), max(0, free.Cap))
	moreRefill := min(max(0, wanted.Refill-current.Refill), max(0, free.Refill))
	free.Cap -= moreCap
	free.Refill -= moreRefill
	return Share{
		Cap:    min(current.Cap, wanted.Cap) + moreCap,
		Refill: min(current.Refill, wanted.Refill) + moreRefill,
	}
}

// sameGrants reports whether two lists of grants are equal.
func sameGrants(a, b []Grant) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Holder != b[i].Holder || !sameShares(a[i].Shares, b[i].Shares) {
			return false
		}
	}
	return true
}

func sameShares(a, b map[Name]Share) bool {
	if len(a) != len(b) {
		return false
	}
	for name, s := range a {
		if t, found := b[name]; !found || s != t {
			return false
		}
	}
	return true
}
