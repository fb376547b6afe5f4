// Package exchange defines the types of one request of a caller and of its answer,
// as they pass from the entry host through a holder to a database instance and back.
//
// An exchange is the smallest unit that the proxy routes: one simple Query, or
// the messages of the extended protocol up to and including Sync. Its answer is
// the backend messages before ReadyForQuery.
package exchange

import (
	"time"

	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
)

// ID identifies an exchange. It is unique in the fleet, provided that a restarted
// host has a new Epoch.
type ID struct {
	Host fleet.Host `json:"host"`
	// Epoch is a random number, generated when the process starts.
	Epoch uint64 `json:"epoch"`
	Seq   uint64 `json:"seq"`
}

// SessionID identifies a caller's session within one process of its entry host.
type SessionID uint64

// Pin identifies the transaction to which a holder has reserved one of its upstream
// connections. With the zero Pin any connection may be used.
type Pin uint64

// Intent is what the caller has declared that an exchange does.
type Intent string

// The intents. An exchange that is not declared a read is a write: it goes to the
// primary and is sent at most once.
const (
	IntentWrite Intent = "write"
	IntentRead  Intent = "read"
)

// Statement is a prepared statement that the payload refers to by name. On a
// connection without it, a Parse is sent before the payload.
type Statement struct {
	// Name is derived from SQL and Types, so it is the same on all hosts.
	Name string
	SQL  string
	// Types are the OIDs of the parameter types that the caller declared.
	Types []uint32
}

// Request is one exchange as its entry host sends it.
type Request struct {
	ID      ID
	Service fleet.Service
	Account fleet.Account
	Session SessionID
	Intent  Intent
	// After is the log position that a read has to cover, absent if the caller
	// has shown no token.
	After fleet.Option[fleet.LogPosition]
	// MaxAge is the age of data that the caller accepts, zero if the caller
	// stated none.
	MaxAge   time.Duration
	Deadline time.Time
	// Priority orders the waiting exchanges of a holder.
	Priority fleet.Priority
	// Pin is the open transaction on Holder that this exchange belongs to.
	Pin    Pin
	Holder fleet.Host
	// Statements are those that Payload refers to without a Parse of its own.
	Statements []Statement
	// Payload is complete frontend messages, the last of them Query or Sync.
	Payload []byte
}

// Outcome says whether an exchange has run.
type Outcome string

// The outcomes. OutcomeNotRun guarantees that no instance has run, or will run,
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

// Result is the end of an exchange.
type Result struct {
	Outcome Outcome
	// Status is the transaction's state after the exchange. The zero value stands
	// for TxIdle.
	Status TxStatus
	// Position is the log position that the answer reflects. The caller's new token
	// is the later of Position and its previous token. Zero if the position is unknown.
	Position fleet.LogPosition
	Instance fleet.Instance
	Role     fleet.Role
	// Pin and Holder are set if a transaction is still open.
	Pin    Pin
	Holder fleet.Host
	// Refusal is the reason, unless Outcome is OutcomeDone. An error of the database
	// itself is part of the answer, with OutcomeDone.
	Refusal *failure.Refusal
}

// Reply returns the answer of one exchange to the caller. Send may be called any
// number of times, then Done once. Calls must not be concurrent.
type Reply struct {
	// Send forwards complete backend messages. It blocks while the caller has too
	// much unread data, and returns an error if the caller has disconnected or has
	// stopped reading; the sender then stops and cancels the exchange. Send owns b
	// until it returns, and doesn't keep it.
	Send func(b []byte) error
	Done func(r Result)
}

// Refuse ends the exchange with OutcomeNotRun.
func (r Reply) Refuse(refusal *failure.Refusal) {
	r.Done(Result{Outcome: OutcomeNotRun, Status: TxIdle, Refusal: refusal})
}

// Runner runs exchanges, on a holder in this process or on one of another host. Run
// returns at once and answers through reply.
type Runner struct {
	Run func(q *Request, reply Reply)
	// Cancel requests the end of an exchange in progress. The answer still comes
	// through the exchange's reply.
	Cancel func(id ID)
	// Release abandons an open transaction: its connection is closed or the
	// transaction rolled back.
	Release func(h fleet.Host, p Pin)
}
