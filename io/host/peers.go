package host

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"skylarkdeal/core/exchange"
	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/io/host/hostpb"
	"skylarkdeal/io/host/hostpb/hostpbconnect"
)

// DefaultCallTimeout bounds a call whose context has no deadline.
const DefaultCallTimeout = time.Second

// DefaultConnectTimeout bounds the opening of a stream, Hello included.
const DefaultConnectTimeout = time.Second

const stepForward failure.Step = "forward"

// Peers is the way from this host to the others of the fleet. Its exported
// fields are set before its first use.
type Peers struct {
	Self   Self
	Secret string
	// MessageLimit is DefaultMessageLimit when zero.
	MessageLimit int
	// Address returns the IP address and port of a host's inner protocol.
	Address func(h fleet.Host) (string, bool)
	// ConnectTimeout bounds the opening of a stream, DefaultConnectTimeout when
	// zero.
	ConnectTimeout time.Duration
	// Now is time.Now when nil.
	Now func() time.Time
	Log *zap.Logger
	// Metrics takes the metrics in, when it is set.
	Metrics prometheus.Registerer

	metrics outboundMetrics
	seq     atomic.Uint64

	mu        sync.Mutex
	transport *http.Transport
	clients   map[string]hostpbconnect.PeerClient
	peers     map[fleet.Host]*outbound
	tasks     sync.WaitGroup
	closed    bool
}

var (
	errClosed    = errors.New("closed")
	errNoAddress = errors.New("address of the host is not known")
)

// client returns the connect client of an address.
func (p *Peers) client(h fleet.Host) (hostpbconnect.PeerClient, error) {
	address, ok := p.Address(h)
	if !ok {
		return nil, errNoAddress
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errClosed
	}
	if c, ok := p.clients[address]; ok {
		return c, nil
	}
	if p.transport == nil {
		p.transport = newTransport()
		p.clients = map[string]hostpbconnect.PeerClient{}
	}
	c := hostpbconnect.NewPeerClient(&http.Client{Transport: p.transport}, "http://"+address,
		connect.WithReadMaxBytes(readLimit(p.MessageLimit)), connect.WithInterceptors(secret(p.Secret)),
		connect.WithAcceptCompression("gzip", nil, nil))
	p.clients[address] = c
	return c, nil
}

// call makes one unary call with a deadline.
func call[Q, A any](ctx context.Context, p *Peers, h fleet.Host, step failure.Step, q *Q,
	f func(hostpbconnect.PeerClient, context.Context, *connect.Request[Q]) (*connect.Response[A], error)) (*A, error) {
	c, err := p.client(h)
	if err != nil {
		return nil, failure.At(err, step, peerName(h))
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, DefaultCallTimeout)
		defer cancel()
	}
	a, err := f(c, ctx, connect.NewRequest(q))
	p.metrics.register(p.Metrics)
	p.metrics.called(string(step), err)
	if err != nil {
		return nil, failure.At(err, step, peerName(h))
	}
	return a.Msg, nil
}

// Digest compares what this host knows with what h does.
func (p *Peers) Digest(ctx context.Context, h fleet.Host, q *hostpb.DigestRequest) (*hostpb.DigestResponse, error) {
	q.Hello = p.Self.hello()
	return call(ctx, p, h, "digest", q, hostpbconnect.PeerClient.Digest)
}

// Push hands newer documents and members to h.
func (p *Peers) Push(ctx context.Context, h fleet.Host, q *hostpb.PushRequest) (*hostpb.PushResponse, error) {
	q.Hello = p.Self.hello()
	return call(ctx, p, h, "push", q, hostpbconnect.PeerClient.Push)
}

// Grant asks h for part of an account's rate.
func (p *Peers) Grant(ctx context.Context, h fleet.Host, q *hostpb.GrantRequest) (*hostpb.GrantResponse, error) {
	q.Hello = p.Self.hello()
	return call(ctx, p, h, "grant", q, hostpbconnect.PeerClient.Grant)
}

// View asks h how it sees the instances of a group.
func (p *Peers) View(ctx context.Context, h fleet.Host, q *hostpb.ViewRequest) (*hostpb.ViewResponse, error) {
	q.Hello = p.Self.hello()
	return call(ctx, p, h, "view", q, hostpbconnect.PeerClient.View)
}

// Leave tells h that this host shuts down.
func (p *Peers) Leave(ctx context.Context, h fleet.Host) (*hostpb.LeaveResponse, error) {
	return call(ctx, p, h, "leave", &hostpb.LeaveRequest{Hello: p.Self.hello()}, hostpbconnect.PeerClient.Leave)
}

// Runner returns the way to the holder h. It opens its stream when first used.
//
// An exchange that was not handed to the stream ends as OutcomeNotRun. One that
// was, and whose answer is lost, ends as OutcomeUnknown: a write with
// failure.CodeUnknownOutcome, a declared read with failure.CodeUnreachable,
// which says that it may be sent again.
func (p *Peers) Runner(h fleet.Host) exchange.Runner {
	return exchange.Runner{
		Run: func(q *exchange.Request, reply exchange.Reply) {
			o, err := p.outbound(h)
			if err != nil {
				reply.Refuse(notRun(h, err))
				return
			}
			o.run(q, reply)
		},
		Cancel: func(id exchange.ID) {
			if o, err := p.outbound(h); err == nil {
				o.cancel(id)
			}
		},
		Release: func(_ fleet.Host, pin exchange.Pin) {
			if o, err := p.outbound(h); err == nil {
				o.release(pin)
			}
		},
	}
}

func notRun(h fleet.Host, err error) *failure.Refusal {
	return &failure.Refusal{Code: failure.CodeUnreachable, Message: "not run: " + err.Error(),
		Step: stepForward, Peer: peerName(h)}
}

func (p *Peers) outbound(h fleet.Host) (*outbound, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errClosed
	}
	if o, ok := p.peers[h]; ok {
		return o, nil
	}
	if p.peers == nil {
		p.peers = map[fleet.Host]*outbound{}
	}
	p.metrics.register(p.Metrics)
	o := newOutbound(p, h)
	p.peers[h] = o
	p.tasks.Go(o.serve)
	p.tasks.Go(o.expire)
	return o, nil
}

// Forget ends the stream to a host that has left the fleet.
func (p *Peers) Forget(h fleet.Host) {
	p.mu.Lock()
	o, ok := p.peers[h]
	delete(p.peers, h)
	p.mu.Unlock()
	if ok {
		o.stop()
	}
}

// Close ends all streams and returns when their goroutines have ended.
func (p *Peers) Close() {
	p.mu.Lock()
	p.closed = true
	for _, o := range p.peers {
		o.stop()
	}
	t := p.transport
	p.mu.Unlock()
	p.tasks.Wait()
	if t != nil {
		t.CloseIdleConnections()
	}
}

func (p *Peers) now() time.Time {
	if p.Now == nil {
		return time.Now()
	}
	return p.Now()
}

func (p *Peers) log() *zap.Logger {
	if p.Log == nil {
		return zap.NewNop()
	}
	return p.Log
}

// OutboundState is the stream to one peer in a state dump.
type OutboundState struct {
	Host      fleet.Host `json:"host"`
	Connected bool       `json:"connected"`
	Version   uint32     `json:"version"`
	Exchanges int        `json:"exchanges"`
	Waiting   int        `json:"waiting"`
	LastError string     `json:"last-error,omitempty"`
}

// State returns the streams from this host.
func (p *Peers) State() []OutboundState {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]OutboundState, 0, len(p.peers))
	for _, o := range p.peers {
		all = append(all, o.state())
	}
	return all
}
