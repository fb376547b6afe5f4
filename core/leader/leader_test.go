package leader_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/leader"
	"skylarkdeal/core/statement"
	"skylarkdeal/core/syncrep"
)

var start = time.Unix(1000, 0)

// confirmedPrimary returns a state in which the primary a is confirmed in term 1.
func confirmedPrimary() *leader.PrimaryState {
	var p leader.PrimaryState
	p.SetInstances([]catalog.Instance{{Name: "a", Role: fleet.RolePrimary}, {Name: "b"}, {Name: "c"}})
	p.AddStatus("a", statement.Status{Role: fleet.RolePrimary, Term: 1})
	return &p
}

func infos(change func(m map[fleet.Instance]*leader.InstanceInfo)) []leader.InstanceInfo {
	m := map[fleet.Instance]*leader.InstanceInfo{}
	for _, n := range []fleet.Instance{"a", "b", "c"} {
		m[n] = &leader.InstanceInfo{
			Name: n, Reachable: true, IsPrimary: n == "a", Term: 1, Received: fleet.LogPosition{Term: 1, Index: 5},
		}
	}
	change(m)
	return []leader.InstanceInfo{*m["a"], *m["b"], *m["c"]}
}

// decide returns the request that is ready to be sent, if any.
func decide(p *leader.PrimaryState, s leader.GroupStatus) (leader.PromotionRequest, bool) {
	d := p.Decide(s)
	if !d.Ready {
		return leader.PromotionRequest{}, false
	}
	return d.Request, true
}

func ExamplePrimaryState() {
	var p leader.PrimaryState
	p.SetInstances([]catalog.Instance{{Name: "a", Role: fleet.RolePrimary}})
	_, _, confirmed := p.Primary()
	fmt.Println(confirmed)
	p.AddStatus("a", statement.Status{Role: fleet.RolePrimary, Term: 3})
	fmt.Println(p.Primary())
	// Output:
	// false
	// a 3 true
}

// A registration that is older than the last record and names the former primary must not replace the
// designated primary, and neither must an older record.
func TestRecordTakesPrecedenceOverRegistrations(t *testing.T) {
	c := qt.New(t)
	p := confirmedPrimary()
	c.Assert(p.AddRecord(leader.Record{Primary: "b", Former: "a", Term: 2, Revision: 7}), qt.IsTrue)
	p.SetInstances([]catalog.Instance{{Name: "a", Role: fleet.RolePrimary}})
	c.Assert(p.DesignatedPrimary(), qt.Equals, fleet.Instance("b"))
	_, _, confirmed := p.Primary()
	c.Assert(confirmed, qt.IsFalse)
	former, term, ok := p.FormerPrimary()
	c.Assert(ok, qt.IsTrue)
	c.Assert(former, qt.Equals, fleet.Instance("a"))
	c.Assert(term, qt.Equals, fleet.Term(1))
	c.Assert(p.AddRecord(leader.Record{Primary: "c", Term: 2, Revision: 6}), qt.IsFalse)
}

// Guards against a primary that is confirmed too early: the last record names b, which still
// follows a. A status of b as a replica, or as a primary of an earlier term, must not confirm it,
// or writes would go where they are lost.
func TestOnlyAPrimaryOfTheRecordsTermIsConfirmed(t *testing.T) {
	c := qt.New(t)
	p := confirmedPrimary()
	p.AddRecord(leader.Record{Primary: "b", Former: "a", Term: 2, Revision: 7})
	c.Assert(p.AddStatus("b", statement.Status{Role: fleet.RoleReplica, Term: 2}), qt.IsFalse)
	c.Assert(p.AddStatus("b", statement.Status{Role: fleet.RolePrimary, Term: 1}), qt.IsFalse)
	c.Assert(p.AddStatus("c", statement.Status{Role: fleet.RolePrimary, Term: 9}), qt.IsFalse)
	c.Assert(p.AddStatus("b", statement.Status{Role: fleet.RolePrimary, Term: 2}), qt.IsTrue)
	_, _, former := p.FormerPrimary()
	c.Assert(former, qt.IsFalse)
}

