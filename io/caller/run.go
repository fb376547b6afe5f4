package caller

import (
	"context"
	"errors"
	"sync"
	"time"

	"skylarkdeal/core/exchange"
	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
)

// run is one exchange in progress. The runner's goroutines put the answer into
// it and the session's event loop takes it out: the two meet under its lock,
// and neither waits for the other but for Send, which waits for the caller.
type run struct {
	x       *session
	b       *batch
	q       exchange.Request
	flushed bool
	began   time.Time

	mu sync.Mutex
	// out are the bytes that the event loop has not taken yet, spare the
	// buffer that it has written before.
	out, spare []byte
	// tail is the part of the answer that waits for the outcome.
	tail []byte
	// streaming is set once the answer has been longer than that may be.
	streaming bool
	// buffered is what gnet held back for the caller when it last looked.
	buffered int
	// posted is set while a call of Run waits in the event loop.
	posted bool
	// complete is set from the first CommandComplete on.
	complete bool
	failed   bool
	result   *exchange.Result
	// abandoned is set when the session no longer waits for the answer.
	abandoned bool
	// started is set once the runner has the exchange.
	started bool
	// admitting and verdict serve an answer of Admit that comes while it is
	// called, which needs no second goroutine.
	admitting, answered bool
	verdict             *failure.Refusal
}

var errGone = errors.New("the caller has gone")

// start admits the batch and hands it to the runner.
func (x *session) start(b *batch, flushed bool) {
	s := x.srv
	timeout := DefaultStatementTimeout
	if d, ok := s.cfg.Documents(x.service); ok && d.StatementTimeout > 0 {
		timeout = d.StatementTimeout
	}
	if t := x.settings.timeout; t > 0 && t < timeout {
		timeout = t
	}
	r := &run{x: x, b: b, flushed: flushed, began: s.cfg.Now(), buffered: x.conn.OutboundBuffered()}
	r.q = exchange.Request{
		ID:      exchange.ID{Host: s.cfg.Host, Epoch: s.cfg.Epoch, Seq: s.seq.Add(1)},
		Service: x.service, Account: x.account, Session: exchange.SessionID(x.id),
		Intent: x.intent(b), MaxAge: x.settings.maxAge,
		Deadline: r.began.Add(timeout),
		Pin:      x.tx.pin, Holder: x.tx.holder,
		Statements: b.statements, Payload: b.payload,
	}
	if !x.token.IsZero() {
		r.q.After = fleet.Some(x.token)
	}
	x.run = r
	s.running.Add(1)
	if n := x.charge(b); n > 0 {
		r.admit(n)
		return
	}
	r.begin()
}

// admit asks for n requests of the account's rate. An answer that comes within
// the call is taken up here, a later one on the goroutine that gives it.
func (r *run) admit(n int) {
	r.admitting = true
	r.x.srv.cfg.Admit(r.q.Service, r.q.Account, n, r.q.Deadline, r.admitted)
	r.mu.Lock()
	r.admitting = false
	answered, f := r.answered, r.verdict
	r.mu.Unlock()
	if answered {
		r.proceed(f)
	}
}

func (r *run) admitted(f *failure.Refusal) {
	r.mu.Lock()
	if r.admitting {
		r.answered, r.verdict = true, f
		r.mu.Unlock()
		return
	}
	r.mu.Unlock()
	r.proceed(f)
}

func (r *run) proceed(f *failure.Refusal) {
	if f != nil {
		r.done(exchange.Result{Outcome: exchange.OutcomeNotRun, Status: exchange.TxIdle, Refusal: f})
		return
	}
	r.begin()
}

// begin hands the exchange to the runner, unless the session has ended.
func (r *run) begin() {
	r.mu.Lock()
	if r.abandoned {
		r.mu.Unlock()
		r.x.srv.running.Add(-1)
		r.releasePin(r.q.Pin)
		return
	}
	r.started = true
	r.mu.Unlock()
	r.x.srv.cfg.Runner.Run(&r.q, exchange.Reply{Send: r.send, Done: r.done})
}

