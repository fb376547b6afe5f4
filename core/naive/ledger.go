// Package naive does in the plainest way what the system does: one host, one
// lock, one database instance. Tests compare the two.
package naive

import (
	"slices"
	"sync"
)

// Ledger is a database group with one instance: every write is acknowledged
// once it is there, and every read sees all of them. The zero Ledger is empty.
type Ledger struct {
	mu     sync.Mutex
	values []string
}

// Write adds a value.
func (l *Ledger) Write(v string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.values = append(l.values, v)
}

// Read returns all values in the order of their writes.
func (l *Ledger) Read() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.values)
}
