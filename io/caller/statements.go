package caller

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"skylarkdeal/core/failure"
)

// statement is a prepared statement of a session. The session keeps it under
// the caller's name and sends it under a name that is the same on all hosts, so
// that it works over whichever upstream connection serves.
type statement struct {
	name  string
	wire  []byte
	sql   string
	types []uint32
	look  look
	// confirmed is set once a batch that parsed it has ended without an error.
	confirmed bool
}

func newStatement(sql []byte, types []uint32) *statement {
	s := &statement{name: statementName(sql, types), sql: string(sql), types: types}
	s.look, s.wire = lookAt(s.sql), []byte(s.name)
	return s
}

// statementName names sql with its types. The hash is one for which nobody can
// make up two texts with one name: upstream connections are shared between
// accounts, and a weaker one would let an account have its own text run in
// place of another's.
func statementName(sql []byte, types []uint32) string {
	h := sha256.New()
	var n [4]byte
	for _, t := range types {
		binary.BigEndian.PutUint32(n[:], t)
		h.Write(n[:])
	}
	binary.BigEndian.PutUint32(n[:], uint32(len(types)))
	h.Write(n[:])
	h.Write(sql)
	var sum [sha256.Size]byte
	return "sk_" + hex.EncodeToString(h.Sum(sum[:0])[:nameLen])
}

// nameLen is how many bytes of the hash a name has, which keeps it under the 63
// bytes that PostgreSQL allows.
const nameLen = 16

// The bounds of what a session keeps. Made for callers that prepare a text for
// each call and never close any: they would take the memory of the host, whose
// other sessions need a few kilobytes each.
const (
	maxStatements     = 1000
	maxStatementBytes = 4 << 20
	maxPortals        = 1000
	maxNameLen        = 256
	maxOps            = 20_000
)

var (
	errStatements = &failure.Refusal{
		Code: failure.CodeTooLarge, Step: "parse",
		Message: fmt.Sprintf("a session keeps up to %d prepared statements of %d bytes together; close some",
			maxStatements, maxStatementBytes),
	}
	errPortals = &failure.Refusal{
		Code: failure.CodeTooLarge, Step: "bind",
		Message: fmt.Sprintf("a transaction keeps up to %d portals; close some", maxPortals),
	}
	errNameLen = &failure.Refusal{
		Code: "42622", Step: "parse",
		Message: fmt.Sprintf("a name has up to %d bytes", maxNameLen),
	}
)

// statements are the prepared statements of a session by the caller's names.
// The zero statements are empty.
type statements struct {
	byName map[string]*statement
	bytes  int
}

func (t *statements) get(name []byte) (*statement, bool) {
	s, ok := t.byName[string(name)]
	return s, ok
}

// put keeps s in place of one of that name, unless that is too much.
func (t *statements) put(name []byte, s *statement) *failure.Refusal {
	if len(name) > maxNameLen {
		return errNameLen
	}
	t.remove(string(name))
	if len(t.byName) >= maxStatements || t.bytes+len(s.sql) > maxStatementBytes {
		return errStatements
	}
	if t.byName == nil {
		t.byName = make(map[string]*statement)
	}
	t.byName[string(name)] = s
	t.bytes += len(s.sql)
	return nil
}

func (t *statements) remove(name string) {
	if s, ok := t.byName[name]; ok {
		t.bytes -= len(s.sql)
		delete(t.byName, name)
	}
}

// portals are the portals of the present transaction. The zero portals are
// empty.
type portals struct {
	// unnamed is apart, as most callers use no other and need no map for it.
	unnamed *statement
	byName  map[string]*statement
}

func (p *portals) get(name []byte) (*statement, bool) {
	if len(name) == 0 {
		return p.unnamed, p.unnamed != nil
	}
	s, ok := p.byName[string(name)]
	return s, ok
}

func (p *portals) put(name []byte, s *statement) *failure.Refusal {
	switch {
	case len(name) == 0:
		p.unnamed = s
		return nil
	case len(name) > maxNameLen:
		return errNameLen
	case len(p.byName) >= maxPortals:
		return errPortals
	case p.byName == nil:
		p.byName = make(map[string]*statement)
	}
	p.byName[string(name)] = s
	return nil
}

func (p *portals) remove(name []byte) {
	if len(name) == 0 {
		p.unnamed = nil
		return
	}
	delete(p.byName, string(name))
}
