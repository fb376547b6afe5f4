package reference

import (
	"slices"
	"sync"
)

// Database is a database group with one instance: every write is acknowledged
// once it is stored, and every read returns all writes. The zero Database is
// empty.
type Database struct {
	mu     sync.Mutex
	values []string
}

// Write adds a value.
func (d *Database) Write(v string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.values = append(d.values, v)
}

// Read returns all values in the order of their writes.
func (d *Database) Read() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.values)
}
