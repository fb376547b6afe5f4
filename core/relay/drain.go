package relay

import (
	"time"

	"skylarkdeal/core/statement"
)

// drainState is how far the shutdown of the host has come.
type drainState struct {
	started bool
	// closingSessions is set once no session may go on.
	closingSessions bool
	startedAt       time.Time
	grace           time.Duration
}

// balancerReactionTime is how long a host that isn't ready any more keeps the sessions that it
// has: the balancer asks once a second, and sends new ones elsewhere after two answers.
const balancerReactionTime = 2200 * time.Millisecond

// Drain begins the shutdown: the host is no longer ready, and after a notice it closes
// the sessions that rest. An open transaction gets half of the grace.
func (r *Relay) Drain(grace time.Duration) {
	if r.drain.started {
		return
	}
	r.drain = drainState{started: true, startedAt: r.now(), grace: grace}
}

// Draining reports whether the host shuts down.
func (r *Relay) Draining() bool { return r.drain.started }

// Drained reports whether no session is left.
func (r *Relay) Drained() bool {
	return r.drain.closingSessions && len(r.sessions) == 0 && len(r.forwarding.inboundSessions) == 0
}

func (r *Relay) tickDrain(now time.Time) {
	if !r.drain.started {
		return
	}
	age := now.Sub(r.drain.startedAt)
	if age < min(balancerReactionTime, r.drain.grace/2) {
		return
	}
	r.drain.closingSessions = true
	for s := range r.sessions {
		r.drainSession(s, age)
	}
}

func (r *Relay) drainSession(s *Session, age time.Duration) {
	if s.op != nil {
		s.pendingRejection = &rejection{statement.CodeBusy, "the host shuts down"}
		return
	}
	switch {
	case !s.tx.open:
		s.close()
	case age >= r.drain.grace/2:
		s.tx.failed = true
		s.reject(statement.CodeAborted, "the host shuts down; the transaction was rolled back")
	}
}
