// Package failure defines the error types of the system. Each error carries the step
// and the peer at which it occurred. Those that reach a caller carry a SQLSTATE and,
// for a refused request, a time after which to retry.
package failure

import (
	"errors"
	"time"

	"github.com/joomcode/errorx"
)

// Step is the operation in which an error occurred, such as "startup".
type Step string

// Peer is the other side of the operation, such as "instance b" or "host obihiro-2".
type Peer string

// Code is a SQLSTATE, the five-character error code that PostgreSQL drivers evaluate.
type Code string

// The SQLSTATEs that the proxy itself returns. Codes of class 53 are returned only if
// nothing has run, CodeUnknownOutcome whenever something may have run.
const (
	CodeTooManySessions  Code = "53300"
	CodeOverRate         Code = "53400"
	CodeOverloaded       Code = "53000"
	CodeUnknownOutcome   Code = "08007"
	CodeProtocol         Code = "08P01"
	CodeUnreachable      Code = "08006"
	CodeBadKey           Code = "28P01"
	CodeKeyRevoked       Code = "28000"
	CodeNoService        Code = "3D000"
	CodeUnsupported      Code = "0A000"
	CodeInvalidParameter Code = "22023"
	CodeReadOnly         Code = "25006"
	CodeInFailedTx       Code = "25P02"
	CodeShuttingDown     Code = "57P01"
	CodeNotReady         Code = "57P03"
	CodeCancelled        Code = "57014"
	CodeTooLarge         Code = "54000"
	CodeInternal         Code = "XX000"
)

// Refusal is the answer to a caller whose request isn't served.
type Refusal struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// RetryAfter is how long the caller should wait before a retry; zero gives no hint.
	RetryAfter time.Duration `json:"retry-after"`
	Step       Step          `json:"step"`
	Peer       Peer          `json:"peer"`
}

// Error returns the code and the message. It makes a Refusal an error.
func (r *Refusal) Error() string {
	return string(r.Code) + ": " + r.Message
}

// AsRefusal returns the Refusal in err's chain, or a new one with CodeInternal.
func AsRefusal(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	step, peer := Where(err)
	return &Refusal{Code: CodeInternal, Message: err.Error(), Step: step, Peer: peer}
}

var (
	locatedError = errorx.NewNamespace("skylarkdeal").NewType("located").
			ApplyModifiers(errorx.TypeModifierOmitStackTrace)
	stepProperty = errorx.RegisterPrintableProperty("step")
	peerProperty = errorx.RegisterPrintableProperty("peer")
)

// Error is an error with the step and the peer at which it occurred. It adds the
// Unwrap that errors.Is and errors.As need and that errorx lacks.
type Error struct {
	x *errorx.Error
}

// Error returns the steps and peers, the outermost first, and then the cause.
func (e *Error) Error() string {
	return e.x.Message() + ": " + e.x.Cause().Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.x.Cause()
}

// At returns err with the step and the peer at which it occurred, or nil if err is
// nil. If err has a step and a peer already, Where still returns those.
func At(err error, step Step, peer Peer) error {
	if err == nil {
		return nil
	}
	x := locatedError.Wrap(err, "%s with %s", step, peer).
		WithProperty(stepProperty, step).
		WithProperty(peerProperty, peer)
	return &Error{x: x}
}

// Where returns the innermost step and peer recorded in err's chain.
func Where(err error) (Step, Peer) {
	var step Step
	var peer Peer
	var e *Error
	for errors.As(err, &e) {
		step, peer = e.location()
		err = e.Unwrap()
	}
	return step, peer
}

func (e *Error) location() (Step, Peer) {
	var step Step
	var peer Peer
	if v, ok := e.x.Property(stepProperty); ok {
		step, _ = v.(Step)
	}
	if v, ok := e.x.Property(peerProperty); ok {
		peer, _ = v.(Peer)
	}
	return step, peer
}
