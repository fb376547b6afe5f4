package follow_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/follow"
)

// monitored is one host's monitor with what the host knows.
type monitored struct {
	follow.CatalogMonitor
	known follow.CatalogKnown
	now   time.Time
}

// newMonitored returns the monitor of a host that has just got its first catalog.
func newMonitored(completeTo follow.Revision, asOf time.Time) *monitored {
	return &monitored{
		now: atMillis(0), known: follow.CatalogKnown{CompleteTo: completeTo, AsOf: asOf, Hosts: 40},
	}
}

func (m *monitored) report(r follow.CatalogReport) { m.AddReport(m.now, m.known.CompleteTo, r) }

// pass lets time pass, with a report of each of the others every 400 ms, and returns the actions with
// when they were first due and the last decision.
func (m *monitored) pass(
	d time.Duration, reports ...follow.CatalogReport,
) (map[follow.CatalogAction]time.Duration, follow.CatalogDecision) {
	began, first := m.now, map[follow.CatalogAction]time.Duration{}
	for n := 0; ; n++ {
		if n%8 == 0 {
			for _, r := range reports {
				m.report(r)
			}
		}
		o := m.Decide(m.now, m.known)
		if _, ok := first[o.Action]; !ok {
			first[o.Action] = m.now.Sub(began)
		}
		if m.now.Sub(began) >= d {
			return first, o
		}
		m.now = m.now.Add(50 * time.Millisecond)
	}
}

// Guards against a host that is behind and is kept from doing anything about it by reports of others that
// are behind as well.
func TestReportsOfOtherOldHostsDoNotResetBehind(t *testing.T) {
	c := qt.New(t)
	m := newMonitored(5, atMillis(0))
	newer := follow.CatalogReport{Host: "newer", IsReader: true, Revision: 9}
	old := follow.CatalogReport{Host: "old", Revision: 5}
	actions, last := m.pass(2500*time.Millisecond, newer, old)
	c.Assert(actions[follow.CatalogRequestAll] > 0, qt.IsTrue)
	c.Assert(actions[follow.CatalogSwitchReader] > actions[follow.CatalogRequestAll], qt.IsTrue)
	c.Assert(actions[follow.CatalogReadStore] > actions[follow.CatalogSwitchReader], qt.IsTrue)
	c.Assert(actions[follow.CatalogAskHost] > 0, qt.IsTrue)
	c.Assert(last.Outdated, qt.Equals, follow.OutdatedBehind)
	c.Assert(last.BehindSince.Equal(atMillis(0)), qt.IsTrue)
	m.known.CompleteTo = 9
	_, last = m.pass(0)
	c.Assert(last.Outdated, qt.Equals, follow.OutdatedReason(""))
	c.Assert(last.BehindSince.IsZero(), qt.IsTrue)
}

// Guards against a host that gets one change in time and counts as up to date although a later one is
// missing, and against one that is refused for changes which it got in time, because others came.
func TestEachMissingRevisionCountsFromItsOwnReport(t *testing.T) {
	c := qt.New(t)
	m := newMonitored(5, atMillis(0))
	m.report(follow.CatalogReport{Host: "a", Revision: 9})
	m.pass(time.Second)
	m.report(follow.CatalogReport{Host: "a", Revision: 11})
	m.known.CompleteTo = 9
	_, last := m.pass(time.Second)
	c.Assert(last.Outdated, qt.Equals, follow.OutdatedReason(""))
	c.Assert(last.BehindSince.Equal(atMillis(1000)), qt.IsTrue)
	_, last = m.pass(time.Second)
	c.Assert(last.Outdated, qt.Equals, follow.OutdatedBehind)
}

