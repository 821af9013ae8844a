package caller_test

import (
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
)

// Guards against a fault in one session that ends the process, and with it everybody else's session. The connection
// that the session used is free again, and its transaction is rolled back.
func TestPanicEndsOnlyItsSession(t *testing.T) {
	tests := map[string]string{"single write": "", "in a transaction": "begin; insert into t values (1)"}
	for name, before := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCluster(t, 1)
				v := f.vms[0]
				f.connectionShare.Store(1)
				other, failing := f.connect(v, "other-key", otherSecret, "till"), f.connectAsOne(v)
				f.exec(other, "create table if not exists t (n int)")
				if before != "" {
					f.exec(failing, before)
				}
				v.panics.Store(true)
				_, err := failing.Exec(f.ctx, "insert into t values (2)")
				assert.Assert(t, err != nil)
				synctest.Wait()
				for range 3 {
					f.exec(other, "insert into t values (3)")
				}
				rows, err := other.Query(f.ctx, "select n from t where n < 3")
				assert.NilError(t, err)
				assert.Assert(t, !rows.Next(), "the session that failed committed a write")
				rows.Close()
				assert.Assert(t, f.hasMetric(v, `savoryramp_caller_session_panics_total 1`))
			})
		})
	}
}