// Guards against answers of a replaced primary that reach their callers, and against instances that
// are asked although current records rule them out.
func TestVerifyAnswer(t *testing.T) {
	c := qt.New(t)
	others := []fleet.Instance{"b", "c"}
	p := confirmedPrimary()
	v, term, _ := p.VerifyAnswer("a", true, others)
	c.Check(v, qt.Equals, leader.VerdictVerified)
	c.Check(term, qt.Equals, fleet.Term(1))
	v, _, ask := p.VerifyAnswer("a", false, others)
	c.Check(v, qt.Equals, leader.VerdictAsk)
	c.Check(ask, qt.DeepEquals, others)
	v, _, _ = p.VerifyAnswer("c", true, others)
	c.Check(v, qt.Equals, leader.VerdictRefuted)

	p.AddRecord(leader.Record{Primary: "b", Former: "a", Term: 2, Revision: 7})
	v, _, ask = p.VerifyAnswer("a", true, others)
	c.Check(v, qt.Equals, leader.VerdictAsk)
	c.Check(ask, qt.DeepEquals, []fleet.Instance{"b"})
	p.AddStatus("b", statement.Status{Role: fleet.RolePrimary, Term: 2})
	v, _, _ = p.VerifyAnswer("a", true, others)
	c.Check(v, qt.Equals, leader.VerdictRefuted)
}

// The store drops instances from its list that couldn't reach it, and one of them has just been
// promoted. A write of the former primary was verified by the third instance alone, acknowledged,
// and lost.
func TestDesignatedPrimaryIsAskedAlsoWhenUnlisted(t *testing.T) {
	c := qt.New(t)
	p := confirmedPrimary()
	p.AddRecord(leader.Record{Primary: "b", Former: "a", Term: 2, Revision: 7})
	_, _, ask := p.VerifyAnswer("a", false, []fleet.Instance{"c"})
	c.Assert(ask, qt.DeepEquals, []fleet.Instance{"c", "b"})
}

// Guards against an answer that is verified by a status from before it: another instance may have
// been promoted in between. A later term refutes the answer, and its deadline ends the wait.
func TestVerificationNeedsAStatusAskedForAfterTheAnswer(t *testing.T) {
	c := qt.New(t)
	var p leader.PendingAnswers
	p.Add(leader.PendingAnswer{
		Key: 1, Term: 1, ReceivedAt: start, Deadline: start.Add(time.Second),
	}, []fleet.Instance{"b", "c"})
	verified, refuted := p.AddStatus("b", start.Add(-time.Millisecond), 1)
	c.Assert(len(verified)+len(refuted), qt.Equals, 0)
	p.AddStatus("b", start, 1)
	verified, _ = p.AddStatus("c", start.Add(time.Millisecond), 1)
	c.Assert(verified, qt.HasLen, 1)

	p.Add(leader.PendingAnswer{
		Key: 2, Term: 1, ReceivedAt: start, Deadline: start.Add(time.Second),
	}, []fleet.Instance{"b", "c"})
	_, refuted = p.AddStatus("c", start, 2)
	c.Assert(refuted, qt.HasLen, 1)
	p.Add(leader.PendingAnswer{
		Key: 3, Term: 1, ReceivedAt: start, Deadline: start.Add(time.Second),
	}, []fleet.Instance{"b"})
	c.Assert(p.Expire(start.Add(time.Second)), qt.HasLen, 0)
	c.Assert(p.Expire(start.Add(time.Second+1)), qt.HasLen, 1)
	c.Assert(p.Len(), qt.Equals, 0)
}

// A host is suspended just after it has sent a renewal, and wakes up with the store's response. The
// registration is valid from the sending, by a clock that runs during the suspension, and is no
// longer valid.
func TestLeaseCountsFromTheSendingOfTheRenewal(t *testing.T) {
	c := qt.New(t)
	var l leader.Lease
	c.Assert(l.RecordsCurrent(start), qt.IsFalse)
	l.Renewed(start)
	c.Assert(l.RecordsCurrent(start.Add(leader.LeaseValidity-1)), qt.IsTrue)
	c.Assert(l.RecordsCurrent(start.Add(leader.LeaseValidity)), qt.IsFalse)
	l.Renewed(start.Add(-time.Second)) // the response to an older renewal arrives late
	c.Assert(l.RecordsCurrent(start.Add(leader.LeaseValidity-1)), qt.IsTrue)
	l.Lost()
	c.Assert(l.RecordsCurrent(start), qt.IsFalse)
}

