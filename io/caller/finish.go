package caller

import (
	"skylarkdeal/core/exchange"
	"skylarkdeal/core/failure"
)

// finish writes the end of an answer and goes on with what the caller has sent
// ahead.
func (x *session) finish(r *run, out []byte, res *exchange.Result) {
	x.see(res.Position)
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
