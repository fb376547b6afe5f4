// Package registry keeps a host registered in the platform's store and reads there what all hosts
// have to agree on: the catalog, the instances, the hosts, and the records of promotion requests.
// On the failover coordinator it also carries out promotion requests.
package registry

import (
	"context"
	"errors"
	"strconv"
	"time"

	"skylarkdeal/core/follow"
)

// Revision is a version of the whole store. It grows with every change.
type Revision = follow.Revision

// LeaseID identifies a lease of the store.
type LeaseID uint64

// String returns the lease's ID in decimal, as the store writes it.
func (l LeaseID) String() string { return strconv.FormatUint(uint64(l), 10) }

// Entry is a key with its value, or the deletion of a key.
type Entry struct {
	Key   string
	Value []byte
	// Revision is the revision of the key's last change, Created that of its creation.
	Revision, Created Revision
	// Lease is the lease to which the key is attached, zero for none.
	Lease   LeaseID
	Deleted bool
	// Content identifies what the entry tells, for entries that are written again without a change, zero if
	// each write is a change.
	Content uint64
}

// Condition holds if a key was last changed at Revision; zero means that the key doesn't exist.
type Condition struct {
	Key      string
	Revision Revision
}

// Put writes a value to a key.
type Put struct {
	Key   string
	Value []byte
}

// Txn is a set of writes that are applied atomically if all conditions hold.
type Txn struct {
	If  []Condition
	Put []Put
	// Lease is the lease to which all written keys are attached; zero makes them permanent.
	Lease LeaseID
}

// The errors of a Store that its callers distinguish. After any other error it isn't known whether
// the call was carried out.
var (
	// ErrNotFound is returned if the key or lease doesn't exist.
	ErrNotFound = errors.New("not found")
	// ErrConflict is returned if a condition of a Txn doesn't hold.
	ErrConflict = errors.New("a condition doesn't hold")
	// ErrCompacted is returned if the store has discarded the requested changes.
	ErrCompacted = errors.New("the requested history was discarded")
	// ErrNotDone is returned if the store refused the call and changed nothing.
	ErrNotDone = errors.New("the store refused the call")
)

// Store is the client of the platform's store that a Registry uses.
type Store struct {
	// List returns the entries under a prefix, and the revision after which to watch them.
	List func(ctx context.Context, prefix string) ([]Entry, Revision, error)
	// Watch returns the changes under a prefix after a revision, and the revision from which to
	// watch next. If there are none, it returns after wait.
	Watch  func(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Entry, Revision, error)
	Commit func(ctx context.Context, t Txn) (Revision, error)
	Grant  func(ctx context.Context, ttl time.Duration) (LeaseID, error)
	Renew  func(ctx context.Context, l LeaseID) error
	Revoke func(ctx context.Context, l LeaseID) error
}
