package host

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"skylarkdeal/core/exchange"
	"skylarkdeal/core/fleet"
	"skylarkdeal/io/host/hostpb"
	"skylarkdeal/io/host/hostpb/hostpbconnect"
)

// headerTimeout bounds how long a peer may take over the head of a request.
const headerTimeout = 5 * time.Second

// Server answers the peers of a host. Its exported fields are set before Serve
// or Handler is called; a nil function answers "unimplemented".
type Server struct {
	Self   Self
	Secret string
	// MessageLimit is DefaultMessageLimit when zero.
	MessageLimit int
	// Runner runs the exchanges that peers forward.
	Runner exchange.Runner
	// The functions get requests whose Hello has been checked, and need not
	// fill in that of their answer.
	Digest func(ctx context.Context, q *hostpb.DigestRequest) (*hostpb.DigestResponse, error)
	Push   func(ctx context.Context, q *hostpb.PushRequest) (*hostpb.PushResponse, error)
	Grant  func(ctx context.Context, q *hostpb.GrantRequest) (*hostpb.GrantResponse, error)
	View   func(ctx context.Context, q *hostpb.ViewRequest) (*hostpb.ViewResponse, error)
	Leave  func(ctx context.Context, q *hostpb.LeaveRequest) (*hostpb.LeaveResponse, error)
	// Now is time.Now when nil.
	Now func() time.Time
	Log *zap.Logger

	mu      sync.Mutex
	http    *http.Server
	inbound map[*inbound]struct{}
	// draining is read under the lock of an inbound stream, which is taken while mu is held.
	draining atomic.Bool
	closed   bool
}

// Handler returns the HTTP handler of the inner protocol.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(hostpbconnect.NewPeerHandler(handler{s},
		connect.WithReadMaxBytes(readLimit(s.MessageLimit)), connect.WithInterceptors(secret(s.Secret))))
	return mux
}

// Serve answers on l until Close, when it returns nil.
func (s *Server) Serve(l net.Listener) error {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	h := &http.Server{
		Handler: s.Handler(), Protocols: p, ReadHeaderTimeout: headerTimeout,
		ErrorLog: zap.NewStdLog(s.log()),
		HTTP2:    &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return l.Close()
	}
	s.http = h
	s.mu.Unlock()
	if err := h.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Drain refuses new exchanges, but for those of open transactions, and returns
// when none is in progress or ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	t := time.NewTicker(drainPoll)
	defer t.Stop()
	for s.busy() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
	return nil
}

// drainPoll is how often Drain looks again.
const drainPoll = 5 * time.Millisecond

// Close ends all streams and their exchanges at once.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	h := s.http
	s.mu.Unlock()
	if h == nil {
		return nil
	}
	return h.Close()
}

func (s *Server) now() time.Time {
	if s.Now == nil {
		return time.Now()
	}
	return s.Now()
}

func (s *Server) log() *zap.Logger {
	if s.Log == nil {
		return zap.NewNop()
	}
	return s.Log
}

func (s *Server) busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.inbound {
		if i.busy() {
			return true
		}
	}
	return false
}

func (s *Server) enter(i *inbound) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inbound == nil {
		s.inbound = map[*inbound]struct{}{}
	}
	s.inbound[i] = struct{}{}
}

func (s *Server) leave(i *inbound) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inbound, i)
}

// InboundState is one peer's stream in a state dump.
type InboundState struct {
	Host      fleet.Host `json:"host"`
	Version   uint32     `json:"version"`
	Exchanges int        `json:"exchanges"`
	Pins      int        `json:"pins"`
}

// State returns the streams that are open towards this host.
func (s *Server) State() []InboundState {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]InboundState, 0, len(s.inbound))
	for i := range s.inbound {
		all = append(all, i.state())
	}
	return all
}

func (s *Server) cancel(id exchange.ID) {
	if s.Runner.Cancel != nil {
		s.Runner.Cancel(id)
	}
}

func (s *Server) release(p exchange.Pin) {
	if s.Runner.Release != nil {
		s.Runner.Release(s.Self.Host, p)
	}
}
