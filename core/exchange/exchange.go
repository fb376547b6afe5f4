// Package exchange types one request of a caller and its answer, on their way
// from the entry host over a holder to a database instance and back.
//
// An exchange is the smallest unit that the proxy routes: one simple Query, or
// the messages of the extended protocol up to and with Sync. Its answer is the
// backend messages up to, and without, ReadyForQuery.
package exchange

import (
	"time"

	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
)

// ID names an exchange. It is unique in the fleet as long as a host that
// restarts draws a new Epoch.
type ID struct {
	Host fleet.Host `json:"host"`
	// Epoch is drawn at random when the process starts.
	Epoch uint64 `json:"epoch"`
	Seq   uint64 `json:"seq"`
}

// SessionID names a caller's session on its entry host and process.
type SessionID uint64

// Pin names a transaction's hold on one upstream connection of one holder. The
// zero Pin means that any connection will do.
type Pin uint64

// Intent is what the caller has declared an exchange to be.
type Intent string

// The intents. All that is not declared a read is a write: it goes to the
// primary and is sent at most once.
const (
	IntentWrite Intent = "write"
	IntentRead  Intent = "read"
)

// Statement is a prepared statement that the payload refers to by its name. A
// connection that doesn't have it gets a Parse ahead of the payload.
type Statement struct {
	// Name is the same on all hosts for the same text and types.
	Name string
	SQL  string
	// Types are the OIDs of the parameters that the caller stated.
	Types []uint32
}

// Request is one exchange as its entry host sends it off.
type Request struct {
	ID      ID
	Service fleet.Service
	Account fleet.Account
	Session SessionID
	Intent  Intent
	// After is the point that a read has to cover; absent when the caller has
	// shown no token.
	After fleet.Option[fleet.LogPosition]
	// MaxAge is the age of data that the caller accepts; zero when it stated
	// none.
	MaxAge   time.Duration
	Deadline time.Time
	// Pin is the transaction that this exchange belongs to, on Holder.
	Pin    Pin
	Holder fleet.Host
	// Statements are those that Payload refers to without parsing them itself.
	Statements []Statement
	// Payload is whole frontend messages, ending in Query or Sync.
	Payload []byte
}

// Outcome tells what has become of an exchange.
type Outcome string

// The outcomes. OutcomeNotRun is a promise: no instance has run, or will run,
// any part of the exchange.
const (
	OutcomeDone    Outcome = "done"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
)

// TxStatus is the transaction status byte of ReadyForQuery.
type TxStatus byte

// The transaction statuses.
const (
	TxIdle   TxStatus = 'I'
	TxOpen   TxStatus = 'T'
	TxFailed TxStatus = 'E'
)

// Result ends an exchange.
type Result struct {
	Outcome Outcome
	// Status is the transaction's state after the exchange, TxIdle if the zero
	// value is left.
	Status TxStatus
	// Position is what the answer reflects: the caller's new token is the greater
	// of this and the one it had. Zero when nothing was learnt.
	Position fleet.LogPosition
	Instance fleet.Instance
	Role     fleet.Role
	// Pin and Holder are set while a transaction stays open.
	Pin    Pin
	Holder fleet.Host
	// Refusal says why, unless Outcome is OutcomeDone. A database's own error
	// is part of an answer that is done.
	Refusal *failure.Refusal
}

// Reply is the way back to the caller of one exchange. Send may be called any
// number of times, then Done once; never two calls at a time.
type Reply struct {
	// Send passes on whole backend messages. It blocks while the caller has
	// too much unread and returns an error when the caller has gone or won't
	// read; the sender then stops and cancels. b is the callee's until return.
	Send func(b []byte) error
	Done func(r Result)
}

// Refuse ends the exchange with nothing run.
func (r Reply) Refuse(f *failure.Refusal) {
	r.Done(Result{Outcome: OutcomeNotRun, Status: TxIdle, Refusal: f})
}

// Runner is what runs exchanges: a holder in this process, or the way to one on
// another host. Run returns at once and answers by reply.
type Runner struct {
	Run func(q *Request, reply Reply)
	// Cancel asks for the end of an exchange in progress; its answer still
	// comes by its reply.
	Cancel func(id ID)
	// Release gives up an open transaction: its connection is closed or rolled
	// back.
	Release func(h fleet.Host, p Pin)
}
