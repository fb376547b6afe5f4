package test_test

import (
	"context"
	"encoding/binary"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"

	"skylarkdeal/internal/localfleet"
)

// malformedStartups is how many connections begin with something else than a
// proper start-up; callersOfJunk is how many of them are open at a time.
const (
	malformedStartups = 1000
	callersOfJunk     = 16
)

// startupPacket returns a start-up packet with that code and body; length is
// added to the true one.
func startupPacket(code uint32, body []byte, length int) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(8+len(body)+length))
	return append(binary.BigEndian.AppendUint32(b, code), body...)
}

// The codes that a start-up packet may begin with.
const (
	codeProtocol = 3 << 16
	codeCancel   = 80877102
	codeSSL      = 80877103
)

// malformed returns the n-th malformed start-up, one of each kind by turns.
func malformed(n int, r *rand.Rand) []byte {
	junk := make([]byte, 1+r.IntN(200))
	for i := range junk {
		junk[i] = byte(r.Uint32())
	}
	user := []byte("user\x00hotel\x00database\x00junk\x00\x00")
	kinds := [][]byte{
		junk,
		startupPacket(codeProtocol, junk, 0),
		startupPacket(codeProtocol, user, 1<<30),
		startupPacket(codeProtocol, user, -30),
		startupPacket(codeProtocol, user[:len(user)-2], 0),
		startupPacket(2<<16, user, 0),
		startupPacket(codeCancel, junk, 0),
		append(startupPacket(codeSSL, nil, 0), junk...),
		append(startupPacket(codeProtocol, user, 0), junk...),
		append(startupPacket(codeProtocol, user, 0), 'p', 0, 0, 0, 4),
		append(startupPacket(codeProtocol, user, 0), 'Q', 0, 0, 0, 5, 0),
		{},
	}
	return kinds[n%len(kinds)]
}

// sendJunk sends b and reads what comes back until the host closes, or a moment
// has passed for those that look like the beginning of a start-up.
func sendJunk(address string, b []byte) error {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := c.Write(b); err != nil {
		return nil //nolint:nilerr // the host has closed already, as it may
	}
	_, _ = io.Copy(io.Discard, c)
	return nil
}

// A port scanner, or a broken client, sends 1,000 malformed start-ups to one
// host while callers have sessions there. Each ends or is left alone; the open
// sessions get all their answers, and new ones are opened as before.
func TestMalformedStartupsHarmNoSession(t *testing.T) {
	f := sharedFleet(t)
	g := f.addGroup(t, "junk")
	ctx := testContext(t)
	h := f.hosts[1]
	c, err := g.connect(ctx, h, "")
	qt.Assert(t, err, qt.IsNil)
	defer closeSession(c)
	work := make(chan []byte)
	var senders sync.WaitGroup
	for range callersOfJunk {
		senders.Go(func() {
			for b := range work {
				if err := sendJunk(h.caller, b); err != nil {
					t.Error(err)
				}
			}
		})
	}
	r := rand.New(rand.NewPCG(1, 2))
	for n := range malformedStartups {
		work <- malformed(n, r)
		if n%20 == 0 {
			_, err := c.Exec(ctx, "once $1 stock 1", "junk-"+string(rune('a'+n/20)))
			qt.Assert(t, err, qt.IsNil)
		}
	}
	close(work)
	senders.Wait()
	_, err = c.Exec(ctx, "get stock")
	qt.Assert(t, err, qt.IsNil)
	g.served(t, h)
	qt.Assert(t, len(runs(g.record(t, ""))), qt.Equals, malformedStartups/20)
}

// A developer points the usual client and the usual driver at the fleet and does
// what developers do first, over two hosts: a query, a prepared one, a
// transaction that is rolled back, one that is committed, an error, and going on
// over another host.
func TestUsualClients(t *testing.T) {
	f := sharedFleet(t)
	g := f.addGroup(t, "clients")
	ctx := testContext(t)
	for k, h := range f.hosts[:2] {
		t.Run("pgx over "+h.name, func(t *testing.T) {
			for _, m := range []pgx.QueryExecMode{
				pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe, pgx.QueryExecModeDescribeExec,
				pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol,
			} {
				useDriver(ctx, t, g, h, f.hosts[1-k], m)
			}
		})
		t.Run("psql over "+h.name, func(t *testing.T) {
			if _, err := exec.LookPath("psql"); err != nil {
				t.Skip("psql is not installed")
			}
			usePsql(ctx, t, g, h, f.hosts[1-k])
		})
	}
}

