package relay

import (
	"time"

	"skylarkdeal/core/admit"
	"skylarkdeal/core/catalog"
	"skylarkdeal/core/exchange"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/staleness"
	"skylarkdeal/core/statement"
	"skylarkdeal/core/times"
)

// operation is one statement of a session, from its arrival to its answer.
type operation struct {
	s        *Session
	g        *group
	q        statement.Statement
	prepared *prepared
	route    catalog.Route
	key      uint64
	// writes is set for a statement that may change data. It is sent at most once.
	writes bool
	// needsPrimary is set for a statement that only the primary can answer.
	needsPrimary bool
	// beginsTx is set for the first statement of a transaction.
	beginsTx bool

	startedAt, deadline time.Time
	regions             allowedRegions
	// A read has to show all commits that were acknowledged before asOf.
	asOf     time.Time
	attempts int
	// runs is how often the statement may have run on an instance.
	runs     int
	excluded fleet.Set[fleet.Instance]
	// busyRetryAfter is the longest retry time of the answers that refused it for lack of capacity.
	busyRetryAfter time.Duration

	// wantedAt is the instance at which the operation last counted as one that wants a connection.
	wantedAt *instance
	// conn runs the operation. dialling is a connection that is being made for it.
	conn, dialling *Conn
	// sent is set once the statement itself was sent to the instance, at sentAt.
	sent   bool
	sentAt time.Time
	// runningAtSent is how many statements this host had at the instance then, on its own connections.
	runningAtSent int
	// everSent is set once it was sent to any instance.
	everSent bool
	// requiredPosition is the log position that the read was sent with.
	requiredPosition fleet.Option[fleet.LogPosition]
	// unverifiedAnswer is the answer whose verification is pending.
	unverifiedAnswer *statement.Answer
	// overdue is set once the expected time of its response has passed, runAgainAt when a former attempt was
	// abandoned for that.
	overdue    bool
	runAgainAt time.Time
	// probe is set while it is a probe of an ejected instance.
	probe bool
	// finished is set once the caller has its answer.
	finished bool
}

// maxAttempts bounds how often one statement is sent. There are three instances to try, and one more
// attempt after a promotion.
const maxAttempts = 6

func newOperation(s *Session, q statement.Statement, p *prepared) *operation {
	now := s.r.now()
	o := &operation{
		s: s, q: q, prepared: p, route: s.route, key: s.r.nextKey(), startedAt: now,
		g: s.r.group(s.route.Service), excluded: fleet.NewSet[fleet.Instance](),
	}
	o.deadline = now.Add(s.route.Timeout)
	o.writes = q.Kind == statement.KindWrite || q.Kind == statement.KindCommit ||
		p != nil && p.definition.Writes
	o.beginsTx = s.tx.open && s.tx.conn == nil
	reads := !o.writes
	startedAt := now
	if s.tx.open {
		reads, startedAt = s.tx.read, s.tx.begunAt
	}
	o.needsPrimary = s.boundInstance != "" || !reads || s.route.Consistency == catalog.ConsistencyPrimary
	o.asOf = startedAt
	if s.route.Consistency != catalog.ConsistencyPrimary {
		o.asOf = startedAt.Add(-s.route.MaxAge)
	}
	if p != nil {
		o.q.Name = p.name
	}
	o.regions.route = s.route.AllowedRegions
	if s.r.catalog != nil {
		o.regions.account = s.r.catalog.Accounts[s.account].AllowedRegions
	}
	if s.boundInstance != "" {
		// The requesting host has checked the regions.
		o.regions = allowedRegions{}
		o.requiredPosition = q.After
		if s.tx.open {
			o.requiredPosition = s.tx.requiredPosition
		}
	}
	return o
}

// start sends the operation on the connection of its transaction, or queues it.
func (o *operation) start() {
	o.s.op, o.s.lastRefused = o, false
	o.g.use()
	if c := o.s.tx.conn; o.s.tx.open && c != nil {
		if reason := o.blockedReason(c); reason != "" {
			o.s.failTransaction()
			o.refuse(statement.CodeAborted, "rolled back: "+reason, o.g.r.shortRetry())
			return
		}
		o.conn = c
		c.op = o
		o.g.running[o.key] = o
		o.execute()
		return
	}
	o.enqueue()
}