// Guards against a reader that waits as long as followers do, who have others to ask first.
func TestReaderThatIsBehindReadsTheStoreAtOnce(t *testing.T) {
	c := qt.New(t)
	m := newMonitored(5, atMillis(0))
	m.known.IsReader = true
	actions, _ := m.pass(time.Second, follow.CatalogReport{Host: "newer", Revision: 9})
	c.Assert(actions[follow.CatalogReadStore] <= 300*time.Millisecond, qt.IsTrue)
	c.Assert(actions[follow.CatalogRequestAll], qt.Equals, time.Duration(0))
	c.Assert(actions[follow.CatalogSwitchReader], qt.Equals, time.Duration(0))
}

// Guards against a host that has just started and acts by the first catalog that it is given, however old
// that is.
func TestStartedHostNeedsAFreshCatalog(t *testing.T) {
	c := qt.New(t)
	for _, asOf := range []time.Time{{}, atMillis(-6000)} {
		m := newMonitored(5, asOf)
		_, last := m.pass(0)
		c.Assert(last.Outdated, qt.Equals, follow.OutdatedAgeUnknown)
		m.report(follow.CatalogReport{Host: "reader", Revision: 4, ReadAt: m.now.Add(-time.Second)})
		_, last = m.pass(0)
		c.Assert(last.Outdated, qt.Equals, follow.OutdatedReason(""))
	}
	_, last := newMonitored(5, atMillis(-1000)).pass(0)
	c.Assert(last.Outdated, qt.Equals, follow.OutdatedReason(""))
}

// Guards against a host that starts while the store is down and never serves, although nobody can change
// the catalog meanwhile; and against one that takes the store for down because it reads nothing itself.
func TestStartedHostServesWhileNobodyReadsTheStore(t *testing.T) {
	c := qt.New(t)
	m := newMonitored(5, time.Time{})
	_, last := m.pass(2900 * time.Millisecond)
	c.Assert(last.Outdated, qt.Equals, follow.OutdatedAgeUnknown)
	_, last = m.pass(500 * time.Millisecond)
	c.Assert(last.Outdated, qt.Equals, follow.OutdatedReason(""))
	c.Assert(last.Unconfirmed, qt.IsTrue)

	m = newMonitored(5, time.Time{})
	for range 6 {
		m.report(follow.CatalogReport{Host: "reader", Revision: 9, ReadAt: m.now})
		_, last = m.pass(time.Second)
		c.Assert(last.Outdated, qt.Not(qt.Equals), follow.OutdatedReason(""))
	}
}

// Guards against a host that was paused and goes on with the catalog that it had before.
func TestPausedHostNeedsAFreshCatalog(t *testing.T) {
	c := qt.New(t)
	m := newMonitored(5, atMillis(0))
	_, last := m.pass(time.Second)
	c.Assert(last.Outdated, qt.Equals, follow.OutdatedReason(""))
	m.now = m.now.Add(10 * time.Second)
	_, last = m.pass(0)
	c.Assert(last.Outdated, qt.Equals, follow.OutdatedAgeUnknown)
	m.known.AsOf = m.now
	_, last = m.pass(0)
	c.Assert(last.Outdated, qt.Equals, follow.OutdatedReason(""))
}

// Guards against hundreds of hosts that all read a store that is down, again and again.
func TestOutageOfTheStoreIsNoStampede(t *testing.T) {
	const hosts, mostPerSecond = 300, 60
	for seed := range uint64(5) {
		random := rand.New(rand.NewPCG(seed, 0))
		var ms []*monitored
		for range hosts {
			m := newMonitored(5, atMillis(0))
			m.known.Hosts, m.Jitter = hosts, random.Float64
			ms = append(ms, m)
		}
		calls := map[time.Duration]int{}
		for ms[0].now.Before(atMillis(60000)) {
			for _, m := range ms {
				if m.Decide(m.now, m.known).Action == follow.CatalogReadStore {
					calls[m.now.Sub(atMillis(0)).Truncate(time.Second)]++
				}
				m.now = m.now.Add(100 * time.Millisecond)
			}
		}
		qt.Assert(t, calls, qt.Not(qt.HasLen), 0)
		for at, n := range calls {
			qt.Check(t, n <= mostPerSecond, qt.IsTrue, qt.Commentf("%d calls in a second, at %s, seed %d", n, at, seed))
		}
	}
}

