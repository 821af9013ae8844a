package main

import (
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/fakeupstream"
	"github.com/savoryramp/savoryramp/internal/load"
	"github.com/savoryramp/savoryramp/internal/platform"
)

var began = time.Unix(1000, 0)

// write is a request of a workspace between two moments after the beginning.
func write(w platform.WorkspaceName, id string, from, to time.Duration, told outcome, code string) request {
	return request{workspace: w, id: id, sent: began.Add(from), done: began.Add(to), told: told, code: code}
}

// wholeAudit is one in which nothing is broken.
func wholeAudit() *audit {
	f := &Fleet{
		began: began, withdrawn: began.Add(10 * time.Second),
		document: &platform.Document{
			Workspaces: []platform.Workspace{
				{Name: workspaceOver, Rate: 1, Burst: 1},
				{Name: workspaceWithin, Rate: 1, Burst: 1},
				{Name: workspaceLeaving, Rate: 1, Burst: 2},
			},
			Upstreams: []platform.Upstream{{Servers: []platform.Server{{Name: "r1a", Connections: 3}}}},
		},
		requests: []request{
			write(workspaceOver, "o1", 0, time.Second, acknowledged, ""),
			write(workspaceOver, "o2", 0, time.Second, notRun, codeOverRate),
			write(workspaceWithin, "w1", 0, time.Second, acknowledged, ""),
			write(workspaceWithin, "", 2*time.Second, 3*time.Second, acknowledged, ""),
			write(workspaceWithin, "w2", 4*time.Second, 5*time.Second, unknown, ""),
			write(workspaceLeaving, "l1", 0, time.Second, acknowledged, ""),
			write(workspaceLeaving, "l2", 10*time.Second, 11*time.Second, acknowledged, ""),
			write(workspaceLeaving, "l3", 12*time.Second, 13*time.Second, notRun, "28000"),
		},
	}
	a := &audit{
		fleet: f, servers: []server{{"r1a", 3}},
		logins: map[platform.WorkspaceName][]string{workspaceWithin: {"", ""}, workspaceLeaving: {"28000", "28P01"}},
	}
	for _, id := range []string{"o1", "w1", "l1"} {
		a.commit(id, time.Second)
	}
	a.commit("l2", 11*time.Second)
	return a
}

func (a *audit) commit(id string, at time.Duration) {
	a.log = append(a.log, entry{began.Add(at), []fakeupstream.Statement{{SQL: insert, Args: []any{id, 1}}}})
}

func TestAuditFindsWhatIsBroken(t *testing.T) {
	tests := map[string]struct {
		change func(a *audit)
		broken string
	}{
		"nothing": {func(*audit) {}, ""},
		"admitted over the burst": {func(a *audit) {
			a.fleet.requests = append(a.fleet.requests, write(workspaceOver, "", 0, 0, acknowledged, ""), write(workspaceOver, "", 0, 0, unknown, codeUnknown))
		}, "over: over burst"},
		"the over one was never refused": {func(a *audit) { a.fleet.requests[1].code = "" }, "over: refused by its rate"},
		"a connection too many":          {func(a *audit) { a.servers[0].MostConnections = 4 }, "r1a: connections"},
		"a server without a limit":       {func(a *audit) { a.servers[0].Server = "other" }, "other: connections"},
		"no server told":                 {func(a *audit) { a.servers = nil }, "servers"},
		"lost":                           {func(a *audit) { a.log = a.log[:1] }, "acknowledged writes lost"},
		"an empty log":                   {func(a *audit) { a.log = nil }, "writes in the log"},
		"twice":                          {func(a *audit) { a.commit("w1", time.Second) }, "writes in the log twice"},
		"unknown and twice":              {func(a *audit) { a.commit("w2", 0); a.commit("w2", 0) }, "writes in the log twice"},
		"not run, but run":               {func(a *audit) { a.commit("o2", time.Second) }, `"not run", but in the log`},
		"stale":                          {func(a *audit) { a.fleet.requests[3].stale = true }, "reads that missed"},
		"a withdrawn key goes on": {func(a *audit) {
			a.fleet.requests = append(a.fleet.requests, write(workspaceLeaving, "l4", 11*time.Second, 30*time.Second, unknown, ""))
			a.commit("l4", 22*time.Second+time.Millisecond)
		}, "withdrawn key: used after"},
		"the key was never used":         {func(a *audit) { a.fleet.requests[5].told = unknown }, "withdrawn key: answered before"},
		"a VM is gone at the end":        {func(a *audit) { a.logins[workspaceWithin][1] = codeUnreachable }, "VMs that don't serve"},
		"a VM takes the withdrawn key":   {func(a *audit) { a.logins[workspaceLeaving][0] = "" }, "VMs that don't refuse"},
		"a VM's last word isn't heard":   {func(a *audit) { a.logins[workspaceLeaving][0] = codeUnreachable }, "VMs that don't refuse"},
		"no VM was asked at the end":     {func(a *audit) { a.logins = nil }, "VMs asked"},
		"a workspace wasn't served once": {func(a *audit) { a.fleet.requests = a.fleet.requests[:2] }, "within: admitted"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			a := wholeAudit()
			test.change(a)
			err := a.report(io.Discard)
			if test.broken == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, test.broken)
		})
	}
}

func TestReportNamesWhatIsBroken(t *testing.T) {
	a := wholeAudit()
	a.servers[0].MostConnections = 9
	var out strings.Builder
	assert.Assert(t, a.report(&out) != nil)
	assert.Assert(t, strings.Contains(out.String(), "BROKEN"), out.String())
}

func TestLongestGap(t *testing.T) {
	at := func(seconds ...time.Duration) (list []load.Span) {
		for _, s := range seconds {
			list = append(list, load.Span{To: s * time.Second})
		}
		return list
	}
	tests := map[string]struct {
		admitted  []load.Span
		from, gap time.Duration
	}{
		"none":             {nil, 0, 0},
		"from the start":   {at(5, 6), 0, 5 * time.Second},
		"in any order":     {at(9, 1, 2, 3), 3 * time.Second, 6 * time.Second},
		"the first of two": {at(1, 3, 5), 1 * time.Second, 2 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			from, gap := longestGap(test.admitted)
			assert.Equal(t, from, test.from)
			assert.Equal(t, gap, test.gap)
		})
	}
}
