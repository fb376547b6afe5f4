package relay

import (
	"slices"
	"time"

	"skylarkdeal/core/admit"
	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/fresh"
	"skylarkdeal/core/leader"
	"skylarkdeal/core/statement"
)

// group is one service's instances with what waits for them and runs on them.
type group struct {
	r         *Relay
	name      fleet.Service
	service   catalog.Service
	instances map[fleet.Instance]*instance
	belief    leader.Belief
	proofs    leader.Proofs
	samples   fresh.Samples

	queue   admit.Queue
	waiting map[uint64]*operation
	running map[uint64]*operation
	// unproven are the answers that wait for their proof.
	unproven map[uint64]*operation
	// inquiries are other hosts' questions that wait for a connection.
	inquiries []inquiry
	// pumping keeps pump from calling itself.
	pumping bool
	// changedAt is when the last order became known, aliveAt when the primary last
	// answered.
	changedAt, aliveAt time.Time
	// verifiedAt is when the primary was last asked whether it is one.
	verifiedAt time.Time
	// ableAt is when the primary could last answer.
	ableAt time.Time
	// unsettled is since when no primary is settled.
	unsettled time.Time
	// surveyed is when the replicas were asked for an order, ordering until when another
	// one has to wait.
	surveyed, ordering time.Time
	// given is when the last order of this host was answered with success.
	given time.Time
	// listedAt is when the list of instances was last read.
	listedAt time.Time
	// readAt is when a read was last looked for a replica.
	readAt time.Time
}

func newGroup(r *Relay, s fleet.Service) *group {
	return &group{
		r: r, name: s, instances: map[fleet.Instance]*instance{},
		queue:   admit.Queue{Limits: queueLimits},
		waiting: map[uint64]*operation{}, running: map[uint64]*operation{},
		unproven: map[uint64]*operation{}, unsettled: r.now(),
	}
}

// missingFor is how long an instance may be off the list before it counts as gone: the
// store drops those that couldn't reach it for a while, and they are back within 2 s.
const missingFor = 2500 * time.Millisecond

// listed takes in the instances of the group as the list has them.
func (g *group) listed(is []catalog.Instance) {
	now := g.r.now()
	g.listedAt = now
	g.forget(now)
	for _, in := range is {
		i := g.instances[in.Name]
		if i == nil || i.info.Address != in.Address || i.info.Started != in.Started {
			if i != nil {
				g.drop(i, "it has another address now, or has started anew")
			}
			i = &instance{g: g, info: in, lastHeard: now, doubted: now}
			g.instances[in.Name] = i
			g.noteInstance(i, "use", "it is on the list")
		}
		if in.Leaving && !i.info.Leaving {
			g.noteInstance(i, "no new work", "it is leaving")
		}
		i.info, i.missing, i.gone = in, time.Time{}, i.moved
	}
	for _, i := range g.instances {
		if slices.ContainsFunc(is, func(in catalog.Instance) bool { return in.Name == i.info.Name }) {
			continue
		}
		if i.missing.IsZero() {
			i.missing = now
		}
		if now.Sub(i.missing) >= missingFor {
			g.drop(i, "it is off the list")
		}
	}
	g.belief.Listed(is)
	g.pump()
}

func (g *group) noteInstance(i *instance, choice, why string) {
	g.r.note(Event{
		Kind: EventInstance, Service: g.name, Instance: i.info.Name, Choice: choice, Reason: why,
	})
}

// drop gives up an instance; what runs on it may end.
func (g *group) drop(i *instance, why string) {
	if i.gone {
		return
	}
	i.gone = true
	g.noteInstance(i, "give up", why)
}

// forget drops what has been gone for long.
func (g *group) forget(now time.Time) {
	for n, i := range g.instances {
		if i.gone && len(i.conns) == 0 && !i.missing.IsZero() && now.Sub(i.missing) > keepGone {
			delete(g.instances, n)
		}
	}
}

