package contract

import (
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// evenPart is the part of a limit that is divided evenly, whatever the demand.
const evenPart = 0.5

// pick chooses at most most holders of a group by rendezvous hashing.
func pick(all []Holder, group string, most int) []Holder {
	score := func(h Holder) uint64 { return xxhash.Sum64String(group + "\x00" + string(h.VM)) }
	picked := append([]Holder(nil), all...)
	sort.Slice(picked, func(i, j int) bool {
		a, b := score(picked[i]), score(picked[j])
		return a < b || a == b && picked[i].VM < picked[j].VM
	})
	return picked[:min(len(picked), most)]
}

// divide gives each holder its part by demand. Caps are whole and sum to at most the
// limit; a holder without a token of cap gets no refill either, since it couldn't
// gather a whole token.
func divide(l Limit, holders []Holder, demand map[Holder]float64) map[Holder]Share {
	whole := l.whole()
	if n := int(whole.Cap); n < len(holders) {
		holders = holders[:max(0, n)]
	}
	parts := weights(holders, demand)
	shares := map[Holder]Share{}
	left := whole.Cap
	for _, h := range holders {
		c := Tokens(math.Floor(parts[h] * float64(whole.Cap)))
		shares[h] = Share{Cap: c, Refill: Refill(math.Floor(parts[h] * float64(whole.Refill)))}
		left -= c
	}
	for i := 0; left > 0 && len(holders) > 0; i++ {
		h := holders[i%len(holders)]
		s := shares[h]
		s.Cap++
		shares[h] = s
		left--
	}
	return raise(shares, holders)
}

// raise moves whole tokens to holders that got none, from those with the most.
func raise(shares map[Holder]Share, holders []Holder) map[Holder]Share {
	for _, h := range holders {
		if shares[h].Cap > 0 {
			continue
		}
		richest := holders[0]
		for _, r := range holders {
			if shares[r].Cap > shares[richest].Cap {
				richest = r
			}
		}
		from, to := shares[richest], shares[h]
		from.Cap--
		to.Cap++
		shares[richest], shares[h] = from, to
	}
	return shares
}

// weights sum to at most 1.
func weights(holders []Holder, demand map[Holder]float64) map[Holder]float64 {
	var sum float64
	for _, h := range holders {
		sum += demand[h]
	}
	parts := map[Holder]float64{}
	even := 1 / float64(len(holders))
	for _, h := range holders {
		parts[h] = even
		if sum > 0 {
			parts[h] = evenPart*even + (1-evenPart)*demand[h]/sum
		}
		parts[h] *= 1 - 1e-9
	}
	return parts
}

// step is the next row on the way to a wanted one: all that shrinks shrinks, and what
// grows does so only into room that no holder of the present row has.
func step(now Row, limits map[Name]Limit, wanted []Grant) Row {
	next := Row{Version: now.Version + 1, Previous: now.holders()}
	for _, g := range wanted {
		next.Holders = append(next.Holders, Grant{Holder: g.Holder, Shares: map[Name]Share{}})
	}
	for name, l := range limits {
		room := l.whole()
		for _, g := range now.Holders {
			room.Cap -= g.Shares[name].Cap
			room.Refill -= g.Shares[name].Refill
		}
		for i, g := range wanted {
			next.Holders[i].Shares[name] = grow(now.grant(g.Holder)[name], g.Shares[name], &room)
		}
	}
	return next
}

func grow(has, wants Share, room *Share) Share {
	moreCap := min(max(0, wants.Cap-has.Cap), max(0, room.Cap))
	moreRefill := min(max(0, wants.Refill-has.Refill), max(0, room.Refill))
	room.Cap -= moreCap
	room.Refill -= moreRefill
	return Share{
		Cap:    min(has.Cap, wants.Cap) + moreCap,
		Refill: min(has.Refill, wants.Refill) + moreRefill,
	}
}

// same tells whether two rows give the same.
func same(a, b []Grant) bool {
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