// Guards against a promotion for one broken link, against a lost primary that is not replaced, and
// against the promotion of an instance that is unreachable, leaving, or behind in the log.
func TestDecide(t *testing.T) {
	c := qt.New(t)
	for _, t := range []struct {
		name    string
		change  func(m map[fleet.Instance]*leader.InstanceInfo)
		reason  leader.Reason
		primary fleet.Instance
	}{
		{"all hosts reach the primary", func(map[fleet.Instance]*leader.InstanceInfo) {}, "", ""},
		{"two hosts can't reach the primary, four can", func(m map[fleet.Instance]*leader.InstanceInfo) {
			m["a"].UnreachableFrom, m["a"].ReachableFrom, m["a"].UnreachableFor = 2, 4, time.Second
		}, "", ""},
		{"half of the hosts can't reach the primary", func(m map[fleet.Instance]*leader.InstanceInfo) {
			m["a"].UnreachableFrom, m["a"].ReachableFrom, m["a"].UnreachableFor = 3, 3, time.Second
		}, leader.ReasonUnreachable, "b"},
		{"two hosts eject the primary", func(m map[fleet.Instance]*leader.InstanceInfo) {
			m["a"].EjectedFrom = 2
		}, leader.ReasonEjected, "b"},
		{"one host ejects the primary", func(m map[fleet.Instance]*leader.InstanceInfo) {
			m["a"].EjectedFrom = 1
		}, "", ""},
		{"a replica that is ejected must not replace an ejected primary", func(m map[fleet.Instance]*leader.InstanceInfo) {
			m["a"].EjectedFrom, m["b"].EjectedFrom = 2, 1
		}, leader.ReasonEjected, "c"},
		{"the replicas lack what the ejected primary has", func(m map[fleet.Instance]*leader.InstanceInfo) {
			m["a"].EjectedFrom, m["b"].Behind, m["c"].Behind = 2, true, true
		}, "", ""},
		{"the coordinator can't reach the primary, no host can", func(m map[fleet.Instance]*leader.InstanceInfo) {
			m["a"].UnreachableFrom, m["a"].UnreachableFor = 1, time.Second
		}, leader.ReasonUnreachable, "b"},
		{"the other hosts have not checked yet", func(m map[fleet.Instance]*leader.InstanceInfo) {
			m["a"].UnreachableFrom, m["a"].UnreachableFor = 1, 100*time.Millisecond
		}, "", ""},
		{"the primary is leaving", func(m map[fleet.Instance]*leader.InstanceInfo) {
			m["a"].Leaving = true
		}, leader.ReasonLeaving, "b"},
		{"the primary has ended", func(m map[fleet.Instance]*leader.InstanceInfo) {
			m["a"].Gone = true
		}, leader.ReasonGone, "b"},
		{"the instance with the longest log is promoted", func(m map[fleet.Instance]*leader.InstanceInfo) {
			m["a"].Gone, m["c"].Received.Index = true, 6
		}, leader.ReasonGone, "c"},
		{"an instance that is leaving is not promoted", func(m map[fleet.Instance]*leader.InstanceInfo) {
			m["a"].Gone, m["b"].Leaving = true, true
		}, leader.ReasonGone, "c"},
		{"an unreachable instance is not promoted", func(m map[fleet.Instance]*leader.InstanceInfo) {
			m["a"].Gone, m["b"].Reachable = true, false
		}, leader.ReasonGone, "c"},
		{"no candidate is left", func(m map[fleet.Instance]*leader.InstanceInfo) {
			m["a"].Gone, m["b"].Reachable, m["c"].Reachable = true, false, false
		}, "", ""},
	} {
		p := confirmedPrimary()
		req, ok := decide(p, leader.GroupStatus{
			Now: start, Since: start, Instances: infos(t.change), EjectionsNeeded: 2,
		})
		c.Check(ok, qt.Equals, t.primary != "", qt.Commentf("%s", t.name))
		c.Check(req.Primary, qt.Equals, t.primary, qt.Commentf("%s", t.name))
		if ok {
			c.Check(req.Reason, qt.Equals, t.reason, qt.Commentf("%s", t.name))
			c.Check(req.Term, qt.Equals, fleet.Term(2), qt.Commentf("%s", t.name))
		}
	}
}

