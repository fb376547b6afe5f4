// Package registry keeps a host registered in the platform's store, and hears from it
// what the fleet has to agree on: the catalog, the instances, the hosts, and the
// records of changes of primary. It also gives the orders for such changes.
package registry

import (
	"context"
	"errors"
	"strconv"
	"time"
)

// Revision counts the changes of the store.
type Revision uint64

// LeaseID names a lease of the store.
type LeaseID uint64

// String returns the lease as the store names it.
func (l LeaseID) String() string { return strconv.FormatUint(uint64(l), 10) }

// Entry is one key with its value, or the news that it was deleted.
type Entry struct {
	Key   string
	Value []byte
	// Revision is that of the last change, Created that of the creation.
	Revision, Created Revision
	// Lease is the one that ends the key, zero for none.
	Lease   LeaseID
	Deleted bool
}

// Condition holds while a key has a revision; zero means that there is no such key.
type Condition struct {
	Key      string
	Revision Revision
}

// Put is one key to be written.
type Put struct {
	Key   string
	Value []byte
}

// Txn is a change that is made as a whole, if all conditions hold.
type Txn struct {
	If  []Condition
	Put []Put
	// Lease ends all keys that are put; zero keeps them.
	Lease LeaseID
}

// The errors of a store that its users tell apart. Any other leaves open whether the
// call was carried out.
var (
	// ErrNotFound tells that there is no such key or lease.
	ErrNotFound = errors.New("not found")
	// ErrConflict tells that a condition didn't hold.
	ErrConflict = errors.New("a condition doesn't hold")
	// ErrCompacted tells that the store has dropped the changes that were asked for.
	ErrCompacted = errors.New("the history is gone")
	// ErrNotDone tells that the store refused the call without doing anything.
	ErrNotDone = errors.New("the store refused the call")
)

// Store is the platform's store.
type Store struct {
	// List returns the entries under a prefix and the revision after which to watch.
	List func(ctx context.Context, prefix string) ([]Entry, Revision, error)
	// Watch returns the changes under a prefix after a revision, and the revision to go
	// on from. It returns without any once wait has passed.
	Watch  func(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Entry, Revision, error)
	Commit func(ctx context.Context, t Txn) (Revision, error)
	Grant  func(ctx context.Context, ttl time.Duration) (LeaseID, error)
	Renew  func(ctx context.Context, l LeaseID) error
	Revoke func(ctx context.Context, l LeaseID) error
}
