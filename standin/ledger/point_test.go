package ledger_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgproto3"

	"skylarkdeal/standin/ledger"
)

// A host asks a connection that has the statement already for its description
// alone. Were the point that of the connection's last answer, the host would
// take the instance for one that lags and try elsewhere, as often as it may.
func TestLoneDescribeTellsWhereTheLogStands(t *testing.T) {
	c := qt.New(t)
	g := start(c, ledger.Config{})
	idle, busy := connect(c, g, "a", "h1"), connect(c, g, "a", "h2")
	ctx := timeout(c)
	_, err := idle.Prepare(ctx, "reader", "get k")
	c.Assert(err, qt.IsNil)
	_, err = busy.Exec(ctx, "put k v")
	c.Assert(err, qt.IsNil)

	f := idle.PgConn().Frontend()
	f.SendDescribe(&pgproto3.Describe{ObjectType: 'S', Name: "reader"})
	f.SendSync(&pgproto3.Sync{})
	c.Assert(f.Flush(), qt.IsNil)
	got := ""
	for {
		m, err := f.Receive()
		c.Assert(err, qt.IsNil)
		if p, ok := m.(*pgproto3.ParameterStatus); ok && p.Name == ledger.PointParameter {
			got = p.Value
		}
		if _, ok := m.(*pgproto3.ReadyForQuery); ok {
			break
		}
	}
	c.Assert(got, qt.Equals, point(busy))
}
