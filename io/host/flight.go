package host

import (
	"sync"

	"skylarkdeal/core/exchange"
	"skylarkdeal/io/host/hostpb"
)

// flight is one exchange on its way. Its events are delivered in order, by one
// goroutine that lives while there are any.
type flight struct {
	out   *outbound
	seq   uint64
	q     *exchange.Request
	reply exchange.Reply
	// sent is guarded by outbound.mu.
	sent bool

	mu     sync.Mutex
	events []event
	busy   bool
	// broken is set when the caller takes no more; owed is credit not yet sent.
	broken bool
	owed   uint64
}

// event is part of an answer, its end, or both.
type event struct {
	data   []byte
	done   bool
	result exchange.Result
}

// post queues e. The window bounds what waits here.
func (f *flight) post(e event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, e)
	if f.busy {
		return
	}
	f.busy = true
	f.out.peers.tasks.Go(f.deliver)
}

func (f *flight) deliver() {
	for {
		f.mu.Lock()
		if len(f.events) == 0 {
			f.busy = false
			f.mu.Unlock()
			return
		}
		e := f.events[0]
		f.events = f.events[1:]
		f.mu.Unlock()
		f.handle(e)
	}
}

func (f *flight) handle(e event) {
	if len(e.data) > 0 && !f.broken {
		if f.reply.Send(e.data) != nil {
			f.broken = true
			f.out.cancel(f.q.ID)
		}
	}
	if e.done {
		f.out.peers.metrics.done(e.result.Outcome)
		f.reply.Done(e.result)
		return
	}
	f.repay(uint64(len(e.data)))
}

// repay gives credit for n bytes that are off our hands, half a window at a
// time, so that small answers cost no credit frames.
func (f *flight) repay(n uint64) {
	f.owed += n
	if f.owed < window/2 {
		return
	}
	o := f.out
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.flights[f.seq] == f {
		o.urgentLocked(&hostpb.ForwardRequest{Kind: &hostpb.ForwardRequest_Credit{
			Credit: &hostpb.Credit{Seq: f.seq, Bytes: f.owed}}})
	}
	f.owed = 0
}
