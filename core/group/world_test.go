package group_test

import (
	"fmt"
	"slices"
	"time"

	"skylarkdeal/core/document"
	"skylarkdeal/core/exchange"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/group"
	"skylarkdeal/core/group/grouptest"
	"skylarkdeal/core/session"
)

// world is a model of a group, of the hosts before it and of the network in
// between: messages that are lost, late and crossed, links that are cut, hosts
// that restart, instances that die and come back, replicas that lag.
type world struct {
	rules    group.Rules
	rule     document.Acknowledge
	proposer func(h *host) fleet.Host
	// stamp returns when a status counts as asked.
	stamp func(sent, heard time.Time) time.Time

	now       time.Time
	instances []*grouptest.Instance
	down      map[fleet.Instance]bool
	hosts     []*host
	cut       map[link]bool
	net       []message
	written   int
	// session is the only caller if it is set.
	session *roamer

	acked     []*acked
	primaries map[fleet.Term]fleet.Instance
	since     map[fleet.Term]time.Time
	stats     map[string]int
}

type link struct {
	host     int
	instance fleet.Instance
}

type host struct {
	index     int
	epoch     uint64
	attempts  uint64
	group     group.Group
	promotion *group.Promotion
	writes    []write
	reads     []*read
}

type write struct {
	point fleet.LogPosition
	value string
	since time.Time
}

type read struct {
	need   session.Need
	answer session.Answer
	log    []grouptest.Entry
	got    bool
	// own is the write whose token the read shows.
	own *acked
}

type acked struct {
	write
	at time.Time
	// lost is set when a later primary lacks the write.
	lost bool
}

type messageKind string

const (
	messageStatus messageKind = "status"
	messageWrite  messageKind = "write"
	messageRead   messageKind = "read"
	messageOrder  messageKind = "order"
)

// message is a request on its way, or its answer once answered is set.
type message struct {
	kind     messageKind
	link     link
	epoch    uint64
	sent     time.Time
	answered bool
	order    group.Command
	value    string
	read     *read

	status fleet.Status
	point  fleet.LogPosition
	role   fleet.Role
	log    []grouptest.Entry
	err    error
}

// netRoom bounds the messages under way; the oldest is lost beyond it.
const netRoom = 80

func newWorld(instances, hosts int) *world {
	names := []fleet.Instance{"a", "b", "c", "d", "e"}[:instances]
	w := &world{
		rule:      document.AcknowledgeReplicated,
		now:       time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC),
		instances: grouptest.New(names...),
		down:      make(map[fleet.Instance]bool),
		cut:       make(map[link]bool),
		primaries: make(map[fleet.Term]fleet.Instance),
		since:     make(map[fleet.Term]time.Time),
		stats:     make(map[string]int),
		stamp:     func(sent, _ time.Time) time.Time { return sent },
		proposer: func(h *host) fleet.Host {
			return group.Proposer(fleet.Host(fmt.Sprintf("h%d", h.index)), h.epoch, h.attempts)
		},
	}
	for i := range hosts {
		w.hosts = append(w.hosts, &host{index: i})
	}
	return w
}

// start has the hosts take up the rules and the document.
func (w *world) start() {
	for _, h := range w.hosts {
		w.restart(h)
	}
}

func (w *world) restart(h *host) {
	*h = host{index: h.index, epoch: h.epoch + 1}
	h.group.Rules = w.rules
	var d []document.Instance
	for _, i := range w.instances {
		d = append(d, document.Instance{Name: i.Name, Address: "127.0.0.1:1"})
	}
	h.group.Configure(w.now, d)
}

func (w *world) find(n fleet.Instance) *grouptest.Instance {
	for _, i := range w.instances {
		if i.Name == n {
			return i
		}
	}
	return nil
}

// step lets one thing happen, drawn by pick, which returns a number below n.
func (w *world) step(pick func(n int) int) error {
	w.now = w.now.Add(time.Millisecond)
	h := w.hosts[pick(len(w.hosts))]
	i := w.instances[pick(len(w.instances))]
	switch pick(20) {
	case 0, 1, 2, 3, 4, 5, 6:
		for range 1 + pick(8) {
			w.deliver(pick)
		}
	case 7, 8:
		w.replicate(i, 1+pick(8))
	case 9, 10, 11, 12:
		w.askAll(h)
	case 13, 14, 15, 16:
		w.work(h, pick)
	case 17:
		w.promote(h, pick(6) == 0)
		w.repair(h)
	case 18:
		w.lose(pick)
	default:
		w.fault(h, i, pick)
	}
	if err := w.settle(); err != nil {
		return err
	}
	return w.check()
}

func (w *world) fault(h *host, i *grouptest.Instance, pick func(n int) int) {
	l := link{host: h.index, instance: i.Name}
	switch pick(12) {
	case 0:
		w.restart(h)
	case 1:
		w.down[i.Name] = true
	case 2, 3:
		clear(w.down)
	case 4:
		w.cut[l] = true
	case 5, 6:
		clear(w.cut)
	case 7:
		w.now = w.now.Add(time.Duration(pick(3000)) * time.Millisecond)
	default:
	}
}

