package contract

import (
	"context"
	"sync"
	"time"
)

// Limiter admits requests within the limits of contracts. Shares and LocalLimiter
// implement it.
type Limiter interface {
	// Admit waits for a token of the contract. It fails with ErrExhausted, which carries
	// a RetryAfter, with ErrUnknown if there is no such contract, or with the context's
	// error. If it fails, no token is taken.
	Admit(ctx context.Context, name Name) error
}

// LocalLimiter admits requests in a fleet of one VM, which may use every limit in full.
type LocalLimiter struct {
	// MaxWait is the longest time that a request waits for a token.
	MaxWait time.Duration

	mu      sync.Mutex
	limits  map[Name]Rate
	buckets map[Name]*Bucket
}

// SetLimits replaces the limits. The bucket of a new or changed limit starts empty.
func (l *LocalLimiter) SetLimits(limits map[Name]Rate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	buckets := map[Name]*Bucket{}
	for name, r := range limits {
		buckets[name] = l.buckets[name]
		if buckets[name] == nil || l.limits[name] != r {
			buckets[name] = NewUnsharedBucket(r, l.MaxWait, nil)
		}
	}
	l.limits, l.buckets = limits, buckets
}

// Admit implements Limiter.
func (l *LocalLimiter) Admit(ctx context.Context, name Name) error {
	l.mu.Lock()
	b := l.buckets[name]
	l.mu.Unlock()
	if b == nil {
		return ErrUnknown.New("no contract %q", name)
	}
	return b.Take(ctx)
}
