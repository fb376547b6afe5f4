package relay_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/leader"
	"skylarkdeal/core/statement"
)

// A host has no registration. A read that it sent to b, a lagging replica, is answered when b
// already leads, which the host has heard over another connection. The reports of the other
// instances verify the answer. Guards against taking its log position for one of b's term: it is
// below the one that b leads with.
func TestVerifiedAnswerFromBeforeThePromotionGivesNoLogPosition(t *testing.T) {
	c := qt.New(t)
	w := newConnectedWorld(c)
	a, b, other := w.instances["a"], w.instances["b"], w.instances["c"]
	a.position.Index = 9
	w.relay.LeaseLost()
	w.advance(1350*time.Millisecond, false)
	b.hold, other.hold = true, true
	b.otherDataCentre = false
	w.list()
	for range 3 {
		w.open("stock", "key-1").do(statement.KindRead, "", "item")
	}
	c.Assert(len(b.executed) > 0, qt.IsTrue, qt.Commentf("no read on b"))
	late := b.pending
	b.pending, b.hold, other.hold = nil, false, false
	w.promote().position.Index = 9
	other.term, a.term, a.role = 2, 2, fleet.RoleReplica
	w.relay.AddRecord(promotionOfB)
	for _, f := range late[1:] {
		f()
	}
	w.advance(70*time.Millisecond, false)
	g := w.relay.State().Groups[0]
	c.Assert(g.PrimaryKnown && g.Primary == "b", qt.IsTrue)
	late[0]()
	w.advance(200*time.Millisecond, false)
	ran, _ := w.readOnce("stock", 50*time.Millisecond, false)
	c.Assert(ran["c"], qt.Equals, 0, qt.Commentf("c ends at %v, b leads with %v", other.position, b.position))
}

// The late answer of a replica is the first that is read after b has reported that it leads, so no
// log position of the new term is known yet that would supersede it.
func TestLateReplicaAnswerIsNotTheFirstLogPositionOfATerm(t *testing.T) {
	c := qt.New(t)
	w, late := newLateAnswerWorld(c)
	for range 100 {
		if w.relay.State().Groups[0].PrimaryKnown {
			break
		}
		w.advance(10*time.Millisecond, true)
	}
	c.Assert(w.relay.State().Groups[0].PrimaryKnown, qt.IsTrue)
	late()
	w.deliver()
	for range 2 {
		ran, _ := w.readOnce("stock", 100*time.Millisecond, true)
		c.Assert(ran["c"], qt.Equals, 0)
	}
}

// While a host had no registration, b was promoted and acknowledged writes. The failover
// coordinator couldn't reach b and requested the promotion of c, with a as the former primary. The
// host hears of the last promotion only. It must not use a as the former primary: a lacks what b
// has acknowledged, and what is written to a is lost.
func TestFormerPrimaryIsNotUsedAfterAMissedPromotion(t *testing.T) {
	for _, k := range []statement.Kind{statement.KindRead, statement.KindWrite} {
		t.Run(string(k), func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(c).withConfirmedPrimary()
			w.relay.LeaseLost()
			w.advance(1500*time.Millisecond, false)
			w.promote().position = fleet.LogPosition{Term: 2, Index: 9}
			w.relay.AddRecord(leader.Record{Service: service, Term: 3, Primary: "c", Former: "a", Revision: 9})
			w.advance(100*time.Millisecond, true)
			w.open("rush", "key-1").do(k, "", "item")
			w.advance(100*time.Millisecond, true)
			c.Assert(w.instances["a"].executed, qt.HasLen, 0)
		})
	}
}

// Two instances have been off the list for long, and the store is lost. Another host sees them on
// the list again and promotes one. Guards against a host that still takes the third for the only
// possible primary, by a list that is seconds old.
func TestInstanceMissingFromAnOldListMayBePrimary(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c)
	w.instances["b"].unlisted, w.instances["c"].unlisted = true, true
	for _, d := range []time.Duration{4 * time.Second, 9 * time.Second, 0} {
		w.list()
		w.advance(d, true)
	}
	w.advance(3500*time.Millisecond, false)
	w.promote().position = fleet.LogPosition{Term: 2, Index: 9}
	ran, _ := w.readOnce("rush", 100*time.Millisecond, false)
	c.Assert(ran["a"], qt.Equals, 0)
}

