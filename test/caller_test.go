package test_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/internal/localfleet"
	"skylarkdeal/standin/ledger"
)

// connect opens a session of the group's first account over h.
func (g *group) connect(ctx context.Context, h *host, token string) (*pgx.Conn, error) {
	return g.connectAs(ctx, h, g.Accounts[0], token)
}

func (g *group) connectAs(ctx context.Context, h *host, a localfleet.Account, token string) (*pgx.Conn, error) {
	c, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", a.Name, a.Key, h.caller, g.Name))
	if err != nil {
		return nil, err
	}
	if token != "" {
		c.RuntimeParams[localfleet.TokenParameter] = token
	}
	return pgx.ConnectConfig(ctx, c)
}

// testContext ends before a scenario's time is over.
func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 2*bound)
	t.Cleanup(cancel)
	return ctx
}

// outcome is what a caller may believe of a request.
type outcome string

const (
	acknowledged outcome = "acknowledged"
	// notRun says that the request had no effect and may be sent again.
	notRun  outcome = "not-run"
	unknown outcome = "unknown"
)

func outcomeOf(err error) outcome {
	var e *pgconn.PgError
	switch {
	case err == nil:
		return acknowledged
	case errors.As(err, &e):
		m := e.Message
		if strings.HasPrefix(e.Code, "53") || strings.Contains(m, "not run") || strings.Contains(m, "nothing more was run") {
			return notRun
		}
		return unknown
	case pgconn.SafeToRetry(err):
		return notRun
	}
	return unknown
}

// sent is one write with an id of its own and what its caller was told.
type sent struct {
	id      string
	outcome outcome
	err     error
	host    string
	// cut is set when a transaction that may have begun ended before its COMMIT.
	cut bool
}

// writers are callers that write without a pause, each on one session after the
// other, over the hosts in turn. Every second one writes in transactions.
type writers struct {
	group *group
	hosts []*host
	// series tells the ids of these writers from those of others.
	series int64
	stop   context.CancelFunc
	ended  sync.WaitGroup

	mu    sync.Mutex
	all   []sent
	count map[outcome]int
}

var series atomic.Int64

// write starts n callers, who go on until end.
func (g *group) write(hosts []*host, n int) *writers {
	ctx, stop := context.WithCancel(context.Background())
	w := &writers{group: g, hosts: hosts, series: series.Add(1), stop: stop, count: map[outcome]int{}}
	for k := range n {
		w.ended.Go(func() { w.caller(ctx, k) })
	}
	return w
}

// writeTimeout bounds one write, so that a caller notices a silent host.
const writeTimeout = 4 * time.Second

func (w *writers) caller(ctx context.Context, k int) {
	var c *pgx.Conn
	turn := k
	for n := 0; ctx.Err() == nil; n++ {
		one, cancel := context.WithTimeout(context.Background(), writeTimeout)
		h := w.hosts[turn%len(w.hosts)]
		var err error
		if c == nil || c.IsClosed() {
			turn++
			h = w.hosts[turn%len(w.hosts)]
			c, err = w.group.connect(one, h, "")
		}
		if err == nil {
			s := sent{id: fmt.Sprintf("%d-%d-%d", w.series, k, n), host: h.name}
			if k%2 == 0 {
				s.single(one, c)
			} else {
				s.transaction(one, c)
			}
			err = s.err
			w.note(s)
		}
		cancel()
		if err != nil {
			time.Sleep(10 * time.Millisecond)
		}
	}
	if c != nil {
		closeSession(c)
	}
}

const onceStatement = "once $1 stock 1"

// single writes by one statement.
func (s *sent) single(ctx context.Context, c *pgx.Conn) {
	_, s.err = c.Exec(ctx, onceStatement, s.id)
	s.outcome = outcomeOf(s.err)
}

// transaction writes between BEGIN and COMMIT. Whatever goes wrong before the
// COMMIT, nothing was run.
func (s *sent) transaction(ctx context.Context, c *pgx.Conn) {
	s.outcome = notRun
	x, err := c.Begin(ctx)
	if s.err = err; err != nil {
		s.cut = outcomeOf(err) == unknown
		return
	}
	if _, s.err = x.Exec(ctx, onceStatement, s.id); s.err != nil {
		s.cut = true
		_ = x.Rollback(ctx)
		return
	}
	s.err = x.Commit(ctx)
	s.outcome = outcomeOf(s.err)
	s.cut = s.err != nil
}

func closeSession(c *pgx.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = c.Close(ctx)
}

func (w *writers) note(s sent) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.all = append(w.all, s)
	w.count[s.outcome]++
}

// acked returns how many writes were acknowledged so far.
func (w *writers) acked() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.count[acknowledged]
}

// more waits until n more writes are acknowledged.
func (w *writers) more(t testing.TB, n int) {
	t.Helper()
	from := w.acked()
	eventually(t, func() error {
		if now := w.acked(); now < from+n {
			return fmt.Errorf("%d writes acknowledged, want %d; outcomes %s", now-from, n, w.summary())
		}
		return nil
	})
}

// summary tells the outcomes with the first error of each kind.
func (w *writers) summary() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	first := map[string]int{}
	for _, s := range w.all {
		if s.err != nil {
			first[string(s.outcome)+": "+s.err.Error()]++
		}
	}
	return fmt.Sprintf("%v %v", w.count, first)
}

// end stops the callers and returns what they sent.
func (w *writers) end() []sent {
	w.stop()
	w.ended.Wait()
	return w.all
}

// runs counts how often each id stands in the log.
func runs(r ledger.Record) map[string]int {
	m := map[string]int{}
	for _, e := range r.Entries {
		for _, o := range e.Ops {
			if o.Kind == ledger.OpOnce {
				m[o.ID]++
			}
		}
	}
	return m
}

// judge compares what callers were told with the primary's log: acknowledged
// writes are there, refused ones are not, none is there twice.
func judge(t testing.TB, r ledger.Record, all []sent) {
	t.Helper()
	n := runs(r)
	for _, s := range all {
		switch {
		case n[s.id] > 1:
			t.Errorf("write %s runs %d times in the log", s.id, n[s.id])
		case s.outcome == acknowledged && n[s.id] == 0:
			t.Errorf("write %s over %s was acknowledged and is lost", s.id, s.host)
		case s.outcome == notRun && n[s.id] > 0:
			t.Errorf("write %s over %s ran, and its caller was told: %v", s.id, s.host, s.err)
		}
	}
}

// primary returns the highest term that an instance was promoted in, and who.
func (g *group) primary(t testing.TB) (fleet.Instance, fleet.Term) {
	t.Helper()
	r := g.record(t, "")
	return r.Status.Instance, r.Status.Last.Term
}

// codeOf returns the SQLSTATE of err, if it has one.
func codeOf(err error) failure.Code {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return failure.Code(e.Code)
	}
	return ""
}
