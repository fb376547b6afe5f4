package groupmonitor_test

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/document"
	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/group"
	"skylarkdeal/core/group/grouptest"
)

// writeUntil writes through h until f accepts the position of an acknowledged
// write, and returns all acknowledged writes.
func (c *cluster) writeUntil(tb testing.TB, h fleet.Host,
	f func(p fleet.LogPosition) bool) map[fleet.LogPosition]string {
	tb.Helper()
	acked := make(map[fleet.LogPosition]string)
	n := 0
	eventually(tb, func() bool {
		n++
		v := fmt.Sprintf("%s-%d", h, n)
		p, err := c.write(h, document.AcknowledgeReplicated, v, 300*time.Millisecond)
		if err != nil {
			return false
		}
		acked[p] = v
		return f(p)
	})
	return acked
}

// promotionJournalled reports whether the journals name the promoted instance and the
// reason.
func (c *cluster) promotionJournalled() bool {
	var who, why bool
	for _, j := range c.journals {
		for _, d := range j.All() {
			who = who || strings.HasPrefix(d.Choice, "promoted ")
			why = why || strings.HasPrefix(d.Choice, "promote in term") && strings.Contains(d.Reason, "silent for")
		}
	}
	return who && why
}

func anyPoint(fleet.LogPosition) bool { return true }

func laterTerm(p fleet.LogPosition) bool { return p.Term > 1 }

// The primary crashes or hangs while a client writes, and no operator steps in.
// The next write has to be acknowledged by a new primary that has all earlier
// ones. When the old primary comes back, it has to become a replica.
func TestDeadPrimaryIsReplacedAndComesBackAsReplica(t *testing.T) {
	for _, f := range []fault{crashed, hung} {
		t.Run(string(f), func(t *testing.T) {
			c := newCluster(t, time.Millisecond)
			c.ready(t)
			before := c.writeUntil(t, "h1", anyPoint)
			c.set(func() { c.faults["a"] = f })
			after := c.writeUntil(t, "h1", laterTerm)
			c.checkNotLost(t, before)
			c.checkNotLost(t, after)
			qt.New(t).Check(c.promotionJournalled(), qt.IsTrue, qt.Commentf("no host tells who was promoted and why"))
			c.set(func() { c.faults["a"] = healthy })
			eventually(t, func() bool {
				a, _ := c.monitors["h2"].Snapshot().Find("a")
				return a.Status.Role == fleet.RoleReplica && a.Status.Last.Term > 1
			})
		})
	}
}

// The primary is cut off together with one host whose callers go on writing.
// They must get an unknown outcome and no confirmation, while the other hosts
// go on with a new primary. Once the partition heals, all hosts agree on it.
func TestCutOffPrimaryConfirmsNothing(t *testing.T) {
	q := qt.New(t)
	c := newCluster(t, time.Millisecond)
	c.ready(t)
	c.writeUntil(t, "h0", anyPoint)
	c.set(func() {
		c.cutOffHosts["h0"] = true
		c.unreachable["h1"]["a"], c.unreachable["h2"]["a"] = true, true
		c.unreachable["h0"]["b"], c.unreachable["h0"]["c"] = true, true
	})
	// The links between the instances are cut too: nothing is replicated any
	// more.
	c.set(func() { c.cutOffInstances["a"] = true })
	_, err := c.write("h0", document.AcknowledgeReplicated, "far side", 300*time.Millisecond)
	var r *failure.Refusal
	q.Assert(errors.As(err, &r), qt.IsTrue, qt.Commentf("%v", err))
	q.Assert(r.Code, qt.Equals, failure.CodeUnknownOutcome)
	_, err = c.write("h0", document.AcknowledgePrimary, "far side", 300*time.Millisecond)
	q.Assert(errors.As(err, &r), qt.IsTrue, qt.Commentf("%v", err))
	q.Assert(r.Code, qt.Equals, failure.CodeUnknownOutcome)
	acked := c.writeUntil(t, "h1", laterTerm)
	c.set(func() {
		clear(c.cutOffHosts)
		clear(c.cutOffInstances)
		for _, m := range c.hosts {
			clear(c.unreachable[m.Host])
		}
	})
	eventually(t, func() bool {
		return c.monitors["h0"].Snapshot().Term > 1
	})
	c.checkNotLost(t, acked)
}

