package caller

import (
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
	// started is set once the runner has the exchange, canceled when it is not to
	// get it any more.
	started, canceled bool
	// admitting and verdict serve an answer of Admit that comes while it is
	// called, which needs no second goroutine.
	admitting, answered bool
	verdict             *failure.Refusal
}

// start admits the batch and hands it to the runner.
func (x *session) start(b *batch, flushed bool) {
	s := x.srv
	timeout := DefaultStatementTimeout
	priority := fleet.DefaultPriority
	if d, ok := s.cfg.Documents(x.service); ok {
		if d.StatementTimeout > 0 {
			timeout = d.StatementTimeout
		}
		if a, ok := d.Account(x.account); ok {
			priority = a.Priority
		}
	}
	if t := x.settings.timeout; t > 0 && t < timeout {
		timeout = t
	}
	r := &run{x: x, b: b, flushed: flushed, began: s.cfg.Now(), buffered: x.conn.OutboundBuffered()}
	r.q = exchange.Request{
		ID:      exchange.ID{Host: s.cfg.Host, Epoch: s.cfg.Epoch, Seq: s.seq.Add(1)},
		Service: x.service, Account: x.account, Session: exchange.SessionID(x.id),
		Intent: x.intent(b), MaxAge: x.settings.maxAge,
		Deadline: r.began.Add(timeout), Priority: priority,
		Pin: x.tx.pin, Holder: x.tx.holder,
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
	ask := r.x.srv.cfg.Admit
	if r.q.Pin != 0 {
		ask = r.x.srv.cfg.AdmitOpen
	}
	ask(r.q.Service, r.q.Account, n, r.q.Deadline, r.admitted)
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

// begin hands the exchange to the runner, unless it was canceled meanwhile.
func (r *run) begin() {
	r.mu.Lock()
	if r.canceled {
		r.mu.Unlock()
		return
	}
	r.started = true
	r.mu.Unlock()
	r.x.srv.cfg.Runner.Run(&r.q, exchange.Reply{Send: r.send, Done: r.done})
}

// cancel asks for the end of the exchange. One that waits for its rate has not
// begun and is answered at once; the answer of any other still comes.
func (r *run) cancel() {
	r.mu.Lock()
	started := r.started
	r.canceled = !started
	r.mu.Unlock()
	if started {
		r.x.srv.cfg.Runner.Cancel(r.q.ID)
		return
	}
	r.done(exchange.Result{Outcome: exchange.OutcomeNotRun, Refusal: errCanceled})
}

var errCanceled = &failure.Refusal{
	Code: failure.CodeCancelled, Step: "admit", Message: "canceled before it was run",
}

// abandon cancels an exchange whose session has ended.
func (r *run) abandon() {
	r.mu.Lock()
	r.abandoned = true
	r.out, r.tail = nil, nil
	done := r.result != nil
	r.mu.Unlock()
	if done {
		r.releaseAfter(*r.result)
		return
	}
	r.cancel()
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
