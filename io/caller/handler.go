package caller

import (
	"time"

	"github.com/panjf2000/gnet/v2"

	"skylarkdeal/core/failure"
)

// tickEvery is how exact the ends of start-ups and lingering sessions are.
const tickEvery = 100 * time.Millisecond

// connectionSlack is how many connections above MaxSessions may be open to be
// told so; more are closed unheard.
const connectionSlack = 256

// handler takes gnet's events.
type handler struct {
	gnet.BuiltinEventEngine
	s *Server
}

// OnBoot notes the engine and the address.
func (h *handler) OnBoot(e gnet.Engine) gnet.Action {
	a, err := listenAddr(e)
	if err != nil {
		h.s.runErr = err
		return gnet.Shutdown
	}
	h.s.engine, h.s.addr = e, a
	close(h.s.booted)
	return gnet.None
}

// OnOpen starts a session.
func (h *handler) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	x, ok := h.s.register(c)
	if !ok {
		return nil, gnet.Close
	}
	c.SetContext(x)
	return nil, gnet.None
}

// OnTraffic lets the session work on what has come in.
func (h *handler) OnTraffic(c gnet.Conn) gnet.Action {
	x, ok := c.Context().(*session)
	if !ok {
		return gnet.Close
	}
	x.process()
	return gnet.None
}

// OnClose ends the session of a connection that is gone.
func (h *handler) OnClose(c gnet.Conn, _ error) gnet.Action {
	if x, ok := c.Context().(*session); ok {
		x.gone()
	}
	return gnet.None
}

// OnTick looks after the sessions of which a deadline may have come.
func (h *handler) OnTick() (time.Duration, gnet.Action) {
	for _, x := range h.s.due(h.s.cfg.Now()) {
		x.post((*session).timeUp)
	}
	return tickEvery, gnet.None
}

func (s *Server) register(c gnet.Conn) (*session, bool) {
	until := s.cfg.Now().Add(s.cfg.StartupTimeout)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.sessions) >= s.cfg.MaxSessions+connectionSlack {
		return nil, false
	}
	x := newSession(s, c)
	x.id = s.freeID()
	s.sessions[x.id] = x
	s.waiting[x] = until
	x.deadlines.startup, x.deadlines.armed = until, until
	return x, true
}

// freeID returns a number that no open session has; s.mu is held.
func (s *Server) freeID() uint32 {
	for {
		s.nextID++
		if _, used := s.sessions[s.nextID]; !used && s.nextID != 0 {
			return s.nextID
		}
	}
}

func (s *Server) unregister(x *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, x.id)
	delete(s.waiting, x)
}

// waitUntil has the session's deadlines looked at when t comes; the zero time takes that back.
func (s *Server) waitUntil(x *session, t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.IsZero() {
		delete(s.waiting, x)
		return
	}
	s.waiting[x] = t
}

func (s *Server) due(now time.Time) []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*session
	for x, t := range s.waiting {
		if !now.Before(t) {
			out = append(out, x)
		}
	}
	return out
}

// full reports whether the host has more sessions than it may keep; the one
// that asks is counted.
func (s *Server) full() bool {
	return s.sessionCount() > s.cfg.MaxSessions
}

var (
	errTooMany = &failure.Refusal{
		Code: failure.CodeTooManySessions, Message: "too many sessions on this host",
		Step: "startup", RetryAfter: time.Second,
	}
	errDraining = &failure.Refusal{
		Code: failure.CodeNotReady, Message: "this host is shutting down; connect again", Step: "startup",
	}
)
