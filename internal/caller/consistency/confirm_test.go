package consistency_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestUnconfirmedCommitIsNotAcknowledged cuts the primary off from its replicas while
// callers still reach it. Without any replica no commit may be acknowledged; when a
// replica is back, commits work again.
func TestUnconfirmedCommitIsNotAcknowledged(t *testing.T) {
	for form, write := range writeForms {
		t.Run(form, func(t *testing.T) {
			runTest(t, nil, func(t *testing.T, r *cluster) {
				r.exec(r.connect("vm1", ""), "create table w (id int)")
				r.server("c").Cut(true)
				assert.NilError(t, write(r, r.connect("vm1", ""), "insert into w select 1"))
				r.server("a").Cut(true)
				c := r.connect("vm1", "")
				before := sessionToken(c)
				began := time.Now()
				err := write(r, c, "insert into w select 2")
				assert.Equal(t, sqlState(err), "08007", "%v", err)
				assert.Assert(t, time.Since(began) >= responseTimeout)
				assert.Equal(t, sessionToken(c), before, "a token for an unacknowledged write")
				r.server("a").Cut(false)
				time.Sleep(3 * time.Second)
				assert.NilError(t, write(r, r.connect("vm1", ""), "insert into w select 3"))
			})
		})
	}
}

// TestReplacedPrimaryAcknowledgesNothing writes to a replaced primary through a VM that
// reaches no other server.
func TestReplacedPrimaryAcknowledgesNothing(t *testing.T) {
	runTest(t, nil, func(t *testing.T, r *cluster) {
		c := r.connect("vm1", "")
		assert.NilError(t, r.writeValue(c, 1, 1))
		r.network.Cut("vm1", "b")
		r.network.Cut("vm1", "c")
		r.server("a").Cut(true)
		r.promote(2, "b", "c")
		assert.Equal(t, sqlState(r.writeValue(c, 1, 2)), "08007")
		d := r.connect("vm2", "")
		assert.NilError(t, r.writeValue(d, 1, 3))
		v, err := r.readValue(d, 1)
		assert.NilError(t, err)
		assert.Equal(t, v, 3)
	})
}

// TestConfirmationIsOfTheCommitsOwnTerm gives a server a longer log of an earlier term.
// That log must not confirm a commit of a later term at a lower offset.
func TestConfirmationIsOfTheCommitsOwnTerm(t *testing.T) {
	runTest(t, nil, func(t *testing.T, r *cluster) {
		r.promote(2, "c", "a", "b")
		time.Sleep(time.Second)
		r.server("c").Cut(true)
		for n := range 5 {
			assert.Equal(t, sqlState(r.writeValue(r.connect("vm1", ""), n, 1)), "08007")
		}
		r.promote(3, "b", "a")
		assert.NilError(t, r.server("c").Follow(3, "b"))
		time.Sleep(time.Second)
		assert.NilError(t, r.writeValue(r.connect("vm1", ""), 1, 2))
		r.server("a").Cut(true)
		assert.Equal(t, sqlState(r.writeValue(r.connect("vm1", ""), 1, 3)), "08007")
		r.server("c").Cut(false)
		time.Sleep(time.Second)
		assert.NilError(t, r.writeValue(r.connect("vm1", ""), 1, 4))
	})
}
