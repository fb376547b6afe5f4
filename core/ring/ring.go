// Package ring holds the bounded queues between the goroutines of a process,
// and the buffer of recent values that a state dump shows.
package ring

import (
	"context"
	"sync"
)

// Ring is a bounded first-in first-out queue between goroutines. A full ring
// rejects values instead of growing, so that its sender notices an overload at
// once and the memory of the process isn't used up.
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

// TryTake returns the value that has waited longest, if any.
func (r Ring[T]) TryTake() (v T, ok bool) {
	select {
	case v = <-r.c:
		return v, true
	default:
		return v, false
	}
}

// Each receives the values in order and calls f with each, until ctx ends.
func (r Ring[T]) Each(ctx context.Context, f func(v T)) {
	for ctx.Err() == nil {
		select {
		case v := <-r.c:
			f(v)
		case <-ctx.Done():
		}
	}
}

// Out returns the channel from which the ring's one receiving goroutine takes
// the values.
func (r Ring[T]) Out() <-chan T {
	return r.c
}

// Len returns the number of values that wait.
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
	// oldest is the index of the oldest value once Keep values are kept; 0
	// before.
	oldest int
}

// DefaultRecent is how many values a zero Recent keeps.
const DefaultRecent = 256

// Add adds v, replacing the oldest value when r is full.
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
