package caller_test

import (
	"encoding/base64"
	"encoding/binary"
	"math/rand"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
	"skylarkdeal/io/caller"
)

func TestKeys(t *testing.T) {
	f := start(t, nil)
	f.docs.setKeys(
		document.Key{Name: "a", Verifier: verifier(keyA, salt)},
		document.Key{Name: "b", Verifier: verifier(keyB, salt)},
		document.Key{Name: "c", Verifier: verifier("another-salt-000003", "fedcba9876543210")},
	)
	for _, test := range []struct{ user, key, code string }{
		{"hotel", keyA, ""},
		{"hotel", keyB, ""},
		{"hotel%2Fc", "another-salt-000003", ""},
		{"hotel", "another-salt-000003", "28P01"},
		{"hotel%2Fa", keyB, "28P01"},
		{"hotel", "wrong", "28P01"},
		{"nobody", keyA, "28P01"},
	} {
		conn, err := pgx.Connect(limit(t), f.url(test.user, test.key, ""))
		qt.Check(t, pgError(err).Code, qt.Equals, test.code, qt.Commentf("%s %s", test.user, test.key))
		if conn != nil {
			_ = conn.Close(limit(t))
		}
	}
}

// A stranger tries names of accounts and services. What it is told, and in
// which messages, is the same whether they exist or not, and on each host.
func TestStrangerLearnsNoNames(t *testing.T) {
	c := qt.New(t)
	secret := func(cfg *caller.Config) { cfg.Secret = []byte("fleet") }
	f, g := start(t, secret), start(t, secret)
	try := func(f *front, user, service string) (string, string) {
		w := rawConn(t, f)
		w.send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30,
			Parameters: map[string]string{"user": user, "database": service}})
		first, err := w.Receive()
		c.Assert(err, qt.IsNil)
		_, ok := first.(*pgproto3.AuthenticationSASL)
		c.Assert(ok, qt.IsTrue)
		w.send(&pgproto3.SASLInitialResponse{AuthMechanism: "SCRAM-SHA-256", Data: []byte("n,,n=,r=abc")})
		m, err := w.Receive()
		c.Assert(err, qt.IsNil)
		challenge := string(m.(*pgproto3.AuthenticationSASLContinue).Data)
		nonce, rest, _ := strings.Cut(challenge, ",")
		proof := base64.StdEncoding.EncodeToString(make([]byte, 32))
		w.send(&pgproto3.SASLResponse{Data: []byte("c=biws," + nonce + ",p=" + proof)})
		m, err = w.Receive()
		c.Assert(err, qt.IsNil)
		e := m.(*pgproto3.ErrorResponse)
		return e.Severity + e.Code + e.Detail + e.Hint, rest
	}
	known, shape := try(f, "hotel", "orders")
	for _, n := range [][2]string{{"nobody", "orders"}, {"hotel", "nowhere"}, {"nobody", "nowhere"}} {
		got, s := try(f, n[0], n[1])
		c.Assert(got, qt.Equals, known)
		c.Assert(len(s), qt.Equals, len(shape))
		_, again := try(g, n[0], n[1])
		c.Assert(again, qt.Equals, s)
	}
}

// An operator revokes a key while callers are connected with it: one idle, one
// in a transaction, one waiting for an answer. The first two end at once, the
// third after its answer, and a caller with another key goes on.
func TestRevokedKeyEndsItsSessions(t *testing.T) {
	c := qt.New(t)
	f := start(t, nil)
	a := document.Key{Name: "a", Verifier: verifier(keyA, salt)}
	b := document.Key{Name: "b", Verifier: verifier(keyB, salt)}
	f.docs.setKeys(a, b)
	idle, inTx, busy := wireConn(t, f, ""), wireConn(t, f, ""), wireConn(t, f, "")
	other := connect(t, f.url("hotel", keyB, ""))
	inTx.ask("begin")
	running, finish := make(chan struct{}), make(chan struct{})
	f.fake.answerBy(holdUntil(running, finish))
	busy.send(&pgproto3.Query{String: "get a"})
	<-running
	f.fake.answerBy(nil)
	f.docs.setKeys(b)
	f.DocumentChanged("orders")
	c.Assert(idle.read(1), qt.Equals, "FATAL(28000) end")
	c.Assert(inTx.read(1), qt.Equals, "FATAL(28000) end")
	c.Assert(f.fake.releasedPins(), qt.HasLen, 1)
	close(finish)
	c.Assert(busy.read(2), qt.Equals, "T D(get a) C(GET) S Z(I) FATAL(28000) end")
	ping(t, other)
}

// The notice of a changed document is late. The next statement of a session with
// a revoked key must still not run.
func TestRevokedKeyStopsTheNextStatement(t *testing.T) {
	c := qt.New(t)
	f := start(t, nil)
	w := wireConn(t, f, "")
	f.docs.setKeys()
	c.Assert(w.ask("put a 1"), qt.Equals, "FATAL(28000) end")
	c.Assert(f.fake.count(), qt.Equals, 0)
}

// A key is revoked while a session is opened with it: after the proof was
// held against the old document, and before the session is among those that a
// change of the document ends.
func TestKeyRevokedDuringStartup(t *testing.T) {
	c := qt.New(t)
	var asked atomic.Int64
	docs := newDocuments()
	f := start(t, func(cfg *caller.Config) {
		cfg.Documents = func(s fleet.Service) (*document.Document, bool) {
			if asked.Add(1) == 3 {
				docs.setKeys()
			}
			return docs.get(s)
		}
	})
	w := wireConn(t, f, "")
	c.Assert(w.read(1), qt.Equals, "FATAL(28000) end")
}