func (w *world) send(h *host, n fleet.Instance, m message) {
	m.link, m.epoch, m.sent = link{host: h.index, instance: n}, h.epoch, w.now
	w.net = append(w.net, m)
	if len(w.net) > netRoom {
		w.net = slices.Delete(w.net, 0, 1)
	}
	w.stats["sent "+string(m.kind)]++
}

func (w *world) askAll(h *host) {
	for _, i := range w.instances {
		h.group.StatusRequested(i.Name, w.now)
		w.send(h, i.Name, message{kind: messageStatus})
	}
}

// work has a caller write or read.
func (w *world) work(h *host, pick func(n int) int) {
	switch {
	case w.session != nil:
		w.session.act(w, h, pick)
	case pick(2) == 0:
		w.write(h)
	default:
		w.startRead(h, pick)
	}
}

func (w *world) write(h *host) {
	if p := h.group.Snapshot(w.now).Primary; p != "" {
		w.written++
		w.send(h, p, message{kind: messageWrite, value: fmt.Sprint(w.written)})
	}
}

func (w *world) startRead(h *host, pick func(n int) int) {
	q := &exchange.Request{Intent: exchange.IntentRead}
	r := &read{}
	switch pick(3) {
	case 0:
		q.MaxAge = time.Duration(1+pick(100)) * time.Millisecond
	case 1:
		if n := len(w.acked); n > 0 {
			r.own = w.acked[pick(n)]
			q.After = fleet.Some(r.own.point)
		}
	default:
	}
	r.need = session.Needs(q, w.now)
	h.reads = append(h.reads, r)
	w.send(h, w.instances[pick(len(w.instances))].Name, message{kind: messageRead, read: r})
}

func (w *world) promote(h *host, anew bool) {
	if !anew && h.promotion != nil && !h.promotion.Ended() {
		w.dispatch(h, h.promotion.Tick(w.now))
		return
	}
	if !anew {
		return
	}
	h.attempts++
	p, orders := group.Promote(w.now, h.group.Snapshot(w.now), w.proposer(h), nil)
	h.promotion = p
	w.dispatch(h, orders)
}

func (w *world) repair(h *host) {
	w.dispatch(h, group.Repair(h.group.Snapshot(w.now)))
}

func (w *world) dispatch(h *host, orders []group.Command) {
	for _, o := range orders {
		w.send(h, o.Instance, message{kind: messageOrder, order: o})
	}
}

func (w *world) lose(pick func(n int) int) {
	if len(w.net) > 0 {
		i := pick(len(w.net))
		w.net = slices.Delete(w.net, i, i+1)
	}
}

// deliver delivers any message, so that answers arrive late and crossed.
func (w *world) deliver(pick func(n int) int) {
	if len(w.net) == 0 {
		return
	}
	i := pick(len(w.net))
	m := w.net[i]
	w.net = slices.Delete(w.net, i, i+1)
	if w.cut[m.link] {
		return
	}
	if m.answered {
		w.hear(m)
		return
	}
	if n := w.find(m.link.instance); !w.down[n.Name] {
		w.net = append(w.net, w.serve(n, m))
	}
}

func (w *world) serve(i *grouptest.Instance, m message) message {
	m.answered = true
	switch m.kind {
	case messageWrite:
		m.point, m.err = i.Append(m.value)
	case messageRead:
		m.point, m.role, m.log = i.Last(), i.Role, slices.Clone(i.Log)
	case messageOrder:
		m.err = w.carryOut(i, m.order)
	case messageStatus:
	}
	m.status = i.Status()
	return m
}

func (w *world) carryOut(i *grouptest.Instance, o group.Command) error {
	switch o.Act {
	case group.ActFence:
		return i.Fence(o.Term, o.Proposer)
	case group.ActPromote:
		return i.Promote(o.Term, o.Proposer)
	case group.ActFollow:
		return i.Follow(o.Term, o.Primary)
	}
	return nil
}

func (w *world) hear(m message) {
	h := w.hosts[m.link.host]
	if h.epoch != m.epoch {
		return
	}
	switch m.kind {
	case messageStatus:
		h.group.StatusReceived(m.link.instance, w.stamp(m.sent, w.now), w.now, m.status)
	case messageWrite:
		if m.err == nil {
			h.writes = append(h.writes, write{point: m.point, value: m.value, since: w.now})
		}
	case messageRead:
		m.read.answer = session.Answer{Position: m.point, Role: m.role}
		m.read.log, m.read.got = m.log, true
	case messageOrder:
		if h.promotion != nil {
			w.dispatch(h, h.promotion.Done(w.now, m.order, m.status, m.err))
		}
	}
}

func (w *world) replicate(i *grouptest.Instance, n int) {
	from := w.find(i.Follows)
	if from == nil || w.down[i.Name] || w.down[from.Name] {
		return
	}
	if i.Copy(from, n) == nil {
		w.stats["copied"]++
	}
}
