package holder

import (
	"context"
	"time"

	"skylarkdeal/core/admit"
	"skylarkdeal/core/exchange"
	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/group"
	"skylarkdeal/core/place"
	"skylarkdeal/core/session"
	"skylarkdeal/io/database"
)

// work is one exchange on its way through a holder. The dispatcher owns it until
// it starts; then the goroutine that serves it does, until that hands it back.
type work struct {
	key    uint64
	q      *exchange.Request
	reply  exchange.Reply
	ctx    context.Context
	cancel context.CancelFunc

	need  session.Need
	tried fleet.Set[fleet.Instance]
	// attempts counts how often the exchange has been started.
	attempts int
	// pin is the open transaction that the exchange belongs to, if any.
	pin *pin
	// choice is what the dispatcher last decided.
	choice place.Choice
	// queued is when the exchange began to wait for its slot.
	queued time.Time
	// stop ends the attempt under way, term is the group's when it started.
	stop context.CancelFunc
	term fleet.Term
	// turnedBy is the instance that refused the exchange for not being the primary
	// of term turnedIn any more.
	turnedBy fleet.Instance
	turnedIn fleet.Term
	// stopped is set once the dispatcher has ended the attempt.
	stopped bool
}

// maxAttempts bounds how often one exchange is started. Each further start has
// either proof that nothing was run or a token of the retry budget; three cover
// an instance that dies while another one is being replaced.
const maxAttempts = 3

func (w *work) read() bool {
	return w.q.Intent == exchange.IntentRead
}

func (w *work) item(weight float64) admit.Item {
	return admit.Item{
		Key:      w.key,
		Account:  w.q.Account,
		Weight:   weight,
		Deadline: w.q.Deadline,
		Intent:   w.q.Intent,
		Priority: w.q.Priority,
		Pinned:   w.pin != nil,
	}
}

func (w *work) facts(long bool) place.RequestInfo {
	return place.RequestInfo{
		Intent:   w.q.Intent,
		Need:     w.need,
		Long:     long,
		Tried:    w.tried,
		Deadline: w.q.Deadline,
	}
}

// refuse ends the exchange with nothing run.
func (w *work) refuse(f *failure.Refusal) {
	w.cancel()
	w.reply.Refuse(f)
}

// unknown ends an exchange of which parts may have been run.
func (w *work) unknown(step failure.Step, peer failure.Peer, why string) {
	w.cancel()
	code := failure.CodeUnknownOutcome
	if w.read() {
		code = failure.CodeUnreachable
	}
	w.reply.Done(exchange.Result{
		Outcome: exchange.OutcomeUnknown,
		Status:  exchange.TxIdle,
		Refusal: &failure.Refusal{
			Code:    code,
			Message: "the outcome is unknown: " + why,
			Step:    step,
			Peer:    peer,
		},
	})
}

// served is what the goroutine that served an exchange hands back.
type served struct {
	w      *work
	answer database.Answer
	took   time.Duration
}

// event is what happens to the exchanges of a group outside its dispatcher.
type event struct {
	// served is set when an instance has answered, or failed to.
	served *served
	// proved is the exchange that waited for a proof, with what came of it.
	proved *work
	proof  group.Proof
	err    error
	// judged is an exchange that an instance has worked on, with what becomes
	// of it next.
	judged *work
	next   next
}
