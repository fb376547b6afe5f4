package holder

import (
	"bytes"
	"encoding/binary"

	"skylarkdeal/core/failure"
)

// holdLimit is how much of an answer is held back until it is proven, in bytes.
// It covers nearly all answers whole; a longer one is proven piece by piece, so
// that the connections of a holder can't use up its memory.
const holdLimit = 256 << 10

// The backend messages that tell what an answer holds.
const (
	msgQuery           = 'Q' // from the caller
	msgDataRow         = 'D'
	msgCommandComplete = 'C'
	msgEmptyQuery      = 'I'
	msgError           = 'E'
	fieldCode          = 'C'
	tagCommit          = "COMMIT"
	headerSize         = 5
)

// collector holds back an answer until it is proven that it may be given.
type collector struct {
	held []byte
	// rows and completed tell whether data, and the end of a statement, came.
	rows      bool
	completed bool
	// committed is set once a COMMIT within the exchange has come through.
	committed bool
	// code is the SQLSTATE of the first error.
	code failure.Code
	// passed is set once part of the answer has gone to the caller.
	passed bool
	// prove is asked before held bytes of a long answer are passed on.
	prove func() error
	send  func(b []byte) error
}

// executed reports whether any statement was run, as far as the answer tells: an
// error may be that of one.
func (c *collector) executed() bool {
	return c.rows || c.completed || c.code != ""
}

// add takes in whole backend messages.
func (c *collector) add(b []byte) error {
	c.scan(b)
	c.held = append(c.held, b...)
	if len(c.held) < holdLimit {
		return nil
	}
	if err := c.prove(); err != nil {
		return err
	}
	return c.flush()
}

// flush passes on what is held.
func (c *collector) flush() error {
	if len(c.held) == 0 {
		return nil
	}
	c.passed = true
	err := c.send(c.held)
	c.held = c.held[:0]
	return err
}

func (c *collector) scan(b []byte) {
	for len(b) >= headerSize {
		n := 1 + int(binary.BigEndian.Uint32(b[1:headerSize]))
		if n < headerSize || n > len(b) {
			return
		}
		c.note(b[0], b[headerSize:n])
		b = b[n:]
	}
}

func (c *collector) note(kind byte, body []byte) {
	switch kind {
	case msgDataRow:
		c.rows = true
	case msgCommandComplete, msgEmptyQuery:
		c.completed = true
		c.committed = c.committed || string(bytes.TrimSuffix(body, []byte{0})) == tagCommit
	case msgError:
		if c.code == "" {
			c.code = sqlState(body)
		}
	}
}

// sqlState returns the code in the body of an ErrorResponse: fields of a type
// byte and a text that ends in zero.
func sqlState(body []byte) failure.Code {
	for len(body) > 1 {
		end := 1
		for end < len(body) && body[end] != 0 {
			end++
		}
		if body[0] == fieldCode {
			return failure.Code(body[1:end])
		}
		if end == len(body) {
			return ""
		}
		body = body[end+1:]
	}
	return ""
}
