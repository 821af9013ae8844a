package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/savoryramp/savoryramp/internal/load"
	"github.com/savoryramp/savoryramp/internal/platform"
)

// codeOverRate is the SQLSTATE of a request over its workspace's rate.
const codeOverRate = "53400"

// checkRates looks that no workspace got more than its rate and burst.
func (a *audit) checkRates() {
	for _, w := range a.fleet.document.Workspaces {
		a.checkRate(w)
	}
}

func (a *audit) checkRate(w platform.Workspace) {
	var admitted []load.Span
	codes := map[string]int{}
	refusedAt := map[string]int{}
	offered, refused := 0, 0
	for _, r := range a.fleet.requests {
		if r.workspace != w.Name {
			continue
		}
		offered++
		if r.told == acknowledged || r.code == codeUnknown {
			admitted = append(admitted, load.Span{From: a.offset(r.sent), To: a.offset(r.done)})
		}
		if r.told != acknowledged {
			codes[string(r.told)+" "+r.code]++
		}
		if r.code == codeOverRate {
			refused++
			refusedAt[fmt.Sprintf("%2.0fs vm-%d:", a.offset(r.done).Seconds(), r.vm)]++
		}
	}
	a.told(fmt.Sprintf("%s: offered", w.Name), offered)
	a.least(fmt.Sprintf("%s: admitted", w.Name), len(admitted))
	a.most(fmt.Sprintf("%s: over burst + rate x window", w.Name),
		max(0, load.OverAdmitted(admitted, float64(w.Rate), float64(w.Burst))), 0)
	from, gap := longestGap(admitted)
	a.told(fmt.Sprintf("%s: longest time without an admitted request", w.Name), fmt.Sprintf("%s from %s on", gap, from))
	a.note("%s: not answered: %s", w.Name, counted(codes))
	if w.Name == workspaceOver {
		a.least("over: refused by its rate", refused)
		return
	}
	a.told(fmt.Sprintf("%s: refused by its rate", w.Name), refused)
	if refused > 0 {
		a.note("%s: refused by its rate at: %s", w.Name, counted(refusedAt))
	}
}

// longestGap is the longest time in which no admitted request was answered, up to the
// last answer.
func longestGap(admitted []load.Span) (from, gap time.Duration) {
	var done []time.Duration
	for _, span := range admitted {
		done = append(done, span.To)
	}
	slices.Sort(done)
	last := time.Duration(0)
	for _, at := range done {
		if at-last > gap {
			from, gap = last, at-last
		}
		last = at
	}
	return from.Round(time.Millisecond), gap.Round(time.Millisecond)
}

// offset is the time since the load began.
func (a *audit) offset(t time.Time) time.Duration { return t.Sub(a.fleet.began) }

func (a *audit) note(format string, values ...any) {
	a.notes = append(a.notes, fmt.Sprintf(format, values...))
}

// counted lists figures by name.
func counted(figures map[string]int) string {
	var list []string
	for _, name := range slices.Sorted(maps.Keys(figures)) {
		list = append(list, fmt.Sprintf("%s %d", strings.TrimSpace(name), figures[name]))
	}
	return strings.Join(list, ", ")
}
