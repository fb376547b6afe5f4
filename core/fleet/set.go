package fleet

import (
	"cmp"
	"maps"
	"slices"
)

// Set is a set of ordered values. The zero Set is empty and can't be added to; use
// NewSet instead.
type Set[T cmp.Ordered] map[T]struct{}

// NewSet returns a Set that contains v and can be added to.
func NewSet[T cmp.Ordered](v ...T) Set[T] {
	s := make(Set[T], len(v))
	for _, e := range v {
		s.Add(e)
	}
	return s
}

// Add adds v to s.
func (s Set[T]) Add(v T) {
	s[v] = struct{}{}
}

// Has reports whether v is in s.
func (s Set[T]) Has(v T) bool {
	_, ok := s[v]
	return ok
}

// Sorted returns the values of s in ascending order.
func (s Set[T]) Sorted() []T {
	return slices.Sorted(maps.Keys(s))
}

// Option is a value that may be absent. The zero Option is absent.
type Option[T any] struct {
	value T
	set   bool
}

// Some returns an Option that holds v.
func Some[T any](v T) Option[T] {
	return Option[T]{value: v, set: true}
}

// Get returns the value, and false if there is none.
func (o Option[T]) Get() (T, bool) {
	return o.value, o.set
}

// IsSet reports whether there is a value.
func (o Option[T]) IsSet() bool {
	return o.set
}