// Only the replaced primary can be reached: it is cut off from its successor and still acts as the
// primary. Promoting it would undo what the successor has acknowledged, and reads on it showed
// stale data.
func TestReplacedPrimaryIsNoCandidate(t *testing.T) {
	c := qt.New(t)
	p := confirmedPrimary()
	p.AddRecord(leader.Record{Primary: "b", Former: "a", Term: 2, Revision: 7})
	p.AddStatus("b", statement.Status{Role: fleet.RolePrimary, Term: 2})
	s := leader.GroupStatus{Now: start, Since: start, Instances: infos(func(m map[fleet.Instance]*leader.InstanceInfo) {
		m["b"].UnreachableFrom, m["b"].UnreachableFor = 4, time.Second
		m["b"].Reachable, m["c"].Reachable = false, false
	})}
	_, ok := decide(p, s)
	c.Assert(ok, qt.IsFalse)
}

// Guards against the promotion of an instance that led in an earlier term and has returned as a replica: its
// log reaches farther than those that joined the term after it, and has lost what was acknowledged since.
func TestInstanceInAnEarlierTermIsNotPreferred(t *testing.T) {
	c := qt.New(t)
	p := confirmedPrimary()
	p.AddRecord(leader.Record{Primary: "b", Former: "a", Term: 2, Revision: 7})
	p.AddStatus("b", statement.Status{Role: fleet.RolePrimary, Term: 2})
	decide := func(change func(m map[fleet.Instance]*leader.InstanceInfo)) fleet.Instance {
		req, _ := decide(p, leader.GroupStatus{Now: start, Since: start, Instances: infos(
			func(m map[fleet.Instance]*leader.InstanceInfo) {
				m["a"].IsPrimary, m["a"].Term, m["a"].Received = false, 1, fleet.LogPosition{Term: 1, Index: 52}
				m["b"].Gone = true
				m["c"].Term, m["c"].Received = 2, fleet.LogPosition{Term: 1, Index: 47}
				change(m)
			})})
		return req.Primary
	}
	c.Check(decide(func(map[fleet.Instance]*leader.InstanceInfo) {}), qt.Equals, fleet.Instance("c"))
	// c may be in term 2 and be slow to answer.
	c.Check(decide(func(m map[fleet.Instance]*leader.InstanceInfo) {
		m["c"].Reachable = false
	}), qt.Equals, fleet.Instance(""))
	c.Check(decide(func(m map[fleet.Instance]*leader.InstanceInfo) {
		m["c"].Reachable, m["c"].Gone = false, true
	}), qt.Equals, fleet.Instance("a"))
	// No instance has joined the term.
	c.Check(decide(func(m map[fleet.Instance]*leader.InstanceInfo) { m["c"].Term = 1 }), qt.Equals, fleet.Instance("a"))
}

// The primary crashes while the only instance that answers is in an earlier term: it crashed as the primary of
// that term and has returned with commits that were rolled back since. Guards against its promotion, which brings
// them back and undoes what the later terms have acknowledged, although the primary is about to return.
func TestCrashedPrimaryIsWaitedForWhileOnlyAnEarlierTermAnswers(t *testing.T) {
	c := qt.New(t)
	p := confirmedPrimary()
	p.AddRecord(leader.Record{Primary: "b", Former: "a", Term: 2, Revision: 7})
	p.AddStatus("b", statement.Status{Role: fleet.RolePrimary, Term: 2})
	decide := func(bGone bool) fleet.Instance {
		req, _ := decide(p, leader.GroupStatus{Now: start, Since: start, Instances: infos(
			func(m map[fleet.Instance]*leader.InstanceInfo) {
				m["a"].IsPrimary, m["a"].Term, m["a"].Received = false, 1, fleet.LogPosition{Term: 1, Index: 75}
				m["b"].Term, m["b"].Reachable, m["b"].Gone = 2, false, bGone
				m["b"].UnreachableFrom, m["b"].ReachableFrom, m["b"].UnreachableFor = 6, 0, time.Minute
				m["c"].Gone = true
			})})
		return req.Primary
	}
	c.Check(decide(false), qt.Equals, fleet.Instance(""))
	c.Check(decide(true), qt.Equals, fleet.Instance("a"))
}

