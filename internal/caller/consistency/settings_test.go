package consistency_test

import (
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"
)

// TestSettingsOutliveTheirConnection changes settings in every supported way and reads
// them on the session's next server connection.
func TestSettingsOutliveTheirConnection(t *testing.T) {
	simple := func(texts ...string) func(r *cluster, c *pgx.Conn) {
		return func(r *cluster, c *pgx.Conn) {
			for _, text := range texts {
				_ = simpleQuery(r, c, text)
			}
		}
	}
	extended := func(texts ...string) func(r *cluster, c *pgx.Conn) {
		return func(r *cluster, c *pgx.Conn) { _ = sendBatch(r, c, texts...) }
	}
	many := []string{"set app.who = 'me'"}
	for range 2 * 32 {
		many = append(many, "set app.other = 'x'")
	}
	for name, test := range map[string]struct {
		set  func(r *cluster, c *pgx.Conn)
		want string
	}{
		"alone":                        {simple("set app.who = 'me'"), "me"},
		"the newest":                   {simple("set app.who = 'other'", "set session app.who to 'me'"), "me"},
		"among many":                   {simple(append(many, "set app.who = 'it'")...), "it"},
		"in a text":                    {simple("select ';'; set app.who = 'me'; select 1"), "me"},
		"behind strings and comments":  {simple("select ';', \";\" from (select 1 as \";\") /* ; */ -- ;\n; set app.who = 'me;'"), "me;"},
		"extended":                     {extended("set app.who = 'me'"), "me"},
		"in a batch":                   {extended("select 1", "set app.who = 'me'", "select 2"), "me"},
		"prepared":                     {extended("set app.who = 'other'", "reset app.other", "set app.who = 'me'"), "me"},
		"committed":                    {simple("begin", "set app.who = 'me'", "commit"), "me"},
		"committed in a text":          {simple("begin; set app.who = 'me'; commit; select nothing"), "me"},
		"of a text that failed":        {simple("set app.who = 'me'; select nothing"), ""},
		"of a batch that failed":       {extended("set app.who = 'me'", "select nothing"), ""},
		"rolled back":                  {simple("begin", "set app.who = 'me'", "rollback"), ""},
		"rolled back in a text":        {simple("begin; set app.who = 'me'; rollback"), ""},
		"of a transaction that failed": {simple("begin", "set app.who = 'me'", "select nothing", "commit"), ""},
		"in a batch's transaction":     {extended("begin", "set app.who = 'me'", "commit"), "me"},
		"local":                        {simple("begin", "set local app.who = 'me'", "commit"), ""},
		"reset":                        {simple("set app.who = 'me'", "reset app.who"), ""},
		"reset all":                    {simple("set app.who = 'me'", "select 1; reset all"), ""},
		"discarded":                    {simple("set app.who = 'me'", "discard all"), ""},
	} {
		t.Run(name, func(t *testing.T) {
			runTest(t, nil, func(t *testing.T, r *cluster) {
				c := r.connect("vm1", "")
				test.set(r, c)
				for _, s := range r.group.Servers {
					s.Kill(0)
					s.Start()
				}
				time.Sleep(time.Second)
				var value string
				assert.NilError(t, c.QueryRow(r.ctx, "show app.who", pgx.QueryExecModeSimpleProtocol).Scan(&value))
				assert.Equal(t, value, test.want)
			})
		})
	}
}

// TestSettingOfALostTransactionIsLost changes a setting in a transaction that is lost.
// The change must be lost with it.
func TestSettingOfALostTransactionIsLost(t *testing.T) {
	runTest(t, nil, func(t *testing.T, r *cluster) {
		c := r.connect("vm1", "")
		loseTransaction(r, c, "begin", "set app.who = 'me'")
		assert.NilError(t, simpleQuery(r, c, "rollback"))
		var value string
		assert.NilError(t, c.QueryRow(r.ctx, "show app.who", pgx.QueryExecModeSimpleProtocol).Scan(&value))
		assert.Equal(t, value, "")
	})
}