// Guards against a host of a large fleet that no report with an edit reaches, as a data centre is silent: it
// acts by its old catalog until its turn to read the store, which came later the larger the fleet is.
func TestHostThatHearsNobodyReadsTheStoreInTime(t *testing.T) {
	const inForceWithin, longestCall = 5 * time.Second, 1500 * time.Millisecond
	for _, hosts := range []int{2, 30, 73, 295, 920} {
		for _, jitter := range []float64{0, 0.5, 1} {
			t.Run(fmt.Sprintf("%d hosts, jitter %v", hosts, jitter), func(t *testing.T) {
				c := qt.New(t)
				m := newMonitored(5, atMillis(0))
				m.known.Hosts, m.known.HasSilentHosts = hosts, true
				m.Jitter = func() float64 { return jitter }
				lastRead := m.now
				for m.now.Before(atMillis(60000)) {
					if m.Decide(m.now, m.known).Action == follow.CatalogReadStore {
						c.Assert(m.now.Sub(lastRead)+longestCall <= inForceWithin, qt.IsTrue, qt.Commentf("%s", m.now.Sub(lastRead)))
						lastRead = m.now
					}
					m.now = m.now.Add(50 * time.Millisecond)
				}
				c.Assert(m.now.Sub(lastRead) <= inForceWithin, qt.IsTrue)
			})
		}
	}
}

// simulated is a host of a simulated fleet. A reader in touch reads the store time and again; one with a
// dead watch doesn't. Its own list calls reach the store if storeReachable is set.
type simulated struct {
	*monitored
	name                   fleet.Host
	reader, storeReachable bool
	inTouch                bool
	// linked is set if it has links to hosts that it doesn't follow.
	linked   bool
	follows  *simulated
	nextRead time.Time
	readAt   time.Time
	change   follow.Revision
	// starts is the step at which the host starts.
	starts int
	// reported is the newest change that it has reported, lost counts the reports in a row that each
	// other host didn't get.
	reported follow.Revision
	lost     map[*simulated]int
}

// message is a report or a copy on its way.
type message struct {
	at time.Time
	do func()
}

// fleetSimulation runs hosts with late and lost messages and a store that is changed once.
type fleetSimulation struct {
	t        *rapid.T
	now      time.Time
	revision follow.Revision
	hosts    []*simulated
	messages []message
	steps    int
}

func (s *fleetSimulation) post(least, most time.Duration, do func()) {
	// The extremes are what matters.
	late := rapid.SampledFrom([]time.Duration{least, most}).Draw(s.t, "late")
	s.messages = append(s.messages, message{s.now.Add(late), do})
}

func (s *fleetSimulation) learn(h *simulated, change, completeTo follow.Revision, asOf time.Time) {
	if completeTo > h.known.CompleteTo {
		h.known.CompleteTo, h.change = completeTo, change
	}
	if asOf.After(h.known.AsOf) {
		h.known.AsOf = asOf
	}
}

// read has a host list the catalog.
func (s *fleetSimulation) read(h *simulated) {
	sent := s.now
	s.post(5*time.Millisecond, 300*time.Millisecond, func() {
		s.learn(h, s.revision, s.revision, sent)
		h.readAt = sent
	})
}

// copyTo has a reader pass its catalog on.
func (s *fleetSimulation) copyTo(from, to *simulated) {
	if !from.reader {
		return
	}
	change, completeTo, asOf := from.change, from.known.CompleteTo, from.known.AsOf
	s.post(time.Millisecond, 200*time.Millisecond, func() { s.learn(to, change, completeTo, asOf) })
}

// mostLost is how many reports in a row are lost: a host of which more are isn't heard any more.
const mostLost = 2

