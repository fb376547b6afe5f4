package relay

import (
	"time"

	"skylarkdeal/core/statement"
)

// drainState is the progress of the host's shutdown.
type drainState struct {
	started bool
	// closingSessions is set once sessions are closed and no new one is accepted.
	closingSessions bool
	startedAt       time.Time
	grace           time.Duration
}

// balancerReactionTime is how long a host that is no longer ready keeps its sessions: the balancer
// checks once a second, and sends new sessions elsewhere after two negative answers.
const balancerReactionTime = 2200 * time.Millisecond

// Drain begins the shutdown. The host is no longer ready, and closes idle sessions after the balancer's
// reaction time. An open transaction may go on for half of grace.
func (r *Relay) Drain(grace time.Duration) {
	if r.drain.started {
		return
	}
	r.drain = drainState{started: true, startedAt: r.now(), grace: grace}
}

// Draining reports whether the host is shutting down.
func (r *Relay) Draining() bool { return r.drain.started }

// Drained reports whether the shutdown has closed all sessions.
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
		r.drainSession(now, s)
	}
}

// pastHalf reports whether half of the grace has passed.
func (d *drainState) pastHalf(now time.Time) bool { return now.Sub(d.startedAt) >= d.grace/2 }

// shutdownDetail tells callers why their session ends.
const shutdownDetail = "the host shuts down"

func (r *Relay) drainSession(now time.Time, s *Session) {
	switch {
	case !s.settled():
		if s.pendingRejection == nil {
			s.endWhenSettled(rejection{code: statement.CodeBusy, detail: shutdownDetail, shutdown: true})
		}
	case !s.tx.open:
		s.closeConn()
	case r.drain.pastHalf(now):
		s.tx.failed = true
		s.reject(statement.CodeAborted, shutdownDetail+"; the transaction was rolled back")
	}
}

// EndDrain ends what the shutdown's grace was too short for: statements are answered with what is known of them, and
// callers that haven't read their answers are cut off.
func (r *Relay) EndDrain() {
	// What waits is refused before anything that runs makes room for it.
	for _, s := range r.unfinishedSessions() {
		s.refuseUnsent(shutdownDetail)
	}
	for _, s := range r.unfinishedSessions() {
		if s.op != nil {
			s.op.stop(shutdownDetail)
		}
	}
	for s := range r.sessions {
		if s.settled() {
			s.closeConn()
			continue
		}
		s.cut(shutdownDetail)
	}
}

// unfinishedSessions returns the sessions with a statement in progress, those of other hosts included.
func (r *Relay) unfinishedSessions() []*Session {
	var out []*Session
	for s := range r.sessions {
		if s.Busy() {
			out = append(out, s)
		}
	}
	for _, s := range r.forwarding.inboundSessions {
		if s.Busy() {
			out = append(out, s)
		}
	}
	return out
}

// refuseUnsent refuses the statement in progress if it waits for its admission or its turn.
func (s *Session) refuseUnsent(reason string) {
	switch {
	case !s.Busy():
		// An earlier one's end has answered it.
	case s.op == nil:
		s.refuse(statement.CodeBusy, reason, s.r.shortRetry())
	case s.op.isWaiting():
		s.op.stop(reason)
	}
}
