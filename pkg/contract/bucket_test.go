package contract_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/pkg/contract"
)

func TestBucketQueuesThenRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := contract.NewUnsharedBucket(contract.Rate{PerSecond: 10, Burst: 2}, 250*time.Millisecond, nil)
		time.Sleep(time.Second)
		start := time.Now()
		type result struct {
			after time.Duration
			err   error
		}
		results := make(chan result, 8)
		for range 5 {
			go func() {
				err := b.Take(context.Background())
				results <- result{time.Since(start), err}
			}()
			synctest.Wait()
		}
		for i, want := range []time.Duration{0, 0, 0, 100 * time.Millisecond, 200 * time.Millisecond} {
			r := <-results
			assert.Equal(t, r.after.Truncate(10*time.Millisecond), want)
			if i == 2 {
				after, ok := contract.RetryAfter(r.err)
				assert.Assert(t, errorx.IsOfType(r.err, contract.ErrExhausted) && ok)
				assert.Equal(t, after.Truncate(10*time.Millisecond), 300*time.Millisecond)
				continue
			}
			assert.NilError(t, r.err)
		}
	})
}

func TestBucketCanceledWaiter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := contract.NewUnsharedBucket(contract.Rate{PerSecond: 1, Burst: 1}, 2*time.Second, nil)
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		assert.ErrorIs(t, b.Take(ctx), context.DeadlineExceeded)
		assert.NilError(t, b.Take(context.Background()))
		assert.Assert(t, !b.TryTake())
	})
}
