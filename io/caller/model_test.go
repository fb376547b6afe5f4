package caller_test

import (
	"fmt"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"pgregory.net/rapid"

	"skylarkdeal/core/exchange"
	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/io/caller"
)

// ledgerRunner is a runner that keeps transactions open by their pins, and
// refuses or loses an exchange when told to.
type ledgerRunner struct {
	fake
	outcome exchange.Outcome
	open    map[exchange.Pin]bool
}

func (l *ledgerRunner) runner() exchange.Runner {
	r := l.fake.runner()
	r.Release = func(_ fleet.Host, p exchange.Pin) {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.open, p)
	}
	r.Run = func(q *exchange.Request, reply exchange.Reply) { go l.answer(q, reply) }
	return r
}

func (l *ledgerRunner) answer(q *exchange.Request, r exchange.Reply) {
	l.mu.Lock()
	o := l.outcome
	l.requests = append(l.requests, *q)
	l.mu.Unlock()
	out, verb := answerTo(q)
	if o != exchange.OutcomeNotRun {
		_ = r.Send(out)
	}
	if o != exchange.OutcomeDone {
		r.Done(exchange.Result{Outcome: o, Refusal: &failure.Refusal{Code: codes[o]}})
		return
	}
	res := exchange.Result{Outcome: o, Status: exchange.TxIdle, Pin: q.Pin, Holder: q.Holder}
	l.mu.Lock()
	switch verb {
	case "begin":
		l.next++
		res.Pin, res.Holder = l.next, "h2"
		l.open[res.Pin] = true
	case "commit", "rollback":
		delete(l.open, res.Pin)
		res.Pin, res.Holder = 0, ""
	}
	if res.Pin != 0 && !l.open[res.Pin] {
		res.Status = 'X'
	} else if res.Pin != 0 {
		res.Status = exchange.TxOpen
	}
	l.mu.Unlock()
	r.Done(res)
}

var codes = map[exchange.Outcome]failure.Code{
	exchange.OutcomeNotRun:  failure.CodeOverloaded,
	exchange.OutcomeUnknown: failure.CodeUnknownOutcome,
}

// sessionModel is what PostgreSQL's protocol lets a caller expect.
type sessionModel struct {
	status byte
	// lost is set when the proxy has given the transaction up.
	lost bool
}

// step returns the answer to a statement whose exchange ends with o, without
// its ReadyForQuery, and whether the runner sees it.
func (m *sessionModel) step(verb string, o exchange.Outcome, extended bool) (want string, runs bool) {
	ends := verb == "commit" || verb == "rollback"
	head := ""
	if extended {
		head = "1 2 "
	}
	if m.lost {
		if !ends {
			return "ERROR(25P02)", false
		}
		*m = sessionModel{status: 'I'}
		return head + "C(ROLLBACK)", false
	}
	switch o {
	case exchange.OutcomeNotRun:
		if m.status == 'T' {
			*m = sessionModel{status: 'E', lost: true}
		}
		return "ERROR(53000)", true
	case exchange.OutcomeUnknown:
		m.status = 'I'
		return "ERROR(08007)", true
	case exchange.OutcomeDone:
	}
	if verb == "begin" {
		m.status = 'T'
	}
	if ends {
		m.status = 'I'
	}
	if !extended {
		head = "T "
	}
	return head + "D(" + verb + ") C(" + tags[verb] + ")", true
}

var tags = map[string]string{"begin": "BEGIN", "commit": "COMMIT", "rollback": "ROLLBACK", "get": "GET"}

// Sessions begin, end and lose transactions in any order, over exchanges that
// run, don't run, or end unknown. Answers and states are PostgreSQL's, a lost
// transaction is never gone on with, and no connection stays taken.
func TestSessionsFollowTheModel(t *testing.T) {
	l := &ledgerRunner{open: map[exchange.Pin]bool{}}
	f := start(t, func(cfg *caller.Config) { cfg.Runner = l.runner() })
	rapid.Check(t, func(rt *rapid.T) {
		w := wireConn(t, f, "")
		m := sessionModel{status: 'I'}
		for range rapid.IntRange(1, 25).Draw(rt, "statements") {
			verbs := []string{"get", "commit", "rollback"}
			if m.status == 'I' {
				verbs = []string{"begin", "get", "begin"}
			}
			verb := rapid.SampledFrom(verbs).Draw(rt, "verb")
			o := rapid.SampledFrom([]exchange.Outcome{
				exchange.OutcomeDone, exchange.OutcomeDone, exchange.OutcomeDone,
				exchange.OutcomeNotRun, exchange.OutcomeUnknown,
			}).Draw(rt, "outcome")
			extended := rapid.Bool().Draw(rt, "extended")
			l.mu.Lock()
			l.outcome = o
			before := len(l.requests)
			l.mu.Unlock()
			want, runs := m.step(verb, o, extended)
			want += fmt.Sprintf(" Z(%c)", m.status)
			if extended {
				w.send(&pgproto3.Parse{Query: verb}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{})
			} else {
				w.send(&pgproto3.Query{String: verb})
			}
			if got := w.read(1); got != want {
				rt.Fatalf("%s (%s): got %q, want %q", verb, o, got, want)
			}
			if ran := l.count() > before; ran != runs {
				rt.Fatalf("%s (%s): ran %v, want %v", verb, o, ran, runs)
			}
		}
		_ = w.Close()
		until(t, "no connection taken", func() bool {
			l.mu.Lock()
			defer l.mu.Unlock()
			return len(l.open) == 0
		})
	})
}
