package relay

import (
	"time"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/statement"
)

// patiencePart is the part of a route's target for which an operation waits for its admission: one that waits longer
// is likely to miss the target.
const patiencePart = 4

func patience(r catalog.Route) time.Duration { return r.Target / patiencePart }

// admit calls start once an operation is admitted by the route, the key and the rate that are in effect. If one of
// them forbids it, admit answers the statement. Until then the session is busy.
func (s *Session) admit(id statement.ID, start func()) {
	if s.boundInstance != "" {
		start()
		return
	}
	if !s.permitted(id) {
		return
	}
	a, ok := s.r.catalog.Accounts[s.account]
	if !ok || s.r.cfg.Admit == nil {
		start()
		return
	}
	late := false
	s.r.cfg.Admit(a, s.route.Priority, patience(s.route), func(retryAfter time.Duration, admitted bool) {
		if admitted && !s.mayStart(id, late) {
			s.refund(a.Name)
			return
		}
		if !admitted {
			s.refuseOverRate(id, retryAfter)
			return
		}
		start()
	})
	late = true
}

// mayStart reports whether an operation that was admitted may be run. If the decision was late, the caller may have
// gone and the catalog changed; the statement is then answered. A shutdown that has begun meanwhile changes nothing:
// the statement was read, and its token is there.
func (s *Session) mayStart(id statement.ID, late bool) bool {
	switch {
	case !late:
		return true
	case s.disconnected:
		return false
	case s.mustEnd():
		s.reject(s.pendingRejection.code, s.pendingRejection.detail)
		return false
	default:
		return s.permitted(id)
	}
}

func (s *Session) refund(n fleet.Account) {
	if s.r.cfg.Refund != nil {
		s.r.cfg.Refund(n)
	}
}

// permitted reports whether the catalog allows an operation now, and answers the statement otherwise.
func (s *Session) permitted(id statement.ID) bool {
	if s.r.outdated() != "" {
		s.lastRefused = true
		s.refuseLogged(id, statement.CodeBusy, outdatedDetail, s.r.retryAfterFailure(outdatedRetryAfter))
		return false
	}
	if code, reason := s.authorise(); code != statement.CodeNone {
		s.reject(code, reason)
		return false
	}
	return true
}

func (s *Session) refuseOverRate(id statement.ID, retryAfter time.Duration) {
	if s.disconnected {
		return
	}
	s.refuseLogged(id, statement.CodeBusy, "the account is over its rate", retryAfter)
	s.EndIfSettled()
}
