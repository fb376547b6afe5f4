package relay

import (
	"time"

	"skylarkdeal/core/statement"
)

func (o *operation) logEvent(k EventKind, choice, reason string, code statement.Code) {
	o.g.r.logEvent(o.event(k, choice, reason, code))
}

func (o *operation) event(k EventKind, choice, reason string, code statement.Code) Event {
	e := Event{
		Kind: k, ID: o.q.ID, Database: o.route.Database, Service: o.g.name, Account: o.s.account,
		Choice: choice, Reason: reason, Code: code, Took: o.g.r.now().Sub(o.startedAt), Consistency: o.route.Consistency,
	}
	if o.conn != nil {
		e.Instance, e.InstancePosition = o.conn.Instance, o.conn.inst.position
	}
	p, onReplica := o.requiredPosition.Get()
	if onReplica {
		e.RequiredPosition = p
	}
	if s, ok := o.g.samples.Oldest(o.asOf); ok && onReplica && k == EventPlace {
		e.Age = o.g.r.now().Sub(s.AskedAt)
	}
	if o.conn != nil {
		e.Host = o.conn.via
	}
	return e
}

func (o *operation) logRefusal(reason string, code statement.Code, retryAfter time.Duration) {
	e := o.event(EventRefuse, "refuse", reason, code)
	e.RetryAfter = retryAfter
	o.g.r.logEvent(e)
}

// logReadPlace logs where a read is sent and what lets it run there, while promotionRecent. A transaction
// that writes first may read later, where it began.
func (o *operation) logReadPlace() {
	if o.writes && !o.beginsTx || o.s.boundInstance != "" || !o.g.promotionRecent(o.sentAt) {
		return
	}
	if _, ok := o.requiredPosition.Get(); ok {
		o.logEvent(EventPlace, "read a replica", "its log has to cover the required position", statement.CodeNone)
		return
	}
	if !o.txBegun() {
		proof := o.g.solePrimaryProof()
		o.logEvent(EventPlace, "read the primary", "no other one by "+proof.String(), statement.CodeNone)
	}
}