// The instance to be promoted dies before the promotion takes effect. The next promotion is
// requested only once the first can't take effect any more: two at once make two primaries.
func TestNextPromotionWaitsForThePendingOne(t *testing.T) {
	c := qt.New(t)
	p := confirmedPrimary()
	p.AddRecord(leader.Record{Primary: "b", Former: "a", Term: 2, Revision: 7})
	s := leader.GroupStatus{Since: start, OwnRequest: true, Instances: infos(
		func(m map[fleet.Instance]*leader.InstanceInfo) { m["a"].Gone, m["b"].Reachable = true, false },
	)}
	s.Now = start.Add(2 * time.Second)
	_, ok := decide(p, s)
	c.Assert(ok, qt.IsFalse)
	s.Now = start.Add(3 * time.Second)
	req, ok := decide(p, s)
	c.Assert(ok, qt.IsTrue)
	c.Assert(req.Primary, qt.Equals, fleet.Instance("c"))
	c.Assert(req.Term, qt.Equals, fleet.Term(3))
}

// The platform changes nothing when it is asked to promote the instance that is the primary already.
// The group then waited for ever for the term that the promotion was to start.
func TestUnchangedPrimaryIsConfirmed(t *testing.T) {
	c := qt.New(t)
	p := confirmedPrimary()
	p.AddRecord(leader.Record{Primary: "a", Former: "a", Term: 2, Revision: 7})
	_, ok := p.ConfirmingRequest("a", 1, start, start.Add(time.Second))
	c.Assert(ok, qt.IsFalse)
	req, ok := p.ConfirmingRequest("a", 1, start, start.Add(2*time.Second))
	c.Assert(ok, qt.IsTrue)
	p.AddRecord(leader.Record{Primary: req.Primary, Term: req.Term, Revision: 8})
	c.Assert(p.AddStatus("a", statement.Status{Role: fleet.RolePrimary, Term: 1}), qt.IsTrue)
}

// Whatever records, statuses and answers come in whatever order, an answer is verified only if it
// came from the present primary, as long as recordsCurrent is true.
func TestNoAnswerOfAReplacedPrimaryIsVerified(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []fleet.Instance{"a", "b", "c"}
		primary, term, rev := fleet.Instance("a"), fleet.Term(1), uint64(0)
		var p leader.PrimaryState
		p.SetInstances([]catalog.Instance{{Name: "a", Role: fleet.RolePrimary}})
		recordsCurrent := true
		for range 40 {
			switch rapid.SampledFrom([]string{"order", "tell", "status", "answer"}).Draw(t, "step") {
			case "order":
				primary, term, rev = rapid.SampledFrom(names).Draw(t, "next"), term+1, rev+1
				recordsCurrent = false
			case "tell":
				p.AddRecord(leader.Record{Primary: primary, Term: term, Revision: rev})
				recordsCurrent = true
			case "status":
				n := rapid.SampledFrom(names).Draw(t, "who")
				s := statement.Status{Role: fleet.RoleReplica, Term: term}
				if n == primary {
					s.Role = fleet.RolePrimary
				}
				p.AddStatus(n, s)
			case "answer":
				n := rapid.SampledFrom(names).Draw(t, "from")
				// The records are current while the last one written is known.
				v, _, _ := p.VerifyAnswer(n, recordsCurrent, names)
				if v == leader.VerdictVerified && n != primary {
					t.Fatalf("an answer of %s was verified while %s is the primary in term %d", n, primary, term)
				}
			}
		}
	})
}

// Guards against a proof by an instance that has led and started anew since: it reports an earlier term
// than the answer's, as it knows of none, and counts only once it has joined that term.
func TestEarlierTermVerifiesNothing(t *testing.T) {
	c := qt.New(t)
	var p leader.PendingAnswers
	p.Add(leader.PendingAnswer{
		Key: 1, Term: 2, ReceivedAt: start, Deadline: start.Add(time.Second),
	}, []fleet.Instance{"b"})
	verified, refuted := p.AddStatus("b", start, 1)
	c.Assert(len(verified)+len(refuted), qt.Equals, 0)
	verified, _ = p.AddStatus("b", start.Add(time.Millisecond), 2)
	c.Assert(verified, qt.HasLen, 1)
}

