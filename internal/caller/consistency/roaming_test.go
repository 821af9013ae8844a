package consistency_test

import (
	"encoding/base64"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/fakenet"
	"github.com/savoryramp/savoryramp/internal/upstream"
)

// tokenChoices are the tokens that a session may present to another VM: none, its own,
// a forged one, or one of another workspace that is older than its write.
var tokenChoices = map[string]func(own, foreign string) string{
	"with token":    func(own, _ string) string { return own },
	"without token": func(string, string) string { return "" },
	"forged token":  func(own, _ string) string { return forgeToken(own) },
	"foreign token": func(_, foreign string) string { return foreign },
}

// forgeToken lowers the floor in a token to the beginning of the log and keeps the
// signature.
func forgeToken(token string) string {
	_, signature, _ := strings.Cut(token, ".")
	body := `{"workspace":"desk","floors":{"r1":"1/0"}}`
	return base64.RawURLEncoding.EncodeToString([]byte(body)) + "." + signature
}

// roamingFaults are the faults between a session's write and its next read.
var roamingFaults = map[string]func(r *cluster){
	"nothing":       func(*cluster) {},
	"replicas lag":  func(*cluster) {},
	"first VM dies": func(r *cluster) { r.vms["vm1"].kill() },
	"replica rejoins after losing its tail": func(r *cluster) {
		r.server("b").Cut(true)
		r.server("b").Kill(1)
		r.server("b").Start()
	},
	"promotion": func(r *cluster) { r.promote(2, "b", "c"); time.Sleep(100 * time.Millisecond) },
	"promotion, VM still reaches the old primary": func(r *cluster) {
		r.network.Cut("vm2", "b")
		r.promote(2, "b", "c")
		time.Sleep(2 * time.Second)
	},
}

func TestSessionReadsItsOwnWriteAfterRoaming(t *testing.T) {
	for faultName, fault := range roamingFaults {
		for choice, chooseToken := range tokenChoices {
			t.Run(faultName+"/"+choice, func(t *testing.T) {
				runTest(t, nil, func(t *testing.T, r *cluster) {
					v, err := readAfterRoaming(r, fault, chooseToken)
					assert.Assert(t, err == nil && v == 2 || isNotRun(err), "read %d, %v", v, err)
				})
			})
		}
	}
}

// TestReadsFromAnyReplicaMissOwnWrites shows that the test above fails without the
// proxy's read policy.
func TestReadsFromAnyReplicaMissOwnWrites(t *testing.T) {
	runTest(t, func(r *cluster) { r.readPolicy = upstream.AnyReplica{} }, func(t *testing.T, r *cluster) {
		v, err := readAfterRoaming(r, roamingFaults["replicas lag"], tokenChoices["with token"])
		assert.NilError(t, err)
		assert.Equal(t, v, 1)
	})
}

// readAfterRoaming writes through one VM and reads through the other.
func readAfterRoaming(r *cluster, fault func(r *cluster), chooseToken func(own, foreign string) string) (int, error) {
	c := r.connect("vm1", "")
	other, err := r.dial("vm2", "", "others")
	assert.NilError(r.t, err)
	assert.NilError(r.t, r.writeValue(other, 2, 1))
	assert.NilError(r.t, r.writeValue(c, 1, 1))
	time.Sleep(time.Second)
	for _, s := range r.group.Servers {
		s.SetLag(time.Minute)
	}
	assert.NilError(r.t, r.writeValue(c, 1, 2))
	presentedToken := chooseToken(sessionToken(c), sessionToken(other))
	fault(r)
	return r.readValue(r.connect("vm2", presentedToken), 1)
}

// TestFloorOutlivesAReplicaThatLostIt restarts the replica that confirmed a write,
// without that log entry, and delays the primary's replies, so that both replicas
// without the entry answer first. A new session on the other VM must still read the
// write.
func TestFloorOutlivesAReplicaThatLostIt(t *testing.T) {
	runTest(t, nil, func(t *testing.T, r *cluster) {
		r.server("c").Cut(true)
		c := r.connect("vm1", "")
		assert.NilError(t, r.writeValue(c, 1, 1))
		r.server("b").Cut(true)
		r.server("b").Kill(1)
		r.server("b").Start()
		r.network.Delay("vm2", fakenet.Host("a"), 50*time.Millisecond)
		time.Sleep(time.Second)
		c = r.connect("vm2", "")
		// By now, the two replicas without the entry have answered and the primary
		// hasn't. Before the replica is back, nothing can confirm data that only the
		// primary has.
		time.AfterFunc(25*time.Millisecond, func() { r.server("b").Cut(false) })
		v, err := r.readValue(c, 1)
		assert.NilError(t, err)
		assert.Equal(t, v, 1)
	})
}

// TestVMDiesInTheMiddleOfACommit kills a VM at every quarter millisecond of a write.
// Through the other VM, the write must be visible completely or not at all, and once
// visible it must remain so, also after a promotion.
func TestVMDiesInTheMiddleOfACommit(t *testing.T) {
	runTest(t, nil, func(t *testing.T, r *cluster) {
		for _, name := range []string{"b", "c"} {
			r.server(name).SetLag(20 * time.Millisecond)
		}
		seen := map[int]int{}
		for n := 1; n <= 32; n++ {
			c := r.connect("vm1", "")
			time.AfterFunc(time.Duration(n)*networkDelay/4, r.vms["vm1"].kill)
			err := r.writeValue(c, n, 1)
			v, errRead := r.readValue(r.connect("vm2", ""), n)
			assert.NilError(t, errRead)
			assert.Assert(t, err != nil || v == 1, "killed after %v: acknowledged but not visible", time.Duration(n)*networkDelay/4)
			seen[n] = v
			r.startVM("vm1")
			time.Sleep(time.Second)
		}
		r.promote(2, "c", "b")
		time.Sleep(time.Second)
		visible := 0
		for n, v := range seen {
			value, err := r.readValue(r.connect("vm2", ""), n)
			assert.NilError(t, err)
			assert.Equal(t, value, v)
			visible += v
		}
		assert.Assert(t, visible > 0 && visible < len(seen), "%d of %d writes took effect", visible, len(seen))
	})
}
