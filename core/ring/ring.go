// Package ring holds the bounded rings that join the goroutines of a process,
// and the ring of recent values that a state dump shows.
package ring

import (
	"context"
	"sync"
)

// Ring is a bounded first-in first-out queue between goroutines. A full ring
// refuses instead of growing, so that an overload is seen by its sender at once
// and can't use up the memory of the process.
type Ring[T any] struct {
	c chan T
}

// New returns a Ring that holds up to n values.
func New[T any](n int) Ring[T] {
	return Ring[T]{c: make(chan T, n)}
}

// TryPut adds v and reports whether there was room.
func (r Ring[T]) TryPut(v T) bool {
	select {
	case r.c <- v:
		return true
	default:
		return false
	}
}

// Put adds v, waiting for room until ctx ends.
func (r Ring[T]) Put(ctx context.Context, v T) error {
	select {
	case r.c <- v:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TryTake returns the value that waits longest, if one does.
func (r Ring[T]) TryTake() (v T, ok bool) {
	select {
	case v = <-r.c:
		return v, true
	default:
		return v, false
	}
}

// Each calls f with each value, one after the other, until ctx ends.
func (r Ring[T]) Each(ctx context.Context, f func(v T)) {
	for ctx.Err() == nil {
		select {
		case v := <-r.c:
			f(v)
		case <-ctx.Done():
		}
	}
}

// Out returns the channel from which the one duty that owns the ring receives.
func (r Ring[T]) Out() <-chan T {
	return r.c
}

// Len returns how many values wait.
func (r Ring[T]) Len() int {
	return len(r.c)
}

// Recent keeps the last values put into it. It is safe for concurrent use; the
// zero Recent keeps DefaultRecent values.
type Recent[T any] struct {
	// Keep is how many values are kept; it is read at the first Add.
	Keep int

	mu     sync.Mutex
	values []T
	oldest int
}

// DefaultRecent is how many values a zero Recent keeps.
const DefaultRecent = 256

// Add puts v in, in place of the oldest value when r is full.
func (r *Recent[T]) Add(v T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Keep == 0 {
		r.Keep = DefaultRecent
	}
	if len(r.values) < r.Keep {
		r.values = append(r.values, v)
		return
	}
	r.values[r.oldest] = v
	r.oldest = (r.oldest + 1) % r.Keep
}

// All returns the kept values, the oldest first.
func (r *Recent[T]) All() []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]T, 0, len(r.values))
	out = append(out, r.values[r.oldest:]...)
	return append(out, r.values[:r.oldest]...)
}
