// Package statement defines the types of callers' statements and of the instances'
// answers, independent of the wire protocol. The protocol packages translate to and
// from them.
package statement

import (
	"time"

	"skylarkdeal/core/fleet"
)

// ID is the identifier that a caller gave a statement. The zero ID marks one of the
// proxy's own statements.
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

	// KindDiscard resets the set values and the prepared statements of a connection.
	KindDiscard Kind = "discard"
	// KindStatus asks an instance for its role, term and log position.
	KindStatus Kind = "status"
	// KindStepDown turns a primary of a term below Term into a replica.
	KindStepDown Kind = "step-down"
	// KindPause keeps a replica from receiving anything until KindResume, a promotion or its restart, if Term is
	// above its own.
	KindPause  Kind = "pause"
	KindResume Kind = "resume"
)

// IsControl reports whether statements of the kind control an instance, and are answered with its status.
func (k Kind) IsControl() bool { return k == KindStepDown || k == KindPause || k == KindResume }

// Definition is the definition of a prepared statement. Prepared statements with
// equal definitions are the same.
type Definition struct {
	Writes bool
	Text   string
}

// Statement is one statement of a caller or of the proxy.
type Statement struct {
	ID   ID
	Kind Kind
	// Name is the name of a value (KindSet) or of a prepared statement.
	Name string
	// Value is the new value, for KindSet.
	Value string
	// Definition is set for KindPrepare.
	Definition Definition
	// Text is the rest of a read or write after its kind, or of an execute after
	// its name, as the caller sent it.
	Text string
	// After is the log position that the instance's log has to cover to run a read
	// or to begin a transaction. Otherwise the instance refuses the statement.
	After fleet.Option[fleet.LogPosition]
	// Term is set for KindStepDown and KindPause.
	Term fleet.Term
}

// Code is the reason why a statement has failed.
type Code string

// The codes. NotRun returns which of them guarantee that the statement has not run.
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
	// CodeUnreachable is reported by another host that can't reach an instance.
	CodeUnreachable Code = "unreachable"
	// CodeOther stands for a code that the wire protocol doesn't define.
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

// Answer is an instance's answer to one statement.
type Answer struct {
	// Rows are complete rows, as received.
	Rows []string
	// Digest is the instance's evidence of what it ran, empty if it sent none.
	Digest string
	// Code and Detail are set if the statement has failed.
	Code   Code
	Detail string
	// RetryAfter is how long the caller should wait before a retry; zero gives no hint.
	RetryAfter time.Duration
	State      TxState
	// Position is the end of the instance's log at the time of the answer.
	Position fleet.Option[fleet.LogPosition]
}

// Status is an instance's answer to KindStatus.
type Status struct {
	Role fleet.Role
	Term fleet.Term
	// Received is the end of the instance's log.
	Received fleet.LogPosition
	// Held is the term with which a replica was told to receive nothing. It applies while it is above Term.
	Held fleet.Term
}
