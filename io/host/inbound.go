package host

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"skylarkdeal/core/exchange"
	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/io/host/hostpb"
)

// inboundRing is how many frames of rows wait for the writer of one stream.
const inboundRing = 1024

// creditTimeout is how long an answer waits for credit before its exchange is
// given up: the entry host that neither reads nor closes is half gone, and the
// database connection that is held for it is needed by others.
const creditTimeout = 30 * time.Second

var (
	errNoCredit  = errors.New("peer took no more of the answer in time")
	errCancelled = errors.New("exchange was cancelled")
)

// inbound is the holder's side of one entry host's stream.
type inbound struct {
	server  *Server
	ctx     context.Context
	from    *hostpb.Hello
	version uint32
	out     *outbox

	mu    sync.Mutex
	runs  map[uint64]*run
	pins  map[exchange.Pin]struct{}
	ended bool
}

// run is one exchange in progress at the holder.
type run struct {
	in  *inbound
	id  exchange.ID
	pin exchange.Pin
	// credit is how many more bytes may be sent; it may fall below zero by one
	// message, since messages are not cut in two.
	credit int64
	// more is poked when credit has grown.
	more chan struct{}
	gone chan struct{}
	tail []byte
}

// forward serves one stream until it ends. It returns when all that it started
// has been told to end.
func (s *Server) forward(ctx context.Context,
	b *connect.BidiStream[hostpb.ForwardRequest, hostpb.ForwardResponse]) error {
	first, err := b.Receive()
	if err != nil {
		return err
	}
	v, err := s.Self.agree(first.GetHello())
	if err != nil {
		return refuseHello(err)
	}
	if err := b.Send(&hostpb.ForwardResponse{Kind: &hostpb.ForwardResponse_Hello{Hello: s.Self.hello()}}); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	i := &inbound{
		server: s, ctx: ctx, from: first.GetHello(), version: v,
		out:  newOutbox(inboundRing),
		runs: map[uint64]*run{}, pins: map[exchange.Pin]struct{}{},
	}
	s.enter(i)
	var writer sync.WaitGroup
	writer.Go(func() { i.out.write(ctx, v >= versionBatch, b.Send); cancel() })
	err = i.read(b)
	cancel()
	writer.Wait()
	i.end()
	s.leave(i)
	s.log().Info("peer stream ended", zap.String("host", i.from.GetHost()), zap.Error(err))
	return nil
}

func (i *inbound) read(b *connect.BidiStream[hostpb.ForwardRequest, hostpb.ForwardResponse]) error {
	for {
		m, err := b.Receive()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		i.take(m)
		for _, f := range m.GetBatch().GetFrames() {
			i.take(f)
		}
	}
}

// take acts on one frame; one of a later version is skipped.
func (i *inbound) take(m *hostpb.ForwardRequest) {
	switch k := m.GetKind().(type) {
	case *hostpb.ForwardRequest_Exchange:
		i.start(k.Exchange)
	case *hostpb.ForwardRequest_Credit:
		i.credit(k.Credit.GetSeq(), int64(k.Credit.GetBytes()))
	case *hostpb.ForwardRequest_Cancel:
		i.cancel(k.Cancel.GetSeq())
	case *hostpb.ForwardRequest_Release:
		i.release(exchange.Pin(k.Release.GetPin()))
	default:
	}
}

// start hands one exchange to the local Runner.
func (i *inbound) start(x *hostpb.Exchange) {
	q := toRequest(x, i.from, i.server.Self.Host, i.server.now())
	r := &run{in: i, id: q.ID, pin: q.Pin, credit: window,
		more: make(chan struct{}, 1), gone: make(chan struct{})}
	if f := i.admit(r, x.GetSeq()); f != nil {
		i.out.done(fromResult(exchange.Result{
			Outcome: exchange.OutcomeNotRun, Status: exchange.TxIdle, Refusal: f}, x.GetSeq()))
		return
	}
	i.server.Runner.Run(q, exchange.Reply{Send: r.send, Done: r.done})
}

// admit registers r, or says why it is not run.
//
// A transaction is open to the stream that began it and to no other: a pin
// guessed by, or left over from, another host would put its statements into a
// stranger's transaction.
func (i *inbound) admit(r *run, seq uint64) *failure.Refusal {
	i.mu.Lock()
	defer i.mu.Unlock()
	_, pinned := i.pins[r.pin]
	_, taken := i.runs[seq]
	switch {
	case taken:
		return &failure.Refusal{Code: failure.CodeProtocol, Message: "exchange number in use; not run",
			Step: stepForward, Peer: peerName(i.server.Self.Host)}
	case r.pin != 0 && !pinned:
		return &failure.Refusal{Code: failure.CodeUnreachable,
			Message: "the transaction was rolled back when its host's stream ended; not run",
			Step:    stepForward, Peer: peerName(i.server.Self.Host)}
	case r.pin == 0 && i.server.draining.Load():
		return &failure.Refusal{Code: failure.CodeShuttingDown, Message: "holder is shutting down; not run",
			Step: stepForward, Peer: peerName(i.server.Self.Host)}
	}
	i.runs[seq] = r
	return nil
}

// end cancels what is in progress and rolls back the open transactions. An
// entry host that died, or can't be told from a dead one, can commit nothing.
func (i *inbound) end() {
	i.mu.Lock()
	i.ended = true
	runs, pins := i.runs, i.pins
	i.runs, i.pins = map[uint64]*run{}, map[exchange.Pin]struct{}{}
	i.mu.Unlock()
	for _, r := range runs {
		close(r.gone)
		i.server.cancel(r.id)
	}
	for p := range pins {
		i.server.release(p)
	}
}

func (i *inbound) credit(seq uint64, n int64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	r, ok := i.runs[seq]
	if !ok {
		return
	}
	r.credit += n
	select {
	case r.more <- struct{}{}:
	default:
	}
}

func (i *inbound) cancel(seq uint64) {
	i.mu.Lock()
	r, ok := i.runs[seq]
	i.mu.Unlock()
	if ok {
		i.server.cancel(r.id)
	}
}

func (i *inbound) release(p exchange.Pin) {
	i.mu.Lock()
	_, ok := i.pins[p]
	delete(i.pins, p)
	i.mu.Unlock()
	if ok {
		i.server.release(p)
	}
}

func (i *inbound) busy() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.runs) > 0 || len(i.pins) > 0
}

func (i *inbound) state() InboundState {
	i.mu.Lock()
	defer i.mu.Unlock()
	return InboundState{Host: fleet.Host(i.from.GetHost()), Version: i.version,
		Exchanges: len(i.runs), Pins: len(i.pins)}
}
