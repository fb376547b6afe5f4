// Package database holds the upstream connections to database instances: a
// bounded pool for each instance, and connections that run one exchange at a
// time.
package database

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
)

// Config is what a Pool works with. Zero limits take the defaults.
type Config struct {
	Service  fleet.Service
	Instance fleet.Instance
	// Host is this host, which the instance gets to see as application_name.
	Host fleet.Host
	// Address is an IP address and port.
	Address string
	// User and Password are the proxy's own towards the instance; Database is
	// the service's name when it is empty.
	User, Password, Database string
	// Limit is how many connections this host may have to the instance.
	Limit int
	// DialTimeout bounds the opening of one connection.
	DialTimeout time.Duration
	// CancelGrace is how long a canceled exchange may still answer before its
	// connection is closed.
	CancelGrace time.Duration
	// MaxStatements bounds the prepared statements of one connection.
	MaxStatements int
	// Dial opens the network connection; it may be nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnFree is called, on a goroutine of the pool or of Put's caller, when a
	// connection has become available.
	OnFree func()

	Now        func() time.Time
	Logger     *zap.Logger
	Registerer prometheus.Registerer
}

// The limits that a zero Config takes.
const (
	// DefaultDialTimeout is far above the 10 ms that a connection takes, and far
	// below what a caller waits.
	DefaultDialTimeout = 2 * time.Second
	// DefaultCancelGrace lets an instance end a statement that it was asked to
	// cancel, so that its connection needn't be opened anew.
	DefaultCancelGrace = 200 * time.Millisecond
	// DefaultMaxStatements keeps the plans of a connection within a few
	// megabytes of an instance's memory.
	DefaultMaxStatements = 256
)

func (c Config) withDefaults() Config {
	if c.DialTimeout == 0 {
		c.DialTimeout = DefaultDialTimeout
	}
	if c.CancelGrace == 0 {
		c.CancelGrace = DefaultCancelGrace
	}
	if c.MaxStatements == 0 {
		c.MaxStatements = DefaultMaxStatements
	}
	if c.Database == "" {
		c.Database = string(c.Service)
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	if c.OnFree == nil {
		c.OnFree = func() {}
	}
	c.Logger = c.Logger.With(zap.String("service", string(c.Service)), zap.String("instance", string(c.Instance)))
	return c
}

// Pool holds the connections of this host to one instance. It opens them ahead
// of need, as opening takes longer than most statements.
type Pool struct {
	cfg     Config
	metrics metrics
	ctx     context.Context
	cancel  context.CancelFunc
	// wake wakes one opener, failure the watch over the pauses after failures.
	wake, failure chan struct{}

	openers sync.WaitGroup

	mu sync.Mutex
	// idle are the connections that wait for work; the last put is first taken,
	// so that the others can be given up when the limit sinks.
	idle []*Conn
	// open counts idle and taken connections, opening those being opened.
	open, opening int
	limit         int
	generation    uint64
	closed        bool
	retry         retry
	// all are the open connections, which Close ends.
	all map[*Conn]struct{}
}

// NewPool returns a Pool that opens connections until Close.
func NewPool(cfg Config) *Pool {
	p := &Pool{
		cfg:   cfg.withDefaults(),
		limit: cfg.Limit,
		wake:  make(chan struct{}, 1), failure: make(chan struct{}, 1),
		all: make(map[*Conn]struct{}),
	}
	p.retry.init()
	p.metrics = newMetrics(p)
	p.ctx, p.cancel = context.WithCancel(context.Background())
	for range parallelDials {
		p.openers.Add(1)
		go p.keepOpen()
	}
	p.openers.Add(1)
	go p.watchIdle()
	p.signal()
	return p
}

// peer names the instance in errors.
func (c Config) peer() failure.Peer {
	return failure.Peer("instance " + string(c.Instance))
}

// Idle returns how many connections TryTake would find.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}

// Refused reports since when the pool has had no connection because the instance refuses them, and when it
// asks again; ok is false if it has one, or if there was no refusal.
func (p *Pool) Refused() (since, retryAt time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retry.emptySince, p.retry.at, p.open == 0 && !p.retry.emptySince.IsZero()
}

// TryTake returns an idle connection, or false when there is none now. It never
// waits. The connection is the caller's until Put.
//
// A connection that the instance has closed meanwhile is not handed out: a
// write sent on it would be lost with its outcome unknown.
func (p *Pool) TryTake() (*Conn, bool) {
	for {
		c, ok := p.pop()
		if !ok {
			return nil, false
		}
		if c.alive() {
			return c, true
		}
		c.breakUp("closed by the instance while idle")
		p.Put(c)
	}
}

func (p *Pool) pop() (*Conn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 || p.closed {
		return nil, false
	}
	c := p.idle[n-1]
	p.idle[n-1] = nil
	p.idle = p.idle[:n-1]
	return c, true
}

// Put gives c back. A connection that is broken, has a transaction open or is
// above the limit is closed.
func (p *Pool) Put(c *Conn) {
	p.mu.Lock()
	if !p.keeps(c) {
		p.drop(c)
		p.mu.Unlock()
		c.close()
		p.signal()
		return
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
	p.cfg.OnFree()
}

// keeps reports whether c may go back to the idle ones; p.mu is held.
func (p *Pool) keeps(c *Conn) bool {
	return !p.closed && !c.Broken() && c.reusable() && p.open <= p.limit
}

// drop takes c out of the count; p.mu is held.
func (p *Pool) drop(c *Conn) {
	if _, ok := p.all[c]; !ok {
		return
	}
	delete(p.all, c)
	p.open--
}

// SetLimit changes how many connections there may be. Surplus ones are closed
// as soon as they are idle.
func (p *Pool) SetLimit(n int) {
	p.mu.Lock()
	p.limit = n
	var surplus []*Conn
	for p.open > n && len(p.idle) > 0 {
		c := p.idle[0]
		p.idle = p.idle[1:]
		p.drop(c)
		surplus = append(surplus, c)
	}
	p.mu.Unlock()
	for _, c := range surplus {
		c.close()
	}
	p.signal()
}

// Close closes all connections, also those taken, and waits until no more are
// being opened.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.idle = nil
	all := make([]*Conn, 0, len(p.all))
	for c := range p.all {
		all = append(all, c)
		p.drop(c)
	}
	p.mu.Unlock()
	p.cancel()
	for _, c := range all {
		c.breakUp("pool closed")
	}
	p.openers.Wait()
	p.metrics.registered.Unregister()
}

// State is what the state dump says of a pool.
type State struct {
	Instance fleet.Instance `json:"instance"`
	Address  string         `json:"address"`
	Limit    int            `json:"limit"`
	// Allowed is below Limit while the instance refuses connections.
	Allowed int `json:"allowed"`
	Open    int `json:"open"`
	Idle    int `json:"idle"`
	Opening int `json:"opening"`
	// Trouble is the last failure to open a connection, empty since the last
	// success.
	Trouble string    `json:"trouble,omitempty"`
	RetryAt time.Time `json:"retry-at,omitzero"`
}

// State returns the present state.
func (p *Pool) State() State {
	p.mu.Lock()
	defer p.mu.Unlock()
	return State{
		Instance: p.cfg.Instance, Address: p.cfg.Address,
		Limit: p.limit, Allowed: p.allowed(p.cfg.Now()),
		Open: p.open, Idle: len(p.idle), Opening: p.opening,
		Trouble: p.retry.trouble, RetryAt: p.retry.at,
	}
}
