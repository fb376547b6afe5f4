package admit

import (
	"maps"
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
	Classes  []ClassState   `json:"classes"`
	Backlog  time.Duration  `json:"backlog"`
	Accounts []AccountState `json:"accounts"`
}

// ClassState is the state of one priority in a queue.
type ClassState struct {
	Priority fleet.Priority `json:"priority"`
	Waiting  int            `json:"waiting"`
	Refused  int            `json:"refused"`
	Backlog  time.Duration  `json:"backlog"`
	// Credit is the slot time that the class may start before more urgent ones.
	Credit time.Duration `json:"credit"`
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
		Long: q.long, Backlog: q.backlog[laneWrite] + q.backlog[laneRead],
	}
	accounts := map[fleet.Account]AccountState{}
	for p, c := range q.classes {
		s.Refused += q.refused[p]
		if c == nil {
			continue
		}
		s.Classes = append(s.Classes, ClassState{
			Priority: c.priority, Waiting: c.waiting, Refused: q.refused[p],
			Backlog: c.backlog[laneWrite] + c.backlog[laneRead], Credit: c.credit[laneWrite] + c.credit[laneRead],
		})
		for _, a := range c.accounts {
			t := accounts[a.name]
			t.Account, t.Weight = a.name, a.weight
			t.Waiting += a.len()
			t.Running += a.running
			t.Backlog += a.backlog[laneWrite] + a.backlog[laneRead]
			accounts[a.name] = t
		}
	}
	s.Accounts = slices.SortedFunc(maps.Values(accounts), func(a, b AccountState) int {
		return strings.Compare(string(a.Account), string(b.Account))
	})
	return s
}

// WaitingByPriority returns how many items of each priority wait, those of open
// transactions apart. Priorities without any are absent.
func (q *Queue) WaitingByPriority() map[fleet.Priority]int {
	out := map[fleet.Priority]int{}
	for _, c := range q.classes {
		if c != nil && c.waiting > 0 {
			out[c.priority] = c.waiting
		}
	}
	return out
}