// cancel asks for the end of the exchange; the answer still comes.
func (r *run) cancel() {
	r.mu.Lock()
	started := r.started
	r.mu.Unlock()
	if started {
		r.x.srv.cfg.Runner.Cancel(r.q.ID)
	}
}

// abandon cancels an exchange whose session has ended.
func (r *run) abandon() {
	r.mu.Lock()
	r.abandoned = true
	r.out, r.tail = nil, nil
	done := r.result != nil
	r.mu.Unlock()
	switch {
	case done:
		r.releasePin(r.result.Pin)
	default:
		r.cancel()
	}
}

func (r *run) releasePin(p exchange.Pin) {
	if p == 0 {
		return
	}
	h := r.q.Holder
	if r.result != nil && r.result.Holder != "" {
		h = r.result.Holder
	}
	r.x.srv.cfg.Runner.Release(h, p)
}

// hold bounds how much of an answer waits for its outcome.
const hold = 64 << 10

// send takes whole messages of the answer. It waits while the caller has too
// much unread: made for a caller that reads slower than its instance answers,
// it keeps the rest of the answer on the upstream connection instead of in the
// memory of the host.
//
// An answer waits here for its outcome, so that what a fence rejects is never
// seen, neither rows of a replaced primary nor its CommandComplete, which some
// callers take for the acknowledgement. One longer than hold is passed on as it
// comes; but from a write's CommandComplete on it waits again.
func (r *run) send(b []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.waitForRoom(); err != nil {
		return err
	}
	if r.abandoned {
		return errGone
	}
	r.scan(b)
	holds := !r.streaming || (r.complete && r.q.Intent == exchange.IntentWrite)
	if holds && len(r.tail)+len(b) <= hold {
		r.tail = append(r.tail, b...)
		return nil
	}
	r.streaming = true
	r.out = append(append(r.out, r.tail...), b...)
	r.tail = nil
	r.post()
	return nil
}

// scan notes errors and the first CommandComplete in b.
func (r *run) scan(b []byte) {
	for len(b) >= headerLen {
		n := 1 + int(uint32(b[1])<<24|uint32(b[2])<<16|uint32(b[3])<<8|uint32(b[4]))
		switch b[0] {
		case 'C':
			r.complete = true
		case 'E':
			r.failed = true
		}
		if n > len(b) || n < headerLen {
			return
		}
		b = b[n:]
	}
}

// The wait between two looks at a caller that doesn't read, which grows: a
// caller that is only slow is soon served again, and one that has stopped costs
// few looks.
const (
	lookFirst = time.Millisecond
	lookMost  = 50 * time.Millisecond
)

// waitForRoom waits until the caller has read enough; r.mu is held but for the
// waiting.
func (r *run) waitForRoom() error {
	cfg := r.x.srv.cfg
	since, least, wait := time.Time{}, 0, lookFirst
	for !r.abandoned {
		unread := len(r.out) + r.buffered
		if unread < cfg.MaxUnread {
			return nil
		}
		now := cfg.Now()
		if since.IsZero() || unread < least {
			since, least, wait = now, unread, lookFirst
		}
		if now.Sub(since) >= cfg.StallTimeout {
			r.x.post((*session).stalled)
			return errGone
		}
		r.post()
		r.mu.Unlock()
		time.Sleep(wait)
		wait = min(2*wait, lookMost)
		r.mu.Lock()
	}
	return errGone
}

var errStalled = &failure.Refusal{
	Code: failure.CodeUnreachable, Step: "write answer", Message: "the caller has stopped reading",
}

func (x *session) stalled() {
	x.srv.metrics.stalled.Inc()
	x.end(errStalled)
	if x.phase == phaseLinger {
		_ = x.loop.Close(x.conn)
	}
}

// done takes the result.
func (r *run) done(res exchange.Result) {
	r.mu.Lock()
	r.result = &res
	r.x.srv.running.Add(-1)
	abandoned := r.abandoned
	if !abandoned {
		r.post()
	}
	r.mu.Unlock()
	s := r.x.srv
	s.metrics.exchange(res, r.q.Intent, s.cfg.Now().Sub(r.began))
	if abandoned {
		r.releaseAfter(res)
	}
}

