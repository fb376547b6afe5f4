package roster

import "time"

// Lease is a host's own view of its lease in the store. The zero Lease isn't valid.
type Lease struct {
	// Name is the registration that the lease belongs to.
	Name  uint64
	until time.Time
}

// LeaseTTL is the lease's time to live in the store, and RenewInterval the interval between renewals:
// two renewals may be lost before the lease ends. A shorter lease shows the loss of a shard's owner
// sooner, a longer one costs the store fewer calls.
const (
	LeaseTTL      = 6 * time.Second
	RenewInterval = 2 * time.Second
	// leaseMargin is how much the host's clock may lose over LeaseTTL.
	leaseMargin = LeaseTTL / 10
)

// Renewed notes that the store has confirmed a renewal that was sent at sent. The store counts from
// the receipt of the renewal, which was later, so that the lease ends on this host first.
func (l *Lease) Renewed(sent time.Time) {
	if until := sent.Add(LeaseTTL - leaseMargin); until.After(l.until) {
		l.until = until
	}
}

// Valid reports whether the lease is valid at now. The caller's clock must include the time during
// which the host was suspended.
func (l *Lease) Valid(now time.Time) bool {
	return now.Before(l.until)
}

// Until returns the end of the lease.
func (l *Lease) Until() time.Time {
	return l.until
}

// Reregister replaces the lease by that of a new registration, which is not yet valid. Its name
// must not have been used before. Reregister must not be called while the lease is valid: a
// successor that sees the new registration takes over the old one's duties at once.
func (l *Lease) Reregister(name uint64) {
	*l = Lease{Name: name}
}
