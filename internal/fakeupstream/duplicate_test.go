package fakeupstream_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/fakeupstream"
)

// answerOwners sends statements and returns the owner of each answer that arrives, in
// order. It fails if an answer is incomplete or has rows of another one.
func answerOwners(t *testing.T, seed uint64) []string {
	const statements = 60
	var owners []string
	synctest.Test(t, func(t *testing.T) {
		b := start(t, nil)
		hijacked, err := b.connect("a", nil).PgConn().Hijack()
		assert.NilError(t, err)
		b.Server("a").SetDuplicates(fakeupstream.Duplicates{Share: 0.3, MaxDelay: 500 * time.Millisecond, Seed: seed})
		go func() {
			for n := range statements {
				rows := 1
				if n%10 == 9 {
					rows = 5000
				}
				hijacked.Frontend.Send(&pgproto3.Query{String: fmt.Sprintf(
					"with recursive s(n) as (select 1 union all select n + 1 from s where n < %d) select 'owner %d' from s", rows, n)})
				if hijacked.Frontend.Flush() != nil {
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
			time.Sleep(time.Second)
			_ = hijacked.Conn.Close()
		}()
		owner, rows := "", 0
		for {
			m, err := hijacked.Frontend.Receive()
			if err != nil {
				break
			}
			switch m := m.(type) {
			case *pgproto3.DataRow:
				assert.Assert(t, rows == 0 || owner == string(m.Values[0]), "a row of %s within the answer of %s", m.Values[0], owner)
				owner = string(m.Values[0])
				rows++
			case *pgproto3.CommandComplete:
				assert.Equal(t, string(m.CommandTag), fmt.Sprint("SELECT ", rows))
			case *pgproto3.ReadyForQuery:
				owners, owner, rows = append(owners, owner), "", 0
			}
		}
		_ = hijacked.Conn.Close()
	})
	return owners
}

// Duplicates are whole answers, begin within no other answer, and are the same ones again
// with the same seed.
func TestDuplicatesAreWholeAnswers(t *testing.T) {
	const seed = 7
	owners := answerOwners(t, seed)
	count := map[string]int{}
	late := 0
	for i, owner := range owners {
		count[owner]++
		if count[owner] == 2 && owners[i-1] != owner {
			late++
		}
		assert.Assert(t, count[owner] <= 2, "%s came %d times", owner, count[owner])
	}
	assert.Equal(t, len(count), 60)
	t.Logf("seed %d: %d answers of 60 came twice, %d of them after another answer", seed, len(owners)-60, late)
	assert.Assert(t, len(owners) > 70 && late > 5)
	assert.DeepEqual(t, answerOwners(t, seed), owners)
}
