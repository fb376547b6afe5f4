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

// maxViewAge is how old an answer may be for a host to say that it reaches an
// instance. A host that hasn't asked for longer says neither, and asks.
const maxViewAge = 400 * time.Millisecond

// Views returns how this host sees the instances, for another that asks.
func (p Policy) Views(s Snapshot, now time.Time) []InstanceView {
	out := make([]InstanceView, 0, len(s.Observations))
	for _, o := range s.Observations {
		out = append(out, InstanceView{
			Instance:  o.Instance.Name,
			Reachable: o.Known() && now.Sub(o.Sent) < maxViewAge && !p.ShouldAskPeers(o, now),
			Silent:    o.Silent(now),
			Term:      o.Status.Promised,
			Last:      o.Status.Last,
			Role:      o.Status.Role,
		})
	}
	return out
}
