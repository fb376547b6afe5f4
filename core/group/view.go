package group

import (
	"time"

	"skylarkdeal/core/fleet"
)

// View is how a host sees the instances of a group.
type View struct {
	Host       fleet.Host       `json:"host"`
	DataCentre fleet.DataCentre `json:"data-centre"`
	// At is when the host was asked.
	At        time.Time      `json:"at"`
	Instances []InstanceView `json:"instances"`
}

// InstanceView is how a host sees one instance.
type InstanceView struct {
	Instance fleet.Instance `json:"instance"`
	// Reachable is set when the instance owes no answer for long.
	Reachable bool `json:"reachable"`
	// Silent is how long it has owed an answer.
	Silent time.Duration     `json:"silent"`
	Term   fleet.Term        `json:"term"`
	Last   fleet.LogPosition `json:"last"`
	Role   fleet.Role        `json:"role"`
}

// viewFresh is how old an answer may be for a host to say that it reaches an
// instance. A host that hasn't asked for longer says neither, and asks.
const viewFresh = 400 * time.Millisecond

// Views returns how this host sees the instances, for another that asks.
func (p Policy) Views(t Snapshot, now time.Time) []InstanceView {
	out := make([]InstanceView, 0, len(t.Observations))
	for _, s := range t.Observations {
		out = append(out, InstanceView{
			Instance:  s.Instance.Name,
			Reachable: s.Known() && now.Sub(s.Sent) < viewFresh && !p.ShouldAskPeers(s, now),
			Silent:    s.Silent(now),
			Term:      s.Status.Promised,
			Last:      s.Status.Last,
			Role:      s.Status.Role,
		})
	}
	return out
}
