package store

import (
	"bytes"
	"errors"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"skylarkdeal/io/etcd/etcdpb"
)

// data is what the store holds: every version of every key since the last
// compaction.
type data struct {
	mu        sync.Mutex
	revision  int64
	compacted int64
	// versions are those of each key, the oldest first; one of version zero
	// stands for a deletion.
	versions map[string][]*etcdpb.KeyValue
	events   []*etcdpb.Event
	leases   map[int64]*lease
	// rewound is raised by each Rewind, which ends all watches.
	rewound int
	changed chan struct{}
}

var (
	errFuture = connect.NewError(connect.CodeOutOfRange,
		errors.New("etcdserver: mvcc: required revision is a future revision"))
	errCompacted = connect.NewError(connect.CodeOutOfRange,
		errors.New("etcdserver: mvcc: required revision has been compacted"))
	errNoLease = connect.NewError(connect.CodeNotFound, errors.New("etcdserver: requested lease not found"))
)

func (d *data) init() {
	d.revision = 1
	d.versions = map[string][]*etcdpb.KeyValue{}
	d.leases = map[int64]*lease{}
	d.changed = make(chan struct{})
}

func (d *data) header() *etcdpb.ResponseHeader {
	return &etcdpb.ResponseHeader{ClusterId: 1, MemberId: 1, Revision: d.revision, RaftTerm: 1}
}

// announce wakes the watches.
func (d *data) announce() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// at returns the version of key in effect at a revision, or nil.
func (d *data) at(key string, revision int64) *etcdpb.KeyValue {
	l := d.versions[key]
	for n := len(l) - 1; n >= 0; n-- {
		if l[n].ModRevision > revision {
			continue
		}
		if l[n].Version == 0 {
			return nil
		}
		return l[n]
	}
	return nil
}

// keys returns the keys from key up to end, in order. An empty end stands for
// key alone, a zero byte for all from key on.
func (d *data) keys(key, end []byte) []string {
	if len(end) == 0 {
		return []string{string(key)}
	}
	var l []string
	for k := range d.versions {
		if covers(key, end, []byte(k)) {
			l = append(l, k)
		}
	}
	slices.Sort(l)
	return l
}

func covers(key, end, k []byte) bool {
	switch {
	case len(end) == 0:
		return bytes.Equal(key, k)
	case len(end) == 1 && end[0] == 0:
		return bytes.Compare(k, key) >= 0
	default:
		return bytes.Compare(k, key) >= 0 && bytes.Compare(k, end) < 0
	}
}

// write appends a version of kv.Key at the given revision.
func (d *data) write(kv *etcdpb.KeyValue, t etcdpb.Event_EventType, prev *etcdpb.KeyValue) {
	k := string(kv.Key)
	if prev != nil && prev.Lease != 0 {
		delete(d.leases[prev.Lease].keys, k)
	}
	if kv.Lease != 0 {
		d.leases[kv.Lease].keys[k] = true
	}
	d.versions[k] = append(d.versions[k], kv)
	d.events = append(d.events, &etcdpb.Event{Type: t, Kv: kv, PrevKv: prev})
}

func (d *data) put(r *etcdpb.PutRequest, revision int64) (*etcdpb.KeyValue, error) {
	if r.Lease != 0 && d.leases[r.Lease] == nil {
		return nil, errNoLease
	}
	prev := d.at(string(r.Key), revision)
	kv := &etcdpb.KeyValue{
		Key: r.Key, Value: r.Value, Lease: r.Lease,
		CreateRevision: revision, ModRevision: revision, Version: 1,
	}
	if prev != nil {
		kv.CreateRevision, kv.Version = prev.CreateRevision, prev.Version+1
	}
	d.write(kv, etcdpb.Event_PUT, prev)
	return prev, nil
}

func (d *data) remove(key, end []byte, revision int64) []*etcdpb.KeyValue {
	var gone []*etcdpb.KeyValue
	for _, k := range d.keys(key, end) {
		prev := d.at(k, revision)
		if prev == nil {
			continue
		}
		gone = append(gone, prev)
		d.write(&etcdpb.KeyValue{Key: []byte(k), ModRevision: revision}, etcdpb.Event_DELETE, prev)
	}
	return gone
}

// commit runs write at the next revision, which stands if it wrote anything.
func (d *data) commit(write func(revision int64) error) error {
	n := len(d.events)
	err := write(d.revision + 1)
	if len(d.events) > n {
		d.revision++
		d.announce()
	}
	return err
}

// expire ends the leases that have lapsed at now.
func (d *data) expire(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, l := range d.leases {
		if now.After(l.until) {
			d.revoke(id)
		}
	}
}

// Compact forgets the versions before a revision: a watch from before it is
// refused.
func (s *Server) Compact(revision int64) {
	d := &s.data
	d.mu.Lock()
	defer d.mu.Unlock()
	d.compacted = min(revision, d.revision)
	d.events = slices.DeleteFunc(d.events, func(e *etcdpb.Event) bool { return e.Kv.ModRevision < d.compacted })
	for k, l := range d.versions {
		first := 0
		for n, v := range l {
			if v.ModRevision <= d.compacted {
				first = n
			}
		}
		d.versions[k] = l[first:]
	}
}

// Rewind puts the store back to a revision, as a restored backup does, and ends
// all watches.
func (s *Server) Rewind(revision int64) {
	d := &s.data
	d.mu.Lock()
	defer d.mu.Unlock()
	after := func(kv *etcdpb.KeyValue) bool { return kv.ModRevision > revision }
	for k, l := range d.versions {
		d.versions[k] = slices.DeleteFunc(l, after)
	}
	d.events = slices.DeleteFunc(d.events, func(e *etcdpb.Event) bool { return after(e.Kv) })
	d.revision = min(d.revision, max(revision, 1))
	d.rewound++
	d.announce()
}

// Revision returns the revision of the last change.
func (s *Server) Revision() int64 {
	s.data.mu.Lock()
	defer s.data.mu.Unlock()
	return s.data.revision
}