// blockedReason returns why the next statement of a transaction may not be sent on the connection that
// runs it, empty if it may.
func (o *operation) blockedReason(c *Conn) string {
	now := o.g.r.now()
	switch {
	case c.inst.evacuationExpired(now):
		return "its data centre is evacuated"
	case c.via == "" && !c.inst.canContinue(now):
		return "its instance has just started and bears no more"
	default:
		return ""
	}
}

// enqueue queues the operation, or refuses it if it can't be served in time.
func (o *operation) enqueue() {
	now := o.g.r.now()
	if reason, retryAfter := o.g.refusalReason(now, o); reason != "" {
		code := statement.CodeBusy
		if i := o.g.instances[o.s.boundInstance]; o.s.boundInstance != "" && (i == nil || i.acceptsNew(now)) {
			code = statement.CodeUnreachable
		}
		o.refuse(code, reason, o.retryTime(retryAfter))
		return
	}
	if o.g.refusedBeforeHop(now, o) {
		return
	}
	o.sent, o.conn, o.dialling = false, nil, nil
	v := o.g.queue.Enqueue(now, admit.Item{
		Key: o.key, Account: o.s.account, Weight: o.queueWeight(), Deadline: o.waitDeadline(),
		Intent: o.intent(), Priority: o.route.Priority,
	})
	o.g.refuseRemoved(v.Displaced)
	if v.Refusal != nil {
		o.refuseBusy(v.Refusal)
		return
	}
	o.g.waiting[o.key] = o
	o.g.dispatch()
	if !o.finished && o.conn == nil {
		o.g.r.requestTick()
	}
}

// maxWaitTargets is how long an operation may wait in the queue, in multiples of its route's target.
//
// Designed for more work than the instances can do, such as a burst, or replicas so far behind that all
// reads go to the primary. An operation that has waited for longer is late already, and each late
// answer delays the next one. Its caller is told to retry later instead, while there is time. With both
// replicas behind, a burst and a flood, callers got 0.871 of the answers that were due, 0.831 with
// twice the target (means of three runs), and less with four times.
const maxWaitTargets = 1

// waitDeadline returns until when the operation may wait in the queue.
func (o *operation) waitDeadline() time.Time {
	if o.route.Target <= 0 {
		return o.deadline
	}
	until := times.Later(o.startedAt, o.runAgainAt).Add(maxWaitTargets * o.route.Target)
	if until.Before(o.deadline) {
		return until
	}
	return o.deadline
}

func (o *operation) intent() exchange.Intent {
	if o.needsPrimary {
		return exchange.IntentWrite
	}
	return exchange.IntentRead
}

// queueWeight returns the weight of the account in the queue: its rate.
func (o *operation) queueWeight() float64 {
	if c := o.g.r.catalog; c != nil {
		return max(c.Accounts[o.s.account].Rate, 1)
	}
	return 1
}

// runOn runs the operation on a connection.
func (o *operation) runOn(c *Conn) {
	delete(o.g.waiting, o.key)
	o.g.running[o.key] = o
	o.conn = c
	o.attempts++
	o.beginProbe()
	if s, ok := o.replicaRequirement(); ok && !c.inst.position.Covers(s.Position) {
		c.inst.trialRead = o
	}
	c.setState(connBusy)
	c.op = o
	c.inst.wantConn(o.g.r.now(), o)
	if o.s.tx.open {
		c.session = o.s
	}
	o.execute()
}