// The primary is cut off from its replicas and from two of the three hosts. The
// third host reaches all instances and finds the primary healthy, but no write
// sent through it can be confirmed, so the primary has to be replaced.
func TestPrimaryLeftWithOneHostIsReplaced(t *testing.T) {
	c := newCluster(t, time.Millisecond)
	c.ready(t)
	acked := c.writeUntil(t, "h0", anyPoint)
	c.set(func() {
		c.cutOffInstances["a"] = true
		c.unreachable["h1"]["a"], c.unreachable["h2"]["a"] = true, true
	})
	c.writeUntil(t, "h1", laterTerm)
	c.writeUntil(t, "h0", laterTerm)
	c.checkNotLost(t, acked)
}

// One instance doesn't answer. Writes must not wait for it: the others are a
// majority. When a second one is silent, no write may be confirmed.
func TestSilentReplicaDelaysNoWrite(t *testing.T) {
	c := newCluster(t, time.Millisecond)
	c.ready(t)
	c.set(func() { c.faults["c"] = hung })
	for range 20 {
		c.writeUntil(t, "h0", anyPoint)
	}
	c.set(func() { c.faults["b"] = hung })
	_, err := c.write("h0", document.AcknowledgePrimary, "minority", 300*time.Millisecond)
	qt.New(t).Assert(err, qt.IsNotNil)
}

// Writes that wait together are served by one round of status requests: a
// hundred of them cause far fewer than a hundred requests.
func TestOneStatusRoundServesAllWaitingRequests(t *testing.T) {
	q := qt.New(t)
	c := newCluster(t, time.Millisecond)
	c.ready(t)
	p := c.monitors["h0"].Snapshot()
	at := fleet.LogPosition{Term: p.Term, Index: 1}
	out := make(chan error, 100)
	before := c.statusRequestCount("h0")
	for range 100 {
		c.monitors["h0"].Confirm(at, document.AcknowledgeReplicated, time.Now().Add(10*time.Second),
			func(err error) { out <- err })
	}
	for range 100 {
		q.Assert(<-out, qt.IsNil)
	}
	q.Assert(c.statusRequestCount("h0")-before < 50, qt.IsTrue)
}

// A caller without a token reads. The position has to be obtained after the
// call, from a primary that a majority confirms, or the read is refused.
func TestFreshPointCoversWhatWasAcknowledged(t *testing.T) {
	q := qt.New(t)
	c := newCluster(t, time.Millisecond)
	c.ready(t)
	for p := range c.writeUntil(t, "h0", anyPoint) {
		proof, err := c.fresh("h2", 10*time.Second)
		q.Assert(err, qt.IsNil)
		q.Assert(proof.Position.Covers(p), qt.IsTrue)
	}
	c.set(func() { c.faults["b"], c.faults["c"] = hung, hung })
	_, err := c.fresh("h2", 200*time.Millisecond)
	q.Assert(err, qt.ErrorMatches, "57P03: not run: no proof by the deadline")
	_, err = c.fresh("h2", time.Hour)
	q.Assert(err, qt.ErrorMatches, "57P03: not run: no majority of the instances answers")
}

func (c *cluster) fresh(h fleet.Host, limit time.Duration) (group.Proof, error) {
	type result struct {
		proof group.Proof
		err   error
	}
	out := make(chan result, 1)
	c.monitors[h].FreshPosition(time.Now().Add(limit), func(p group.Proof, err error) { out <- result{p, err} })
	r := <-out
	return r.proof, r.err
}

// A host stops while a write waits for its proof. The caller must get an
// unknown outcome instead of waiting for ever.
func TestStoppingAnswersAllThatWait(t *testing.T) {
	q := qt.New(t)
	c := newCluster(t, time.Millisecond)
	c.ready(t)
	out := make(chan error, 1)
	far := fleet.LogPosition{Term: 1, Index: 1000}
	c.monitors["h0"].Confirm(far, document.AcknowledgeReplicated, time.Now().Add(time.Hour),
		func(err error) { out <- err })
	c.stop()
	q.Assert(<-out, qt.ErrorMatches, "08007: .*")
	c.monitors["h0"].Confirm(far, document.AcknowledgeReplicated, time.Now().Add(time.Hour),
		func(err error) { out <- err })
	q.Assert(<-out, qt.ErrorMatches, "08007: .*")
}

