package caller

import (
	"fmt"
	"time"

	"skylarkdeal/core/exchange"
	"skylarkdeal/core/failure"
)

// message works on one message of a ready session. It reports whether there
// may be more to work on: not while an answer is owed, since answers are given
// in order.
func (x *session) message() bool {
	limit := x.srv.cfg.MaxMessage
	if x.run != nil {
		x.boundAhead()
		return false
	}
	typ, body, ok := x.peekFrame(limit)
	if !ok {
		return false
	}
	if x.skipping && typ != msgSync && typ != msgTerminate {
		x.dropFrame(body)
		return true
	}
	handled := x.take(typ, body)
	if x.phase != phaseReady {
		return false
	}
	if !handled {
		x.end(protocolError(fmt.Sprintf("malformed message %q", typ)))
		return false
	}
	x.dropFrame(body)
	if x.batch != nil && (len(x.batch.payload) > limit || len(x.batch.ops) > maxOps) {
		x.end(errBatch)
		return false
	}
	if x.conn.OutboundBuffered() > unreadFactor*x.srv.cfg.MaxUnread {
		x.stalled()
		return false
	}
	if typ == msgQuery || typ == msgSync || typ == msgFlush || typ == msgFunctionCall {
		x.submit(typ)
	}
	return x.phase == phaseReady
}

const (
	msgFunctionCall = 'F'
	msgCopyData     = 'd'
	msgCopyDone     = 'c'
	msgCopyFail     = 'f'
)

var (
	errBatch = &failure.Refusal{
		Code: failure.CodeTooLarge, Step: "read message",
		Message: "the messages up to Sync are above the limit of one message",
	}
	errAhead = &failure.Refusal{
		Code: failure.CodeTooLarge, Step: "read message",
		Message: "too many bytes sent ahead of an answer that is owed",
	}
	errFunctionCall = &failure.Refusal{
		Code: failure.CodeUnsupported, Step: "read message", Message: "function calls are not supported",
	}
)

// unreadFactor times MaxUnread ends a session that asks on without reading: the
// answers that the host gives itself wait for no runner that could be held up.
const unreadFactor = 4

// boundAhead ends a session that sends more ahead than the host will hold. Made
// for callers that pipeline without reading: gnet goes on reading, so the bound
// has to be kept here. Twice the limit of a message lets one whole batch and
// one message wait.
func (x *session) boundAhead() {
	if x.conn.InboundBuffered() > 2*x.srv.cfg.MaxMessage {
		x.end(errAhead)
	}
}

// take puts a message into the batch and reports whether it is well formed.
func (x *session) take(typ byte, body []byte) bool {
	switch typ {
	case msgQuery:
		return x.addQuery(body)
	case msgParse:
		return x.addParse(body)
	case msgBind:
		return x.addBind(body)
	case msgDescribe:
		return x.addDescribe(body)
	case msgExecute:
		return x.addExecute(body)
	case msgClose:
		return x.addClose(body)
	case msgSync, msgFlush:
		return len(body) == 0
	case msgTerminate:
		_ = x.loop.Close(x.conn)
		return true
	case msgFunctionCall:
		x.current().refuse(errFunctionCall)
		return true
	case msgCopyData, msgCopyDone, msgCopyFail:
		// A caller may still send these after its COPY has failed.
		return true
	default:
		return false
	}
}

// addQuery takes a simple query, which is a batch of its own.
func (x *session) addQuery(body []byte) bool {
	sql, ok := decodeQuery(body)
	if !ok {
		return false
	}
	b := x.current()
	l := lookAt(string(sql))
	s := &statement{look: l}
	b.executed = append(b.executed, s)
	if !l.local() {
		b.remote++
		b.raw(msgQuery, body)
		return true
	}
	b.local++
	b.ops = append(b.ops, op{msg: msgQuery, stmt: s})
	if !l.single {
		b.refuse(&failure.Refusal{
			Code: failure.CodeUnsupported, Step: "set",
			Message: "SET, SHOW, DISCARD and DEALLOCATE must stand alone in a query",
		})
	}
	return true
}

// submit has the batch answered: here, or by the runner.
func (x *session) submit(typ byte) {
	if typ == msgFlush {
		x.submitFlushed()
		return
	}
	if x.skipping {
		x.skipping = false
		x.batch = nil
	}
	b := x.batch
	x.batch = nil
	if x.flushing {
		x.flushing = false
		x.deadlines.flush = time.Time{}
		x.arm()
	}
	if !x.checkKey() {
		return
	}
	if x.answerHere(b, typ == msgSync) {
		return
	}
	if typ != msgQuery {
		b.sync()
	}
	x.start(b, false)
}

// submitFlushed answers a Flush. What only prepares is run at once, since it is
// the same in a transaction of its own; anything else would be committed by the
// Sync that an exchange ends with, and is answered when the caller's own Sync
// comes. A caller that waits for it without sending Sync is told so in time.
func (x *session) submitFlushed() {
	b := x.batch
	if b == nil || x.flushing {
		return
	}
	if b.bound || b.local > 0 || b.refusal != nil || x.tx.lost {
		x.flushing = true
		x.deadlines.flush = x.srv.cfg.Now().Add(x.srv.cfg.StartupTimeout)
		x.arm()
		return
	}
	x.batch = nil
	if !x.checkKey() {
		return
	}
	b.sync()
	x.start(b, true)
}

// intent returns what the caller has declared the batch to be. A declaration
// that might not hold for all of it counts for none: what is taken for a read
// may be run twice.
func (x *session) intent(b *batch) exchange.Intent {
	if x.reads(b) {
		return exchange.IntentRead
	}
	return exchange.IntentWrite
}

func (x *session) reads(b *batch) bool {
	if x.tx.status != exchange.TxIdle {
		return x.tx.read && b.plain()
	}
	if len(b.executed) == 0 {
		// Parse and Describe change nothing.
		return true
	}
	if l := b.executed[0].look; len(b.executed) == 1 && l.verb == verbBegin {
		return l.single && (l.readOnly == "on" || (l.readOnly == "" && x.settings.readOnly))
	}
	return x.settings.readOnly && b.plain()
}

// plain reports whether nothing in the batch can begin a transaction, or can
// end one and go on.
func (b *batch) plain() bool {
	if len(b.executed) == 1 && b.executed[0].look.endsTx() {
		return true
	}
	for _, s := range b.executed {
		if l := s.look; !l.single || l.verb != verbOther {
			return false
		}
	}
	return true
}

// charge is how many requests the batch counts as. COMMIT and ROLLBACK of an
// open transaction are free: to refuse them would keep a connection busy, and
// their number is bounded by that of the BEGINs, which count. Prepare alone is
// free too, so that a driver which prepares first is not charged twice.
func (x *session) charge(b *batch) int {
	n := 0
	for _, s := range b.executed {
		if x.tx.status == exchange.TxIdle || !s.look.endsTx() {
			n++
		}
	}
	return n
}
