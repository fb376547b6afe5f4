// Package operator serves the operators of one host over HTTP: the state dump,
// metrics, health, readiness and, when it is switched on, profiles.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/pprof"
	"slices"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"skylarkdeal/core/failure"
)

// The times within which a request has to be read and answered. A profile of
// the processor takes 30 s, which the second leaves room for.
const (
	readTimeout  = 5 * time.Second
	writeTimeout = 60 * time.Second
)

// Section is one part of the state dump: its name and what reads it. The value
// read is marshalled to JSON.
type Section struct {
	Name string
	Read func() any
}

// Config says what a Server shows.
type Config struct {
	// Address is an IP address and port; port 0 takes a free one.
	Address  string
	Sections []Section
	Gatherer prometheus.Gatherer
	// Ready returns why the host takes no new sessions, or nil.
	Ready func() error
	// Pprof switches profiles on; they tell the names of accounts and services.
	Pprof  bool
	Logger *zap.Logger
}

// Server answers operators. It reads state when asked and keeps none.
type Server struct {
	c        Config
	listener net.Listener
	server   *http.Server
	done     chan struct{}
}

// Start listens and serves until Close.
func Start(c Config) (*Server, error) {
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	l, err := net.Listen("tcp", c.Address)
	if err != nil {
		return nil, failure.At(err, "listen for operators", failure.Peer(c.Address))
	}
	s := &Server{c: c, listener: l, done: make(chan struct{})}
	s.server = &http.Server{
		Handler:      s.routes(),
		ReadTimeout:  readTimeout,
		WriteTimeout: writeTimeout,
	}
	go s.serve()
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string {
	return s.listener.Addr().String()
}

// Close ends the server; requests in progress get until ctx ends.
func (s *Server) Close(ctx context.Context) error {
	err := s.server.Shutdown(ctx)
	<-s.done
	return failure.At(err, "shut down", failure.Peer("operators"))
}

func (s *Server) serve() {
	defer close(s.done)
	err := s.server.Serve(s.listener)
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		s.c.Logger.Error("operators' address failed", zap.Error(err))
	}
}

func (s *Server) routes() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /state", s.state)
	m.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		writeText(w, http.StatusOK, "alive")
	})
	m.HandleFunc("GET /readyz", s.ready)
	if s.c.Gatherer != nil {
		m.Handle("GET /metrics", promhttp.HandlerFor(s.c.Gatherer, promhttp.HandlerOpts{}))
	}
	if s.c.Pprof {
		m.HandleFunc("GET /debug/pprof/", pprof.Index)
		m.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
		m.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
	}
	return m
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if s.c.Ready == nil {
		writeText(w, http.StatusOK, "ready")
		return
	}
	if err := s.c.Ready(); err != nil {
		writeText(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	writeText(w, http.StatusOK, "ready")
}

// state answers with all sections, or with those that the query names:
// /state?section=groups,members.
func (s *Server) state(w http.ResponseWriter, r *http.Request) {
	want, err := s.wanted(r.URL.Query().Get("section"))
	if err != nil {
		writeText(w, http.StatusNotFound, err.Error())
		return
	}
	out := make(map[string]any, len(want))
	for _, c := range want {
		out[c.Name] = c.Read()
	}
	b, err := json.MarshalIndent(out, "", "  ")
	if err != nil {
		s.c.Logger.Error("state dump failed", zap.Error(err))
		writeText(w, http.StatusInternalServerError, "state: "+err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(b, '\n'))
}

func (s *Server) wanted(names string) ([]Section, error) {
	if names == "" {
		return s.c.Sections, nil
	}
	var out []Section
	for _, n := range strings.Split(names, ",") {
		i := slices.IndexFunc(s.c.Sections, func(c Section) bool { return c.Name == n })
		if i < 0 {
			return nil, errors.New("no such section; there are: " + s.names())
		}
		out = append(out, s.c.Sections[i])
	}
	return out, nil
}

func (s *Server) names() string {
	n := make([]string, 0, len(s.c.Sections))
	for _, c := range s.c.Sections {
		n = append(n, c.Name)
	}
	return strings.Join(n, ", ")
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n"))
}
