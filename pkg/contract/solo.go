package contract

import (
	"context"
	"sync"
	"time"
)

// Limiter admits requests by contract. Shares and Solo are limiters.
type Limiter interface {
	// Admit waits for a token of the contract. ErrExhausted with RetryAfter,
	// ErrUnknown, or the context's error: then nothing was taken.
	Admit(ctx context.Context, name Name) error
}

// Solo admits for a fleet of one VM, which holds every limit whole.
type Solo struct {
	// Bound is the longest wait for a token.
	Bound time.Duration

	mu      sync.Mutex
	limits  map[Name]Rate
	buckets map[Name]*Bucket
}

// SetLimits replaces the limits; a bucket whose limit changed starts empty.
func (s *Solo) SetLimits(limits map[Name]Rate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	buckets := map[Name]*Bucket{}
	for name, r := range limits {
		buckets[name] = s.buckets[name]
		if buckets[name] == nil || s.limits[name] != r {
			buckets[name] = NewSoleBucket(r, s.Bound, nil)
		}
	}
	s.limits, s.buckets = limits, buckets
}

// Admit is Limiter's.
func (s *Solo) Admit(ctx context.Context, name Name) error {
	s.mu.Lock()
	b := s.buckets[name]
	s.mu.Unlock()
	if b == nil {
		return ErrUnknown.New("no contract %q", name)
	}
	return b.Take(ctx)
}
