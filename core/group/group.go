// Package group decides what one host holds true of one database group: which
// instance is the primary, whether a committed write may be acknowledged, how
// fresh a replica is, whether the primary has failed, and the steps of a
// promotion. It reads no clock and opens no socket.
package group

import (
	"slices"
	"time"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
)

// Group is the state of one group as one host sees it. One goroutine owns it.
type Group struct {
	// Rules are the guards; the zero value but in tests.
	Rules Rules

	seen    []Observation
	history History
	ticked  time.Time
}

// Snapshot is a copy of a Group at one moment. It is never changed.
type Snapshot struct {
	At time.Time `json:"at"`
	// Primary serves writes in Term; empty while no primary is known.
	Primary fleet.Instance `json:"primary"`
	Term    fleet.Term     `json:"term"`
	// Observations is in the order of the document.
	Observations []Observation `json:"seen"`
	History      History       `json:"history"`
	// Rules are those of the Group.
	Rules Rules `json:"-"`
}

// Find returns what is known of an instance.
func (t Snapshot) Find(n fleet.Instance) (Observation, bool) {
	for _, s := range t.Observations {
		if s.Instance.Name == n {
			return s, true
		}
	}
	return Observation{}, false
}

// Age returns how old the data of a log that ends at p is at the most.
func (t Snapshot) Age(p fleet.LogPosition, now time.Time) (time.Duration, bool) {
	return t.History.Age(p, now)
}

// Configure takes up the instances of a document and keeps what is known of
// those that stay.
func (g *Group) Configure(now time.Time, instances []document.Instance) {
	seen := make([]Observation, 0, len(instances))
	for _, i := range instances {
		s := Observation{Instance: i}
		if o := g.find(i.Name); o != nil && o.Instance.Address == i.Address {
			s = *o
			s.Instance = i
		}
		if !i.Leaving {
			s.LeavingSince = time.Time{}
		} else if s.LeavingSince.IsZero() {
			s.LeavingSince = now
		}
		seen = append(seen, s)
	}
	g.seen = seen
}

func (g *Group) find(n fleet.Instance) *Observation {
	for i := range g.seen {
		if g.seen[i].Instance.Name == n {
			return &g.seen[i]
		}
	}
	return nil
}

// StatusRequested notes that an instance is being asked for its status.
func (g *Group) StatusRequested(n fleet.Instance, now time.Time) {
	if s := g.find(n); s != nil {
		s.ask(now)
	}
}

// StatusReceived takes up a status whose question was sent at sent.
func (g *Group) StatusReceived(n fleet.Instance, sent, now time.Time, st fleet.Status) {
	// A wrongly wired address answers under another name; its terms and
	// positions would be counted for an instance that never said so.
	if s := g.find(n); s != nil && st.Instance == n {
		last := s.Status.Last
		s.answer(sent, now, st)
		s.copied(last, g.history)
		s.lag(g.history)
		g.prove(now)
	}
}

// CommandAnswered takes up a status that came as the answer to an order sent at sent.
func (g *Group) CommandAnswered(n fleet.Instance, sent, now time.Time, st fleet.Status) {
	if s := g.find(n); s != nil && st.Instance == n {
		s.learn(sent, now, st)
		g.prove(now)
	}
}

func (g *Group) prove(now time.Time) {
	if p, ok := g.Snapshot(now).Prove(); ok {
		g.history = g.history.Add(p)
	}
}

// StatusFailed notes that a question went unanswered. refused tells that the address
// refused the connection, so that no process serves there.
func (g *Group) StatusFailed(n fleet.Instance, refused bool) {
	if s := g.find(n); s != nil {
		s.fail(refused)
	}
}

// TooManyConnections notes that an instance answered but refused the connection for having
// too many: it lives, though its status isn't known.
func (g *Group) TooManyConnections(n fleet.Instance, now time.Time) {
	if s := g.find(n); s != nil {
		s.hear(now)
	}
}

// pauseLimit is the longest time between two ticks after which the silence of
// the instances still counts. Ticks come every few tens of milliseconds.
const pauseLimit = 250 * time.Millisecond

// Tick is called at least every 50 ms or so. After a longer gap the host itself
// was paused: answers then lie unread and every instance looks silent for the
// length of the pause, so silence counts anew from now.
func (g *Group) Tick(now time.Time) (paused bool) {
	paused = !g.ticked.IsZero() && now.Sub(g.ticked) > pauseLimit
	g.ticked = now
	if !paused {
		return false
	}
	for i := range g.seen {
		if !g.seen[i].UnansweredSince.IsZero() {
			g.seen[i].UnansweredSince = now
		}
	}
	return true
}

// Snapshot returns a copy of what is known now.
func (g *Group) Snapshot(now time.Time) Snapshot {
	t := Snapshot{At: now, Observations: slices.Clone(g.seen), History: g.history, Rules: g.Rules}
	if i, ok := leader(g.seen); ok {
		t.Primary = g.seen[i].Instance.Name
		t.Term = g.seen[i].Status.Last.Term
	}
	return t
}