func (s *fleetSimulation) report(h *simulated) {
	h.reported = h.change
	age := s.now.Sub(h.readAt)
	for _, o := range s.hosts {
		if o == h {
			continue
		}
		if h.lost[o] < mostLost && rapid.Bool().Draw(s.t, "lost") {
			h.lost[o]++
			continue
		}
		h.lost[o] = 0
		r := follow.CatalogReport{Host: h.name, IsReader: h.reader, Revision: h.change}
		s.post(time.Millisecond, time.Second, func() {
			if !h.readAt.IsZero() {
				// The time on its way doesn't count.
				r.ReadAt = s.now.Add(-age)
			}
			if s.steps >= o.starts {
				o.AddReport(s.now, o.known.CompleteTo, r)
			}
		})
	}
}

func (s *fleetSimulation) readers() []*simulated {
	var out []*simulated
	for _, h := range s.hosts {
		if h.reader {
			out = append(out, h)
		}
	}
	return out
}

func (s *fleetSimulation) act(h *simulated, d follow.CatalogDecision) {
	switch d.Action {
	case follow.CatalogRequestAll:
		s.copyTo(h.follows, h)
	case follow.CatalogSwitchReader:
		rs := s.readers()
		h.follows = rs[rapid.IntRange(0, len(rs)-1).Draw(s.t, "reader")]
		s.copyTo(h.follows, h)
	case follow.CatalogReadStore:
		if h.storeReachable {
			s.read(h)
		}
	case follow.CatalogAskHost:
		for _, o := range s.hosts {
			if o.name == d.Host && h.linked {
				s.copyTo(o, h)
			}
		}
	case follow.CatalogKeep:
	}
}

const simulatedStep = 50 * time.Millisecond

// step lets simulatedStep pass, and returns each host's decision.
func (s *fleetSimulation) step(n int) []follow.CatalogDecision {
	s.now, s.steps = s.now.Add(simulatedStep), n
	var left []message
	for _, m := range s.messages {
		if m.at.After(s.now) {
			left = append(left, m)
			continue
		}
		m.do()
	}
	s.messages = left
	out := make([]follow.CatalogDecision, len(s.hosts))
	for i, h := range s.hosts {
		if n < h.starts {
			continue
		}
		if h.reader && h.inTouch && !s.now.Before(h.nextRead) {
			h.nextRead = s.now.Add(800 * time.Millisecond)
			s.read(h)
		}
		if (n+i)%8 == 0 || h.change != h.reported {
			s.report(h)
		}
		if !h.reader && (n+i)%10 == 0 {
			s.copyTo(h.follows, h)
		}
		d := h.Decide(s.now, h.known)
		s.act(h, d)
		out[i] = d
	}
	return out
}

// Guards against a host that acts by an old catalog although one reader is in touch with the store: its
// readers' watches are dead, it has just started, or it can't reach the store. And against one that goes on
// refusing although it could know better.
func TestNoHostActsByAnOldCatalog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &fleetSimulation{t: t, now: atMillis(0), revision: 5}
		readers := rapid.IntRange(1, 4).Draw(t, "readers")
		for n := range readers + rapid.IntRange(1, 6).Draw(t, "followers") {
			h := &simulated{monitored: newMonitored(5, atMillis(0)), name: fleet.Host(fmt.Sprint("h", n)), change: 5}
			h.lost = map[*simulated]int{}
			h.reader = n < readers
			h.known.IsReader = h.reader
			h.inTouch = n == 0 || h.reader && rapid.Bool().Draw(t, "in touch")
			h.storeReachable = h.inTouch || rapid.Bool().Draw(t, "store reachable")
			if !h.reader && rapid.Bool().Draw(t, "starts late") {
				h.starts = rapid.IntRange(0, 200).Draw(t, "starts")
				h.known.CompleteTo, h.known.AsOf = 0, time.Time{}
			}
			h.linked = rapid.Bool().Draw(t, "linked")
			s.hosts = append(s.hosts, h)
			h.follows = s.hosts[rapid.IntRange(0, readers-1).Draw(t, "follows")%len(s.hosts)]
		}
		const edit, bound, settled = 40, 5 * time.Second, 8 * time.Second
		for n := range 360 {
			if n == edit {
				s.revision = 9
			}
			passed := time.Duration(n-edit) * simulatedStep
			for i, d := range s.step(n) {
				h := s.hosts[i]
				old := h.known.CompleteTo < s.revision
				if passed > bound && old && h.known.CompleteTo != 0 && d.Outdated == "" {
					t.Fatalf("%s acts by an old catalog %s after the edit", h.name, passed)
				}
				if passed > settled+time.Duration(h.starts)*simulatedStep && h.storeReachable && (old || d.Outdated != "") {
					t.Fatalf("%s could know better %s after the edit", h.name, passed)
				}
			}
		}
	})
}

