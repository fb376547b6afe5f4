package caller

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"skylarkdeal/core/exchange"
	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
)

// headerLen is the type byte and the length of a message.
const headerLen = 5

const (
	severityFatal = "FATAL"
	severityError = "ERROR"
)

// The types of frontend messages.
const (
	msgBind      = 'B'
	msgClose     = 'C'
	msgDescribe  = 'D'
	msgExecute   = 'E'
	msgFlush     = 'H'
	msgParse     = 'P'
	msgPassword  = 'p'
	msgQuery     = 'Q'
	msgSync      = 'S'
	msgTerminate = 'X'
)

// peekFrame returns the next whole message that c has buffered: its type and
// its body, which is valid until the next Discard. The length is checked before
// anything is buffered for it, so a wrong one can't make the host hold memory.
func (x *session) peekFrame(limit int) (typ byte, body []byte, ok bool) {
	if x.conn.InboundBuffered() < headerLen {
		return 0, nil, false
	}
	h, err := x.conn.Peek(headerLen)
	if err != nil {
		return 0, nil, false
	}
	typ = h[0]
	n := int(int32(binary.BigEndian.Uint32(h[1:])))
	if n < headerLen-1 {
		x.end(protocolError(fmt.Sprintf("message %q has the impossible length %d", typ, n)))
		return 0, nil, false
	}
	if n > limit {
		x.end(&failure.Refusal{
			Code: failure.CodeTooLarge, Step: "read message",
			Message: fmt.Sprintf("message of %d bytes is above the limit of %d", n, limit),
		})
		return 0, nil, false
	}
	if x.conn.InboundBuffered() < n+1 {
		return 0, nil, false
	}
	b, err := x.conn.Peek(n + 1)
	if err != nil {
		return 0, nil, false
	}
	return typ, b[headerLen:], true
}

// dropFrame takes the message with that body out of the buffer.
func (x *session) dropFrame(body []byte) {
	_, _ = x.conn.Discard(headerLen + len(body))
}

func protocolError(m string) *failure.Refusal {
	return &failure.Refusal{Code: failure.CodeProtocol, Message: m, Step: "read message"}
}

// must returns the encoding of a message of ours, which is never too long.
func must(b []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	return b
}

func appendMessage(b []byte, m pgproto3.BackendMessage) []byte {
	return must(m.Encode(b))
}

// appendError appends r. A hint tells callers when to come back, so that a
// refused caller need not guess and hammer.
func appendError(b []byte, severity string, r *failure.Refusal) []byte {
	e := &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                string(r.Code),
		Message:             r.Message,
	}
	if r.RetryAfter > 0 {
		ms := (r.RetryAfter + time.Millisecond - 1) / time.Millisecond
		e.Hint = fmt.Sprintf("not run; retry after %d ms", int64(ms))
	}
	if r.Step != "" {
		e.Detail = fmt.Sprintf("step: %s", r.Step)
		if r.Peer != "" {
			e.Detail += fmt.Sprintf("; peer: %s", r.Peer)
		}
	}
	return appendMessage(b, e)
}

func appendParameter(b []byte, name, value string) []byte {
	return appendMessage(b, &pgproto3.ParameterStatus{Name: name, Value: value})
}

func appendComplete(b []byte, tag string) []byte {
	return appendMessage(b, &pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

// server is the instance that gave an answer, and its role then.
type server struct {
	instance fleet.Instance
	role     fleet.Role
}

// appendReady appends ReadyForQuery, and before it the token and what served
// the caller when it doesn't know them yet.
func (x *session) appendReady(b []byte) []byte {
	if x.told != x.token {
		b = appendParameter(b, settingToken, x.token.String())
		x.told = x.token
	}
	if x.servedTold != x.served {
		b = appendParameter(b, settingServedBy, string(x.served.instance)+"/"+string(x.served.role))
		x.servedTold = x.served
	}
	return append(b, 'Z', 0, 0, 0, 5, byte(x.tx.status))
}

// see raises the session's token to p.
func (x *session) see(p fleet.LogPosition) {
	if p.Compare(x.token) > 0 {
		x.token = p
	}
}

func statusOf(s exchange.TxStatus) exchange.TxStatus {
	if s == 0 {
		return exchange.TxIdle
	}
	return s
}
