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
func (o *outbox) write(ctx context.Context, send func(*hostpb.ForwardResponse) error) {
	var batch []*hostpb.ForwardResponse
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.wake:
		}
		o.mu.Lock()
		batch, o.frames = o.frames, batch[:0]
		o.mu.Unlock()
		for n, m := range batch {
			if send(m) != nil {
				return
			}
			if m.GetRows() != nil {
				<-o.room
			}
			batch[n] = nil
		}
	}
}
