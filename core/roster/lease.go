package roster

import "time"

// Lease is a host's own view of its lease in the store. The zero Lease doesn't
// stand.
type Lease struct {
	// Name is the registration that the lease is for.
	Name  uint64
	until time.Time
}

// LeaseFor is the lease's time to live in the store, and RenewEvery how often it
// is renewed: two renewals may be lost before it ends. A shorter one finds a
// lost home sooner; a longer one costs the store fewer calls.
const (
	LeaseFor   = 6 * time.Second
	RenewEvery = 2 * time.Second
	// leaseMargin is what the host's clock may be slow by over LeaseFor.
	leaseMargin = LeaseFor / 10
)

// Renewed notes that the store has confirmed a renewal that was sent at sent.
// The store counts from when it got the renewal, which was later, so by the
// host's count the lease ends first.
func (l *Lease) Renewed(sent time.Time) {
	if until := sent.Add(LeaseFor - leaseMargin); until.After(l.until) {
		l.until = until
	}
}

// Valid reports whether the lease stands at now, by a clock that has counted
// any pause of the host.
func (l *Lease) Valid(now time.Time) bool {
	return now.Before(l.until)
}

// Until returns the end of the lease.
func (l *Lease) Until() time.Time {
	return l.until
}

// Reregister notes that a new registration is needed; its name must not have been
// used before. It must not be called while the lease stands: a successor that
// sees the new registration takes the old one's duties at once.
func (l *Lease) Reregister(name uint64) {
	*l = Lease{Name: name}
}
