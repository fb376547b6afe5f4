package relay

import (
	"time"

	"skylarkdeal/core/admit"
	"skylarkdeal/core/catalog"
	"skylarkdeal/core/exchange"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/staleness"
	"skylarkdeal/core/statement"
)

// operation is one statement on its way to an instance and back.
type operation struct {
	s     *Session
	g     *group
	q     statement.Statement
	prep  *prepared
	route catalog.Route
	key   uint64
	// writes is set for what may change data, and is sent at most once.
	writes bool
	// lead is set for what only the primary can answer.
	lead bool
	// opens is set for the first statement of a transaction.
	opens bool

	asked, deadline time.Time
	homes           homes
	// age is the moment before which acknowledged commits have to be shown by a read.
	age   time.Time
	tries int
	avoid fleet.Set[fleet.Instance]

	// conn runs the operation, dial is being made for it.
	conn, dial *Conn
	// sent is set once the statement itself has been handed to the instance, at sentAt.
	sent   bool
	sentAt time.Time
	// ran is set once it was sent to any instance.
	ran bool
	// after is the point that the read was sent with.
	after fleet.Option[fleet.LogPosition]
	// answer waits for its proof.
	answer *statement.Answer
	// over is set once the caller has its answer.
	over bool
}

// maxTries bounds how often one statement is sent off. Three instances and one more
// try after a change of primary are all there is to try.
const maxTries = 6

func newOperation(s *Session, q statement.Statement, p *prepared) *operation {
	now := s.r.now()
	o := &operation{
		s: s, q: q, prep: p, route: s.route, key: s.r.nextKey(), asked: now,
		g: s.r.group(s.route.Service), avoid: fleet.NewSet[fleet.Instance](),
	}
	o.deadline = now.Add(s.route.Timeout)
	o.writes = q.Kind == statement.KindWrite || q.Kind == statement.KindCommit ||
		p != nil && p.shape.Writes
	o.opens = s.tx.open && s.tx.conn == nil
	reads := !o.writes
	began := now
	if s.tx.open {
		reads, began = s.tx.read, s.tx.asked
	}
	o.lead = s.instance != "" || !reads || s.route.Consistency == catalog.ConsistencyPrimary
	o.age = began
	if s.route.Consistency != catalog.ConsistencyPrimary {
		o.age = began.Add(-s.route.MaxAge)
	}
	if p != nil {
		o.q.Name = p.name
	}
	o.homes.route = s.route.AllowedRegions
	if s.r.catalog != nil {
		o.homes.account = s.r.catalog.Accounts[s.account].AllowedRegions
	}
	if s.instance != "" {
		// The host that asks has seen to its homes.
		o.homes = homes{}
		o.after = q.After
		if s.tx.open {
			o.after = s.tx.after
		}
	}
	return o
}

// start sends the operation off, or has it wait for a connection.
func (o *operation) start() {
	o.s.op, o.s.turned = o, false
	if c := o.s.tx.conn; o.s.tx.open && c != nil {
		if why := o.barred(c); why != "" {
			o.s.fail()
			o.refuse(statement.CodeAborted, "rolled back: "+why, shortRetryAfter)
			return
		}
		o.conn = c
		c.op = o
		o.g.running[o.key] = o
		o.execute()
		return
	}
	o.wait()
}

// barred says why the next statement of a transaction may not be sent on the connection that runs it;
// nothing if it may.
func (o *operation) barred(c *Conn) string {
	now := o.g.r.now()
	switch {
	case c.inst.closed(now):
		return "its data centre is evacuated"
	case c.via == "" && !c.inst.bearsMore(now):
		return "its instance has just started and bears no more"
	default:
		return ""
	}
}

// wait queues the operation.
func (o *operation) wait() {
	now := o.g.r.now()
	if why, after := o.g.refusalReason(now, o); why != "" {
		code := statement.CodeBusy
		if i := o.g.instances[o.s.instance]; o.s.instance != "" && (i == nil || i.open(now)) {
			code = statement.CodeUnreachable
		}
		o.refuse(code, why, after)
		return
	}
	o.sent, o.conn, o.dial = false, nil, nil
	v := o.g.queue.Enqueue(now, admit.Item{
		Key: o.key, Account: o.s.account, Weight: o.weight(), Deadline: o.patience(),
		Intent: o.intent(),
	})
	if v.Refusal != nil {
		o.refuse(statement.CodeBusy, v.Refusal.Message, v.Refusal.RetryAfter)
		return
	}
	o.g.waiting[o.key] = o
	o.g.pump()
	if !o.over && o.conn == nil {
		o.g.r.hurry()
	}
}

// waitTargets is how many times its route's target an operation may wait for its turn.
//
// It is made for more work than the instances can do: replicas far behind and all reads
// on the primary, or a burst. What has waited for longer is late for its caller
// already, and each late answer makes the next one late. Its caller is told to come back
// instead, while there is time. With both replicas behind, a burst and a flood, callers
// got 0.871 of what they were owed, 0.831 with twice the target (means of three runs), and
// less with four times.
const waitTargets = 1

// patience is until when the operation may wait for its turn.
func (o *operation) patience() time.Time {
	if o.route.Target <= 0 {
		return o.deadline
	}
	until := o.asked.Add(waitTargets * o.route.Target)
	if until.Before(o.deadline) {
		return until
	}
	return o.deadline
}

func (o *operation) intent() exchange.Intent {
	if o.lead {
		return exchange.IntentWrite
	}
	return exchange.IntentRead
}

// weight is the account's share of a queue against the others': its rate.
func (o *operation) weight() float64 {
	if c := o.g.r.catalog; c != nil {
		return max(c.Accounts[o.s.account].Rate, 1)
	}
	return 1
}