// The primary restarts under its name and no longer knows that it led. A status from before the
// restart doesn't hold for the restarted instance.
func TestRestartedPrimaryIsPolledAgain(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	a := w.instances["a"]
	w.breakConns(a)
	a.role, a.position = fleet.RoleReplica, fleet.LogPosition{}
	is := []catalog.Instance{}
	for _, n := range []fleet.Instance{"a", "b", "c"} {
		is = append(is, catalog.Instance{
			Name: n, Service: service, Address: "10.0.0.1:" + string(n), DataCentre: "obihiro", Slots: 2,
			Role: fleet.RoleReplica,
		})
	}
	is[0].Started = 99
	w.relay.SetInstances(is, w.now)
	c.Assert(w.relay.State().Groups[0].PrimaryKnown, qt.IsFalse)
	ran, _ := w.readOnce("rush", 100*time.Millisecond, true)
	c.Assert(ran["a"], qt.Equals, 0)
}

// A host without the store has received from b itself that it leads. A write that it still sent to
// a would be in doubt, so it must be refused at once, not run.
func TestWriteIsRefusedOnceASuccessorIsKnown(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	w.advance(4*time.Second, false)
	w.promote().position = fleet.LogPosition{Term: 2, Index: 6}
	w.readOnce("rush", 400*time.Millisecond, false)
	x := w.open("rush", "key-1")
	x.do(statement.KindWrite, "", "item data")
	c.Assert(x.last().Code, qt.Equals, statement.CodeBusy)
	c.Assert(w.count("write"), qt.Equals, 0)
	c.Assert(w.refreshed > 0, qt.IsTrue)
}

// Replicas that are cut off from a new primary don't join its term for long. Guards against each
// host polling each of them twenty times a second for as long as reads arrive.
func TestReplicaThatDoesNotJoinIsPolledLessOften(t *testing.T) {
	c := qt.New(t)
	w := newConnectedWorld(c)
	w.relay.AddRecord(promotionOfB)
	w.advance(1100*time.Millisecond, true)
	w.promote()
	w.advance(200*time.Millisecond, true)
	before := w.relay.State().Counts.StatusRequests
	for range 100 {
		w.readOnce("stock", 100*time.Millisecond, true)
	}
	polled := w.relay.State().Counts.StatusRequests - before
	c.Assert(polled > 0 && polled < 50, qt.IsTrue, qt.Commentf("%d polls of two replicas in 10 s", polled))
}

// A promotion has just become known, and no response of the promoted instance has been received.
// The promotion can't have taken effect yet, so the former primary serves without a poll of the
// other instances.
func TestFormerPrimaryServesUntilThePromotionCanHaveTakenEffect(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	w.instances["b"].silent = true
	w.breakConns(w.instances["b"])
	w.relay.AddRecord(promotionOfB)
	ran, _ := w.readOnce("rush", 100*time.Millisecond, true)
	c.Assert(ran["a"], qt.Equals, 1)
}

// Without a registration, a pending promotion of one instance doesn't exempt the others from being
// polled: another promotion request may have gone to them.
func TestPromotionRecordDoesNotVerifyAThirdInstance(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	w.advance(4*time.Second, false)
	w.instances["c"].role, w.instances["c"].term = fleet.RolePrimary, 2
	w.relay.AddRecord(promotionOfB)
	w.advance(time.Second, false)
	ran, _ := w.readOnce("rush", 100*time.Millisecond, false)
	c.Assert(ran["a"], qt.Equals, 0)
}

