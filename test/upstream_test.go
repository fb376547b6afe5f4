package test_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
)

// servedBy returns the instance that gave c its last answer.
func servedBy(c *pgx.Conn) fleet.Instance {
	n, _, _ := strings.Cut(c.PgConn().ParameterStatus("skylarkdeal.served-by"), "/")
	return fleet.Instance(n)
}

// readOnlySession opens a session whose statements are declared reads.
func (g *group) readOnlySession(ctx context.Context, t testing.TB, h *host) *pgx.Conn {
	t.Helper()
	c, err := g.connect(ctx, h, "")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { closeSession(c) })
	_, err = c.Exec(ctx, "SET default_transaction_read_only = on")
	qt.Assert(t, err, qt.IsNil)
	return c
}

// beginOnReplica opens a read-only transaction that runs on a replica.
func (g *group) beginOnReplica(ctx context.Context, t testing.TB) *pgx.Conn {
	t.Helper()
	var c *pgx.Conn
	eventually(t, func() error {
		var err error
		if c, err = g.connect(ctx, g.fleet.hosts[0], ""); err != nil {
			return err
		}
		if _, err = c.Exec(ctx, "begin read only"); err == nil {
			_, err = c.Exec(ctx, "get stock")
		}
		if err == nil && servedBy(c) != "a" {
			return nil
		}
		closeSession(c)
		return errors.Join(err, errors.New("not served by a replica"))
	})
	t.Cleanup(func() { closeSession(c) })
	return c
}

// A replica is to be taken out of service: its owner marks it as leaving while a
// long report reads from it. The report ends in peace on that replica; no other
// read goes there once the hosts know.
func TestLeavingInstanceGetsNothingNew(t *testing.T) {
	f := sharedFleet(t)
	g := f.addGroup(t, "leaving")
	ctx := testContext(t)
	report := g.beginOnReplica(ctx, t)
	n := servedBy(report)
	// All reads prefer the one that is to leave, the only fast one.
	for i := range g.at {
		if i != n {
			g.fault(t, "kind=slow&delay=20ms&instance="+string(i))
		}
	}
	reader := g.readOnlySession(ctx, t, f.hosts[0])
	eventually(t, func() error {
		if _, err := reader.Exec(ctx, "get stock"); err != nil || servedBy(reader) != n {
			return fmt.Errorf("served by %s, want %s: %w", servedBy(reader), n, err)
		}
		return nil
	})
	g.everywhere(t, g.edit(t, func(d *document.Document) {
		for i := range d.Instances {
			d.Instances[i].Leaving = d.Instances[i].Name == n
		}
	}))
	for _, h := range f.hosts {
		c := g.readOnlySession(ctx, t, h)
		for range 20 {
			_, err := c.Exec(ctx, "get stock")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, servedBy(c), qt.Not(qt.Equals), n)
		}
	}
	for _, q := range []string{"get stock", "commit"} {
		_, err := report.Exec(ctx, q)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", q))
		qt.Assert(t, servedBy(report), qt.Equals, n)
	}
}

// The primary is to be taken out of service while orders come in. Another
// instance becomes the primary; no acknowledged order is lost or doubled, and
// the one that left gets no more.
func TestLeavingPrimaryHandsOver(t *testing.T) {
	f := sharedFleet(t)
	g := f.addGroup(t, "leaving-primary")
	w := g.write(f.hosts, 4)
	w.more(t, 40)
	g.edit(t, func(d *document.Document) {
		for i := range d.Instances {
			d.Instances[i].Leaving = d.Instances[i].Name == "a"
		}
	})
	eventually(t, func() error {
		if n, _ := g.primary(t); n == "a" {
			return errors.New("a is still the primary")
		}
		return nil
	})
	w.more(t, 40)
	all := w.end()
	t.Log(w.summary())
	judge(t, g.record(t, ""), all)
}

// slowReads is how many reads each of the callers makes.
const slowReads = 100

// One replica becomes slow, as with a failing disk. Reads shift to the other
// instances by its measured latency: only the few that probe it still go there,
// so that callers who read one after the other are not held up by it.
func TestSlowReplicaGetsFewReads(t *testing.T) {
	f := sharedFleet(t)
	g := f.addGroup(t, "slow-replica")
	g.fault(t, "instance=b&kind=slow&delay=200ms")
	ctx := testContext(t)
	var mu sync.Mutex
	count := map[fleet.Instance]int{}
	var readers sync.WaitGroup
	for k := range 4 {
		c := g.readOnlySession(ctx, t, f.hosts[k])
		readers.Go(func() {
			for range slowReads {
				if _, err := c.Exec(ctx, "get stock"); err != nil {
					t.Error(err)
					return
				}
				mu.Lock()
				count[servedBy(c)]++
				mu.Unlock()
			}
		})
	}
	readers.Wait()
	t.Log(count)
	if n := count["b"]; n > 4*slowReads/10 {
		t.Errorf("the slow replica served %d of %d reads", n, 4*slowReads)
	}
}
