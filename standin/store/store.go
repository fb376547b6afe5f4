// Package store is a small stand-in for the platform's store: the parts of
// etcd's v3 gRPC API that the hosts and the operators' commands call, kept in
// memory, with every call counted and with switches for its faults.
package store

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"skylarkdeal/internal/sleep"
	"skylarkdeal/io/etcd/etcdpb/etcdpbconnect"
)

// Config is how a Server is started. The zero Config listens on a free port of
// 127.0.0.1.
type Config struct {
	// Address is an IP address and port to listen on.
	Address string
	// Now is the clock of the leases; nil takes the machine's.
	Now func() time.Time
}

// Server is one running stand-in.
type Server struct {
	data   data
	faults faults
	calls  calls
	now    func() time.Time

	listener net.Listener
	http     *http.Server
	cancel   context.CancelFunc
	duties   sync.WaitGroup
}

// expiryInterval is how often lapsed leases are looked for between calls.
const expiryInterval = 20 * time.Millisecond

// Start listens and serves until Close.
func Start(cfg Config) (*Server, error) {
	if cfg.Address == "" {
		cfg.Address = "127.0.0.1:0"
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	l, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{now: cfg.Now, listener: l, cancel: cancel}
	s.data.init()
	s.faults.init()
	s.http = &http.Server{
		Handler:           s.mux(),
		ReadHeaderTimeout: time.Second,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	s.http.Protocols = p
	s.duties.Go(func() { _ = s.http.Serve(l) })
	s.duties.Go(func() { s.expire(ctx) })
	return s, nil
}

// Addr returns the IP address and port that the Server listens on.
func (s *Server) Addr() string {
	return s.listener.Addr().String()
}

// Calls returns how many calls of each kind have come, those refused by a fault
// included.
func (s *Server) Calls() map[Kind]int {
	return s.calls.all()
}

// Close ends all calls and stops listening.
func (s *Server) Close() {
	s.cancel()
	_ = s.http.Close()
	s.duties.Wait()
}

func (s *Server) mux() *http.ServeMux {
	m := http.NewServeMux()
	o := connect.WithInterceptors(&interceptor{s})
	m.Handle(etcdpbconnect.NewKVHandler(kvService{s}, o))
	m.Handle(etcdpbconnect.NewWatchHandler(watchService{s}, o))
	m.Handle(etcdpbconnect.NewLeaseHandler(leaseService{s}, o))
	m.HandleFunc("/fault", s.serveFault)
	m.HandleFunc("/calls", s.serveCalls)
	return m
}

// clock returns the time by the store's clock, its skew included.
func (s *Server) clock() time.Time {
	return s.now().Add(s.faults.get().Skew)
}

func (s *Server) expire(ctx context.Context) {
	sleep.Every(ctx, expiryInterval, func() { s.data.expire(s.clock()) })
}

var errDown = connect.NewError(connect.CodeUnavailable, errors.New("etcdserver: no leader"))