// A response is received after a read began, but was requested before. It doesn't cover writes that
// were acknowledged in between.
func TestResponseToAnEarlierPollDoesNotVerifyALaterRead(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	w.advance(4*time.Second, false)
	for range 2 {
		w.readOnce("rush", 100*time.Millisecond, false)
	}
	a, b := w.instances["a"], w.instances["b"]
	b.hold = true
	before := len(a.executed)
	w.open("rush", "key-1").do(statement.KindRead, "", "first")
	w.advance(20*time.Millisecond, false)
	c.Assert(b.pending, qt.Not(qt.HasLen), 0)
	w.promote().position = fleet.LogPosition{Term: 2, Index: 6}
	w.advance(20*time.Millisecond, false)
	w.open("rush", "key-1").do(statement.KindRead, "", "second")
	b.hold = false
	w.advance(100*time.Millisecond, false)
	c.Assert(len(a.executed)-before <= 1, qt.IsTrue, qt.Commentf("%v", a.executed[before:]))
}

// A transaction begins with a write and reads later, on the instance where it began. So the
// conditions for its reads must hold when it begins.
func TestTransactionThatWritesFirstBeginsWhereItMayRead(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	w.advance(4*time.Second, false)
	w.promote().position = fleet.LogPosition{Term: 2, Index: 6}
	w.advance(time.Second, false)
	a := w.instances["a"]
	x := w.open("rush", "key-1")
	x.do(statement.KindBegin, "", "")
	x.do(statement.KindWrite, "", "item data")
	w.advance(100*time.Millisecond, false)
	c.Assert(a.executed, qt.HasLen, 0)
}

// Guards against a stale read by a host that has never heard of the new primary. The registration of b
// had lapsed when the host read its list, so that it knows only a and c. It loses the store, b is listed
// again and promoted, and c is cut off from b. All others that the host knows, c alone, report no later
// term.
func TestInstanceThatWasUnlistedAtTheStartMayBePrimary(t *testing.T) {
	for _, n := range []struct {
		name     string
		unlisted []fleet.Instance
	}{
		{"one", []fleet.Instance{"b"}}, {"all others", []fleet.Instance{"b", "c"}},
	} {
		t.Run(n.name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorldWithout(c, n.unlisted...)
			w.advance(time.Second, true)
			w.advance(3*time.Second, false)
			w.promote().position = fleet.LogPosition{Term: 2, Index: 9}
			w.advance(3*time.Second, false)
			for _, d := range []catalog.Database{"rush", "stock", "standing"} {
				ran, _ := w.readOnce(d, 100*time.Millisecond, false)
				c.Check(ran["a"], qt.Equals, 0, qt.Commentf("%s: a lacks what b has acknowledged", d))
			}
		})
	}
}

// The same host sends a write to a. Guards against an acknowledgement that the successor's history lacks.
func TestWriteIsNotAcknowledgedBesideAnInstanceThatWasUnlisted(t *testing.T) {
	c := qt.New(t)
	w := newWorldWithout(c, "b", "c")
	w.advance(time.Second, true)
	w.advance(3*time.Second, false)
	w.promote()
	x := w.open("rush", "key-1")
	x.do(statement.KindWrite, "", "item data")
	w.advance(400*time.Millisecond, false)
	c.Assert(x.last().Code, qt.Not(qt.Equals), statement.CodeNone)
}

// The primary dies with its connections and starts again under its id, empty and as a replica. Guards
// against reads on it by its status from before, until the list tells of the new start.
func TestReadDoesNotRunOnARestartedPrimaryBeforeItsStatus(t *testing.T) {
	for _, k := range []statement.Kind{statement.KindRead, statement.KindBeginRead, statement.KindExecute} {
		t.Run(string(k), func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(c).withConfirmedPrimary()
			a := w.instances["a"]
			x := w.open("rush", "key-1")
			x.do(statement.KindPrepare, "p", "read")
			w.breakConns(a)
			a.role, a.position, a.executed = fleet.RoleReplica, fleet.LogPosition{}, nil
			if k == statement.KindBeginRead {
				x.do(k, "", "")
				x.do(statement.KindRead, "", "item")
			} else {
				x.do(k, "p", "item")
			}
			w.advance(100*time.Millisecond, true)
			c.Assert(a.executed, qt.HasLen, 0)
		})
	}
}

