package store

import (
	"context"
	"errors"
	"io"

	"connectrpc.com/connect"

	"skylarkdeal/internal/sleep"
	"skylarkdeal/io/etcd/etcdpb"
)

// watchService serves the Watch call: one watch for each stream.
type watchService struct{ s *Server }

// watch is the state of one stream.
type watch struct {
	key, end []byte
	// next is the first revision not yet sent.
	next    int64
	rewound int
	// silence is faults.silence at the start; another number makes the watch
	// silent.
	silence int
}

type watchStream = connect.BidiStream[etcdpb.WatchRequest, etcdpb.WatchResponse]

func (w watchService) Watch(ctx context.Context, stream *watchStream) error {
	r, err := stream.Receive()
	if err != nil {
		return err
	}
	w.s.calls.add(KindWatch)
	c := r.GetCreateRequest()
	if c == nil {
		return connect.NewError(connect.CodeInvalidArgument, errors.New("a watch starts by its creation"))
	}
	if err := w.s.faults.before(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go receive(stream, cancel)
	return w.run(ctx, stream, c)
}

// receive ends the watch when its caller closes the stream or cancels it. Its
// reads end with the call.
func receive(stream *watchStream, cancel func()) {
	defer cancel()
	for {
		r, err := stream.Receive()
		if errors.Is(err, io.EOF) || err != nil || r.GetCancelRequest() != nil {
			return
		}
	}
}

func (w watchService) run(ctx context.Context, stream *watchStream, c *etcdpb.WatchCreateRequest) error {
	d := &w.s.data
	v, header, compacted := d.newWatch(c)
	v.silence = w.s.faults.silence()
	if w.s.faults.get().SilentWatch {
		v.silence--
	}
	if err := stream.Send(&etcdpb.WatchResponse{Header: header, Created: true}); err != nil {
		return err
	}
	if compacted > 0 {
		return stream.Send(&etcdpb.WatchResponse{Header: header, Canceled: true, CompactRevision: compacted})
	}
	for {
		f, faultsChanged := w.s.faults.watch()
		if f.Down {
			return errDown
		}
		a, changed, err := d.since(v)
		if err != nil {
			return err
		}
		silent := w.s.faults.silence() != v.silence
		if a != nil && !silent && !f.Pause {
			if f.Slow > 0 && !sleep.For(ctx, f.Slow) {
				return nil
			}
			if err := stream.Send(a); err != nil {
				return err
			}
			v.next = a.Header.Revision + 1
			continue
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-faultsChanged:
		}
	}
}

// newWatch returns the watch that c asks for; the last result is the revision
// of the compaction when c starts before it.
func (d *data) newWatch(c *etcdpb.WatchCreateRequest) (*watch, *etcdpb.ResponseHeader, int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := &watch{key: c.Key, end: c.RangeEnd, next: c.StartRevision, rewound: d.rewound}
	if v.next == 0 {
		v.next = d.revision + 1
	}
	if v.next < d.compacted {
		return v, d.header(), d.compacted
	}
	return v, d.header(), 0
}

// since returns the events that v hasn't sent, or nil, and what is closed at
// the next change.
func (d *data) since(v *watch) (*etcdpb.WatchResponse, <-chan struct{}, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.rewound != v.rewound {
		return nil, nil, errDown
	}
	a := &etcdpb.WatchResponse{Header: d.header()}
	for _, e := range d.events {
		if e.Kv.ModRevision >= v.next && covers(v.key, v.end, e.Kv.Key) {
			a.Events = append(a.Events, &etcdpb.Event{Type: e.Type, Kv: e.Kv})
		}
	}
	if len(a.Events) == 0 {
		return nil, d.changed, nil
	}
	return a, d.changed, nil
}