// run takes the connection that was found.
func (o *operation) run(c *Conn) {
	delete(o.g.waiting, o.key)
	o.g.running[o.key] = o
	o.conn = c
	o.tries++
	if s, ok := o.need(); ok && !c.inst.position.Covers(s.Position) {
		c.inst.trialRead = o
	}
	c.setState(connBusy)
	c.op = o
	if o.s.tx.open {
		c.session = o.s
	}
	o.execute()
}

// execute gives the connection the session's values and then sends the statement.
//
// A statement must not run where setting a value or beginning a transaction has failed:
// it would show other rows, or commit on its own. So it is sent once these are answered.
// What is only to be prepared goes ahead of it at once, as an instance that lacks the
// prepared statement refuses to run it.
func (o *operation) execute() {
	c := o.conn
	qs := c.setup(o.s, o.prep)
	c.applied(o.s, o.prep, qs)
	if o.s.instance == "" {
		s, ok := o.need()
		if !ok && !o.unbound() {
			// Nothing tells any more which point the log has to cover.
			o.unready(statement.CodeLagging, statement.TxNone)
			return
		}
		o.after = fleet.Option[fleet.LogPosition]{}
		if ok {
			o.after = fleet.Some(s.Position)
		}
	}
	sets := len(qs)
	if o.opens {
		qs = append(qs, o.beginning())
	}
	if !needsAnswer(qs) || c.via != "" {
		// Another host sees to the order itself.
		o.main(qs)
		return
	}
	failed, answered := statement.CodeNone, 0
	each := func(a statement.Answer) {
		answered++
		if a.Code == statement.CodeNone {
			return
		}
		if failed == statement.CodeNone {
			failed = a.Code
		}
		c.spoilt = c.spoilt || answered <= sets
	}
	c.send(qs, each, func(a statement.Answer) {
		each(a)
		if c.op != o {
			return
		}
		if failed != statement.CodeNone {
			o.unready(failed, a.State)
			return
		}
		o.main(nil)
	})
}

func needsAnswer(qs []statement.Statement) bool {
	for _, q := range qs {
		if q.Kind != statement.KindPrepare {
			return true
		}
	}
	return false
}

func (o *operation) beginning() statement.Statement {
	b := statement.Statement{ID: o.s.tx.begin, Kind: statement.KindBegin, After: o.after}
	if o.s.tx.read {
		b.Kind = statement.KindBeginRead
	}
	return b
}

// unbound reports whether the instance may run the operation wherever its log ends.
func (o *operation) unbound() bool { return o.lead || o.g.isPrimary(o.conn.Instance) }

// need is the point that the instance's log has to cover, for a read on a replica, and whether
// there is one.
func (o *operation) need() (staleness.Sample, bool) {
	if o.unbound() {
		return staleness.Sample{}, false
	}
	return o.g.needs(o)
}

// main sends the statement itself, behind ahead.
func (o *operation) main(ahead []statement.Statement) {
	q := o.q
	if !o.s.tx.open {
		q.After = o.after
	}
	o.sent, o.sentAt = true, o.g.r.now()
	if _, ok := o.after.Get(); ok && o.s.instance == "" && o.g.promotionRecent(o.sentAt) {
		o.note(EventPlace, "read a replica", "its log is to cover the point", statement.CodeNone)
	}
	o.ran, o.s.tx.ran = true, true
	if o.s.tx.open {
		o.s.tx.conn = o.conn
		o.s.tx.writes = o.s.tx.writes || o.writes && q.Kind != statement.KindCommit
	}
	ahead = append(ahead, q)
	if o.conn.via == "" {
		o.conn.inst.spend(o.sentAt, ahead)
	}
	o.conn.send(ahead, nil, o.handleAnswer)
}

// unready handles a connection that could not be made ready: nothing was run. One on
// which a transaction had begun is left to it.
func (o *operation) unready(code statement.Code, state statement.TxState) {
	c := o.conn
	o.g.handleRefusal(c, code, o)
	c.op = nil
	if !o.begun() {
		c.session = nil
		well := code == statement.CodeLagging || code == statement.CodeReadOnly || code == statement.CodeBusy
		c.retireUnless(well && state == statement.TxNone)
	}
	if o.s.instance != "" && !o.begun() && code.NotRun() {
		// Only the host that asks can choose another instance.
		o.releaseSlot(o.g.r.now(), 0)
		o.refuse(code, "the instance has turned it away", shortRetryAfter)
		return
	}
	o.retry(code)
}

// begun reports whether an instance has run any of the operation's transaction before it.
func (o *operation) begun() bool { return o.s.tx.open && !o.opens }

// retireUnless frees a connection whose last answer tells that all is well with it, and
// closes any other.
func (c *Conn) retireUnless(well bool) {
	if well {
		c.free()
		return
	}
	c.retire()
}

func (o *operation) note(k EventKind, choice, why string, code statement.Code) {
	e := Event{
		Kind: k, ID: o.q.ID, Database: o.route.Database, Service: o.g.name, Account: o.s.account,
		Choice: choice, Reason: why, Code: code, Took: o.g.r.now().Sub(o.asked), Consistency: o.route.Consistency,
	}
	if o.conn != nil {
		e.Instance, e.InstancePoint = o.conn.Instance, o.conn.inst.position
	}
	if p, ok := o.after.Get(); ok {
		e.RequiredPoint = p
	}
	if s, ok := o.g.samples.Oldest(o.age); ok && k == EventPlace {
		e.Age = o.g.r.now().Sub(s.AskedAt)
	}
	if o.conn != nil {
		e.Host = o.conn.via
	}
	e.AlwaysLog = code != statement.CodeNone || e.Took > o.route.Target
	o.g.r.logEvent(e)
}
