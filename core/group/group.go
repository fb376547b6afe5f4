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

	observations []Observation
	history      History
	lastTick     time.Time
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
func (s Snapshot) Find(n fleet.Instance) (Observation, bool) {
	for _, o := range s.Observations {
		if o.Instance.Name == n {
			return o, true
		}
	}
	return Observation{}, false
}

// Age returns how old the data of a log that ends at p is at the most.
func (s Snapshot) Age(p fleet.LogPosition, now time.Time) (time.Duration, bool) {
	return s.History.Age(p, now)
}

// Configure takes up the instances of a document and keeps what is known of
// those that stay.
func (g *Group) Configure(now time.Time, instances []document.Instance) {
	observations := make([]Observation, 0, len(instances))
	for _, i := range instances {
		o := Observation{Instance: i}
		if known := g.find(i.Name); known != nil && known.Instance.Address == i.Address {
			o = *known
			o.Instance = i
		}
		if !i.Leaving {
			o.LeavingSince = time.Time{}
		} else if o.LeavingSince.IsZero() {
			o.LeavingSince = now
		}
		observations = append(observations, o)
	}
	g.observations = observations
}

func (g *Group) find(n fleet.Instance) *Observation {
	for i := range g.observations {
		if g.observations[i].Instance.Name == n {
			return &g.observations[i]
		}
	}
	return nil
}

// StatusRequested notes that an instance is being asked for its status.
func (g *Group) StatusRequested(n fleet.Instance, now time.Time) {
	if o := g.find(n); o != nil {
		o.requestSent(now)
	}
}

// StatusReceived takes up a status whose question was sent at sent.
func (g *Group) StatusReceived(n fleet.Instance, sent, now time.Time, st fleet.Status) {
	// A wrongly wired address answers under another name; its terms and
	// positions would be counted for an instance that never said so.
	if o := g.find(n); o != nil && st.Instance == n {
		previousLast := o.Status.Last
		o.statusReceived(sent, now, st)
		o.updateUsualLag(previousLast, g.history)
		o.updateLag(g.history)
		g.updateHistory(now)
	}
}

// CommandAnswered takes up a status that came as the answer to an order sent at sent.
func (g *Group) CommandAnswered(n fleet.Instance, sent, now time.Time, st fleet.Status) {
	if o := g.find(n); o != nil && st.Instance == n {
		o.updateStatus(sent, now, st)
		g.updateHistory(now)
	}
}

func (g *Group) updateHistory(now time.Time) {
	if p, ok := g.Snapshot(now).Prove(); ok {
		g.history = g.history.Add(p)
	}
}

// StatusFailed notes that a question went unanswered. refused tells that the address
// refused the connection, so that no process serves there.
func (g *Group) StatusFailed(n fleet.Instance, refused bool) {
	if o := g.find(n); o != nil {
		o.requestFailed(refused)
	}
}

// TooManyConnections notes that an instance answered but refused the connection for having
// too many: it lives, though its status isn't known.
func (g *Group) TooManyConnections(n fleet.Instance, now time.Time) {
	if o := g.find(n); o != nil {
		o.answerReceived(now)
	}
}

// maxTickGap is the longest time between two ticks after which the silence of
// the instances still counts. Ticks come every few tens of milliseconds.
const maxTickGap = 250 * time.Millisecond

// Tick is called at least every 50 ms or so. After a longer gap the host itself
// was paused: answers then lie unread and every instance looks silent for the
// length of the pause, so silence counts anew from now.
func (g *Group) Tick(now time.Time) (paused bool) {
	paused = !g.lastTick.IsZero() && now.Sub(g.lastTick) > maxTickGap
	g.lastTick = now
	if !paused {
		return false
	}
	for i := range g.observations {
		if !g.observations[i].UnansweredSince.IsZero() {
			g.observations[i].UnansweredSince = now
		}
	}
	return true
}

// Snapshot returns a copy of what is known now.
func (g *Group) Snapshot(now time.Time) Snapshot {
	s := Snapshot{At: now, Observations: slices.Clone(g.observations), History: g.history, Rules: g.Rules}
	if i, ok := primaryIndex(g.observations); ok {
		s.Primary = g.observations[i].Instance.Name
		s.Term = g.observations[i].Status.Last.Term
	}
	return s
}
