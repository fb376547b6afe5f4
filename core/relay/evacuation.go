package relay

import (
	"time"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
)

// evacuationDivisor is the part of the time for an evacuation that this host takes from when it learns of
// it: a half. The other half is for learning of it.
const evacuationDivisor = 2

// defaultEvacuationTimeout is the time for an evacuation where no other is set.
const defaultEvacuationTimeout = 5 * time.Second

// setEvacuated takes in which data centres are to be left alone.
//
// The load it is made for: operators who empty a data centre at full load. Reads move at once, as
// replicas elsewhere have what they need. A primary goes on until another is promoted, and open
// transactions get as long, but neither longer than the limit: then what only that instance could
// run is refused.
func (r *Relay) setEvacuated(c *catalog.Catalog) {
	now := r.now()
	if r.evacuated == nil {
		r.evacuated = map[fleet.DataCentre]time.Time{}
	}
	for dc := range r.evacuated {
		if !c.Evacuated.Has(dc) {
			delete(r.evacuated, dc)
			r.note(Event{Kind: EventInstance, DataCentre: dc, Choice: "use again", Reason: "its evacuation was taken back"})
		}
	}
	for _, dc := range c.Evacuated.Sorted() {
		if _, ok := r.evacuated[dc]; ok {
			continue
		}
		r.evacuated[dc] = now
		reason := "operators evacuate the data centre"
		if !r.hasInstances(dc) {
			reason += "; no instance is known there"
		}
		r.note(Event{Kind: EventInstance, DataCentre: dc, Choice: "no new work", Reason: reason})
	}
}

func (r *Relay) hasInstances(dc fleet.DataCentre) bool {
	for _, g := range r.groups {
		for _, i := range g.instances {
			if i.info.DataCentre == dc && !i.gone {
				return true
			}
		}
	}
	return false
}

// evacuated reports whether the instance's data centre is to be left alone.
func (i *instance) evacuated() bool {
	_, ok := i.g.r.evacuated[i.info.DataCentre]
	return ok
}

// evacuationExpired reports whether the instance is to be sent nothing at all any more.
func (i *instance) evacuationExpired(now time.Time) bool {
	since, ok := i.g.r.evacuated[i.info.DataCentre]
	return ok && now.Sub(since) >= i.g.r.evacuationTimeout()
}

// acceptsNew reports whether new operations may be sent to the instance, as far as evacuations go: a
// primary goes on for a while.
func (i *instance) acceptsNew(now time.Time) bool {
	return !i.evacuated() || i.g.leads(i.info.Name) && !i.evacuationExpired(now)
}

// evacuationTimeout is how long after it has learnt of an evacuation this host may still send.
func (r *Relay) evacuationTimeout() time.Duration {
	d := r.cfg.EvacuationTimeout
	if d <= 0 {
		d = defaultEvacuationTimeout
	}
	return d / evacuationDivisor
}

// tickEvacuations ends the transactions that rest on instances which are to be sent nothing any
// more.
func (r *Relay) tickEvacuations(now time.Time) {
	if len(r.evacuated) == 0 {
		return
	}
	for s := range r.sessions {
		s.endEvacuatedTransaction(now)
	}
	for _, s := range r.forwarding.inboundSessions {
		s.endEvacuatedTransaction(now)
	}
}

func (s *Session) endEvacuatedTransaction(now time.Time) {
	c := s.tx.conn
	if c == nil || s.op != nil || !c.inst.evacuationExpired(now) {
		return
	}
	s.r.note(Event{
		Kind: EventSession, Database: s.database, Account: s.account, Service: c.Service, Instance: c.Instance,
		DataCentre: c.inst.info.DataCentre, Choice: "end the transaction", Reason: "its data centre is evacuated",
	})
	s.failTransaction()
}