// Guards against a status of the former process that is read after the list has told of the new start:
// it would confirm the new process, which is empty.
func TestLateStatusOfAFormerProcessConfirmsNothing(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	a := w.instances["a"]
	a.hold, a.term = true, 2
	w.relay.AddRecord(leader.Record{Service: service, Term: 2, Primary: "a", Former: "c", Revision: 3})
	w.advance(20*time.Millisecond, true)
	late := a.pending
	c.Assert(late, qt.Not(qt.HasLen), 0)
	a.pending, a.hold, a.executed = nil, false, nil
	a.role, a.position = fleet.RoleReplica, fleet.LogPosition{}
	a.started = 99
	w.list()
	c.Assert(w.relay.State().Groups[0].PrimaryKnown, qt.IsFalse, qt.Commentf("the list tells of a new process"))
	for _, f := range late {
		f()
	}
	c.Assert(w.relay.State().Groups[0].PrimaryKnown, qt.IsFalse)
	w.readOnce("rush", 100*time.Millisecond, true)
	c.Assert(a.executed, qt.HasLen, 0)
}

// Guards against a host that never trusts the others' statuses, so that it refuses all that comes while
// the store is lost: the list has been followed for long, by readings of this host or of others.
func TestStatusesCountOnceTheListWasFollowed(t *testing.T) {
	for name, read := range map[string]func(w *world){
		"own readings":          func(w *world) { w.listFor(12 * time.Second) },
		"others' readings":      func(w *world) { w.confirmListFor(12 * time.Second) },
		"one, and a long pause": func(w *world) { w.advance(12*time.Second, true); w.list() },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorldWithout(c, "b")
			read(w)
			w.advance(4*time.Second, false)
			ran, x := w.readOnce("rush", 100*time.Millisecond, false)
			c.Assert(ran["a"] == 1, qt.Equals, name != "one, and a long pause")
			c.Assert(x.last().Code == statement.CodeNone, qt.Equals, ran["a"] == 1)
		})
	}
}

// The primary starts anew under its id, empty and as a replica. Guards against a log position of the new
// process that is taken for the primary's: replicas that lag far behind would cover it. It comes with the
// opening of a connection, with a refused write, or with the status that tells that it doesn't lead.
func TestRestartedPrimaryGivesNoLogPosition(t *testing.T) {
	for _, k := range []statement.Kind{statement.KindStatus, statement.KindWrite} {
		t.Run(string(k), func(t *testing.T) {
			c := qt.New(t)
			w := newConnectedWorld(c)
			a := w.instances["a"]
			w.breakConns(a)
			a.role, a.position = fleet.RoleReplica, fleet.LogPosition{}
			for _, n := range []fleet.Instance{"b", "c"} {
				w.instances[n].position.Index = 1
			}
			w.advance(2*time.Second, true)
			if k == statement.KindWrite {
				w.open("rush", "key-1").do(k, "", "item data")
			}
			ran, _ := w.readOnce("stock", 400*time.Millisecond, true)
			c.Assert(ran["b"]+ran["c"], qt.Equals, 0, qt.Commentf("they lack what a had acknowledged"))
		})
	}
}

// The successor of a leads, acknowledges writes, and starts anew under its id, before a host without a
// registration hears of any of it. Guards against its report, from which all that is gone, as a proof that
// a still led: as the instance that the record names, and as one of the others.
func TestRestartedSuccessorProvesNothing(t *testing.T) {
	for _, known := range []bool{true, false} {
		for _, k := range []statement.Kind{statement.KindRead, statement.KindWrite} {
			t.Run(fmt.Sprintf("%s, record known %v", k, known), func(t *testing.T) {
				c := qt.New(t)
				w := newWorld(c).withConfirmedPrimary()
				w.advance(4*time.Second, false)
				b := w.promote()
				w.breakConns(b)
				b.role, b.term, b.position = fleet.RoleReplica, 0, fleet.LogPosition{}
				if known {
					w.relay.AddRecord(promotionOfB)
				}
				w.advance(time.Second, known)
				x := w.open("rush", "key-1")
				x.do(k, "", "item data")
				w.advance(400*time.Millisecond, known)
				c.Check(w.count(string(statement.KindRead)), qt.Equals, 0, qt.Commentf("a lacks what b has acknowledged"))
				c.Check(x.last().Code, qt.Not(qt.Equals), statement.CodeNone)
			})
		}
	}
}

