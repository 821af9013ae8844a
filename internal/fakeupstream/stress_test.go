package fakeupstream_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/fakeupstream"
	place "github.com/savoryramp/savoryramp/pkg/position"
)

// TestServersConvergeAfterFaults moves the primary and breaks servers under
// writers, then compares logs and data.
func TestServersConvergeAfterFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const seed = 11
		t.Log("seed", seed)
		random := rand.New(rand.NewPCG(seed, seed))
		b := start(t, func(s *fakeupstream.Server) { s.Lag = 3 * time.Millisecond })
		b.exec(b.connect("a", nil), "create table t (id int primary key)")
		time.Sleep(time.Second)
		config := b.connect("a", nil).Config()
		ctx, stop := context.WithCancel(b.ctx)
		var writers sync.WaitGroup
		for w := range 6 {
			writers.Go(func() { write(ctx, b, config, w) })
		}
		for term := 2; term < 12; term++ {
			time.Sleep(50 * time.Millisecond)
			move(t, b, random, term)
		}
		stop()
		writers.Wait()
		time.Sleep(time.Second)
		for _, s := range b.Servers {
			assert.DeepEqual(t, s.Log(), b.History())
			rows := int64(0)
			for _, e := range s.Log()[1:] {
				rows += int64(len(e.Statements))
			}
			assert.Assert(t, rows > 50)
			assert.Equal(t, b.int(b.connect(string(s.Name), nil), "select count(*) from t"), rows)
		}
	})
}

// write inserts rows in transactions of two wherever a primary takes them.
func write(ctx context.Context, b *bench, config *pgx.ConnConfig, writer int) {
	for id := writer * 1_000_000; ctx.Err() == nil; id += 2 {
		for _, s := range b.Servers {
			c := config.Copy()
			c.Host = string(s.Name)
			limit, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
			conn, err := pgx.ConnectConfig(limit, c)
			if err == nil {
				_ = pgx.BeginFunc(limit, conn, func(tx pgx.Tx) error {
					_, err := tx.Exec(limit, "insert into t values ($1), ($2)", id, id+1)
					if err == nil {
						_, err = tx.Exec(limit, "update t set id = id where id = $1", id)
					}
					return err
				})
				_ = conn.Close(context.Background())
			}
			cancel()
			time.Sleep(time.Millisecond)
		}
	}
}

// move breaks a server in some way and makes another the primary of term.
func move(t *testing.T, b *bench, random *rand.Rand, term int) {
	broken := b.Servers[random.IntN(3)]
	next := b.Servers[random.IntN(3)]
	switch random.IntN(3) {
	case 0:
		broken.Cut(true)
	case 1:
		broken.Kill(random.IntN(3))
	case 2:
		broken.Freeze(true)
	}
	time.Sleep(20 * time.Millisecond)
	broken.Cut(false)
	broken.Start()
	broken.Freeze(false)
	assert.NilError(t, next.Fence(place.Term(term)))
	assert.NilError(t, next.Promote(b.ctx, place.Term(term)))
	for _, s := range b.Servers {
		if s != next {
			assert.NilError(t, s.Follow(place.Term(term), next.Name))
		}
	}
}
