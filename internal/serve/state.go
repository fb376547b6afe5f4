package serve

import (
	"time"

	"skylarkdeal/core/fleet"
	"skylarkdeal/io/operator"
)

// HostState is what the state dump says of the host as a whole.
type HostState struct {
	Host       fleet.Host       `json:"host"`
	DataCentre fleet.DataCentre `json:"data-centre"`
	Epoch      uint64           `json:"epoch"`
	Now        time.Time        `json:"now"`
	Ready      bool             `json:"ready"`
	// Reason says why the host isn't ready.
	Reason string `json:"reason,omitempty"`
}

func (h *Host) state() HostState {
	s := HostState{
		Host:       h.settings.Host.Name,
		DataCentre: h.settings.Host.DataCentre,
		Epoch:      h.epoch,
		Now:        time.Now(),
		Ready:      true,
	}
	if err := h.ready(); err != nil {
		s.Ready, s.Reason = false, err.Error()
	}
	return s
}

// peersState is both directions of the inner protocol.
type peersState struct {
	Outbound any `json:"outbound"`
	Inbound  any `json:"inbound"`
}

func (h *Host) sections() []operator.Section {
	return []operator.Section{
		{Name: "host", Read: func() any { return h.state() }},
		{Name: "documents", Read: func() any { return h.spread.State() }},
		{Name: "members", Read: func() any { return h.members.State() }},
		{Name: "groups", Read: func() any { return h.holder.State() }},
		{Name: "grants", Read: func() any { return h.grants.State() }},
		{Name: "callers", Read: func() any { return h.callers.State() }},
		{Name: "peers", Read: func() any {
			return peersState{Outbound: h.peers.State(), Inbound: h.server.State()}
		}},
		{Name: "store", Read: func() any { return h.store.State() }},
		{Name: "decisions", Read: func() any { return h.journal.All() }},
	}
}
