package etcd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"

	"skylarkdeal/core/failure"
	"skylarkdeal/io/etcd/etcdpb/etcdpbconnect"
)

// Config is how the store is reached.
type Config struct {
	// Endpoints are IP addresses and ports of the store, at least one.
	Endpoints []string
	// Timeout bounds one call.
	Timeout time.Duration
	// Rate and Burst bound the calls of this process, in calls a second.
	Rate  float64
	Burst int
	// Hosts returns how many hosts share the store, which sets the rate in place
	// of Rate when it is given.
	Hosts func() int
	// Patient is set for the operators' commands, which ask a store in trouble
	// again at once; hosts are held back.
	Patient bool
	Now     func() time.Time
	// Jitter returns a number from 0 up to 1.
	Jitter  func() float64
	Metrics prometheus.Registerer
}

// The defaults of a Config.
//
// DefaultRate is made for 920 hosts that all have calls waiting when the store
// returns from an outage: they would end it again. The store takes some two
// thousand reads a second, so two a second for each host stays within it; the
// burst lets a host's start pass, which is 3 to 20 calls.
const (
	DefaultTimeout = 3 * time.Second
	DefaultRate    = 2
	// FleetRate is what the hosts together may call, in calls a second: the
	// store takes several hundred writes, and a start's calls are mostly writes.
	// LeastRate keeps a host of a large fleet able to renew its lease.
	FleetRate    = 400
	LeastRate    = 1
	DefaultBurst = 20

	dialTimeout = 500 * time.Millisecond
	// pingAfter finds a connection that is cut without a word.
	pingAfter   = 5 * time.Second
	pingTimeout = 2 * time.Second
)

// Dial returns a Store; it connects when first called.
func Dial(cfg Config) *Store {
	c := newClient(cfg)
	c.registerDown(cfg.Metrics)
	return &Store{
		Get:       c.get,
		List:      c.list,
		Newest:    c.newest,
		Swap:      c.swap,
		Put:       c.put,
		Delete:    c.delete,
		Watch:     c.watch,
		Grant:     c.grant,
		KeepAlive: c.keepAlive,
		Revoke:    c.revoke,
		State:     c.state,
		Close:     c.transport.CloseIdleConnections,
	}
}

// client makes the calls. One endpoint is in use at a time; a failed call moves
// on to the next.
type client struct {
	cfg       Config
	transport *http.Transport
	ends      []endpoint
	gate      gate
	counts    counts

	mu sync.Mutex
	at int
}

// endpoint is one address of the store.
type endpoint struct {
	address string
	kv      etcdpbconnect.KVClient
	watch   etcdpbconnect.WatchClient
	lease   etcdpbconnect.LeaseClient
}

func newClient(cfg Config) *client {
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	t := &http.Transport{
		DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
		Protocols:          new(http.Protocols),
		HTTP2:              &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
		DisableCompression: true,
	}
	t.Protocols.SetUnencryptedHTTP2(true)
	c := &client{cfg: cfg, transport: t, gate: newGate(cfg), counts: newCounts(cfg.Metrics)}
	h := &http.Client{Transport: t}
	for _, e := range cfg.Endpoints {
		u := "http://" + e
		c.ends = append(c.ends, endpoint{
			address: e,
			kv:      etcdpbconnect.NewKVClient(h, u, connect.WithGRPC()),
			watch:   etcdpbconnect.NewWatchClient(h, u, connect.WithGRPC()),
			lease:   etcdpbconnect.NewLeaseClient(h, u, connect.WithGRPC()),
		})
	}
	return c
}

var errNoEndpoint = errors.New("no endpoint is set")

func (c *client) endpoint() (endpoint, error) {
	if len(c.ends) == 0 {
		return endpoint{}, errNoEndpoint
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ends[c.at%len(c.ends)], nil
}

// leave moves on from an endpoint that has failed.
func (c *client) leave(e endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ends[c.at%len(c.ends)].address == e.address {
		c.at++
	}
}

// call makes one bounded call and tells the gate how it went. A call that its
// caller gave up says nothing about the store.
func call[T any](
	ctx context.Context, c *client, k Kind, do func(ctx context.Context, e endpoint) (T, error),
) (T, error) {
	var none T
	e, err := c.endpoint()
	if err != nil {
		return none, failure.At(err, failure.Step(k), "store")
	}
	peer := failure.Peer("store " + e.address)
	if err := c.gate.enter(ctx); err != nil {
		c.counts.held(k)
		return none, failure.At(err, failure.Step(k), peer)
	}
	bounded, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	c.counts.made(k)
	a, err := do(bounded, e)
	if ctx.Err() == nil {
		c.settle(e, k, err)
	}
	return a, failure.At(err, failure.Step(k), peer)
}

// settle tells an error of the store from an answer that refuses: only the
// former is a reason to hold back.
func (c *client) settle(e endpoint, k Kind, err error) {
	if err == nil || isAnswer(err) || errors.Is(err, ErrCompacted) {
		c.gate.succeeded()
		return
	}
	c.counts.failed(k)
	c.gate.failed(err)
	c.leave(e)
}

func isAnswer(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeNotFound, connect.CodeFailedPrecondition, connect.CodeOutOfRange, connect.CodeInvalidArgument:
		return true
	default:
		return false
	}
}

func (c *client) state() State {
	s := c.gate.state()
	s.Calls = c.counts.all()
	e, err := c.endpoint()
	if err != nil {
		s.Error = err.Error()
	}
	s.Endpoint = e.address
	return s
}

func unexpected(what string) error {
	return fmt.Errorf("store answered %s", what)
}
