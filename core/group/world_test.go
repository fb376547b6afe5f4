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

// model simulates a group, its hosts and the network between them: messages are lost,
// late or out of order, links are cut, hosts restart, instances fail and come back, and
// replicas lag.
type model struct {
	rules       group.Rules
	acknowledge document.Acknowledge
	proposer    func(h *host) fleet.Host
	// askedAt returns the time at which a status counts as requested.
	askedAt func(sent, received time.Time) time.Time

	now        time.Time
	instances  []*grouptest.Instance
	down       map[fleet.Instance]bool
	hosts      []*host
	cut        map[link]bool
	inFlight   []message
	writeCount int
	// session, if set, is the only caller.
	session *roamingSession

	acknowledged []*acknowledgedWrite
	primaries    map[fleet.Term]fleet.Instance
	primarySince map[fleet.Term]time.Time
	stats        map[string]int
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
	position   fleet.LogPosition
	value      string
	receivedAt time.Time
}

type read struct {
	need     session.Need
	answer   session.Answer
	log      []grouptest.Entry
	answered bool
	// ownWrite is the write whose token the read shows; nil if it shows none.
	ownWrite *acknowledgedWrite
}

type acknowledgedWrite struct {
	write
	acknowledgedAt time.Time
	// lost is set if a later primary lacks the write.
	lost bool
}

type messageKind string

const (
	messageStatus  messageKind = "status"
	messageWrite   messageKind = "write"
	messageRead    messageKind = "read"
	messageCommand messageKind = "order"
)

// message is a request in flight, or its answer if answered is set.
type message struct {
	kind     messageKind
	link     link
	epoch    uint64
	sent     time.Time
	answered bool
	command  group.Command
	value    string
	read     *read

	status   fleet.Status
	position fleet.LogPosition
	role     fleet.Role
	log      []grouptest.Entry
	err      error
}

// maxInFlight is the maximum number of messages in flight. Beyond it the oldest is lost.
const maxInFlight = 80

func newModel(instances, hosts int) *model {
	names := []fleet.Instance{"a", "b", "c", "d", "e"}[:instances]
	m := &model{
		acknowledge:  document.AcknowledgeReplicated,
		now:          time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC),
		instances:    grouptest.New(names...),
		down:         make(map[fleet.Instance]bool),
		cut:          make(map[link]bool),
		primaries:    make(map[fleet.Term]fleet.Instance),
		primarySince: make(map[fleet.Term]time.Time),
		stats:        make(map[string]int),
		askedAt:      func(sent, _ time.Time) time.Time { return sent },
		proposer: func(h *host) fleet.Host {
			return group.Proposer(fleet.Host(fmt.Sprintf("h%d", h.index)), h.epoch, h.attempts)
		},
	}
	for i := range hosts {
		m.hosts = append(m.hosts, &host{index: i})
	}
	return m
}

// start configures the hosts with the rules and the document.
func (m *model) start() {
	for _, h := range m.hosts {
		m.restart(h)
	}
}

func (m *model) restart(h *host) {
	*h = host{index: h.index, epoch: h.epoch + 1}
	h.group.Rules = m.rules
	var d []document.Instance
	for _, i := range m.instances {
		d = append(d, document.Instance{Name: i.Name, Address: "127.0.0.1:1"})
	}
	h.group.Configure(m.now, d)
}

func (m *model) find(n fleet.Instance) *grouptest.Instance {
	for _, i := range m.instances {
		if i.Name == n {
			return i
		}
	}
	return nil
}

// step performs one event, which it draws by pick, and checks the result. pick returns a
// number below n.
func (m *model) step(pick func(n int) int) error {
	m.now = m.now.Add(time.Millisecond)
	h := m.hosts[pick(len(m.hosts))]
	i := m.instances[pick(len(m.instances))]
	switch pick(20) {
	case 0, 1, 2, 3, 4, 5, 6:
		for range 1 + pick(8) {
			m.deliver(pick)
		}
	case 7, 8:
		m.replicate(i, 1+pick(8))
	case 9, 10, 11, 12:
		m.requestStatuses(h)
	case 13, 14, 15, 16:
		m.callerStep(h, pick)
	case 17:
		m.promote(h, pick(6) == 0)
		m.repair(h)
	case 18:
		m.dropMessage(pick)
	default:
		m.injectFault(h, i, pick)
	}
	if err := m.answerCallers(); err != nil {
		return err
	}
	return m.checkPrimaries()
}

func (m *model) injectFault(h *host, i *grouptest.Instance, pick func(n int) int) {
	l := link{host: h.index, instance: i.Name}
	switch pick(12) {
	case 0:
		m.restart(h)
	case 1:
		m.down[i.Name] = true
	case 2, 3:
		clear(m.down)
	case 4:
		m.cut[l] = true
	case 5, 6:
		clear(m.cut)
	case 7:
		m.now = m.now.Add(time.Duration(pick(3000)) * time.Millisecond)
	default:
	}
}