// Guards against a report that was held up and confirms an old catalog as if it were new, however far apart
// the clocks are and drift.
func TestExtraDelayOfAReport(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e follow.ExtraDelay
		ahead := time.Duration(rapid.Int64Range(-1e15, 1e15).Draw(t, "ahead"))
		drift := rapid.Float64Range(-1e-4, 1e-4).Draw(t, "drift")
		theirs := func(at time.Time) time.Time {
			passed := at.Sub(atMillis(0))
			return at.Add(ahead + time.Duration(drift*float64(passed)))
		}
		const usual, slack = 5 * time.Millisecond, 10 * time.Millisecond
		now := atMillis(0)
		for range 50 {
			now = now.Add(400 * time.Millisecond)
			if extra := e.Observe(theirs(now), now.Add(usual)); extra > slack {
				t.Fatalf("%s extra for a usual report", extra)
			}
		}
		heldUp := time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "held up"))
		extra := e.Observe(theirs(now), now.Add(usual+heldUp))
		if (extra - heldUp).Abs() > slack+heldUp/100 {
			t.Fatalf("%s extra for a report that was held up for %s", extra, heldUp)
		}
	})
}

// atMillis returns a time of the hosts' clock.
func atMillis(ms int64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond)
}

// Guards against a follower with a slow link that asks for another copy, of another reader or the store, while the
// first one is arriving: each of them delays all, and hundreds of hosts ask at the same moment.
func TestFollowerAwaitsTheCopyThatIsArriving(t *testing.T) {
	c := qt.New(t)
	m := newMonitored(5, atMillis(0))
	newer := follow.CatalogReport{Host: "newer", IsReader: true, Revision: 9}
	m.known.Receiving = true
	actions, last := m.pass(1400*time.Millisecond, newer)
	c.Check(actions, qt.HasLen, 1, qt.Commentf("%v", actions))
	c.Check(last.Outdated, qt.Equals, follow.OutdatedReason(""))
	_, last = m.pass(200*time.Millisecond, newer)
	c.Check(last.Outdated, qt.Equals, follow.OutdatedBehind)
	m.known.Receiving = false
	actions, _ = m.pass(2*time.Second, newer)
	c.Check(actions[follow.CatalogReadStore] > 0, qt.IsTrue)
}

// Guards against a thousand followers that fall behind together and all read a large catalog from the store within
// half a second, so that its link is full and the readers wait for theirs.
func TestFollowersThatFallBehindReadTheStoreBySize(t *testing.T) {
	c := qt.New(t)
	for _, hosts := range []int{100, 1000} {
		r := rand.New(rand.NewPCG(1, 2))
		reads := 0
		for range hosts {
			m := newMonitored(5, atMillis(0))
			m.known.Hosts, m.Jitter = hosts, r.Float64
			m.report(follow.CatalogReport{Host: "newer", Revision: 9})
			if actions, _ := m.pass(time.Second); actions[follow.CatalogReadStore] > 0 {
				reads++
			}
		}
		c.Check(reads > 0 && reads <= 100, qt.IsTrue, qt.Commentf("%d of %d hosts in the first second", reads, hosts))
	}
}
