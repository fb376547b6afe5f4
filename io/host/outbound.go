package host

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"skylarkdeal/core/exchange"
	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/ring"
	"skylarkdeal/internal/sleep"
	"skylarkdeal/io/host/hostpb"
)

// The limits of one stream to a holder.
const (
	// outboundRing is how many exchanges wait for the writer of one stream. It
	// is filled only when the peer takes nothing, and then more would time out.
	outboundRing = 1024
	// The pause between two attempts grows from firstPause to lastPause, so
	// that many hosts that lost one peer don't all come back to it at once.
	firstPause = 20 * time.Millisecond
	lastPause  = 2 * time.Second
	// expireEvery is how often deadlines are looked at, and expireGrace how
	// long after its deadline an answer is awaited: the holder refuses in time
	// and says more than a timeout here can.
	expireEvery = 25 * time.Millisecond
	expireGrace = 50 * time.Millisecond
)

var (
	errDown    = errors.New("no connection to the host")
	errTimeout = errors.New("no answer from the host in time")
	errFull    = errors.New("too many exchanges wait for the host")
)

// outbound is the entry host's side of the stream to one holder. serve opens
// the stream and writes to it, another goroutine reads from it.
type outbound struct {
	peers *Peers
	host  fleet.Host
	ctx   context.Context
	stop  context.CancelFunc
	out   ring.Ring[*flight]
	// wake is poked when urgent has got its first frame.
	wake chan struct{}

	mu      sync.Mutex
	flights map[uint64]*flight
	byID    map[exchange.ID]*flight
	// urgent holds credits, cancels and releases. It needs no bound of its own:
	// there is at most one cancel and, by the window, a few credits for each
	// flight, and one release for each open transaction.
	urgent    []*hostpb.ForwardRequest
	connected bool
	resting   bool
	version   uint32
	lastError string
}

func newOutbound(p *Peers, h fleet.Host) *outbound {
	ctx, cancel := context.WithCancel(context.Background())
	return &outbound{
		peers: p, host: h, ctx: ctx, stop: cancel,
		out: ring.New[*flight](outboundRing), wake: make(chan struct{}, 1),
		flights: map[uint64]*flight{}, byID: map[exchange.ID]*flight{},
	}
}

// run queues one exchange for the stream.
func (o *outbound) run(q *exchange.Request, reply exchange.Reply) {
	if size(q) > limit(o.peers.MessageLimit) {
		reply.Refuse(&failure.Refusal{Code: failure.CodeTooLarge, Message: "not run: too large to be forwarded",
			Step: stepForward, Peer: peerName(o.host)})
		return
	}
	f := &flight{out: o, seq: o.peers.seq.Add(1), q: q, reply: reply}
	if err := o.enter(f); err != nil {
		reply.Refuse(notRun(o.host, err))
		return
	}
	if !o.out.TryPut(f) {
		o.finish(f, errFull)
	}
}

// size is about what q takes in a message.
func size(q *exchange.Request) int {
	n := len(q.Payload)
	for _, s := range q.Statements {
		n += len(s.Name) + len(s.SQL) + 5*len(s.Types)
	}
	return n
}

func (o *outbound) enter(f *flight) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ctx.Err() != nil {
		return errClosed
	}
	if o.resting {
		return errDown
	}
	o.flights[f.seq] = f
	o.byID[f.q.ID] = f
	return nil
}

// forget removes f and reports whether it was still there. Only the one who
// removes a flight may end it.
func (o *outbound) forgetLocked(f *flight) bool {
	if o.flights[f.seq] != f {
		return false
	}
	delete(o.flights, f.seq)
	if o.byID[f.q.ID] == f {
		delete(o.byID, f.q.ID)
	}
	return true
}

// finish ends f without an answer from the holder.
func (o *outbound) finish(f *flight, err error) {
	o.mu.Lock()
	ok := o.forgetLocked(f)
	sent := f.sent
	if ok && sent && o.connected {
		o.abandonLocked(f)
	}
	o.mu.Unlock()
	if ok {
		f.post(event{done: true, result: lost(o.host, f.q.Intent, sent, err)})
	}
}

// abandonLocked tells the holder that nobody waits for f. The transaction that f
// belongs to ends with it: its state is no longer known here.
func (o *outbound) abandonLocked(f *flight) {
	o.urgentLocked(cancelFrame(f.seq))
	if f.q.Pin != 0 {
		o.urgentLocked(releaseFrame(f.q.Pin))
	}
}

