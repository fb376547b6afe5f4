package group

import (
	"time"

	"skylarkdeal/core/fleet"
)

// View is the state of a group's instances as one host reports it to another.
type View struct {
	Host       fleet.Host       `json:"host"`
	DataCentre fleet.DataCentre `json:"data-centre"`
	// At is when the host was asked for the view.
	At        time.Time      `json:"at"`
	Instances []InstanceView `json:"instances"`
}

// InstanceView is the state of one instance in a View.
type InstanceView struct {
	Instance fleet.Instance `json:"instance"`
	// Reachable is set if the host has a recent status of the instance and no request
	// to it has been pending for long.
	Reachable bool `json:"reachable"`
	// Silent is how long the instance has left a request unanswered.
	Silent time.Duration     `json:"silent"`
	Term   fleet.Term        `json:"term"`
	Last   fleet.LogPosition `json:"last"`
	Role   fleet.Role        `json:"role"`
}

// maxViewAge is the maximum age of the status by which a host reports an instance as
// reachable. With an older one it reports neither, and polls the instance.
const maxViewAge = 400 * time.Millisecond

// Views returns this host's view of the instances, for another host that asks for it.
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
