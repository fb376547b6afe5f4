// Package statement types what a caller asks and what an instance answers, in the
// words of the product: the wires translate to and from it.
package statement

import (
	"time"

	"skylarkdeal/core/fleet"
)

// ID is the name that a caller gave one statement. The zero ID marks a statement
// of the proxy's own.
type ID string

// Kind is what a statement does.
type Kind string

// The kinds of statements. Those from KindDiscard on are the proxy's own.
const (
	KindRead       Kind = "read"
	KindWrite      Kind = "write"
	KindBegin      Kind = "begin"
	KindBeginRead  Kind = "begin-read"
	KindCommit     Kind = "commit"
	KindRollback   Kind = "rollback"
	KindSet        Kind = "set"
	KindPrepare    Kind = "prepare"
	KindExecute    Kind = "execute"
	KindDeallocate Kind = "deallocate"

	// KindDiscard drops the values and the prepared statements of a connection.
	KindDiscard Kind = "discard"
	// KindStatus asks an instance for its role, term and position.
	KindStatus Kind = "status"
	// KindStepDown makes a primary of a term below Term a replica.
	KindStepDown Kind = "step-down"
)

// Definition is what a prepared statement does: two with equal shapes are the same.
type Definition struct {
	Writes bool
	Text   string
}

// Statement is one statement.
type Statement struct {
	ID   ID
	Kind Kind
	// Name is that of a value (KindSet) or of a prepared statement.
	Name string
	// Value is the new value of a KindSet.
	Value string
	// Definition is that of a KindPrepare.
	Definition Definition
	// Text is what follows the kind of a read or write, or the name of an execute,
	// as the caller sent it.
	Text string
	// After is the point that the instance's log has to cover for a read or the
	// begin of a transaction; else it refuses to run it.
	After fleet.Option[fleet.LogPosition]
	// Term is that of a KindStepDown.
	Term fleet.Term
}

// Code says why a statement has failed.
type Code string

// The codes. NotRun tells which of them promise that nothing is kept.
const (
	CodeNone        Code = ""
	CodeBusy        Code = "busy"
	CodeAborted     Code = "aborted"
	CodeLagging     Code = "lagging"
	CodeReadOnly    Code = "read-only"
	CodeMisrouted   Code = "misrouted"
	CodeTooMany     Code = "too-many"
	CodeNotPrepared Code = "not-prepared"
	CodeFailed      Code = "failed"
	CodeTimeout     Code = "timeout"
	CodeInDoubt     Code = "in-doubt"
	CodeMalformed   Code = "malformed"
	CodeNoDatabase  Code = "no-database"
	CodeNoAccount   Code = "no-account"
	// CodeUnreachable is another host's word that it can't reach an instance.
	CodeUnreachable Code = "unreachable"
	// CodeOther stands for one that the wire doesn't know.
	CodeOther Code = "other"
)

// NotRun reports whether an instance that answers with c has not run the
// statement, so that it may be sent again, to this instance or another.
func (c Code) NotRun() bool {
	switch c {
	case CodeBusy, CodeLagging, CodeReadOnly, CodeMisrouted, CodeTooMany, CodeNotPrepared, CodeUnreachable:
		return true
	default:
		return false
	}
}

// TxState is the state of a connection after an answer.
type TxState string

// The states of a transaction.
const (
	TxNone   TxState = "none"
	TxOpen   TxState = "open"
	TxFailed TxState = "failed"
)

// Answer ends one statement.
type Answer struct {
	// Rows are whole rows as they came.
	Rows []string
	// Digest is the instance's proof of what it ran, empty when it gave none.
	Digest string
	// Code and Detail are set when the statement has failed.
	Code   Code
	Detail string
	// RetryAfter is when the caller had best come back; zero gives no hint.
	RetryAfter time.Duration
	State      TxState
	// Position is how far the instance's log reached.
	Position fleet.Option[fleet.LogPosition]
}

// Status is what an instance says of itself when it is asked.
type Status struct {
	Role fleet.Role
	Term fleet.Term
	// Received is the end of the instance's log.
	Received fleet.LogPosition
}