// Guards against a host that is paused between the proof of a write and its confirmation, and
// confirms it after a promotion that has lost it.
func TestPausedHostDoesNotConfirmByAnOldProof(t *testing.T) {
	q := qt.New(t)
	c := newCluster(t, time.Millisecond)
	c.ready(t)
	c.writeUntil(t, "h0", anyPoint)
	// No write can be proved until the pause has been prepared.
	c.set(func() { c.faults["b"], c.faults["c"] = hung, hung })
	h := c.monitors["h0"]
	var at fleet.LogPosition
	_, err := c.call(c.ctx, "h0", "a", func(i *grouptest.Instance) error {
		var err error
		at, err = i.Append("slept through")
		return err
	})
	q.Assert(err, qt.IsNil)
	out := make(chan error, 1)
	// The monitor and the pause go by the same moment: a request for a status may be on its way by now.
	since := time.Now()
	c.clockStopped.Store(&since)
	h.Confirm(at, document.AcknowledgePrimary, since.Add(3*time.Second), func(err error) { out <- err })
	c.clockStopped.Store(nil)
	pause := func() {
		proved := h.Snapshot().Acknowledge(document.AcknowledgePrimary, at, since) == group.VerdictAcknowledge
		if proved && c.clockAhead.Load() == 0 {
			// No request that is sent after the pause may be answered.
			c.set(func() { c.faults["b"], c.faults["c"] = hung, hung })
			c.clockAhead.Store(int64(time.Second))
		}
	}
	c.beforeClockRead.Store(&pause)
	c.set(func() { c.faults["b"], c.faults["c"] = healthy, healthy })
	q.Assert(<-out, qt.ErrorMatches, "08007: .*")
	q.Assert(c.clockAhead.Load(), qt.Equals, int64(time.Second))
}

// The primary has all its connections in use and refuses another one for a
// status request. A promotion would add to the load and must not happen.
func TestPrimaryWithoutFreeConnectionsIsNotReplaced(t *testing.T) {
	q := qt.New(t)
	c := newCluster(t, time.Millisecond)
	c.ready(t)
	c.set(func() { c.faults["a"] = full })
	from := c.statusRequestCount("h0")
	// At the longest poll interval this takes longer than any silence that is
	// tolerated.
	eventually(t, func() bool { return c.statusRequestCount("h0")-from > 40 })
	q.Assert(c.monitors["h0"].Snapshot().Term, qt.Equals, fleet.Term(1))
	c.set(func() { c.faults["a"] = healthy })
	c.writeUntil(t, "h0", func(p fleet.LogPosition) bool { return p.Term == 1 })
}

// Hosts come and go, and others become holders. A former holder must close its
// connections, or the new holders find none free. A transaction that it still
// has can be confirmed, and it may become a holder again.
func TestFormerHolderGivesUpItsConnections(t *testing.T) {
	q := qt.New(t)
	c := newCluster(t, time.Millisecond)
	c.ready(t)
	all := c.hosts
	c.set(func() { c.hosts = all[:2] })
	eventually(t, func() bool { return len(c.monitors["h2"].Snapshot().Observations) == 0 })
	c.set(func() { q.Check(c.closed["h2"], qt.Equals, 3) })
	_, err := c.fresh("h2", 10*time.Second)
	q.Assert(err, qt.IsNil)
	c.set(func() { c.hosts = all })
	c.writeUntil(t, "h2", anyPoint)
}

// An instance moves to another address, where no server answers yet. The status
// from the old address must not count for the new one.
func TestMovedInstanceLosesItsOldStatus(t *testing.T) {
	c := newCluster(t, time.Millisecond)
	c.ready(t)
	d := c.doc
	d.Instances = slices.Clone(d.Instances)
	d.Instances[1].Address = "127.0.0.1:99"
	c.set(func() { c.faults["b"] = hung })
	c.moved.Store(&d)
	eventually(t, func() bool {
		b, _ := c.monitors["h0"].Snapshot().Find("b")
		return b.Instance.Address == "127.0.0.1:99" && !b.Known()
	})
	c.set(func() { c.faults["b"] = healthy })
	eventually(t, func() bool {
		b, _ := c.monitors["h0"].Snapshot().Find("b")
		return b.Known()
	})
}
