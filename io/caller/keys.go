package caller

import (
	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
)

var errRevoked = &failure.Refusal{
	Code: failure.CodeKeyRevoked, Message: "the key of this session is no longer valid", Step: "check key",
}

// enter counts x among its account's sessions and reports whether the account
// may have it; zero most is no bound.
func (s *Server) enter(x *session, most int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	if most > 0 {
		for _, o := range s.sessions {
			if o.entered && o.service == x.service && o.account == x.account {
				n++
			}
		}
	}
	x.entered = true
	return most <= 0 || n < most
}

// DocumentChanged ends the sessions of a service whose key is not in the
// document that is now in effect: at once when no answer is owed, also in a
// transaction, which is rolled back; else after that answer.
func (s *Server) DocumentChanged(service fleet.Service) {
	s.mu.Lock()
	var of []*session
	for _, x := range s.sessions {
		if x.entered && x.service == service {
			of = append(of, x)
		}
	}
	s.mu.Unlock()
	for _, x := range of {
		x.post(func(x *session) { x.checkKey() })
	}
}

// checkKey ends the session when its key is no longer in effect, and reports
// whether it is. It runs at each change of the document and again before each
// exchange, so that a change which has no notice reach the session still stops
// its next statement.
func (x *session) checkKey() bool {
	d, ok := x.srv.cfg.Documents(x.service)
	if ok && d.Version == x.version {
		return true
	}
	if ok && keyInEffect(d, x.account, x.verifier) {
		x.version = d.Version
		return true
	}
	if x.ending == nil || x.ending.refusal != errRevoked {
		x.journal("end session", "key not in document version "+versionOf(d, ok))
	}
	x.endWhenAllowed(&ending{refusal: errRevoked})
	return false
}
