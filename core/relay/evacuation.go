package relay

import (
	"time"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
)

// evacuationDivisor divides the evacuation timeout: after it has learnt of an evacuation, a host may
// still send for half of the timeout. The other half is for learning of it.
const evacuationDivisor = 2

// defaultEvacuationTimeout is the evacuation timeout if none is set.
const defaultEvacuationTimeout = 5 * time.Second

// setEvacuated sets the data centres that are being evacuated.
//
// Designed for operators who evacuate a data centre at full load. Reads move at once, since replicas
// elsewhere have what they need. A primary continues until another instance is promoted, and open
// transactions until then too, but neither beyond the timeout: after it, statements that only that
// instance could run are refused.
func (r *Relay) setEvacuated(c *catalog.Catalog) {
	now := r.now()
	if r.evacuated == nil {
		r.evacuated = map[fleet.DataCentre]time.Time{}
	}
	for dc := range r.evacuated {
		if !c.Evacuated.Has(dc) {
			delete(r.evacuated, dc)
			r.logEvent(Event{Kind: EventInstance, DataCentre: dc, Choice: "use again", Reason: "its evacuation was cancelled"})
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
		r.logEvent(Event{Kind: EventInstance, DataCentre: dc, Choice: "no new work", Reason: reason})
	}
}

func (r *Relay) hasInstances(dc fleet.DataCentre) bool {
	for _, g := range r.groups {
		for _, i := range g.instances {
			if i.info.DataCentre == dc && !i.removed {
				return true
			}
		}
	}
	return false
}

// evacuated reports whether the instance's data centre is being evacuated.
func (i *instance) evacuated() bool {
	_, ok := i.g.r.evacuated[i.info.DataCentre]
	return ok
}

// evacuationExpired reports whether the instance may not be sent anything any more.
func (i *instance) evacuationExpired(now time.Time) bool {
	since, ok := i.g.r.evacuated[i.info.DataCentre]
	return ok && now.Sub(since) >= i.g.r.evacuationTimeout()
}

// acceptsNew reports whether evacuations allow new operations on the instance. A primary accepts them
// until the timeout.
func (i *instance) acceptsNew(now time.Time) bool {
	return !i.evacuated() || i.g.isPrimary(i.info.Name) && !i.evacuationExpired(now)
}

// evacuationTimeout returns how long after it has learnt of an evacuation this host may still send
// statements to the data centre.
func (r *Relay) evacuationTimeout() time.Duration {
	d := r.cfg.EvacuationTimeout
	if d <= 0 {
		d = defaultEvacuationTimeout
	}
	return d / evacuationDivisor
}

// tickEvacuations ends the idle transactions on instances that may not be sent anything any more.
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
	s.r.logEvent(Event{
		Kind: EventSession, Database: s.database, Account: s.account, Service: c.Service, Instance: c.Instance,
		DataCentre: c.inst.info.DataCentre, Choice: "end the transaction", Reason: "its data centre is evacuated",
	})
	s.failTransaction()
}
