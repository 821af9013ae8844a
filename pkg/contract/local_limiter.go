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
	// a RetryAfter, with ErrUnknown or with the context's error; no token is taken then.
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

// SetLimits replaces the limits; a bucket whose limit changed starts empty.
func (s *LocalLimiter) SetLimits(limits map[Name]Rate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	buckets := map[Name]*Bucket{}
	for name, r := range limits {
		buckets[name] = s.buckets[name]
		if buckets[name] == nil || s.limits[name] != r {
			buckets[name] = NewUnsharedBucket(r, s.MaxWait, nil)
		}
	}
	s.limits, s.buckets = limits, buckets
}

// Admit implements Limiter.
func (s *LocalLimiter) Admit(ctx context.Context, name Name) error {
	s.mu.Lock()
	b := s.buckets[name]
	s.mu.Unlock()
	if b == nil {
		return ErrUnknown.New("no contract %q", name)
	}
	return b.Take(ctx)
}