// Guards against reads and writes that go on at an instance which has itself shown that it doesn't lead:
// the primary, or the former one while a promotion is in progress.
func TestInstanceThatShowsThatItDoesNotLeadIsNoPrimary(t *testing.T) {
	for name, show := range map[string]func(p *leader.PrimaryState){
		"refusal":  func(p *leader.PrimaryState) { p.AddRefusal("a") },
		"status":   func(p *leader.PrimaryState) { p.AddStatus("a", statement.Status{Role: fleet.RoleReplica, Term: 1}) },
		"log term": func(p *leader.PrimaryState) { p.AddLogTerm("a", 2) },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := confirmedPrimary()
			show(p)
			_, _, confirmed := p.Primary()
			c.Check(confirmed, qt.IsFalse)

			p = confirmedPrimary()
			p.AddRecord(leader.Record{Primary: "b", Former: "a", Term: 2, Revision: 7})
			_, _, former := p.FormerPrimary()
			c.Assert(former, qt.IsTrue)
			show(p)
			_, _, former = p.FormerPrimary()
			c.Check(former, qt.IsFalse)
		})
	}
}

// Guards against a group without a primary for good after a record that can't be read: it names none.
func TestRecordWithoutAPrimaryIsReplaced(t *testing.T) {
	c := qt.New(t)
	p := confirmedPrimary()
	p.AddRecord(leader.Record{Service: "s", Revision: 7})
	v, _, _ := p.VerifyAnswer("a", true, nil)
	c.Check(v, qt.Equals, leader.VerdictRefuted)
	o, ok := decide(p, leader.GroupStatus{
		Now: start.Add(4 * time.Second), Since: start, Instances: infos(func(map[fleet.Instance]*leader.InstanceInfo) {}),
	})
	c.Assert(ok, qt.IsTrue)
	c.Check(o.BaseRevision, qt.Equals, uint64(7))
	c.Check(o.Term, qt.Equals, fleet.Term(2))
}

// Guards against a promotion that is carried out late, after another instance was promoted in its place: hosts would go
// on to acknowledge writes of the one that was recorded last.
func TestPendingPromotionIsRequestedAgain(t *testing.T) {
	c := qt.New(t)
	p := confirmedPrimary()
	p.AddRecord(leader.Record{Primary: "c", Former: "a", Term: 2, Revision: 7})
	s := leader.GroupStatus{Now: start.Add(3 * time.Second), Since: start, OwnRequest: true}
	decided := func(change func(m map[fleet.Instance]*leader.InstanceInfo)) leader.PromotionRequest {
		s.Instances = infos(change)
		req, _ := decide(p, s)
		return req
	}
	o := decided(func(m map[fleet.Instance]*leader.InstanceInfo) { m["b"].Received.Index = 9 })
	c.Check(o.Primary, qt.Equals, fleet.Instance("c"))
	c.Check(o.Term, qt.Equals, fleet.Term(2), qt.Commentf("no promotion has begun it"))
	// Its former primary goes on.
	p.AddRecord(leader.Record{Primary: "c", Former: o.Former, Term: o.Term, Revision: 8})
	former, _, ok := p.FormerPrimary()
	c.Check(ok, qt.IsTrue)
	c.Check(former, qt.Equals, fleet.Instance("a"))
	// One that can't be promoted any more is given up.
	o = decided(func(m map[fleet.Instance]*leader.InstanceInfo) { m["c"].Reachable = false })
	c.Check(o.Primary, qt.Equals, fleet.Instance("b"))
}

