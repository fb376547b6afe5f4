package relay

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/follow"
)

// State is a snapshot of a Relay, for the state dump.
type State struct {
	Catalog  catalog.Version `json:"catalog"`
	Sessions int             `json:"sessions"`
	// RecordsCurrent is set if no promotion can have taken effect that this host has no record of.
	RecordsCurrent bool `json:"certain"`
	// Coordinator is set if this host is the failover coordinator.
	Coordinator bool `json:"duty"`
	CutOff      bool `json:"cut-off"`
	// CatalogOutdated is why the host must not act by its catalog, empty if it may.
	CatalogOutdated follow.OutdatedReason `json:"catalog-outdated,omitempty"`
	Draining        bool                  `json:"drains"`
	Hosts           int                   `json:"hosts"`
	// ActiveGroups counts the groups that are ticked.
	ActiveGroups int `json:"active-groups"`
	// Evacuated are the data centres whose instances get no new operations.
	Evacuated []fleet.DataCentre `json:"evacuated,omitempty"`
	Peers     []fleet.Host       `json:"peers"`
	Counts    Counters           `json:"counts"`
	Groups    []GroupState       `json:"groups"`
}

// GroupState is a snapshot of one service's group.
type GroupState struct {
	Service      fleet.Service  `json:"service"`
	Primary      fleet.Instance `json:"primary"`
	Term         fleet.Term     `json:"term"`
	PrimaryKnown bool           `json:"settled"`
	// Used is set if an operation or a session has used the group lately. The primary of any other group isn't
	// known here, except to the failover coordinator.
	Used bool `json:"used"`
	// UnavailableReason is why the primary can't serve, empty if it can.
	UnavailableReason string `json:"unable,omitempty"`
	Waiting           int    `json:"waiting"`
	// WaitingByPriority are those of the waiting operations that no transaction's connection waits for.
	WaitingByPriority   map[fleet.Priority]int `json:"waiting-by-priority,omitempty"`
	Running             int                    `json:"running"`
	PendingVerification int                    `json:"unproven"`
	// RetriesLeft is what is left of the retry budget.
	RetriesLeft float64 `json:"retries-left"`
	// Reserved is for how long refused callers have been given the group's capacity.
	Reserved  time.Duration   `json:"reserved,omitempty"`
	SampleAge time.Duration   `json:"sample-age"`
	Instances []InstanceState `json:"instances"`
}

// InstanceState is a snapshot of one instance. Holder is empty if this host uses its own connections.
type InstanceState struct {
	Instance    fleet.Instance    `json:"instance"`
	Position    fleet.LogPosition `json:"point"`
	Leaving     bool              `json:"leaving"`
	Removed     bool              `json:"gone"`
	Suspected   bool              `json:"doubtful"`
	Holder      fleet.Host        `json:"holder,omitempty"`
	Connections int               `json:"connections"`
	// IdleTransactions is how many of the connections have an open transaction and no statement in progress.
	IdleTransactions int           `json:"idle-transactions"`
	AvgLatency       time.Duration `json:"work"`
	// HolderWait is the expected wait at the holder for the default priority, as it has reported.
	HolderWait time.Duration `json:"holder-wait,omitempty"`
	SilentFor  time.Duration `json:"silent"`
	// Limit is how many statements of the host's own connections it may have at a time, zero for no limit.
	Limit int `json:"limit,omitempty"`
	// Ejected is set while this host has ejected the instance, Avoided while it sends it nothing that
	// another one can run, by its own decision or those of other hosts.
	Ejected     bool    `json:"ejected,omitempty"`
	Avoided     bool    `json:"avoided,omitempty"`
	FailureRate float64 `json:"failure-rate,omitempty"`
}

// State returns a snapshot of the relay, with peers, groups and instances in the order of their names.
func (r *Relay) State() State {
	now := r.now()
	s := State{
		Sessions: len(r.sessions), RecordsCurrent: r.lease.RecordsCurrent(now), Coordinator: r.duty.active,
		CutOff: r.CutOff(), CatalogOutdated: r.catalogOutdated, Draining: r.drain.started,
		Hosts: r.hostCount, ActiveGroups: len(r.active), Counts: r.counters,
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

// state returns a snapshot of the group.
func (g *group) state(now time.Time) GroupState {
	s := GroupState{
		Service: g.name, UnavailableReason: g.unavailableReason(now), Waiting: len(g.waiting), Running: len(g.running),
		PendingVerification: g.pendingAnswers.Len(), Reserved: g.pacer.Reserved(now),
		Used: g.isUsed(now), RetriesLeft: g.retryBudget.Left(), WaitingByPriority: g.queue.WaitingByPriority(),
	}
	s.Primary, s.Term, s.PrimaryKnown = g.primaryState.Primary()
	if n, ok := g.samples.Newest(); ok {
		s.SampleAge = now.Sub(n.AskedAt)
	}
	for _, i := range g.instances {
		p, _ := g.r.holder(i)
		s.Instances = append(s.Instances, InstanceState{
			Instance: i.info.Name, Position: i.position, Leaving: i.info.Leaving, Removed: i.removed,
			Suspected: i.suspected(now), Holder: p.Host, Connections: len(i.conns), AvgLatency: i.avgLatency,
			SilentFor: now.Sub(i.lastHeard), IdleTransactions: i.idleTxs(), Limit: i.stateLimit(now),
			HolderWait: g.holderWait(now, p.Host, fleet.DefaultPriority),
			Ejected:    i.outlier.Ejected(), Avoided: i.outlier.Avoided(),
			FailureRate: i.outlier.Rate(),
		})
	}
	slices.SortFunc(s.Instances, func(a, b InstanceState) int { return cmp.Compare(a.Instance, b.Instance) })
	return s
}
