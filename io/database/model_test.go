package database_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgproto3"
	"pgregory.net/rapid"

	"skylarkdeal/core/exchange"
	"skylarkdeal/io/database"
)

// texts are the statements that batches are drawn from. "bad" can't be parsed,
// "fail" fails when it runs.
var texts = map[string]string{"a": "get a", "b": "get b", "c": "get c", "d": "fail", "e": "bad"}

// batchModel answers a batch as PostgreSQL would on a connection that has no
// statement but those of the batch.
type batchModel struct {
	out  []string
	stop bool
}

func (m *batchModel) say(s ...string) {
	if !m.stop {
		m.out = append(m.out, s...)
	}
}

func (m *batchModel) fail(s string) {
	m.say(s)
	m.stop = true
}

func (m *batchModel) parse(n string) {
	if n == "e" {
		m.fail("E(42601)")
		return
	}
	m.say("1")
}

func (m *batchModel) run(n string) {
	m.say("2")
	if n == "d" {
		m.fail("E(22012)")
		return
	}
	m.say("D("+texts[n]+")", "C")
}

// drawBatch draws a batch and what its answer has to be. Statements that it
// uses without parsing them first are listed, as a host does.
func drawBatch(t *rapid.T) (*exchange.Request, string) {
	q := &exchange.Request{Intent: exchange.IntentWrite}
	var m batchModel
	var msgs []pgproto3.FrontendMessage
	parsed, needed := map[string]bool{}, map[string]bool{}
	names := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"})
	for range rapid.IntRange(1, 6).Draw(t, "messages") {
		n := names.Draw(t, "name")
		if rapid.Bool().Draw(t, "parse") {
			msgs = append(msgs, &pgproto3.Parse{Name: n, Query: texts[n]})
			parsed[n] = true
			m.parse(n)
			continue
		}
		if n == "e" {
			continue
		}
		msgs = append(msgs, &pgproto3.Bind{PreparedStatement: n}, &pgproto3.Execute{})
		if !parsed[n] && !needed[n] {
			needed[n] = true
			q.Statements = append(q.Statements, exchange.Statement{Name: n, SQL: texts[n]})
		}
		m.run(n)
	}
	q.Payload = payload(append(msgs, &pgproto3.Sync{})...)
	return q, strings.Join(m.out, " ")
}

// Whatever a connection has prepared, forgotten or failed at before, a batch is
// answered as on a fresh one.
func TestBatchesAreAnsweredAsOnAFreshConnection(t *testing.T) {
	i := newInstance(t, 10)
	p := newPool(t, i, func(g *database.Config) { g.Limit, g.MaxStatements = 1, 2 })
	conn := take(t, p)
	rapid.Check(t, func(t *rapid.T) {
		for range rapid.IntRange(1, 8).Draw(t, "batches") {
			q, want := drawBatch(t)
			got, a := exchangeOn(conn, q)
			if a.Err != nil || got != want {
				t.Fatalf("got %q, %v; want %q", got, a.Err, want)
			}
		}
	})
	qt.Assert(t, conn.Broken(), qt.IsFalse)
}
