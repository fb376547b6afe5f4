// Package caller speaks the PostgreSQL protocol to callers. It proves their
// keys, cuts what they send into exchanges, hands these to an exchange.Runner
// and writes the answers back in order.
//
// A session is owned by one gnet event loop: all its fields are touched there
// only. Answers come from other goroutines and cross over in a run.
package caller

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"go.uber.org/zap"

	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
)

// Server is the front towards callers of one host.
type Server struct {
	cfg     Config
	mocks   mocks
	metrics metrics
	engine  gnet.Engine
	addr    net.Addr
	booted  chan struct{}
	ended   chan struct{}
	runErr  error

	seq      atomic.Uint64
	draining atomic.Bool
	running  atomic.Int64

	mu sync.Mutex
	// sessions are the open sessions by the process number in their cancel key.
	sessions map[uint32]*session
	// waiting are the sessions that have a deadline, with the time to look at it.
	waiting map[*session]time.Time
	nextID  uint32
}

// New returns a Server that Start puts to work.
func New(cfg Config) *Server {
	s := &Server{
		cfg:      cfg.withDefaults(),
		booted:   make(chan struct{}),
		ended:    make(chan struct{}),
		sessions: make(map[uint32]*session),
		waiting:  make(map[*session]time.Time),
	}
	s.mocks = newMocks(cfg.Secret)
	s.metrics = newMetrics(s.cfg.Registerer, s.sessionCount)
	return s
}

// Start begins to listen. It returns once callers can connect.
func (s *Server) Start() error {
	files, err := fileLimit()
	if err != nil {
		return failure.At(err, "read limits", failure.Peer(s.cfg.Address))
	}
	n, err := sessionsWithin(files, s.cfg.MaxSessions)
	if err != nil {
		return failure.At(err, "read limits", failure.Peer(s.cfg.Address))
	}
	if n < s.cfg.MaxSessions {
		s.cfg.Logger.Warn("fewer sessions than set, for want of files",
			zap.Int("max-sessions", n), zap.Int("set", s.cfg.MaxSessions), zap.Uint64("files", files))
		s.cfg.MaxSessions = n
	}
	if err := s.free(); err != nil {
		return failure.At(err, "listen for callers", failure.Peer(s.cfg.Address))
	}
	go s.run()
	select {
	case <-s.booted:
		return nil
	case <-s.ended:
		return failure.At(s.runErr, "listen", failure.Peer(s.cfg.Address))
	}
}

// free reports why the address can't be listened on; gnet would tell of a bad file
// descriptor where the port is taken.
func (s *Server) free() error {
	l, err := net.Listen("tcp", s.cfg.Address)
	if err != nil {
		return err
	}
	return l.Close()
}

func (s *Server) run() {
	defer close(s.ended)
	opts := []gnet.Option{
		gnet.WithTicker(true),
		// A host that restarts finds its port still held by connections of its former
		// self that the kernel winds up; without the option it could not listen.
		gnet.WithReuseAddr(true),
		gnet.WithLogger(s.cfg.Logger.Named("gnet").Sugar()),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithTCPKeepAlive(keepAlive),
		gnet.WithReadBufferCap(readBuffer),
		gnet.WithWriteBufferCap(readBuffer),
	}
	opts = append(opts, gnet.WithNumEventLoop(s.cfg.EventLoops))
	if err := gnet.Run(&handler{s: s}, "tcp://"+s.cfg.Address, opts...); err != nil {
		s.runErr = err
		s.cfg.Logger.Error("front ended", zap.String("address", s.cfg.Address), zap.Error(err))
	}
}

// Ended is closed when the server no longer serves, by Close or by a failure.
func (s *Server) Ended() <-chan struct{} {
	return s.ended
}

const (
	// keepAlive finds half-open connections: a handheld that left its radio
	// cell sends no FIN, and its session would stay for ever.
	keepAlive = 30 * time.Second
	// readBuffer is what one event loop reads from a socket at a time.
	readBuffer = 64 << 10
)

// listenAddr finds the address that the engine listens on, with the port that
// the kernel chose.
func listenAddr(e gnet.Engine) (net.Addr, error) {
	fd, err := e.Dup()
	if err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(fd), "listener")
	defer func() { _ = f.Close() }()
	l, err := net.FileListener(f)
	if err != nil {
		return nil, err
	}
	defer func() { _ = l.Close() }()
	return l.Addr(), nil
}

// Addr returns the address that callers connect to, after Start.
func (s *Server) Addr() net.Addr {
	return s.addr
}

// Close ends all sessions at once and stops listening.
func (s *Server) Close() error {
	select {
	case <-s.booted:
	default:
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := s.engine.Stop(ctx); err != nil {
		return failure.At(err, "stop", failure.Peer(s.cfg.Address))
	}
	<-s.ended
	s.metrics.registered.Unregister()
	return nil
}

const closeTimeout = 10 * time.Second

func (s *Server) sessionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

func peerOf(a fleet.Account) failure.Peer {
	return failure.Peer(fmt.Sprintf("account %s", a))
}
