// Package reference does in the plainest way what the system does: one host, one
// lock, one database instance. Tests compare the two.
package reference

import (
	"slices"
	"sync"
)

// Database is a database group with one instance: every write is acknowledged
// once it is there, and every read sees all of them. The zero Database is empty.
type Database struct {
	mu     sync.Mutex
	values []string
}

// Write adds a value.
func (l *Database) Write(v string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.values = append(l.values, v)
}

// Read returns all values in the order of their writes.
func (l *Database) Read() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.values)
}