// A replica joins a new term a moment after the primary has answered. Guards against asking it only once,
// before that, which leaves a write in doubt and a read waiting.
func TestReplicaThatHasNotJoinedTheTermIsAskedAgain(t *testing.T) {
	for _, k := range []statement.Kind{statement.KindRead, statement.KindWrite} {
		t.Run(string(k), func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(c).withConfirmedPrimary()
			w.advance(4*time.Second, false)
			w.instances["c"].term = 0
			x := w.open("rush", "key-1")
			x.do(k, "", "item data")
			w.advance(100*time.Millisecond, false)
			c.Assert(x.answers, qt.HasLen, 0)
			w.instances["c"].term = 1
			w.advance(80*time.Millisecond, false)
			c.Assert(x.last().Code, qt.Equals, statement.CodeNone)
		})
	}
}

// Guards against reads and writes on a replaced primary whose successor isn't among those that are asked: it
// registered after this host's last reading of the list, or was off the list for so long that it was forgotten.
func TestInstanceThatRegistersAfterTheLastReadingMayBePrimary(t *testing.T) {
	for name, setUp := range map[string]func(c *qt.C) *world{
		"new, another one known": func(c *qt.C) *world {
			w := newWorldWithout(c, "b")
			w.listFor(30 * time.Second)
			return w
		},
		"new, no other known": func(c *qt.C) *world {
			w := newWorldWithout(c, "b", "c")
			w.listFor(30 * time.Second)
			return w
		},
		"forgotten": func(c *qt.C) *world {
			w := newWorld(c).withConfirmedPrimary()
			b := w.instances["b"]
			b.unlisted, b.silent = true, true
			w.breakConns(b)
			w.listFor(6 * time.Minute)
			b.silent = false
			return w
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := setUp(c)
			w.advance(time.Minute, false)
			w.promote().position = fleet.LogPosition{Term: 2, Index: 9}
			w.advance(3*time.Second, false)
			for _, d := range []catalog.Database{"rush", "stock", "standing"} {
				ran, _ := w.readOnce(d, 100*time.Millisecond, false)
				c.Check(ran["a"]+ran["c"], qt.Equals, 0, qt.Commentf("%s: they lack what b has acknowledged", d))
			}
			x := w.open("rush", "key-1")
			x.do(statement.KindWrite, "", "item data")
			w.advance(400*time.Millisecond, false)
			c.Check(x.last().Code, qt.Not(qt.Equals), statement.CodeNone)
		})
	}
}

// Guards against a host that refuses all that comes in a long outage of the store: the other hosts are heard,
// and none knows of a promotion, or they name the same instances.
func TestStatusesCountInALongOutageOfTheStore(t *testing.T) {
	for name, n := range map[string]struct {
		report func(w *world)
		served bool
	}{
		"no newer promotion":  {func(w *world) { w.relay.NoNewerPromotion(w.now) }, true},
		"the same instances":  {func(w *world) { w.relay.MembersConfirmed(w.now) }, true},
		"reports from before": {func(w *world) { w.relay.NoNewerPromotion(w.now.Add(-time.Second)) }, false},
		"nobody is heard":     {func(*world) {}, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(c).withConfirmedPrimary()
			w.advance(10*time.Minute, false)
			n.report(w)
			ran, _ := w.readOnce("rush", 100*time.Millisecond, false)
			c.Check(ran["a"] == 1, qt.Equals, n.served)
			x := w.open("rush", "key-1")
			x.do(statement.KindWrite, "", "item data")
			w.advance(100*time.Millisecond, false)
			c.Check(x.last().Code == statement.CodeNone, qt.Equals, n.served)
		})
	}
}