func cancelFrame(seq uint64) *hostpb.ForwardRequest {
	return &hostpb.ForwardRequest{Kind: &hostpb.ForwardRequest_Cancel{Cancel: &hostpb.Cancel{Seq: seq}}}
}

func releaseFrame(p exchange.Pin) *hostpb.ForwardRequest {
	return &hostpb.ForwardRequest{Kind: &hostpb.ForwardRequest_Release{Release: &hostpb.Release{Pin: uint64(p)}}}
}

// lost is the result of an exchange whose answer didn't come. What was handed
// to the stream may have run, or may yet, so only the rest is not run.
func lost(h fleet.Host, i exchange.Intent, sent bool, err error) exchange.Result {
	if !sent {
		return exchange.Result{Outcome: exchange.OutcomeNotRun, Status: exchange.TxIdle, Refusal: notRun(h, err)}
	}
	r := &failure.Refusal{Code: failure.CodeUnknownOutcome, Message: "outcome unknown: " + err.Error(),
		Step: stepForward, Peer: peerName(h)}
	if i == exchange.IntentRead {
		r.Code, r.Message = failure.CodeUnreachable, "answer lost: "+err.Error()
	}
	return exchange.Result{Outcome: exchange.OutcomeUnknown, Status: exchange.TxIdle, Refusal: r}
}

// cancel asks the holder to end an exchange; one that still waits here ends at
// once.
func (o *outbound) cancel(id exchange.ID) {
	o.mu.Lock()
	f, ok := o.byID[id]
	if ok && f.sent {
		o.urgentLocked(cancelFrame(f.seq))
	}
	waiting := ok && !f.sent && o.forgetLocked(f)
	o.mu.Unlock()
	if waiting {
		f.post(event{done: true, result: exchange.Result{
			Outcome: exchange.OutcomeNotRun, Status: exchange.TxIdle,
			Refusal: &failure.Refusal{Code: failure.CodeCancelled, Message: "canceling statement due to user request",
				Step: stepForward, Peer: peerName(o.host)},
		}})
	}
}

func (o *outbound) release(p exchange.Pin) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.connected { // the end of a stream releases all its pins
		o.urgentLocked(releaseFrame(p))
	}
}

func (o *outbound) urgentLocked(m *hostpb.ForwardRequest) {
	o.urgent = append(o.urgent, m)
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// serve opens the stream when there is something to send, and again after each
// end, until the Peers are closed.
func (o *outbound) serve() {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = firstPause, lastPause
	for {
		select {
		case <-o.ctx.Done():
			o.fail(errClosed)
			return
		case f := <-o.out.Out():
			if !o.live(f) {
				continue
			}
			if o.stream(f) {
				b.Reset()
			}
			o.rest(b.NextBackOff())
		}
	}
}

func (o *outbound) live(f *flight) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.flights[f.seq] == f
}

// rest refuses exchanges for d after a stream has ended.
func (o *outbound) rest(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-o.ctx.Done():
	}
	o.mu.Lock()
	o.resting = false
	o.mu.Unlock()
}

// fail ends all flights after the stream has.
func (o *outbound) fail(err error) {
	o.mu.Lock()
	o.connected, o.resting, o.urgent = false, true, nil
	o.lastError = err.Error()
	all := make([]*flight, 0, len(o.flights))
	for _, f := range o.flights {
		all = append(all, f)
	}
	o.mu.Unlock()
	for _, f := range all {
		o.finish(f, err)
	}
	o.peers.metrics.ended.Inc()
	o.peers.log().Info("stream to peer ended", zap.String("host", string(o.host)),
		zap.Int("exchanges", len(all)), zap.Error(err))
}

// expire ends the flights whose answer is overdue, and tells the holder.
func (o *outbound) expire() {
	sleep.Every(o.ctx, expireEvery, func() {
		for _, f := range o.overdue(o.peers.now().Add(-expireGrace)) {
			o.finish(f, errTimeout)
		}
	})
}

func (o *outbound) overdue(now time.Time) []*flight {
	o.mu.Lock()
	defer o.mu.Unlock()
	var all []*flight
	for _, f := range o.flights {
		if !f.q.Deadline.IsZero() && f.q.Deadline.Before(now) {
			all = append(all, f)
		}
	}
	return all
}

func (o *outbound) state() OutboundState {
	o.mu.Lock()
	defer o.mu.Unlock()
	return OutboundState{Host: o.host, Connected: o.connected, Version: o.version,
		Exchanges: len(o.flights), Waiting: o.out.Len(), LastError: o.lastError}
}