// served reports whether any instance can be used.
func (g *group) served() bool {
	for _, i := range g.instances {
		if i.usable() {
			return true
		}
	}
	return false
}

// leads reports whether the group's answers of an instance are a primary's.
func (g *group) leads(n fleet.Instance) bool {
	if p, _, ok := g.belief.Primary(); ok && p == n {
		return true
	}
	f, _, ok := g.belief.Former()
	return ok && f == n
}

// primary returns the instance that takes writes now. While an order is on its way the
// former primary goes on, as long as it does.
func (g *group) primary() *instance {
	if p, _, ok := g.belief.Primary(); ok {
		return g.instances[p]
	}
	if f, _, ok := g.belief.Former(); ok {
		return g.instances[f]
	}
	return nil
}

// needs returns the point that a read has to cover on a replica, and whether it is
// known.
func (g *group) needs(o *operation) (fleet.Point, bool) {
	s, ok := g.samples.Oldest(o.age)
	if !ok {
		return fleet.Point{}, false
	}
	p := s.Point
	if o.route.Consistency == catalog.ConsistencySession && !p.Covers(o.s.written) {
		p = o.s.written
	}
	return p, true
}

// pump starts what can be started.
func (g *group) pump() {
	if g.pumping {
		return
	}
	g.pumping = true
	defer func() { g.pumping = false }()
	now := g.r.now()
	if len(g.inquiries) > 0 {
		g.answerInquiries(now)
	}
	for len(g.waiting) > 0 {
		found := map[uint64]*Conn{}
		item, ok := g.queue.Next(now, func(i admit.Item) bool {
			c := g.place(now, g.waiting[i.Key])
			found[i.Key] = c
			return c != nil
		})
		if !ok {
			return
		}
		g.waiting[item.Key].run(found[item.Key])
	}
}

// Places are compared by how long they make a caller wait, in time.
const (
	// stepCost is what each statement of the proxy's own costs ahead of a caller's:
	// its time on the way, and the price of a question.
	stepCost = 2 * time.Millisecond
	// connectCost is what a new connection takes.
	connectCost = 15 * time.Millisecond
	// farCost is a round trip to another data centre, and its bytes.
	farCost = 3 * time.Millisecond
	// leadCost keeps reads away from the primary, which alone can take writes.
	leadCost = 8 * time.Millisecond
	// usualWork stands for an instance that has not worked yet.
	usualWork = 8 * time.Millisecond
	// freshWork is how long a measured time counts: an instance that was slow is tried
	// again after it.
	freshWork = 2 * time.Second
	// lagPause is how long an instance that lacked a point is passed over, at first; it is
	// about how far replicas usually are behind. lagPauseMax bounds it.
	lagPause    = 60 * time.Millisecond
	lagPauseMax = time.Second
)

// place returns the connection on which an operation is to run now, or nil. It begins
// to connect where that is better than what there is.
//
// The load it is made for: few slots on each instance, one of them slow or far behind,
// accounts that each need connections of their own. Callers would wait behind one
// slow instance while the others rest, so the expected wait decides.
func (g *group) place(now time.Time, o *operation) *Conn {
	if o == nil {
		return nil
	}
	if o.dial != nil && o.dial.state == connIdle && o.dial.inst.usable() && g.serves(now, o.dial.inst, o) {
		return o.dial
	}
	var ready, dial way
	for _, i := range g.instances {
		if !g.serves(now, i, o) {
			continue
		}
		w := g.way(now, i, o)
		to := &ready
		if w.conn == nil && w.peer.Host == "" {
			to = &dial
		}
		if to.inst == nil || w.cost < to.cost {
			*to = w
		}
	}
	if dial.inst != nil && (ready.inst == nil || dial.cost < ready.cost) {
		if o.dial == nil || o.dial.state == connClosed {
			o.dial = dial.inst.connect(now, o)
		}
		if o.dial != nil {
			return nil
		}
	}
	if ready.inst == nil || ready.conn != nil {
		return ready.conn
	}
	return ready.inst.over(ready.peer, o.s.account)
}