// Guards against a pending promotion that is requested again without the logs of the others: the former primary may
// still have led, and have had commits confirmed by one of them.
func TestPendingPromotionWaitsForTheOtherLogs(t *testing.T) {
	c := qt.New(t)
	p := confirmedPrimary()
	p.AddRecord(leader.Record{Primary: "c", Former: "a", Term: 2, Revision: 7})
	d := p.Decide(leader.GroupStatus{
		Now: start.Add(3 * time.Second), Since: start, SyncReplicas: 1,
		Instances: infos(func(m map[fleet.Instance]*leader.InstanceInfo) {
			// A coordinator that has just started has never heard of the former primary.
			m["a"].IsPrimary, m["a"].Reachable, m["b"].Reachable = false, false, false
		}),
	})
	c.Check(d.Ready, qt.IsFalse)
	c.Check(d.Missing, qt.DeepEquals, map[fleet.Instance]syncrep.Obstacle{"b": syncrep.ObstacleNotHeard})
}

// Guards against two candidates that are held back in turn, each for the other, while the first may still be receiving
// what the other had when it was held back.
func TestCandidateIsKeptWhileItCatchesUp(t *testing.T) {
	c := qt.New(t)
	s := leader.GroupStatus{
		Now: start, Since: start, SyncReplicas: 1, HeldFor: "c",
		Instances: infos(func(m map[fleet.Instance]*leader.InstanceInfo) {
			m["a"].Leaving, m["b"].Held, m["b"].Received.Index = true, true, 6
		}),
	}
	d := confirmedPrimary().Decide(s)
	c.Check(d.Hold, qt.HasLen, 0)
	c.Check(d.Missing, qt.DeepEquals, map[fleet.Instance]syncrep.Obstacle{"b": syncrep.ObstacleAhead})
	s.HeldFor = ""
	d = confirmedPrimary().Decide(s)
	c.Check(d.Request.Primary, qt.Equals, fleet.Instance("b"))
	c.Check(d.Hold, qt.DeepEquals, []fleet.Instance{"c"})
}

// Guards against a coordinator that has a former primary promoted again because it has never itself met the successor:
// it has just started, is back from a cut, or has taken over from the host that had requested the promotion.
func TestSuccessorThatWasNeverMetIsWaitedFor(t *testing.T) {
	c := qt.New(t)
	type world = map[fleet.Instance]*leader.InstanceInfo
	onlyA := func(m world) { m["b"].Reachable, m["c"].Reachable = false, false }
	for _, x := range []struct {
		name   string
		change func(m world)
		own    bool
		want   fleet.Instance
	}{
		{"only the former primary answers", onlyA, false, ""},
		{"the requesting host hears only the former primary", onlyA, true, ""},
		{"the successor is listed", func(m world) { m["b"].Reachable, m["c"].Gone = false, true }, false, ""},
		{"the successor is leaving", func(m world) { m["b"].Reachable, m["b"].Leaving = false, true }, false, ""},
		{"a replica of its term is listed", func(m world) { m["b"].Gone, m["c"].Reachable = true, false }, false, ""},
		{"a replica of the earlier term answers", func(m world) { m["b"].Reachable = false }, false, ""},
		{"and the successor died before it led", func(m world) { m["b"].Reachable, m["a"].Gone = false, true }, true, "c"},
		{"a replica of its term answers", func(m world) { m["b"].Reachable, m["c"].Term = false, 2 }, false, "c"},
		{"the promotion hasn't taken effect", func(world) {}, false, "b"},
		{"nobody of its term is left", func(m world) { m["b"].Gone, m["c"].Gone = true, true }, false, "a"},
	} {
		for _, met := range []bool{false, true} {
			p := &leader.PrimaryState{}
			if met {
				p = confirmedPrimary()
			}
			p.AddRecord(leader.Record{Primary: "b", Former: "a", Term: 2, Revision: 7})
			for k := range 2 {
				d := p.Decide(leader.GroupStatus{
					Now: start.Add(time.Minute), Since: start, OwnRequest: x.own, SyncReplicas: k,
					Instances: infos(func(m world) {
						m["a"].IsPrimary, m["a"].Received = false, fleet.LogPosition{Term: 1, Index: 75}
						x.change(m)
					}),
				})
				if x.want == "" {
					c.Check(d.Ready, qt.IsFalse, qt.Commentf("%s, %d", x.name, k))
					c.Check(len(d.Missing) > 0, qt.IsTrue, qt.Commentf("%s, %d", x.name, k))
				} else if k == 0 {
					c.Check(d.Request.Primary, qt.Equals, x.want, qt.Commentf("%s, met %v", x.name, met))
				}
			}
		}
	}
}