// releaseAfter gives up the transaction that an exchange without a session
// leaves open, or the one it was refused in.
func (r *run) releaseAfter(res exchange.Result) {
	if res.Outcome == exchange.OutcomeNotRun {
		r.releasePin(r.q.Pin)
		return
	}
	r.releasePin(res.Pin)
}

// post has Run called on the event loop; r.mu is held.
func (r *run) post() {
	if r.posted {
		return
	}
	r.posted = true
	_ = r.x.loop.Execute(context.Background(), r)
}

// Run is called by the event loop to pass on what has come.
func (r *run) Run(context.Context) error {
	x := r.x
	r.mu.Lock()
	r.posted = false
	out, res := r.out, r.result
	r.out, r.spare = r.spare[:0], nil
	r.mu.Unlock()
	if x.run != r {
		return nil
	}
	if res != nil {
		x.finish(r, out, res)
		return nil
	}
	x.write(out)
	r.mu.Lock()
	if x.phase != phaseClosed {
		r.buffered = x.conn.OutboundBuffered()
	}
	r.spare = out[:0]
	r.mu.Unlock()
	return nil
}

// finish writes the end of an answer and goes on with what the caller has sent
// ahead.
func (x *session) finish(r *run, out []byte, res *exchange.Result) {
	x.see(res.Point)
	if res.Instance != "" {
		x.served = server{instance: res.Instance, role: res.Role}
	}
	if res.Outcome != exchange.OutcomeDone && res.Refusal == nil {
		res.Refusal = unexplained(res.Outcome)
	}
	x.confirm(r.b, !r.failed && res.Refusal == nil)
	if res.Refusal != nil {
		out = appendRefusal(out, res)
	} else {
		out = append(out, r.tail...)
	}
	x.run = nil
	x.settle(r, res)
	if x.tx.status == exchange.TxIdle {
		x.portals = portals{}
	}
	if !r.flushed {
		out = x.appendReady(out)
	} else if r.failed || res.Refusal != nil {
		x.skipping = true
	}
	x.watchIdle()
	x.write(out)
	if x.phase != phaseReady || x.checkEnding() {
		return
	}
	x.process()
}

// appendRefusal appends the error that a refused exchange ends with, in place
// of what the instance answered and the outcome has not confirmed.
func appendRefusal(out []byte, res *exchange.Result) []byte {
	f := *res.Refusal
	if res.Outcome != exchange.OutcomeNotRun {
		// The hint says "not run".
		f.RetryAfter = 0
	}
	return appendError(out, severityError, &f)
}

// unexplained is the error for an outcome that came without one.
func unexplained(o exchange.Outcome) *failure.Refusal {
	if o == exchange.OutcomeNotRun {
		return &failure.Refusal{Code: failure.CodeInternal, Message: "not run", Step: "run"}
	}
	return &failure.Refusal{
		Code: failure.CodeUnknownOutcome, Step: "run",
		Message: "the outcome is unknown: the statement may have run, or may still run",
	}
}

// settle takes over the state of the transaction after an exchange.
func (x *session) settle(r *run, res *exchange.Result) {
	before := x.tx
	if res.Refusal != nil && res.Outcome == exchange.OutcomeNotRun {
		x.failTx()
		return
	}
	x.tx = transaction{status: statusOf(res.Status), pin: res.Pin, holder: res.Holder}
	if res.Outcome == exchange.OutcomeUnknown {
		r.releasePin(r.q.Pin)
		x.tx = transaction{status: exchange.TxIdle}
	}
	if x.tx.status == exchange.TxIdle {
		x.tx.pin, x.tx.holder = 0, ""
		return
	}
	x.tx.read = r.q.Intent == exchange.IntentRead
	if before.status != exchange.TxIdle {
		x.tx.read = before.read
	}
}