// way is how an operation can reach an instance: by a connection that rests, over another
// host, or by a connection that is to be made.
type way struct {
	inst *instance
	conn *Conn
	peer Peer
	cost time.Duration
}

func (g *group) way(now time.Time, i *instance, o *operation) way {
	w := way{inst: i, cost: g.cost(now, i, o)}
	if p, ok := g.r.holder(i); ok && o.s.instance == "" {
		w.peer = p
		return w
	}
	c, steps := i.idle(o.s.account, o.s, o.prep)
	if c == nil {
		w.cost += connectCost
		return w
	}
	w.conn = c
	w.cost += time.Duration(steps) * stepCost
	return w
}

// serves reports whether an instance may run an operation now.
func (g *group) serves(now time.Time, i *instance, o *operation) bool {
	if o.s.instance != "" {
		return i.info.Name == o.s.instance && !i.gone
	}
	if o.avoid.Has(i.info.Name) || i.gone {
		return false
	}
	leads := g.leads(i.info.Name)
	if leads && g.primary() == i {
		return true
	}
	if o.lead || leads || !i.usable() || i.info.Name == g.belief.Named() {
		return false
	}
	g.readAt = now
	p, ok := g.needs(o)
	return ok && (i.point.Covers(p) || !now.Before(i.behind))
}

func (g *group) cost(now time.Time, i *instance, o *operation) time.Duration {
	work := i.work
	if work == 0 || now.Sub(i.workAt) > freshWork {
		work = usualWork
	}
	slots := max(i.info.Slots, 1)
	cost := work * time.Duration(1+i.busy()) / time.Duration(slots)
	if !i.local() {
		cost += farCost
	}
	if !o.lead && g.leads(i.info.Name) {
		cost += leadCost
	}
	if !g.r.reaches(now, i) {
		cost += backoffMax
	}
	return cost
}

// refusedBy takes in what a refusal tells of an instance.
func (g *group) refusedBy(c *Conn, code statement.Code, o *operation) {
	switch code {
	case statement.CodeUnreachable:
		if c.via != "" {
			c.inst.block(c.via)
		}
	case statement.CodeLagging:
		c.inst.lacked(g.r.now())
	case statement.CodeReadOnly:
		if g.leads(c.Instance) {
			g.r.note(Event{
				Kind: EventLeader, Service: g.name, Instance: c.Instance, ID: o.q.ID,
				Choice: "not the primary any more", Reason: "it refuses to write", Code: code,
			})
		}
		g.belief.Deposed(c.Instance)
		g.r.cfg.Refresh()
	default:
	}
}

// evidence takes in what every answer tells: where the instance's log stands.
func (g *group) evidence(c *Conn, asked time.Time, a statement.Answer) {
	p, ok := a.Point.Get()
	if !ok {
		return
	}
	now := g.r.now()
	c.inst.point = p
	g.belief.Seen(c.Instance, p.Term)
	if n, _, ok := g.belief.Primary(); ok && n == c.Instance {
		g.aliveAt = now
		if g.r.lease.Certain(now) {
			g.samples.Add(fresh.Sample{Point: p, Asked: asked})
		}
	}
}

// told takes in what an instance, asked at some moment, has said of itself.
func (g *group) told(c *Conn, asked time.Time, a statement.Answer) {
	s, ok := g.r.cfg.ParseStatus(a)
	if !ok {
		return
	}
	c.inst.received, c.inst.leads, c.inst.term = s.Received, s.Role == fleet.RolePrimary, s.Term
	c.inst.toldAt = g.r.now()
	if g.belief.Answered(c.Instance, s) {
		g.aliveAt = g.r.now()
		g.r.note(Event{
			Kind: EventLeader, Service: g.name, Instance: c.Instance, Term: s.Term,
			Choice: "use as the primary", Reason: "it says that it leads", Age: g.r.now().Sub(g.changedAt),
		})
	}
	proved, refuted := g.proofs.Evidence(c.Instance, asked, s.Term)
	for _, cl := range proved {
		g.proved(cl)
	}
	for _, cl := range refuted {
		g.unproved(cl, "another instance leads a later term")
	}
}