// useDriver works over h in that mode, then over next.
func useDriver(ctx context.Context, t *testing.T, g *group, h, next *host, m pgx.QueryExecMode) {
	c, err := g.connect(ctx, h, "")
	qt.Assert(t, err, qt.IsNil)
	defer closeSession(c)
	key := "driver-" + strings.ReplaceAll(m.String(), " ", "-")
	for _, v := range []string{"1", "2"} {
		_, err = c.Exec(ctx, "put $1 $2", m, key, v)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", m))
	}
	_, err = c.Prepare(ctx, "reader", "get $1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, value(ctx, t, c, "reader", key), qt.Equals, "2")

	x, err := c.Begin(ctx)
	qt.Assert(t, err, qt.IsNil)
	_, err = x.Exec(ctx, "put $1 $2", m, key, "3")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, x.Rollback(ctx), qt.IsNil)
	qt.Assert(t, value(ctx, t, c, "reader", key), qt.Equals, "2")
	x, err = c.Begin(ctx)
	qt.Assert(t, err, qt.IsNil)
	_, err = x.Exec(ctx, "put $1 $2", m, key, "4")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, x.Commit(ctx), qt.IsNil)

	_, err = c.Exec(ctx, "drop everything", m)
	qt.Assert(t, string(codeOf(err)), qt.Equals, "42601")
	qt.Assert(t, value(ctx, t, c, "reader", key), qt.Equals, "4")

	b, err := g.connect(ctx, next, localfleet.Token(c))
	qt.Assert(t, err, qt.IsNil)
	defer closeSession(b)
	qt.Assert(t, readOwn(ctx, b, key), qt.Equals, "4")
}

func value(ctx context.Context, t *testing.T, c *pgx.Conn, statement, key string) string {
	t.Helper()
	var k, v string
	qt.Assert(t, c.QueryRow(ctx, statement, key).Scan(&k, &v), qt.IsNil)
	return v
}

// usePsql runs one script of psql over h, which connects to next in between.
func usePsql(ctx context.Context, t *testing.T, g *group, h, next *host) {
	ip, port, err := net.SplitHostPort(next.caller)
	qt.Assert(t, err, qt.IsNil)
	key := "psql-" + h.name
	script := strings.NewReplacer("KEY", key, "IP", ip, "PORT", port).Replace(`
put KEY 1;
begin;
put KEY 2;
rollback;
get KEY;
begin;
put KEY 3;
commit;
drop everything;
get KEY;
\connect - - IP PORT
begin read only;
get KEY;
commit;
\echo done
`)
	_, first, err := net.SplitHostPort(h.caller)
	qt.Assert(t, err, qt.IsNil)
	x := exec.CommandContext(ctx, "psql", "-X", "-A", "-t", "-h", ip, "-p", first,
		"-U", string(g.Accounts[0].Name), "-d", string(g.Name))
	x.Env = append(os.Environ(), "PGPASSWORD="+g.Accounts[0].Key, "PGSSLMODE=disable", "PGCONNECT_TIMEOUT=10")
	x.Stdin = strings.NewReader(script)
	out, err := x.CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	var rows []string
	for line := range strings.Lines(string(out)) {
		if strings.HasPrefix(line, key) {
			rows = append(rows, strings.TrimSpace(line))
		}
	}
	qt.Assert(t, rows, qt.DeepEquals, []string{key + "|1", key + "|3", key + "|3"},
		qt.Commentf("%s", out))
	qt.Assert(t, string(out), qt.Contains, "unknown statement")
	qt.Assert(t, string(out), qt.Contains, "done")
}
