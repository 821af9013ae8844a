package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/savoryramp/savoryramp/internal/fakeupstream"
	"github.com/savoryramp/savoryramp/internal/platform"
)

const (
	// withdrawnWithin is how long after its withdrawal a key may still be used: as long
	// as a VM relies on a document that it can't confirm, and a statement may go on.
	withdrawnWithin = 12 * time.Second
	// classLogin begins the SQLSTATEs of refused logins.
	classLogin = "28"
)

// audit holds what callers were told against what the servers ran.
type audit struct {
	fleet   *Fleet
	log     []entry
	servers []server
	// logins are the answers to each VM's last login, by workspace.
	logins map[platform.WorkspaceName][]string
	table  []finding
	// notes are printed under the table.
	notes []string
}

// finding is one line of the report.
type finding struct {
	what     string
	measured any
	allowed  any
	broken   bool
}

// report prints what was found; ErrWrong names what was broken.
func (a *audit) report(out io.Writer) error {
	a.check()
	fmt.Fprintf(out, "seed %d\n", a.fleet.Seed)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	var broken []string
	for _, l := range a.table {
		verdict := ""
		if l.broken {
			verdict = "BROKEN"
			broken = append(broken, l.what)
		}
		fmt.Fprintf(w, "%s\t%v\t%v\t%s\n", l.what, l.measured, l.allowed, verdict)
	}
	_ = w.Flush()
	for _, n := range a.notes {
		fmt.Fprintln(out, n)
	}
	if len(broken) > 0 {
		return ErrWrong.New("%s", strings.Join(broken, ", "))
	}
	return nil
}

func (a *audit) check() {
	a.checkRates()
	a.checkConnections()
	a.checkWrites()
	a.checkWithdrawal()
	a.checkLogins()
}

// most adds a figure that may be at most allowed.
func (a *audit) most(what string, measured, allowed int) {
	a.table = append(a.table, finding{what, measured, fmt.Sprintf("at most %d", allowed), measured > allowed})
}

// least adds a figure without which the run shows nothing.
func (a *audit) least(what string, measured int) {
	a.table = append(a.table, finding{what, measured, "at least 1", measured < 1})
}

// told adds a figure that is only reported.
func (a *audit) told(what string, measured any) {
	a.table = append(a.table, finding{what: what, measured: measured, allowed: ""})
}

func (a *audit) checkConnections() {
	limits := map[platform.ServerName]int{}
	for _, u := range a.fleet.document.Upstreams {
		for _, s := range u.Servers {
			limits[s.Name] = int(s.Connections)
		}
	}
	a.least("servers", len(a.servers))
	for _, s := range a.servers {
		a.most(fmt.Sprintf("%s: connections at once", s.Server), s.MostConnections, limits[s.Server])
	}
}

// checkWrites counts how often each write is in the log.
func (a *audit) checkWrites() {
	stored := map[string]int{}
	for id, times := range a.commits() {
		stored[id] = len(times)
	}
	lost, double, untrue, stale := 0, 0, 0, 0
	for _, r := range a.fleet.requests {
		n := stored[r.id]
		switch {
		case r.stale:
			stale++
		case r.id == "":
		case r.told == acknowledged && n == 0:
			lost++
		case r.told == notRun && n > 0:
			untrue++
		case n > 1:
			double++
		}
	}
	a.least("writes in the log", len(stored))
	a.most("acknowledged writes lost", lost, 0)
	a.most("writes in the log twice", double, 0)
	a.most("\"not run\", but in the log", untrue, 0)
	a.most("reads that missed an acknowledged write", stale, 0)
}

// commits gives the times of commit of each write.
func (a *audit) commits() map[string][]time.Time {
	all := map[string][]time.Time{}
	for _, e := range a.log {
		for _, st := range e.Statements {
			if id, is := written(st); is {
				all[id] = append(all[id], e.At)
			}
		}
	}
	return all
}

// written is the id of a write; false for another statement.
func written(st fakeupstream.Statement) (string, bool) {
	if !strings.HasPrefix(st.SQL, "INSERT") || len(st.Args) == 0 {
		return "", false
	}
	id, is := st.Args[0].(string)
	return id, is
}

// checkWithdrawal looks for use of the key after it was withdrawn, in the log, also of
// what the caller heard no answer to.
func (a *audit) checkWithdrawal() {
	commits := a.commits()
	before, late := 0, 0
	last := map[bool]time.Duration{}
	for _, r := range a.fleet.requests {
		if r.workspace != workspaceLeaving {
			continue
		}
		if r.told == acknowledged && r.done.Before(a.fleet.withdrawn) {
			before++
		}
		for _, at := range commits[r.id] {
			after := at.Sub(a.fleet.withdrawn)
			last[r.open] = max(last[r.open], after)
			if after > withdrawnWithin {
				late++
				a.note("withdrawn key: %s on vm-%d, sent at %s, committed at %s, told %s %s at %s", r.id, r.vm,
					a.offset(r.sent), a.offset(at), r.told, r.code, a.offset(r.done))
			}
		}
	}
	a.least("withdrawn key: answered before", before)
	a.told("withdrawn key: last used after, open connections", last[true])
	a.told("withdrawn key: last used after, new connections", last[false])
	a.most(fmt.Sprintf("withdrawn key: used after %s", withdrawnWithin), late, 0)
}

// checkLogins looks that every VM serves at the end, but not with the withdrawn key.
func (a *audit) checkLogins() {
	idle, taken := 0, 0
	for vm, code := range a.logins[workspaceWithin] {
		if code != "" {
			idle++
			a.note("vm-%d at the end: %s", vm, code)
		}
	}
	for vm, code := range a.logins[workspaceLeaving] {
		if !strings.HasPrefix(code, classLogin) {
			taken++
			a.note("vm-%d at the end, to the withdrawn key: %q", vm, code)
		}
	}
	a.least("VMs asked at the end", len(a.logins[workspaceWithin]))
	a.most("VMs that don't serve at the end", idle, 0)
	a.most("VMs that don't refuse the withdrawn key at the end", taken, 0)
}
