package host

import (
	"context"
	"errors"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"skylarkdeal/core/exchange"
	"skylarkdeal/io/host/hostpb"
)

type forwardStream = connect.BidiStreamForClient[hostpb.ForwardRequest, hostpb.ForwardResponse]

// stream opens a stream, sends first and all that follows, and returns when the
// stream has ended and all its flights with it. It reports whether the stream
// was opened.
func (o *outbound) stream(first *flight) bool {
	ctx, cancel := context.WithCancel(o.ctx)
	defer cancel()
	s, err := o.open(ctx, cancel)
	if err != nil {
		o.fail(err)
		return false
	}
	var reader sync.WaitGroup
	var readErr error
	reader.Go(func() {
		readErr = o.read(s)
		cancel()
	})
	writeErr := o.write(ctx, s, first)
	cancel()
	_ = s.CloseRequest()
	reader.Wait()
	_ = s.CloseResponse()
	err = writeErr
	if readErr != nil && !errors.Is(readErr, context.Canceled) {
		err = readErr
	}
	o.fail(err)
	return true
}

// open connects and exchanges Hello. The timer, not a deadline of ctx, bounds
// it, since the stream outlives its opening.
func (o *outbound) open(ctx context.Context, cancel context.CancelFunc) (*forwardStream, error) {
	c, err := o.peers.client(o.host)
	if err != nil {
		return nil, err
	}
	d := o.peers.ConnectTimeout
	if d == 0 {
		d = DefaultConnectTimeout
	}
	t := time.AfterFunc(d, cancel)
	defer t.Stop()
	s := c.Forward(ctx)
	err = s.Send(&hostpb.ForwardRequest{Kind: &hostpb.ForwardRequest_Hello{Hello: o.peers.Self.hello()}})
	var m *hostpb.ForwardResponse
	if err == nil {
		m, err = s.Receive()
	}
	if err == nil {
		err = o.greeted(m.GetHello())
	}
	if err != nil {
		cancel()
		_ = s.CloseRequest()
		_ = s.CloseResponse()
		return nil, err
	}
	return s, nil
}

func (o *outbound) greeted(h *hostpb.Hello) error {
	v, err := o.peers.Self.agree(h)
	if err != nil {
		return err
	}
	if h.GetHost() != string(o.host) {
		return errors.New("the address is answered by host " + h.GetHost())
	}
	o.mu.Lock()
	o.connected, o.version, o.lastError = true, v, ""
	o.mu.Unlock()
	o.peers.metrics.opened.Inc()
	o.peers.log().Info("stream to peer opened", zap.String("host", string(o.host)), zap.Uint32("version", v))
	return nil
}

// write sends first and all that follows, in batches where the peer knows them.
func (o *outbound) write(ctx context.Context, s *forwardStream, first *flight) error {
	frames := o.launch(nil, first)
	for {
		frames = o.gather(frames)
		if err := o.send(s, frames); err != nil {
			return err
		}
		clear(frames)
		frames = frames[:0]
		select {
		case <-ctx.Done():
			return errDown
		case <-o.wake:
		case f := <-o.out.Out():
			frames = o.launch(frames, f)
		}
	}
}

// gather adds what waits to frames, up to one batch of exchanges.
func (o *outbound) gather(frames []*hostpb.ForwardRequest) []*hostpb.ForwardRequest {
	size := 0
	for _, f := range frames {
		size += len(f.GetExchange().GetPayload())
	}
	for len(frames) < batchFrames && size < batchBytes {
		f, ok := o.out.TryTake()
		if !ok {
			break
		}
		frames = o.launch(frames, f)
		size += len(f.q.Payload)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	frames = append(frames, o.urgent...)
	o.urgent = nil
	return frames
}

func (o *outbound) send(s *forwardStream, frames []*hostpb.ForwardRequest) error {
	if len(frames) > 1 && o.batches() {
		return s.Send(&hostpb.ForwardRequest{Kind: &hostpb.ForwardRequest_Batch{
			Batch: &hostpb.ForwardBatch{Frames: frames}}})
	}
	for _, f := range frames {
		if err := s.Send(f); err != nil {
			return err
		}
	}
	return nil
}

func (o *outbound) batches() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.version >= versionBatch
}

// launch adds the frame of one exchange to frames. It counts as sent from before
// the first byte: an error of Send doesn't tell how much of it has left.
func (o *outbound) launch(frames []*hostpb.ForwardRequest, f *flight) []*hostpb.ForwardRequest {
	now := o.peers.now()
	o.mu.Lock()
	live := o.flights[f.seq] == f
	expired := !f.q.Deadline.IsZero() && !f.q.Deadline.After(now)
	f.sent = live && !expired
	o.mu.Unlock()
	if !live {
		return frames
	}
	if expired {
		o.finish(f, errTimeout)
		return frames
	}
	return append(frames, &hostpb.ForwardRequest{Kind: &hostpb.ForwardRequest_Exchange{
		Exchange: fromRequest(f.q, f.seq, now)}})
}

// read takes in answers. It never waits for a caller, so that one caller that
// doesn't read holds up no other answer on the stream.
func (o *outbound) read(s *forwardStream) error {
	for {
		m, err := s.Receive()
		if err != nil {
			return err
		}
		o.take(m)
		for _, f := range m.GetBatch().GetFrames() {
			o.take(f)
		}
	}
}

// take acts on one frame; one of a later version is skipped.
func (o *outbound) take(m *hostpb.ForwardResponse) {
	switch k := m.GetKind().(type) {
	case *hostpb.ForwardResponse_Rows:
		o.rows(k.Rows)
	case *hostpb.ForwardResponse_Done:
		o.done(k.Done)
	default:
	}
}

// rows passes on part of an answer. That of an exchange which is over here, or
// never was, is dropped: its number is never used again.
func (o *outbound) rows(m *hostpb.Rows) {
	o.mu.Lock()
	f, ok := o.flights[m.GetSeq()]
	o.mu.Unlock()
	if ok {
		f.post(event{data: m.GetData()})
	}
}

func (o *outbound) done(m *hostpb.Done) {
	o.mu.Lock()
	f, ok := o.flights[m.GetSeq()]
	ok = ok && o.forgetLocked(f)
	o.mu.Unlock()
	if !ok {
		o.orphan(exchange.Pin(m.GetPin()))
		return
	}
	f.post(event{data: m.GetData(), done: true, result: toResult(m, o.host)})
}

// orphan gives up a transaction that was opened by an exchange which is over
// here: its caller was told something else and can't end it.
func (o *outbound) orphan(p exchange.Pin) {
	if p != 0 {
		o.release(p)
	}
}
