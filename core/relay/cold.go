package relay

import (
	"time"

	"skylarkdeal/core/cold"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/statement"
	"skylarkdeal/core/times"
)

// announceDelay is how long after an instance is back it may take until the store has its announcement,
// which tells whether it is cold.
const announceDelay = 1500 * time.Millisecond

// isCold reports whether the statements sent to the instance are limited, since it has just started. An
// instance that was lost and is back counts as cold until a reading of the list tells.
func (i *instance) isCold(now time.Time) bool {
	if i.g.service.ColdRate <= 0 {
		return false
	}
	known := times.Later(i.g.r.listReadAt, i.g.r.instancesConfirmedAt)
	return now.Before(i.coldUntil) || !i.reconnectedAt.IsZero() && known.Before(i.reconnectedAt.Add(announceDelay))
}

// canStart reports whether a new operation may be sent to the instance over this host's own
// connections.
func (i *instance) canStart(now time.Time) bool {
	if !i.isCold(now) {
		return true
	}
	_, begin := i.coldBudget.Left(now, i.coldLimit())
	return begin > 0 && i.g.r.maySendCold(i.info.DataCentre)
}

// canContinue reports whether the next statement of a transaction on the instance may be sent.
func (i *instance) canContinue(now time.Time) bool {
	if !i.isCold(now) {
		return true
	}
	all, _ := i.coldBudget.Left(now, i.coldLimit())
	return all > 0
}

// coldLimit returns how many statements a second this host may send to the instance while it is cold.
func (i *instance) coldLimit() int { return i.g.r.cfg.Cold.MaxStatements(i.g.service.ColdRate) }

// countSent counts the callers' statements sent to the instance while it is cold. The proxy's own take
// no work.
func (i *instance) countSent(now time.Time, qs []statement.Statement) {
	if !i.isCold(now) {
		return
	}
	n := 0
	for _, q := range qs {
		if q.ID != "" {
			n++
		}
	}
	i.coldBudget.Spend(now, n)
}

// maySendCold reports whether this host hears enough hosts to be the one that sends to the cold
// instances of a data centre.
func (r *Relay) maySendCold(dc fleet.DataCentre) bool {
	known, heard := r.dataCentreSizes[dc], 0
	wholeFleet := known == 0
	if wholeFleet {
		for _, n := range r.dataCentreSizes {
			known += n
		}
	}
	if wholeFleet || r.cfg.DataCentre == dc {
		heard++
	}
	for _, p := range r.forwarding.peers {
		if wholeFleet || p.DataCentre == dc {
			heard++
		}
	}
	return known > 0 && cold.MaySend(heard, known)
}

// InstancesConfirmed records that the list of instances in use matched the store at the given time.
func (r *Relay) InstancesConfirmed(at time.Time) {
	r.instancesConfirmedAt = times.Later(r.instancesConfirmedAt, at)
	r.MembersConfirmed(at)
}

// SetDataCentreSizes sets how many hosts each data centre has, heard or not, this one included.
func (r *Relay) SetDataCentreSizes(sizes map[fleet.DataCentre]int) { r.dataCentreSizes = sizes }
