package relay

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
)

// State is what a relay knows and does, for the state dump.
type State struct {
	Catalog  catalog.Version `json:"catalog"`
	Sessions int             `json:"sessions"`
	// RecordsCurrent tells that no change of primary can have taken effect unknown to this host.
	RecordsCurrent bool `json:"certain"`
	Coordinator    bool `json:"duty"`
	CutOff         bool `json:"cut-off"`
	Drains         bool `json:"drains"`
	Hosts          int  `json:"hosts"`
	// Evacuated are the data centres whose instances are left alone.
	Evacuated []fleet.DataCentre `json:"evacuated,omitempty"`
	Peers     []fleet.Host       `json:"peers"`
	Counts    Counters           `json:"counts"`
	Groups    []GroupState       `json:"groups"`
}

// GroupState is what a relay knows of one service's instances.
type GroupState struct {
	Service      fleet.Service  `json:"service"`
	Primary      fleet.Instance `json:"primary"`
	Term         fleet.Term     `json:"term"`
	PrimaryKnown bool           `json:"settled"`
	// UnavailableReason says why the primary can't answer, empty if it can.
	UnavailableReason   string          `json:"unable,omitempty"`
	Waiting             int             `json:"waiting"`
	Running             int             `json:"running"`
	PendingVerification int             `json:"unproven"`
	SampleAge           time.Duration   `json:"sample-age"`
	Instances           []InstanceState `json:"instances"`
}

// InstanceState is what a relay knows of one instance.
type InstanceState struct {
	Instance    fleet.Instance    `json:"instance"`
	Position    fleet.LogPosition `json:"point"`
	Leaving     bool              `json:"leaving"`
	Removed     bool              `json:"gone"`
	Suspected   bool              `json:"doubtful"`
	Holder      fleet.Host        `json:"holder,omitempty"`
	Connections int               `json:"connections"`
	Work        time.Duration     `json:"work"`
	Silent      time.Duration     `json:"silent"`
}

// State returns what the relay knows and does now.
func (r *Relay) State() State {
	now := r.now()
	s := State{
		Sessions: len(r.sessions), RecordsCurrent: r.lease.RecordsCurrent(now), Coordinator: r.duty.holds, CutOff: r.CutOff(),
		Drains: r.drain.started, Hosts: r.hostCount, Counts: r.counters,
	}
	if r.catalog != nil {
		s.Catalog = r.catalog.Version
	}
	s.Evacuated = slices.Sorted(maps.Keys(r.evacuated))
	for _, p := range r.forwarding.peers {
		s.Peers = append(s.Peers, p.Host)
	}
	for _, g := range r.groups {
		s.Groups = append(s.Groups, g.state(now))
	}
	slices.Sort(s.Peers)
	slices.SortFunc(s.Groups, func(a, b GroupState) int { return cmp.Compare(a.Service, b.Service) })
	return s
}

func (g *group) state(now time.Time) GroupState {
	s := GroupState{
		Service: g.name, UnavailableReason: g.able(now), Waiting: len(g.waiting), Running: len(g.running),
		PendingVerification: g.proofs.Len(),
	}
	s.Primary, s.Term, s.PrimaryKnown = g.belief.Primary()
	if n, ok := g.samples.Newest(); ok {
		s.SampleAge = now.Sub(n.AskedAt)
	}
	for _, i := range g.instances {
		p, _ := g.r.holder(i)
		s.Instances = append(s.Instances, InstanceState{
			Instance: i.info.Name, Position: i.point, Leaving: i.info.Leaving, Removed: i.gone, Suspected: i.doubtful(now),
			Holder: p.Host, Connections: len(i.conns), Work: i.work, Silent: now.Sub(i.lastHeard),
		})
	}
	slices.SortFunc(s.Instances, func(a, b InstanceState) int { return cmp.Compare(a.Instance, b.Instance) })
	return s
}
