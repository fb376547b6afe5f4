package caller

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"skylarkdeal/core/exchange"
	"skylarkdeal/core/failure"
)

var (
	errMixed = &failure.Refusal{
		Code: failure.CodeUnsupported, Step: "set",
		Message: "SET, SHOW, DISCARD and DEALLOCATE can't be sent in one batch with other statements",
	}
	errFailedTx = &failure.Refusal{
		Code: failure.CodeInFailedTx, Step: "execute",
		Message: "the transaction was given up; statements are ignored until ROLLBACK",
	}
)

// answerHere answers a batch that needs no instance and reports whether it did.
func (x *session) answerHere(b *batch, extended bool) bool {
	switch {
	case b == nil:
		x.write(x.appendReady(nil))
	case b.refusal != nil:
		x.refuseBatch(b.refusal)
	case x.tx.lost:
		x.answerLost(b, extended)
	case b.local > 0 && b.remote > 0:
		x.refuseBatch(errMixed)
	case b.remote == 0:
		x.answerLocal(b, extended)
	default:
		return false
	}
	return true
}

// refuseBatch answers a batch with an error of the entry host's own.
func (x *session) refuseBatch(r *failure.Refusal) {
	x.failTx()
	b := appendError(nil, severityError, r)
	x.write(x.appendReady(b))
}

// failTx gives up an open transaction after an error that its instance doesn't
// know of. As in PostgreSQL the caller has to end it: were it to stay open, a
// caller that overlooks the error would commit a part of its work.
func (x *session) failTx() {
	if x.tx.status == exchange.TxIdle {
		return
	}
	x.release()
	x.tx.lost = true
	x.tx.status = exchange.TxFailed
}

// answerLost answers within a transaction that was given up: only its end is
// accepted, and is a rollback.
func (x *session) answerLost(b *batch, extended bool) {
	for _, l := range b.executed {
		if !l.look.endsTx() {
			x.write(x.appendReady(appendError(nil, severityError, errFailedTx)))
			return
		}
	}
	if len(b.executed) > 0 {
		x.tx = transaction{status: exchange.TxIdle}
		x.watchIdle()
	}
	var out []byte
	if !extended {
		out = appendComplete(out, "ROLLBACK")
	}
	for _, o := range b.ops {
		if extended && o.msg == msgExecute {
			out = appendComplete(out, "ROLLBACK")
			continue
		}
		out, _ = x.appendOp(out, o)
	}
	x.write(x.appendReady(out))
}

// answerLocal runs a batch of SET, SHOW and the like.
func (x *session) answerLocal(b *batch, extended bool) {
	var out []byte
	for _, o := range b.ops {
		var r *failure.Refusal
		if out, r = x.appendOp(out, o); r != nil {
			x.failTx()
			out = appendError(out, severityError, r)
			break
		}
	}
	if extended && x.tx.status == exchange.TxIdle {
		x.portals = portals{}
	}
	x.confirm(b, true)
	x.write(x.appendReady(out))
}

// appendOp runs one message here and appends its answer.
func (x *session) appendOp(b []byte, o op) ([]byte, *failure.Refusal) {
	switch o.msg {
	case msgParse:
		return appendMessage(b, &pgproto3.ParseComplete{}), nil
	case msgBind:
		return appendMessage(b, &pgproto3.BindComplete{}), nil
	case msgClose:
		return appendMessage(b, &pgproto3.CloseComplete{}), nil
	case msgDescribe:
		if o.target == targetStatement {
			b = appendMessage(b, &pgproto3.ParameterDescription{})
		}
		if o.stmt.look.verb == verbShow {
			return appendShowRow(b, o.stmt.look.name), nil
		}
		return appendMessage(b, &pgproto3.NoData{}), nil
	case msgQuery:
		if o.stmt.look.verb == verbShow {
			b = appendShowRow(b, o.stmt.look.name)
		}
	}
	return x.runLocal(b, o.stmt.look)
}

func (x *session) runLocal(b []byte, l look) ([]byte, *failure.Refusal) {
	switch l.verb {
	case verbEmpty:
		return appendMessage(b, &pgproto3.EmptyQueryResponse{}), nil
	case verbSet:
		return x.runSet(b, l, "SET")
	case verbReset:
		return x.runSet(b, l, "RESET")
	case verbShow:
		v := x.settings.show(x, l.name, parameters[l.name].value)
		b = appendMessage(b, &pgproto3.DataRow{Values: [][]byte{[]byte(v)}})
		return appendComplete(b, "SHOW"), nil
	case verbDiscard:
		x.statements, x.settings = statements{}, settings{}
		return appendComplete(b, "DISCARD ALL"), nil
	case verbDeallocate:
		if strings.EqualFold(l.name, "all") {
			x.statements = statements{}
			return appendComplete(b, "DEALLOCATE ALL"), nil
		}
		x.statements.remove(l.name)
		return appendComplete(b, "DEALLOCATE"), nil
	default:
		return b, &failure.Refusal{
			Code: failure.CodeUnsupported, Step: "execute",
			Message: l.name + " is not kept across pooled connections and not supported",
		}
	}
}

func (x *session) runSet(b []byte, l look, tag string) ([]byte, *failure.Refusal) {
	if l.verb == verbReset && l.name == "all" {
		x.settings = settings{}
		return appendComplete(b, tag), nil
	}
	if r := x.settings.set(x, l.name, l.value); r != nil {
		return b, r
	}
	b = appendComplete(b, tag)
	switch l.name {
	case settingApplication, settingReadOnly:
		b = appendParameter(b, l.name, x.settings.show(x, l.name, ""))
	}
	return b, nil
}

func appendShowRow(b []byte, name string) []byte {
	const textOID = 25
	return appendMessage(b, &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name: []byte(name), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1,
	}}})
}

// confirm notes whether the batch ended well. Statements of one that did not
// may be parsed again under their names.
func (x *session) confirm(b *batch, ok bool) {
	for _, s := range b.parsed {
		s.confirmed = s.confirmed || ok
	}
}