// judge gives an answer to its caller, or has it wait for the proof that it came from
// the primary. Reads on replicas were proved by the point they had to cover.
func (g *group) judge(o *operation, c *Conn, a statement.Answer) {
	if o.s.instance != "" {
		o.finish(a)
		return
	}
	if !o.lead && !g.leads(c.Instance) {
		if _, ok := o.after.Get(); ok {
			o.finish(a)
			return
		}
	}
	now := g.r.now()
	v, term, ask := g.belief.Judge(c.Instance, g.r.lease.Certain(now), g.others(c.Instance))
	switch {
	case v == leader.VerdictProved || v == leader.VerdictAsk && len(ask) == 0:
		g.confirmed(o, a)
	case v == leader.VerdictRefuted:
		o.answer = &a
		g.unprovedOp(o, "the primary has been replaced")
	default:
		o.answer = &a
		g.unproven[o.key] = o
		g.proofs.Add(leader.Claim{
			Key: o.key, Instance: c.Instance, Term: term, At: now, Deadline: now.Add(proofPatience),
		}, ask)
		g.askFor(now)
		g.r.hurry()
	}
}

// proofPatience bounds the wait for a proof. It is some round trips with a new
// connection; what is not proved by then depends on an instance that can't be reached.
const proofPatience = 250 * time.Millisecond

// others returns the instances besides n that may lead. One that is off the list may
// still run, and be promoted by a host that finds it on the list again; this host
// leaves it out only while it reads the list and has not found it there for long.
func (g *group) others(n fleet.Instance) []fleet.Instance {
	now := g.r.now()
	var out []fleet.Instance
	for _, i := range g.instances {
		left := i.gone && now.Sub(i.missing) > leftAfter && now.Sub(g.listedAt) < listFresh
		if i.info.Name != n && !left {
			out = append(out, i.info.Name)
		}
	}
	return out
}

const (
	// leftAfter is how long an instance has to be off the list to be left out of proofs,
	// keepGone how long it is remembered.
	leftAfter = 10 * time.Second
	keepGone  = 5 * time.Minute
	// listFresh is how old the list may be for that.
	listFresh = 4 * time.Second
)

// confirmed gives a proved answer.
func (g *group) confirmed(o *operation, a statement.Answer) {
	if p, ok := point(a); ok && o.writes && !o.s.written.Covers(p) {
		o.s.written = p
	}
	o.finish(a)
}

func (g *group) proved(c leader.Claim) {
	o := g.unproven[c.Key]
	delete(g.unproven, c.Key)
	if o == nil || o.over {
		return
	}
	if p, ok := point(*o.answer); ok {
		g.samples.Add(fresh.Sample{Point: p, Asked: o.sentAt})
	}
	g.confirmed(o, *o.answer)
}

func (g *group) unproved(c leader.Claim, why string) {
	o := g.unproven[c.Key]
	delete(g.unproven, c.Key)
	if o == nil || o.over {
		return
	}
	g.unprovedOp(o, why)
}

// unprovedOp handles an answer of what may no longer be the primary. A write may be
// lost; a read is run elsewhere, or its caller told to come back, as nothing is kept
// of it.
func (g *group) unprovedOp(o *operation, why string) {
	commit := o.q.Kind == statement.KindCommit
	switch {
	case commit && o.s.tx.writes || o.writes && !commit && !o.s.tx.open:
		o.inDoubt(why)
	case o.s.tx.open:
		o.s.tx.failed = true
		o.s.release()
		if commit {
			o.s.tx = transaction{}
		}
		o.give(statement.Answer{Code: statement.CodeAborted, Detail: "rolled back: " + why, RetryAfter: retrySoon})
	default:
		o.again(statement.CodeBusy)
	}
}

