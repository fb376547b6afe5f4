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
	t := time.AfterFunc(connectTimeout, cancel)
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
	o.peers.log().Info("stream to peer opened", zap.String("host", string(o.host)), zap.Uint32("version", v))
	return nil
}

func (o *outbound) write(ctx context.Context, s *forwardStream, first *flight) error {
	if err := o.launch(s, first); err != nil {
		return err
	}
	for {
		select {
		case <-ctx.Done():
			return errDown
		case <-o.wake:
		case f := <-o.out.Out():
			if err := o.launch(s, f); err != nil {
				return err
			}
		}
		if err := o.writeUrgent(s); err != nil {
			return err
		}
	}
}

func (o *outbound) writeUrgent(s *forwardStream) error {
	o.mu.Lock()
	all := o.urgent
	o.urgent = nil
	o.mu.Unlock()
	for _, m := range all {
		if err := s.Send(m); err != nil {
			return err
		}
	}
	return nil
}

// launch sends one exchange. It counts as sent from before the first byte: an
// error of Send doesn't tell how much of it has left.
func (o *outbound) launch(s *forwardStream, f *flight) error {
	now := o.peers.now()
	o.mu.Lock()
	live := o.flights[f.seq] == f
	expired := !f.q.Deadline.IsZero() && !f.q.Deadline.After(now)
	f.sent = live && !expired
	o.mu.Unlock()
	if !live {
		return nil
	}
	if expired {
		o.finish(f, errTimeout)
		return nil
	}
	return s.Send(&hostpb.ForwardRequest{Kind: &hostpb.ForwardRequest_Exchange{
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
		switch k := m.GetKind().(type) {
		case *hostpb.ForwardResponse_Rows:
			o.rows(k.Rows)
		case *hostpb.ForwardResponse_Done:
			o.done(k.Done)
		default: // of a later version
		}
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
