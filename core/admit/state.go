package admit

import (
	"slices"
	"strings"
	"time"

	"skylarkdeal/core/fleet"
)

// State is the part of a state dump that describes a queue.
type State struct {
	Limits   Limits         `json:"limits"`
	Waiting  int            `json:"waiting"`
	Pinned   int            `json:"pinned"`
	Running  int            `json:"running"`
	Long     int            `json:"running-long"`
	Refused  int            `json:"refused"`
	Backlog  time.Duration  `json:"backlog"`
	Accounts []AccountState `json:"accounts"`
}

// AccountState is the state of one account in a queue.
type AccountState struct {
	Account fleet.Account `json:"account"`
	Weight  float64       `json:"weight"`
	Waiting int           `json:"waiting"`
	Running int           `json:"running"`
	Backlog time.Duration `json:"backlog"`
}

// State returns the queue's state.
func (q *Queue) State() State {
	s := State{
		Limits: q.limits(), Waiting: q.waiting, Pinned: len(q.pinned), Running: len(q.running),
		Long: q.long, Refused: q.refused, Backlog: q.backlog[laneWrite] + q.backlog[laneRead],
	}
	for _, a := range q.accounts {
		backlog := a.backlog[laneWrite] + a.backlog[laneRead]
		s.Accounts = append(s.Accounts, AccountState{a.name, a.weight, a.len(), a.running, backlog})
	}
	slices.SortFunc(s.Accounts, func(a, b AccountState) int {
		return strings.Compare(string(a.Account), string(b.Account))
	})
	return s
}
