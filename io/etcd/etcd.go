// Package etcd speaks to the platform's store, a small key-value service
// with compare-and-swap, leases and watches, by the etcd v3 gRPC API. It is the
// one place that knows that API.
package etcd

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Revision counts the changes of the store. Zero stands for none.
type Revision int64

// LeaseID names a lease. Zero stands for none.
type LeaseID int64

// Entry is one key and what it holds.
type Entry struct {
	Key   string
	Value []byte
	// Revision is that of the key's last change, zero when the key isn't there.
	Revision Revision
	Lease    LeaseID
}

// Pair is a key and a value to be written.
type Pair struct {
	Key   string
	Value []byte
}

// Swap writes a key if nobody else has written it in between.
type Swap struct {
	Key   string
	Value []byte
	// Expect is the revision that the writer has seen, zero when the key must
	// not be there.
	Expect Revision
	// Lease ends the key with a lease.
	Lease LeaseID
	// Also are written with it, or not at all.
	Also []Pair
}

// Batch is what a watch has seen.
type Batch struct {
	// At is the store's revision up to which the batch tells everything.
	At Revision
	// Changes are in the order of their revisions.
	Changes []Change
}

// Change is one write or deletion.
type Change struct {
	Entry
	Deleted bool
}

// Store is the way to the platform's store. Its fields may be replaced where
// another service takes its place. All are safe for concurrent use and bounded
// in time, but for Watch.
type Store struct {
	// Get returns the entry at key; its Revision is zero when there is none.
	Get func(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys start with prefix, and the revision at
	// which they were read.
	List func(ctx context.Context, prefix string) ([]Entry, Revision, error)
	// Newest returns the highest revision of the entries whose keys start with
	// prefix, and the store's own. It is a cheap call, whatever their number.
	Newest func(ctx context.Context, prefix string) (entry, store Revision, err error)
	// Swap returns the revision of the write. It fails with *Conflict when
	// somebody else has written, and with *Unknown when the write may have
	// taken effect.
	Swap func(ctx context.Context, s Swap) (Revision, error)
	// Put writes key whatever it holds. A retry is idempotent.
	Put func(ctx context.Context, key string, value []byte, lease LeaseID) error
	// Delete removes key.
	Delete func(ctx context.Context, key string) error
	// Watch hands the changes after a revision to see, in order, until ctx ends
	// or the watch breaks. It fails with ErrCompacted when the store has
	// forgotten changes in between.
	Watch func(ctx context.Context, prefix string, after Revision, see func(Batch)) error
	// Grant makes a lease that lapses ttl after its last KeepAlive.
	Grant func(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease and returns its time to live, counted from when
	// the call was made. It fails with ErrNoLease when the lease has lapsed.
	KeepAlive func(ctx context.Context, id LeaseID) (time.Duration, error)
	// Revoke ends a lease and the keys that hang on it.
	Revoke func(ctx context.Context, id LeaseID) error
	// State tells how the store has answered.
	State func() State
	// Close ends the connections.
	Close func()
}

// State is how the store has answered of late.
type State struct {
	Endpoint string `json:"endpoint"`
	// Down is set while calls are held back after failures.
	Down bool `json:"down"`
	// Since is when Down last changed.
	Since time.Time `json:"since"`
	Error string    `json:"error,omitempty"`
	// Calls counts the calls of each kind.
	Calls map[Kind]int `json:"calls"`
}

// The errors of the store.
var (
	// ErrNoLease says that the lease has lapsed or never was.
	ErrNoLease = errors.New("no such lease")
	// ErrCompacted says that the store has forgotten what was asked for.
	ErrCompacted = errors.New("changes have been compacted")
	// ErrHeldBack says that the call was not made, to spare a store in trouble.
	ErrHeldBack = errors.New("call held back")
)

// Conflict says that a Swap has lost against another writer, and wrote nothing.
type Conflict struct {
	// Current is what stands there now.
	Current Entry
}

// Error names the key and the revision that won.
func (c *Conflict) Error() string {
	return fmt.Sprintf("%s was changed in between, at revision %d", c.Current.Key, c.Current.Revision)
}

// Unknown says that a write may or may not have taken effect: its answer was
// lost. Read back before writing again.
type Unknown struct {
	Err error
}

// Error returns the cause.
func (u *Unknown) Error() string {
	return "outcome unknown: " + u.Err.Error()
}

// Unwrap returns the cause.
func (u *Unknown) Unwrap() error {
	return u.Err
}
