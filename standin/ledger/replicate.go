package ledger

import (
	"time"

	"skylarkdeal/core/fleet"
)

// replicate copies the followed primary's entries, each one lag after it was
// committed, until the group closes.
func (i *instance) replicate() {
	g := i.group
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		g.mu.Lock()
		wait := i.copyLocked()
		changed := g.changed
		g.mu.Unlock()
		var due <-chan time.Time
		if wait > 0 {
			t.Reset(wait)
			due = t.C
		}
		select {
		case <-g.done:
			return
		case <-changed:
		case <-due:
		}
	}
}

// copyLocked takes all entries that are due and returns the time until the next
// one is, or zero when there is none.
//
// Entries come only from a primary of a term not below the promised one. A
// replaced primary that comes back would otherwise add entries to a replica
// which has already promised, and been counted in, a later term.
func (i *instance) copyLocked() time.Duration {
	p, ok := i.group.instances[i.follows]
	if !ok || i.role == fleet.RolePrimary || p.role != fleet.RolePrimary || p.term < i.promised {
		return 0
	}
	if i.faults.stopped() || p.faults.stopped() || i.faults.cutFrom(string(p.cfg.Name)) ||
		p.faults.cutFrom(string(i.cfg.Name)) {
		return 0
	}
	if p.term > i.promised {
		i.promised, i.proposer = p.term, ""
	}
	n := i.history.common(&p.history)
	i.history.truncate(n)
	now := i.group.now()
	for _, e := range p.history.entries[n:] {
		if d := e.At.Add(i.faults.lag).Sub(now); d > 0 {
			return d
		}
		i.history.append(e)
	}
	return 0
}
