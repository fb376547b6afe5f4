package caller_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"skylarkdeal/core/document"
	"skylarkdeal/core/journal"
	"skylarkdeal/io/caller"
)

// Keys are proved, refused and revoked, and nothing that an operator can read
// holds a key or a part of a verifier.
func TestNoKeyInLogsStateOrErrors(t *testing.T) {
	c := qt.New(t)
	core, logs := observer.New(zap.DebugLevel)
	var j journal.Journal
	f := start(t, func(cfg *caller.Config) {
		cfg.Logger, cfg.Journal, cfg.Registerer = zap.New(core), &j, prometheus.NewRegistry()
	})
	w := wireConn(t, f, "")
	_, err := pgx.Connect(limit(t), f.url("hotel", keyB, ""))
	c.Assert(err, qt.IsNotNil)
	e := pgError(err)
	_, err = pgx.Connect(limit(t), f.url("hotel%2Fa", keyB, ""))
	c.Assert(err, qt.IsNotNil)
	old, _ := f.docs.get("orders")
	f.docs.setKeys(document.Key{Name: "b", Verifier: verifier(keyB, salt)})
	f.DocumentChanged("orders")
	c.Assert(w.read(1), qt.Equals, "FATAL(28000) end")
	state, err := json.Marshal([]any{f.State(), j.All()})
	c.Assert(err, qt.IsNil)
	c.Assert(j.All(), qt.HasLen, 1)
	c.Assert(logs.FilterMessage("session ended").Len(), qt.Equals, 3)
	seen := fmt.Sprintln(logs.All(), string(state), e)
	for _, l := range logs.All() {
		seen += fmt.Sprintln(l.ContextMap())
	}
	parts := strings.FieldsFunc(old.Accounts[0].Keys[0].Verifier, func(r rune) bool { return r == '$' || r == ':' })
	for _, s := range append([]string{keyA, keyB}, parts[2:]...) {
		c.Check(strings.Contains(seen, s), qt.IsFalse, qt.Commentf("%s", s))
	}
}

// A caller opens connections without end. Were the files of the process used
// up, the front would end for all; so sessions take only a part of them.
func TestSessionsStayWithinTheFiles(t *testing.T) {
	c := qt.New(t)
	n, err := caller.SessionsWithin(20_000, 8192)
	c.Assert(err, qt.IsNil)
	c.Assert(n, qt.Equals, 8192)
	n, err = caller.SessionsWithin(8192, 8192)
	c.Assert(err, qt.IsNil)
	c.Assert(n > 0 && n < 4096, qt.IsTrue)
	_, err = caller.SessionsWithin(1024, 8192)
	c.Assert(err, qt.ErrorMatches, ".*raise it above.*")
}
