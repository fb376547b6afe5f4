// Package group tracks the state of one database group as one host observes it.
// It decides which instance is the primary, whether a committed write may be
// acknowledged, how old a replica's data is at most and whether the primary has
// failed, and it runs the steps of a promotion. It reads no clock and opens no
// socket: the caller passes in times, answers and failures.
package group

import (
	"slices"
	"time"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
)

// Group is the state of one group as one host observes it. It isn't safe for
// concurrent use.
type Group struct {
	// Rules are the safety rules. Only tests set them; the zero value applies
	// all of them.
	Rules Rules

	observations []Observation
	history      History
	lastTick     time.Time
}

// Snapshot is an immutable copy of a Group at one time.
type Snapshot struct {
	At time.Time `json:"at"`
	// Primary is the instance that serves writes in Term; empty while no primary
	// is known.
	Primary fleet.Instance `json:"primary"`
	Term    fleet.Term     `json:"term"`
	// Observations are in the order of the document's instances.
	Observations []Observation `json:"seen"`
	History      History       `json:"history"`
	// Rules are copied from the Group.
	Rules Rules `json:"-"`
}

// Find returns the observation of instance n, and false if the document doesn't
// list n.
func (s Snapshot) Find(n fleet.Instance) (Observation, bool) {
	for _, o := range s.Observations {
		if o.Instance.Name == n {
			return o, true
		}
	}
	return Observation{}, false
}

// Age returns the maximum age of the data in a log that ends at p, and false if
// no age can be proven.
func (s Snapshot) Age(p fleet.LogPosition, now time.Time) (time.Duration, bool) {
	return s.History.Age(p, now)
}

// Configure sets the group's instances to those of a document. It keeps the
// observations of instances whose name and address are unchanged.
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

// StatusRequested records that a status request was sent to instance n.
func (g *Group) StatusRequested(n fleet.Instance, now time.Time) {
	if o := g.find(n); o != nil {
		o.requestSent(now)
	}
}

// StatusReceived handles a status of instance n that was requested at sent and
// arrived at now.
func (g *Group) StatusReceived(n fleet.Instance, sent, now time.Time, st fleet.Status) {
	// An instance that is reached under a wrong address reports another name.
	// Its terms and positions must not be counted for n.
	if o := g.find(n); o != nil && st.Instance == n {
		previousLast := o.Status.Last
		o.statusReceived(sent, now, st)
		o.updateUsualLag(previousLast, g.history)
		o.updateLag(g.history)
		g.updateHistory(now)
	}
}

// CommandAnswered handles a status that instance n returned at now in answer to a
// command sent at sent.
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

// StatusFailed records that a status request to instance n failed. refused is set
// if the address refused the connection, which means that no process listens there.
func (g *Group) StatusFailed(n fleet.Instance, refused bool) {
	if o := g.find(n); o != nil {
		o.requestFailed(refused)
	}
}

// TooManyConnections records that instance n refused a connection because it has
// too many. The instance is running, but its status isn't known.
func (g *Group) TooManyConnections(n fleet.Instance, now time.Time) {
	if o := g.find(n); o != nil {
		o.answerReceived(now)
	}
}

// maxTickGap is the time between two ticks above which the host counts as having
// been paused. Ticks come every few tens of milliseconds.
const maxTickGap = 250 * time.Millisecond

// Tick has to be called at least every 50 ms or so. It reports whether the gap
// since the last tick exceeds maxTickGap, which means that the host itself was
// paused. Answers that arrived meanwhile are still unread and every instance
// seems silent for the length of the pause, so Tick restarts the measurement of
// silence at now.
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

// Snapshot returns a copy of the group's state, dated now.
func (g *Group) Snapshot(now time.Time) Snapshot {
	s := Snapshot{At: now, Observations: slices.Clone(g.observations), History: g.history, Rules: g.Rules}
	if i, ok := primaryIndex(g.observations); ok {
		s.Primary = g.observations[i].Instance.Name
		s.Term = g.observations[i].Status.Last.Term
	}
	return s
}