// A host is asked to shut down with one session idle, one in a transaction and
// one waiting for an answer. No request is cut: each session ends when it has
// nothing in progress, and newcomers are sent elsewhere.
func TestDrain(t *testing.T) {
	c := qt.New(t)
	f := start(t, nil)
	idle, inTx, busy := wireConn(t, f, ""), wireConn(t, f, ""), wireConn(t, f, "")
	inTx.ask("begin")
	running, finish := make(chan struct{}), make(chan struct{})
	f.fake.answerBy(holdUntil(running, finish))
	busy.send(&pgproto3.Query{String: "get a"})
	<-running
	f.fake.answerBy(nil)
	drained := make(chan error, 1)
	go func() { drained <- f.Drain(limit(t)) }()
	c.Assert(idle.read(1), qt.Equals, "FATAL(57P01) end")
	_ = idle.Close()
	_, err := pgx.Connect(limit(t), f.url("hotel", keyA, ""))
	c.Assert(pgError(err).Code, qt.Equals, "57P03")
	close(finish)
	c.Assert(busy.read(2), qt.Equals, "T D(get a) C(GET) S Z(I) FATAL(57P01) end")
	c.Assert(inTx.ask("put a 1"), qt.Equals, "T D(put a 1) C(PUT) Z(T)")
	w := inTx.ask("commit")
	c.Assert(w, qt.Equals, "T D(commit) C(COMMIT) Z(I)")
	c.Assert(inTx.read(1), qt.Equals, "FATAL(57P01) end")
	c.Assert(<-drained, qt.IsNil)
}

func TestLimitsOfSessions(t *testing.T) {
	c := qt.New(t)
	f := start(t, func(cfg *caller.Config) { cfg.MaxSessions = 2 })
	w := wireConn(t, f, "")
	wireConn(t, f, "")
	_, err := pgx.Connect(limit(t), f.url("hotel", keyA, ""))
	c.Assert(pgError(err).Code, qt.Equals, "53300")
	_ = w.Close()
	until(t, "room", func() bool { return f.State().Sessions < 2 })
	wireConn(t, f, "")
}

func TestMalformedMessagesEndTheirSession(t *testing.T) {
	f := start(t, func(cfg *caller.Config) { cfg.MaxMessage = 1000 })
	other := wireConn(t, f, "")
	msg := func(typ byte, n int32, body string) []byte {
		return append(binary.BigEndian.AppendUint32([]byte{typ}, uint32(n)), body...)
	}
	for what, test := range map[string]struct {
		b    []byte
		code string
	}{
		"length below 4":    {msg('Q', 3, ""), "08P01"},
		"negative length":   {msg('Q', -1, ""), "08P01"},
		"too large":         {msg('Q', 1001, ""), "54000"},
		"unknown type":      {msg('!', 4, ""), "08P01"},
		"query without end": {msg('Q', 5, "x"), "08P01"},
		"two queries":       {msg('Q', 8, "a\x00b\x00"), "08P01"},
		"bind too short":    {msg('B', 6, "\x00\x00"), "08P01"},
		"bind bad value":    {msg('B', 16, "\x00\x00\x00\x00\x00\x01\x00\x00\x00\x09xx"), "08P01"},
		"bind bad length":   {msg('B', 16, "\x00\x00\x00\x00\x00\x01\xff\xff\xff\xfe\x00\x00"), "08P01"},
		"bind too long":     {msg('B', 13, "\x00\x00\x00\x00\x00\x00\x00\x00x"), "08P01"},
		"parse bad count":   {msg('P', 8, "\x00\x00\x00\x05"), "08P01"},
		"close bad kind":    {msg('C', 6, "X\x00"), "08P01"},
		"sync with a body":  {msg('S', 5, "x"), "08P01"},
		"a start-up again":  {msg('p', 5, "x"), "08P01"},
	} {
		w := wireConn(t, f, "")
		_, _ = w.Write(test.b)
		qt.Check(t, w.read(1), qt.Equals, "FATAL("+test.code+") end", qt.Commentf("%s", what))
	}
	qt.Check(t, other.ask("get a"), qt.Equals, "T D(get a) C(GET) Z(I)")
}

// A port scanner, a broken driver and a hostile one connect a thousand times.
// Open sessions don't notice.
func TestMalformedStartupsHarmNoSession(t *testing.T) {
	c := qt.New(t)
	f := start(t, nil)
	open := []*wire{wireConn(t, f, ""), wireConn(t, f, "")}
	r := rand.New(rand.NewSource(1))
	good := must((&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{"user": "hotel", "database": "orders"}}).Encode(nil))
	for n := range 1000 {
		w := rawConn(t, f)
		b := append([]byte{}, good...)
		switch n % 4 {
		case 0:
			r.Read(b)
		case 1:
			b = b[:r.Intn(len(b))]
		case 2:
			b[r.Intn(len(b))] ^= byte(1 + r.Intn(255))
		case 3:
			junk := make([]byte, 40)
			r.Read(junk)
			b = append(b, junk...)
		}
		_, _ = w.Write(b)
		if n%2 == 0 {
			_ = w.Conn.(interface{ CloseWrite() error }).CloseWrite()
		}
		if n%50 == 0 {
			for _, o := range open {
				c.Assert(o.ask("get a"), qt.Equals, "T D(get a) C(GET) Z(I)")
			}
		}
		_ = w.Close()
	}
	until(t, "only the open sessions", func() bool { return f.State().Sessions == len(open) })
	for _, o := range open {
		c.Assert(o.ask("get a"), qt.Equals, "T D(get a) C(GET) Z(I)")
	}
}
