package host

import (
	"context"
	"sync"

	"skylarkdeal/io/host/hostpb"
)

// outbox holds the frames that wait for the writer of one stream, in order.
//
// Rows wait for room, so that a peer which takes nothing stops the answers to
// it. Ends of exchanges never wait: what calls Done may be serving the exchanges
// of other peers too. There is one end for each exchange, which bounds them.
type outbox struct {
	wake chan struct{}
	room chan struct{}

	mu     sync.Mutex
	frames []*hostpb.ForwardResponse
}

func newOutbox(n int) *outbox {
	return &outbox{wake: make(chan struct{}, 1), room: make(chan struct{}, n)}
}

// rows adds part of an answer once there is room.
func (o *outbox) rows(ctx context.Context, gone <-chan struct{}, m *hostpb.Rows) error {
	select {
	case o.room <- struct{}{}:
	case <-gone:
		return errCancelled
	case <-ctx.Done():
		return ctx.Err()
	}
	o.add(&hostpb.ForwardResponse{Kind: &hostpb.ForwardResponse_Rows{Rows: m}})
	return nil
}

// done adds the end of an exchange.
func (o *outbox) done(m *hostpb.Done) {
	o.add(&hostpb.ForwardResponse{Kind: &hostpb.ForwardResponse_Done{Done: m}})
}

func (o *outbox) add(m *hostpb.ForwardResponse) {
	o.mu.Lock()
	o.frames = append(o.frames, m)
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// write sends the frames in their order until ctx ends or send fails.
func (o *outbox) write(ctx context.Context, batched bool, send func(*hostpb.ForwardResponse) error) {
	var all []*hostpb.ForwardResponse
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.wake:
		}
		o.mu.Lock()
		all, o.frames = o.frames, all[:0]
		o.mu.Unlock()
		for rest := all; len(rest) > 0; {
			n := 1
			if batched {
				n = batchLength(rest)
			}
			if send(batch(rest[:n])) != nil {
				return
			}
			o.free(rest[:n])
			rest = rest[n:]
		}
	}
}

// batchLength returns how many of the first frames go in one message.
func batchLength(frames []*hostpb.ForwardResponse) int {
	size := 0
	for n, m := range frames {
		size += len(m.GetRows().GetData()) + len(m.GetDone().GetData())
		if n > 0 && (n == batchFrames || size > batchBytes) {
			return n
		}
	}
	return len(frames)
}

func batch(frames []*hostpb.ForwardResponse) *hostpb.ForwardResponse {
	if len(frames) == 1 {
		return frames[0]
	}
	return &hostpb.ForwardResponse{Kind: &hostpb.ForwardResponse_Batch{Batch: &hostpb.AnswerBatch{Frames: frames}}}
}

// free makes room for as many rows as frames held, and forgets the frames.
func (o *outbox) free(frames []*hostpb.ForwardResponse) {
	for _, m := range frames {
		if m.GetRows() != nil {
			<-o.room
		}
	}
	clear(frames)
}
