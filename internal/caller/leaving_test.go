package caller_test

import (
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/fakeupstream"
)

// statementsRunOn counts the statements that a server has run so far.
func (f *cluster) statementsRunOn(name fakeupstream.ServerName) int {
	n := 0
	for _, run := range f.group.Recorder.Runs() {
		if run.Server == name {
			n++
		}
	}
	return n
}

func TestLeavingServerGetsNoNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCluster(t, 3)
		f.connectionShare.Store(2)
		f.exec(f.connectAsOne(f.vms[0]), "create table t (n int)")
		for _, s := range f.group.Servers {
			s.SetService(20 * time.Millisecond)
		}
		time.Sleep(time.Second)
		leaving := f.replicaName()
		openTransaction := f.beginOn(leaving)
		var workers sync.WaitGroup
		deadline := time.Now().Add(11 * time.Second)
		for n := range 12 {
			c := f.connectAsOne(f.vms[n%3])
			workers.Go(func() {
				for time.Now().Before(deadline) {
					_, err := c.Exec(f.ctx, "select count(*) from t")
					if !assert.Check(t, err) {
						return
					}
				}
			})
		}
		time.Sleep(3 * time.Second)
		before := f.statementsRunOn(leaving)
		assert.Assert(t, before > 10, "%d statements before", before)
		f.applyDocument(strings.Replace(documentText(), "{name: "+string(leaving)+",", "{name: "+string(leaving)+", leaving: true,", 1))
		time.Sleep(changeTimeout)
		after := f.statementsRunOn(leaving)
		f.exec(openTransaction, "select count(*) from t")
		assert.Equal(t, f.statementsRunOn(leaving), after+1, "an open transaction stays on its server")
		f.exec(openTransaction, "commit")
		workers.Wait()
		assert.Equal(t, f.statementsRunOn(leaving), after+1, "statements begun on a leaving server")
	})
}

// replicaName returns the name of a replica.
func (f *cluster) replicaName() fakeupstream.ServerName {
	for _, s := range f.group.Servers {
		if s != f.group.Primary() {
			return s.Name
		}
	}
	return ""
}

// beginOn opens a read-only transaction on the given server.
func (f *cluster) beginOn(name fakeupstream.ServerName) *pgx.Conn {
	f.Helper()
	for range 20 {
		before := f.statementsRunOn(name)
		c := f.connectAsOne(f.vms[0])
		f.exec(c, "begin read only")
		f.exec(c, "select count(*) from t")
		if f.statementsRunOn(name) > before {
			return c
		}
	}
	f.Fatalf("no transaction began on %s", name)
	return nil
}
