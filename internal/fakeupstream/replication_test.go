package fakeupstream_test

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/fakeupstream"
)

func TestReplicasApplyAfterTheirLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, func(s *fakeupstream.Server) { s.Lag = time.Second })
		b.SetLink("a", "b", fakeupstream.Link{Delay: 100 * time.Millisecond})
		a, r := b.connect("a", nil), b.connect("b", nil)
		b.exec(a, "create table t (n int)")
		b.exec(a, "insert into t values (1)")
		assert.Equal(t, position(a), "1/2")
		synctest.Wait()
		assert.Equal(t, b.status(r, "select savoryramp_status()").Received, "1/0")
		time.Sleep(150 * time.Millisecond)
		st := b.status(r, "select savoryramp_status()")
		assert.Equal(t, st.Received, "1/2")
		assert.Equal(t, st.Applied, "1/0")
		assert.Equal(t, st.Role, fakeupstream.Replica)
		_, err := r.Exec(b.ctx, "insert into t values (2)")
		assert.Equal(t, code(err), "42P01")
		time.Sleep(time.Second)
		assert.Equal(t, b.int(r, "select count(*) from t"), int64(1))
		assert.Equal(t, position(r), "1/2")
		_, err = r.Exec(b.ctx, "insert into t values (2)")
		assert.Equal(t, code(err), "25006")
	})
}

func TestListenTellsEveryMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, func(s *fakeupstream.Server) { s.Lag = time.Second })
		a, r := b.connect("a", nil), b.connect("b", nil)
		// The replica has heard of the primary's term.
		synctest.Wait()
		b.exec(r, "listen savoryramp_position")
		told := func() fakeupstream.Status {
			n, err := r.WaitForNotification(b.ctx)
			assert.NilError(t, err)
			assert.Equal(t, n.Channel, "savoryramp_position")
			var st fakeupstream.Status
			assert.NilError(t, json.Unmarshal([]byte(n.Payload), &st))
			return st
		}
		assert.Equal(t, told().Received, "1/0")
		b.exec(a, "create table t (n int)")
		sent := time.Now()
		st := told()
		assert.Equal(t, st.Received+" "+st.Applied, "1/1 1/0")
		assert.Equal(t, time.Since(sent), time.Duration(0))
		assert.Equal(t, told().Applied, "1/1")
		assert.Equal(t, time.Since(sent), time.Second)
	})
}

func TestPromotionDropsWhatWasNotReceived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, nil)
		a, r := b.connect("a", nil), b.connect("b", nil)
		b.exec(a, "create table t (n int); insert into t values (1)")
		synctest.Wait()
		b.Server("a").Cut(true)
		b.exec(a, "insert into t values (2)")
		tx, err := a.Begin(b.ctx)
		assert.NilError(t, err)
		_, err = tx.Exec(b.ctx, "insert into t values (3)")
		assert.NilError(t, err)

		_, err = r.Exec(b.ctx, "select savoryramp_promote(2)")
		assert.Equal(t, code(err), "55000")
		assert.Equal(t, b.status(r, "select savoryramp_fence(2)").Role, fakeupstream.Replica)
		assert.Equal(t, b.status(r, "select savoryramp_promote(2)").Received, "2/1")
		assert.Equal(t, b.status(r, "select savoryramp_promote(2)").Role, fakeupstream.Primary)
		b.exec(b.connect("a", nil), "select savoryramp_fence(2)")
		assert.Equal(t, code(tx.Commit(b.ctx)), "25006")
		_, err = a.Exec(b.ctx, "insert into t values (4)")
		assert.Equal(t, code(err), "25006")
		_, err = r.Exec(b.ctx, "select savoryramp_fence(1)")
		assert.Equal(t, code(err), "55000")

		b.exec(r, "insert into t values (5)")
		assert.Equal(t, position(r), "2/2")
		for _, name := range []string{"a", "c"} {
			b.exec(b.connect(name, nil), "select savoryramp_follow($1, $2)", 2, "b")
		}
		synctest.Wait()
		assert.Equal(t, b.Server("a").Applied().String(), "1/2")
		b.Server("a").Cut(false)
		synctest.Wait()
		for _, s := range b.Servers {
			assert.Equal(t, s.Applied().String(), "2/2")
			assert.DeepEqual(t, s.Log(), b.History())
		}
		assert.Equal(t, b.int(a, "select sum(n) from t"), int64(6))
		assert.Equal(t, b.Primary().Name, fakeupstream.ServerName("b"))
	})
}

func TestFenceOfTheOwnTermKeepsThePrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, nil)
		a := b.connect("a", nil)
		assert.Equal(t, b.status(a, "select savoryramp_fence(1)").Role, fakeupstream.Primary)
		b.exec(a, "create table t (n int)")
		// The replicas receive the entry before the term that it came from is over.
		synctest.Wait()
		b.exec(a, "select savoryramp_fence(4)")
		assert.Equal(t, b.status(a, "select savoryramp_promote(4)").Applied, "4/1")
		b.exec(a, "insert into t values (1)")
		assert.Equal(t, position(a), "4/2")
		synctest.Wait()
		assert.Equal(t, b.Server("b").Applied().String(), "1/1")
	})
}
