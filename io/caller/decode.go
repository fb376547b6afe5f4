package caller

import (
	"bytes"
	"encoding/binary"
)

// cutString returns the zero-terminated string that b begins with, and the
// rest.
func cutString(b []byte) (s, rest []byte, ok bool) {
	return bytes.Cut(b, []byte{0})
}

// cutCount returns the 16-bit count that b begins with, and the rest.
func cutCount(b []byte) (n int, rest []byte, ok bool) {
	if len(b) < 2 {
		return 0, nil, false
	}
	return int(binary.BigEndian.Uint16(b)), b[2:], true
}

// bind is the part of a Bind message that the entry host looks at. Its slices
// point into the message.
type bind struct {
	portal, statement []byte
	// values is the rest of the message.
	values []byte
}

// decodeBind takes a Bind message apart and checks all its lengths: an instance
// answers a malformed message by closing the connection, which is shared, so
// none may get there.
func decodeBind(b []byte) (m bind, ok bool) {
	if m.portal, b, ok = cutString(b); !ok {
		return m, false
	}
	if m.statement, b, ok = cutString(b); !ok {
		return m, false
	}
	m.values = b
	if b, ok = skipCodes(b); !ok {
		return m, false
	}
	n, b, ok := cutCount(b)
	if !ok {
		return m, false
	}
	for range n {
		if b, ok = skipValue(b); !ok {
			return m, false
		}
	}
	b, ok = skipCodes(b)
	return m, ok && len(b) == 0
}

// skipCodes skips a counted list of format codes.
func skipCodes(b []byte) ([]byte, bool) {
	n, b, ok := cutCount(b)
	if !ok || len(b) < 2*n {
		return nil, false
	}
	return b[2*n:], true
}

// skipValue skips a value with its length, which is -1 for NULL.
func skipValue(b []byte) ([]byte, bool) {
	if len(b) < 4 {
		return nil, false
	}
	n := int(int32(binary.BigEndian.Uint32(b)))
	b = b[4:]
	if n == -1 {
		return b, true
	}
	if n < 0 || n > len(b) {
		return nil, false
	}
	return b[n:], true
}

// parse is a Parse message.
type parse struct {
	name, sql []byte
	types     []uint32
}

func decodeParse(b []byte) (m parse, ok bool) {
	if m.name, b, ok = cutString(b); !ok {
		return m, false
	}
	if m.sql, b, ok = cutString(b); !ok {
		return m, false
	}
	n, b, ok := cutCount(b)
	if !ok || len(b) != 4*n {
		return m, false
	}
	for ; len(b) > 0; b = b[4:] {
		m.types = append(m.types, binary.BigEndian.Uint32(b))
	}
	return m, true
}

// decodeTarget reads the body of Describe and Close: a kind, which is 'S' or
// 'P', and a name.
func decodeTarget(b []byte) (kind byte, name []byte, ok bool) {
	if len(b) < 2 || (b[0] != targetStatement && b[0] != targetPortal) {
		return 0, nil, false
	}
	name, rest, ok := cutString(b[1:])
	return b[0], name, ok && len(rest) == 0
}

const (
	targetStatement = 'S'
	targetPortal    = 'P'
)

// decodeExecute returns the portal of an Execute message.
func decodeExecute(b []byte) (portal []byte, ok bool) {
	portal, rest, ok := cutString(b)
	return portal, ok && len(rest) == 4
}

// decodeQuery returns the text of a Query message.
func decodeQuery(b []byte) (sql []byte, ok bool) {
	sql, rest, ok := cutString(b)
	return sql, ok && len(rest) == 0
}