func (m *model) send(h *host, n fleet.Instance, msg message) {
	msg.link, msg.epoch, msg.sent = link{host: h.index, instance: n}, h.epoch, m.now
	m.inFlight = append(m.inFlight, msg)
	if len(m.inFlight) > maxInFlight {
		m.inFlight = slices.Delete(m.inFlight, 0, 1)
	}
	m.stats["sent "+string(msg.kind)]++
}

func (m *model) requestStatuses(h *host) {
	for _, i := range m.instances {
		h.group.StatusRequested(i.Name, m.now)
		m.send(h, i.Name, message{kind: messageStatus})
	}
}

// callerStep makes a caller write or read.
func (m *model) callerStep(h *host, pick func(n int) int) {
	switch {
	case m.session != nil:
		m.session.step(m, h, pick)
	case pick(2) == 0:
		m.startWrite(h)
	default:
		m.startRead(h, pick)
	}
}

func (m *model) startWrite(h *host) {
	if p := h.group.Snapshot(m.now).Primary; p != "" {
		m.writeCount++
		m.send(h, p, message{kind: messageWrite, value: fmt.Sprint(m.writeCount)})
	}
}

func (m *model) startRead(h *host, pick func(n int) int) {
	q := &exchange.Request{Intent: exchange.IntentRead}
	r := &read{}
	switch pick(3) {
	case 0:
		q.MaxAge = time.Duration(1+pick(100)) * time.Millisecond
	case 1:
		if n := len(m.acknowledged); n > 0 {
			r.ownWrite = m.acknowledged[pick(n)]
			q.After = fleet.Some(r.ownWrite.position)
		}
	default:
	}
	r.need = session.NeedOf(q, m.now)
	h.reads = append(h.reads, r)
	m.send(h, m.instances[pick(len(m.instances))].Name, message{kind: messageRead, read: r})
}

func (m *model) promote(h *host, startNew bool) {
	if !startNew && h.promotion != nil && !h.promotion.Ended() {
		m.dispatch(h, h.promotion.Tick(m.now))
		return
	}
	if !startNew {
		return
	}
	h.attempts++
	promotion, commands := group.Promote(m.now, h.group.Snapshot(m.now), m.proposer(h), nil)
	h.promotion = promotion
	m.dispatch(h, commands)
}

func (m *model) repair(h *host) {
	m.dispatch(h, group.Repair(h.group.Snapshot(m.now)))
}

func (m *model) dispatch(h *host, commands []group.Command) {
	for _, c := range commands {
		m.send(h, c.Instance, message{kind: messageCommand, command: c})
	}
}

func (m *model) dropMessage(pick func(n int) int) {
	if len(m.inFlight) > 0 {
		i := pick(len(m.inFlight))
		m.inFlight = slices.Delete(m.inFlight, i, i+1)
	}
}

// deliver delivers a randomly chosen message, so that answers arrive late and out of
// order.
func (m *model) deliver(pick func(n int) int) {
	if len(m.inFlight) == 0 {
		return
	}
	i := pick(len(m.inFlight))
	msg := m.inFlight[i]
	m.inFlight = slices.Delete(m.inFlight, i, i+1)
	if m.cut[msg.link] {
		return
	}
	if msg.answered {
		m.receive(msg)
		return
	}
	if instance := m.find(msg.link.instance); !m.down[instance.Name] {
		m.inFlight = append(m.inFlight, m.handle(instance, msg))
	}
}

func (m *model) handle(i *grouptest.Instance, msg message) message {
	msg.answered = true
	switch msg.kind {
	case messageWrite:
		msg.position, msg.err = i.Append(msg.value)
	case messageRead:
		msg.position, msg.role, msg.log = i.Last(), i.Role, slices.Clone(i.Log)
	case messageCommand:
		msg.err = m.execute(i, msg.command)
	case messageStatus:
	}
	msg.status = i.Status()
	return msg
}

func (m *model) execute(i *grouptest.Instance, c group.Command) error {
	switch c.Act {
	case group.ActFence:
		return i.Fence(c.Term, c.Proposer)
	case group.ActPromote:
		return i.Promote(c.Term, c.Proposer)
	case group.ActFollow:
		return i.Follow(c.Term, c.Primary)
	}
	return nil
}

func (m *model) receive(msg message) {
	h := m.hosts[msg.link.host]
	if h.epoch != msg.epoch {
		return
	}
	switch msg.kind {
	case messageStatus:
		h.group.StatusReceived(msg.link.instance, m.askedAt(msg.sent, m.now), m.now, msg.status)
	case messageWrite:
		if msg.err == nil {
			h.writes = append(h.writes, write{position: msg.position, value: msg.value, receivedAt: m.now})
		}
	case messageRead:
		msg.read.answer = session.Answer{Position: msg.position, Role: msg.role}
		msg.read.log, msg.read.answered = msg.log, true
	case messageCommand:
		if h.promotion != nil {
			m.dispatch(h, h.promotion.HandleAnswer(m.now, msg.command, msg.status, msg.err))
		}
	}
}

func (m *model) replicate(i *grouptest.Instance, n int) {
	from := m.find(i.Follows)
	if from == nil || m.down[i.Name] || m.down[from.Name] {
		return
	}
	if i.Copy(from, n) == nil {
		m.stats["copied"]++
	}
}