// able says why the group's primary can't answer now; nothing if it can. An answer that
// can't be proved is of no use to a caller: a write would be left in doubt, where one that
// isn't sent can be refused truly and run elsewhere.
func (g *group) able(now time.Time) string {
	p := g.primary()
	switch {
	case p == nil:
		return "the group has no primary now"
	case !g.r.reaches(now, p):
		return "the primary can't be reached"
	case g.r.lease.Certain(now):
		return ""
	}
	for _, n := range g.others(p.info.Name) {
		if i := g.instances[n]; i != nil && !g.r.reaches(now, i) {
			return "neither the store nor all instances can be asked whether the primary still leads"
		}
	}
	return ""
}

// hopeless says why an operation can't be served in time, and when to come back. Whoever
// is told at once can come back in time, or to a host that can.
func (g *group) hopeless(now time.Time, o *operation) (string, time.Duration) {
	if n := o.s.instance; n != "" {
		if i := g.instances[n]; i == nil || i.gone || i.doubtful(now) {
			return "this host can't reach the instance", retrySoon
		}
		return "", 0
	}
	if g.exhausted(o) {
		return "every instance that could run it has turned it away", retrySoon
	}
	why := g.able(now)
	if why == "" {
		return "", 0
	}
	if !o.lead {
		if _, ok := g.needs(o); ok && g.readable(now, o) {
			return "", 0
		}
	}
	wait := g.untilPrimary(now)
	if wait <= worthWaiting && now.Add(wait).Before(o.deadline) {
		return "", 0
	}
	return why, wait
}

// exhausted reports whether an operation has been turned away by all that can run it. To
// wait would then be in vain: it is tried on each only once.
func (g *group) exhausted(o *operation) bool {
	if len(o.avoid) == 0 {
		return false
	}
	if p := g.primary(); p != nil && !o.avoid.Has(p.info.Name) {
		return false
	}
	if o.lead {
		return g.primary() != nil
	}
	for _, i := range g.instances {
		if i.usable() && !o.avoid.Has(i.info.Name) {
			return false
		}
	}
	return true
}

// readable reports whether any instance but the primary can be reached for a read.
func (g *group) readable(now time.Time, o *operation) bool {
	for _, i := range g.instances {
		if i.usable() && !g.leads(i.info.Name) && g.r.reaches(now, i) && !o.avoid.Has(i.info.Name) {
			return true
		}
	}
	return false
}

const (
	// worthWaiting is how long a caller is held for a primary that is to come; beyond it
	// the caller is told when to come back.
	worthWaiting = 400 * time.Millisecond
	// changeTime is what the platform takes to carry out an order, with the questions
	// that settle it, and noticeTime what the hosts take to see that one is needed.
	changeTime = 1100 * time.Millisecond
	noticeTime = 400 * time.Millisecond
)

// untilPrimary guesses when the group will have a primary that can answer.
func (g *group) untilPrimary(now time.Time) time.Duration {
	if _, _, settled := g.belief.Primary(); settled {
		return noticeTime + changeTime
	}
	if left := changeTime - now.Sub(g.changedAt); left > 0 {
		return left
	}
	return retrySoon
}

// anyAccount returns an account under which the host may connect.
func (g *group) anyAccount() (fleet.Account, bool) {
	for _, o := range g.waiting {
		return o.s.account, true
	}
	if g.r.catalog == nil {
		return "", false
	}
	var first fleet.Account
	for a := range g.r.catalog.Accounts {
		if first == "" || a < first {
			first = a
		}
	}
	return first, first != ""
}
