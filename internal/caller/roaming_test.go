package caller_test

import (
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/fakenet"
	"github.com/savoryramp/savoryramp/internal/upstream"
)

// roams are ways in which a session comes to another VM.
var roams = map[string]func(r *rig, c *pgx.Conn) string{
	"with token":    func(_ *rig, c *pgx.Conn) string { return token(c) },
	"without token": func(*rig, *pgx.Conn) string { return "" },
	"forged token":  func(_ *rig, c *pgx.Conn) string { return forge(token(c)) },
	"foreign token": foreign,
}

// forge changes what a token says and keeps its signature.
func forge(token string) string { return "e30" + token[3:] }

// foreign gives a token of another workspace.
func foreign(r *rig, _ *pgx.Conn) string {
	c, err := r.dial("vm2", "", "others")
	assert.NilError(r.t, err)
	defer c.Close(r.ctx)
	assert.NilError(r.t, r.put(c, 999, 1))
	return token(c)
}

// breaks are what happens between a session's write and its next read.
var breaks = map[string]func(r *rig){
	"nothing":       func(*rig) {},
	"replicas lag":  func(*rig) {},
	"first VM dies": func(r *rig) { r.vms["vm1"].kill() },
	"replica rejoins after losing its tail": func(r *rig) {
		r.server("b").Cut(true)
		r.server("b").Kill(1)
		r.server("b").Start()
	},
	"promotion": func(r *rig) { r.promote(2, "b", "c"); time.Sleep(100 * time.Millisecond) },
	"promotion, the old primary is still there for the VM": func(r *rig) {
		r.network.Cut("vm2", "b")
		r.promote(2, "b", "c")
		time.Sleep(2 * time.Second)
	},
}

func TestSessionReadsItsOwnWriteAfterRoaming(t *testing.T) {
	for broken, happens := range breaks {
		for way, roam := range roams {
			t.Run(broken+"/"+way, func(t *testing.T) {
				in(t, nil, func(t *testing.T, r *rig) {
					v, err := roamed(r, happens, roam)
					assert.Assert(t, err == nil && v == 2 || notRun(err), "read %d, %v", v, err)
				})
			})
		}
	}
}

// TestNaiveSplitterMissesOwnWrites shows that the test above finds what it looks for.
func TestNaiveSplitterMissesOwnWrites(t *testing.T) {
	in(t, func(r *rig) { r.reads = upstream.AnyReplica{} }, func(t *testing.T, r *rig) {
		v, err := roamed(r, breaks["replicas lag"], roams["with token"])
		assert.NilError(t, err)
		assert.Equal(t, v, 1)
	})
}

// roamed writes at one VM and reads at the other.
func roamed(r *rig, happens func(r *rig), roam func(r *rig, c *pgx.Conn) string) (int, error) {
	c := r.connect("vm1", "")
	assert.NilError(r.t, r.put(c, 1, 1))
	time.Sleep(time.Second)
	for _, s := range r.group.Servers {
		s.SetLag(time.Minute)
	}
	assert.NilError(r.t, r.put(c, 1, 2))
	token := roam(r, c)
	happens(r)
	return r.value(r.connect("vm2", token), 1)
}

// TestFloorOutlivesAReplicaThatLostIt takes away the log entry of the replica that
// confirmed it, and lets the primary answer last.
func TestFloorOutlivesAReplicaThatLostIt(t *testing.T) {
	in(t, nil, func(t *testing.T, r *rig) {
		r.server("c").Cut(true)
		c := r.connect("vm1", "")
		assert.NilError(t, r.put(c, 1, 1))
		r.server("b").Cut(true)
		r.server("b").Kill(1)
		r.server("b").Start()
		r.network.Delay("vm2", fakenet.Host("a"), 50*time.Millisecond)
		time.Sleep(time.Second)
		v, err := r.value(r.connect("vm2", ""), 1)
		assert.NilError(t, err)
		assert.Equal(t, v, 1)
	})
}
