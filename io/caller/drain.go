package caller

import (
	"context"
	"strconv"
	"time"

	"skylarkdeal/core/document"
	"skylarkdeal/core/failure"
)

var errReconnect = &failure.Refusal{
	Code: failure.CodeShuttingDown, Step: "drain",
	Message: "this host is shutting down; nothing more was run; connect again",
}

var errCutOff = &failure.Refusal{
	Code: failure.CodeShuttingDown, Step: "drain",
	Message: "this host is shutting down and its time for open transactions is over; the transaction is rolled back",
}

// drainPoll is how often Drain looks whether the sessions have ended.
const drainPoll = 20 * time.Millisecond

// Drain takes no new sessions, asks the open ones to connect again as soon as
// they have no transaction open, and returns when all have ended. What is still
// in progress when ctx ends is cut off, and ctx's error returned.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	s.endAll(&ending{refusal: errReconnect, afterTx: true})
	t := time.NewTicker(drainPoll)
	defer t.Stop()
	for s.sessionCount() > 0 {
		select {
		case <-ctx.Done():
			s.endAll(&ending{refusal: errCutOff})
			return ctx.Err()
		case <-t.C:
		}
	}
	return nil
}

func (s *Server) endAll(e *ending) {
	for _, x := range s.all() {
		x.post(func(x *session) { x.endWhenAllowed(e) })
	}
}

func (s *Server) all() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*session, 0, len(s.sessions))
	for _, x := range s.sessions {
		out = append(out, x)
	}
	return out
}

func versionOf(d *document.Document, ok bool) string {
	if !ok {
		return "none"
	}
	return strconv.FormatUint(uint64(d.Version), 10)
}