// execute sets up the connection for the session, and then sends the statement.
//
// A statement must not run where setting a value or beginning a transaction has failed: it would return
// other rows, or commit on its own. So it is sent once these are answered. Prepare statements are sent
// ahead of it without waiting, since an instance that lacks the prepared statement refuses to run it.
func (o *operation) execute() {
	c := o.conn
	qs := c.setupStatements(o.s, o.prepared)
	c.recordSetup(o.s, o.prepared, qs)
	if o.s.boundInstance == "" {
		s, ok := o.replicaRequirement()
		if !ok && !o.anyPosition() {
			// No sample tells any more which position the log has to cover.
			o.setupFailed(statement.CodeLagging, statement.TxNone)
			return
		}
		o.requiredPosition = fleet.Option[fleet.LogPosition]{}
		if ok {
			o.requiredPosition = fleet.Some(s.Position)
		}
	}
	setupCount := len(qs)
	if o.beginsTx {
		qs = append(qs, o.beginStatement())
	}
	if !needsReply(qs) || c.via != "" {
		// The other host keeps to this order itself.
		o.sendStatement(qs)
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
		c.dirty = c.dirty || answered <= setupCount
	}
	c.send(qs, each, func(a statement.Answer) {
		each(a)
		if c.op != o {
			return
		}
		if failed != statement.CodeNone {
			o.setupFailed(failed, a.State)
			return
		}
		o.sendStatement(nil)
	})
}

func needsReply(qs []statement.Statement) bool {
	for _, q := range qs {
		if q.Kind != statement.KindPrepare {
			return true
		}
	}
	return false
}

func (o *operation) beginStatement() statement.Statement {
	b := statement.Statement{ID: o.s.tx.beginID, Kind: statement.KindBegin, After: o.requiredPosition}
	if o.s.tx.read {
		b.Kind = statement.KindBeginRead
	}
	return b
}

// anyPosition reports whether the instance may run the operation regardless of its log position.
func (o *operation) anyPosition() bool { return o.needsPrimary || o.g.isPrimary(o.conn.Instance) }

// replicaRequirement returns the sample whose position the instance's log has to cover, or false if
// there is none, as for a read on the primary.
func (o *operation) replicaRequirement() (staleness.Sample, bool) {
	if o.anyPosition() {
		return staleness.Sample{}, false
	}
	return o.g.requiredSample(o)
}

// sendStatement sends the statement itself, after those in ahead.
func (o *operation) sendStatement(ahead []statement.Statement) {
	q := o.q
	if !o.s.tx.open {
		q.After = o.requiredPosition
	}
	o.sent, o.sentAt = true, o.g.r.now()
	o.overdue = false
	o.runningAtSent = o.conn.inst.ownRunning()
	o.logReadPlace()
	o.earnRetry()
	o.everSent, o.s.tx.mayHaveRun = true, true
	if o.s.tx.open {
		o.s.tx.conn = o.conn
		o.s.tx.mayHaveWritten = o.s.tx.mayHaveWritten || o.writes && q.Kind != statement.KindCommit
	}
	ahead = append(ahead, q)
	if o.conn.via == "" {
		o.conn.inst.countSent(o.sentAt, ahead)
	}
	o.conn.send(ahead, nil, o.handleAnswer)
}

// setupFailed handles a connection that couldn't be set up; the statement was not run. A connection on
// which the transaction had begun is left to the transaction.
func (o *operation) setupFailed(code statement.Code, state statement.TxState) {
	c := o.conn
	o.recordAnswer(o.g.r.now(), 0, statement.Answer{Code: code})
	o.g.handleRefusal(c, code, o)
	c.op = nil
	if !o.txBegun() {
		c.session = nil
		reusable := code == statement.CodeLagging || code == statement.CodeReadOnly || code == statement.CodeBusy
		c.freeIf(reusable && state == statement.TxNone)
	}
	if o.s.boundInstance != "" && !o.txBegun() && code.NotRun() {
		// Only the requesting host can choose another instance.
		o.releaseSlot(o.g.r.now(), 0)
		o.refuse(code, "the instance has turned it away", o.g.r.shortRetry())
		return
	}
	o.retry(code)
}

// txBegun reports whether an instance has run an earlier statement of the operation's transaction.
func (o *operation) txBegun() bool { return o.s.tx.open && !o.beginsTx }

// freeIf frees a connection that its last answer shows to be reusable, and closes any other.
func (c *Conn) freeIf(reusable bool) {
	if reusable {
		c.free()
		return
	}
	c.retire()
}
