package caller

import (
	"encoding/binary"
	"fmt"

	"skylarkdeal/core/exchange"
	"skylarkdeal/core/failure"
)

// op is one message of a batch, for a batch that the entry host answers itself.
type op struct {
	msg    byte
	target byte
	stmt   *statement
}

// batch collects the messages of the extended protocol up to Sync, rewritten.
type batch struct {
	payload    []byte
	statements []exchange.Statement
	ops        []op
	// parsed are the statements that the payload parses itself.
	parsed []*statement
	// executed are the statements that run, in order.
	executed []*statement
	// local and remote count what the entry host and what the instance answers.
	local, remote int
	bound         bool
	refusal       *failure.Refusal

	// The room of a usual batch, so that it takes one allocation.
	opsRoom      [4]op
	executedRoom [2]*statement
	needRoom     [1]exchange.Statement
}

// payloadRoom holds the messages of a usual statement.
const payloadRoom = 256

// nowhere is a portal that never exists. Closing it is answered like any other
// Close, in its place among the answers of a batch.
const nowhere = "sk_none"

// refuse has the whole batch answered by r. Nothing of it is run, as none of it
// would stand in PostgreSQL either: an error rolls back the batch.
func (b *batch) refuse(r *failure.Refusal) {
	if b.refusal == nil {
		b.refusal = r
	}
}

func (x *session) current() *batch {
	if x.batch == nil {
		b := &batch{payload: make([]byte, 0, payloadRoom)}
		b.ops, b.executed, b.statements = b.opsRoom[:0], b.executedRoom[:0], b.needRoom[:0]
		x.batch = b
	}
	return x.batch
}

func (x *session) addParse(body []byte) bool {
	m, ok := decodeParse(body)
	if !ok {
		return false
	}
	b := x.current()
	if old, used := x.statements.get(m.name); used && len(m.name) > 0 && old.confirmed {
		b.refuse(&failure.Refusal{
			Code: "42P05", Step: "parse", Message: fmt.Sprintf("prepared statement %q already exists", m.name),
		})
		return true
	}
	s := newStatement(m.sql, m.types)
	if r := x.statements.put(m.name, s); r != nil {
		b.refuse(r)
		return true
	}
	b.ops = append(b.ops, op{msg: msgParse, stmt: s})
	b.parsed = append(b.parsed, s)
	if s.look.local() {
		b.local++
		return true
	}
	b.remote++
	b.message(msgParse, s.wire, m.sql, body[len(m.name)+len(m.sql)+2:])
	return true
}

func (x *session) addBind(body []byte) bool {
	m, ok := decodeBind(body)
	if !ok {
		return false
	}
	b := x.current()
	s, ok := x.statements.get(m.statement)
	if !ok {
		b.refuse(noStatement(m.statement))
		return true
	}
	if r := x.portals.put(m.portal, s); r != nil {
		b.refuse(r)
		return true
	}
	b.ops = append(b.ops, op{msg: msgBind, stmt: s})
	b.bound = true
	if s.look.local() {
		b.local++
		return true
	}
	b.remote++
	b.need(s)
	b.message(msgBind, m.portal, s.wire, m.values)
	return true
}

func noStatement(name []byte) *failure.Refusal {
	return &failure.Refusal{
		Code: "26000", Step: "bind", Message: fmt.Sprintf("prepared statement %q does not exist", name),
	}
}

// need lists s for the connection that will serve, unless the payload parses it.
func (b *batch) need(s *statement) {
	for _, p := range b.parsed {
		if p.name == s.name {
			return
		}
	}
	for i := range b.statements {
		if b.statements[i].Name == s.name {
			return
		}
	}
	b.statements = append(b.statements, exchange.Statement{Name: s.name, SQL: s.sql, Types: s.types})
}

func (x *session) addDescribe(body []byte) bool {
	kind, name, ok := decodeTarget(body)
	if !ok {
		return false
	}
	b := x.current()
	s, ok := x.target(kind, name)
	if !ok {
		b.refuse(noTarget(kind, name))
		return true
	}
	b.ops = append(b.ops, op{msg: msgDescribe, target: kind, stmt: s})
	if s.look.local() {
		b.local++
		return true
	}
	b.remote++
	if kind == targetPortal {
		b.raw(msgDescribe, body)
		return true
	}
	b.need(s)
	b.named(msgDescribe, kind, s.name)
	return true
}

func (x *session) target(kind byte, name []byte) (*statement, bool) {
	if kind == targetPortal {
		return x.portals.get(name)
	}
	return x.statements.get(name)
}

func noTarget(kind byte, name []byte) *failure.Refusal {
	if kind == targetStatement {
		return noStatement(name)
	}
	return &failure.Refusal{
		Code: "34000", Step: "execute", Message: fmt.Sprintf("portal %q does not exist", name),
	}
}

func (x *session) addExecute(body []byte) bool {
	portal, ok := decodeExecute(body)
	if !ok {
		return false
	}
	b := x.current()
	s, ok := x.portals.get(portal)
	if !ok {
		b.refuse(noTarget(targetPortal, portal))
		return true
	}
	b.ops = append(b.ops, op{msg: msgExecute, stmt: s})
	b.executed = append(b.executed, s)
	b.bound = true
	if s.look.local() {
		b.local++
		return true
	}
	b.remote++
	b.raw(msgExecute, body)
	return true
}

// addClose forgets a statement for this session only: the upstream connections
// keep it for others.
func (x *session) addClose(body []byte) bool {
	kind, name, ok := decodeTarget(body)
	if !ok {
		return false
	}
	b := x.current()
	b.ops = append(b.ops, op{msg: msgClose})
	if kind == targetPortal {
		x.portals.remove(name)
		b.raw(msgClose, body)
		return true
	}
	x.statements.remove(string(name))
	b.named(msgClose, targetPortal, nowhere)
	return true
}

// message appends a message of two zero-terminated strings and a rest.
func (b *batch) message(typ byte, one, two, rest []byte) {
	n := 4 + len(one) + 1 + len(two) + 1 + len(rest)
	b.payload = append(b.payload, typ)
	b.payload = binary.BigEndian.AppendUint32(b.payload, uint32(n))
	b.payload = append(append(b.payload, one...), 0)
	b.payload = append(append(b.payload, two...), 0)
	b.payload = append(b.payload, rest...)
}

func (b *batch) named(typ, kind byte, name string) {
	b.payload = append(b.payload, typ)
	b.payload = binary.BigEndian.AppendUint32(b.payload, uint32(4+1+len(name)+1))
	b.payload = append(b.payload, kind)
	b.payload = append(append(b.payload, name...), 0)
}

func (b *batch) raw(typ byte, body []byte) {
	b.payload = append(b.payload, typ)
	b.payload = binary.BigEndian.AppendUint32(b.payload, uint32(4+len(body)))
	b.payload = append(b.payload, body...)
}

func (b *batch) sync() {
	b.payload = append(b.payload, msgSync, 0, 0, 0, 4)
}
