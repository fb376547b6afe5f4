// Package check judges the record of a load run: whether each invariant held,
// and how well callers were served. It takes no part in making the record.
package check

import (
	"time"

	"skylarkdeal/core/fleet"
)

// Kind is what an operation does.
type Kind string

// The kinds of operations.
const (
	// KindWrite adds by a unique id, and puts the session's own number.
	KindWrite Kind = "write"
	// KindTick is a write of the service's ticker, which ages are told by.
	KindTick Kind = "tick"
	// KindOwn reads the session's own number.
	KindOwn Kind = "read-own"
	// KindAged reads the service's ticker at a stated age.
	KindAged Kind = "read-aged"
	// KindEcho reads back a nonce.
	KindEcho Kind = "read-echo"
	// KindList reads many rows.
	KindList Kind = "read-list"
)

// Read reports whether the operation is a declared read.
func (k Kind) Read() bool {
	return k != KindWrite && k != KindTick
}

// Outcome is what the caller was told.
type Outcome string

// The outcomes. All but OutcomeOK and OutcomeUnknown promise that nothing took
// effect: OutcomeUnsent was not sent, OutcomeNotRun was refused, and
// OutcomeFailed had an error of the database or lost its transaction before
// COMMIT.
const (
	OutcomeOK      Outcome = "ok"
	OutcomeUnsent  Outcome = "unsent"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeFailed  Outcome = "failed"
	OutcomeUnknown Outcome = "unknown"
)

// Session numbers the sessions of a run.
type Session int

// Statement is one request of an operation. Times count from the start of the
// run.
type Statement struct {
	Sent     time.Duration
	Answered time.Duration
	// Code is the SQLSTATE of a refusal, empty when the statement was admitted.
	Code string
	// Unknown is set when no answer tells whether it was admitted.
	Unknown bool
	// Unsent is set when it was due and never sent.
	Unsent bool
}

// Op is one operation of one session.
type Op struct {
	Service fleet.Service
	Account fleet.Account
	Session Session
	Host    string
	Kind    Kind
	// Intended is when the operation was due, whatever held it up.
	Intended time.Duration
	Sent     time.Duration
	Answered time.Duration
	Outcome  Outcome
	Code     string
	// Statements are those that count against the account's rate.
	Statements []Statement
	// ID is the unique id of a KindWrite.
	ID string
	// Key is the session's own key, which changes after an unknown outcome, as
	// a write that comes late may then overwrite a newer one.
	Key string
	// Number is what was written, or read, under Key, or the ticks that a
	// KindAged read.
	Number uint64
	// Want and Got are the nonce, key or count of rows of the answer.
	Want string
	Got  string
	// MaxAge is the age that a KindAged states.
	MaxAge time.Duration
	// Role is the role of the instance that served, empty when not known.
	Role fleet.Role
	// Term is the term of the token that came with the answer.
	Term fleet.Term
}

// Limit is an account's rate a second and burst.
type Limit struct {
	Rate  float64
	Burst float64
}

// AccountID names an account in the fleet.
type AccountID struct {
	Service fleet.Service
	Account fleet.Account
}

// Record is what a run has seen.
type Record struct {
	Ops    []Op
	Limits map[AccountID]Limit
	// Applied is how often each id stands in the log of its service's primary
	// after the run. A service that isn't in it was not looked at.
	Applied map[fleet.Service]map[string]int
}

func (o Op) account() AccountID {
	return AccountID{o.Service, o.Account}
}
