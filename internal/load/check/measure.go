package check

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"skylarkdeal/core/fleet"
)

// Measures is how well callers were served.
type Measures struct {
	// ReplicaShare is the part of the answered reads that replicas served, -1
	// when no answer told.
	ReplicaShare float64 `json:"replica-share"`
	Reads        int     `json:"reads"`
	Writes       int     `json:"writes"`
	Unknown      int     `json:"unknown"`
	// WrongfulRefusals counts, by SQLSTATE, statements that were refused although
	// the account had not had its rate and burst over the whole fleet.
	WrongfulRefusals map[string]int `json:"wrongful-refusals"`
	// RightfulRefusals counts the others.
	RightfulRefusals int       `json:"rightful-refusals"`
	Failovers        []Gap     `json:"failovers"`
	Accounts         []Account `json:"accounts"`
}

// Gap is one change of primary as writers see it.
type Gap struct {
	Service fleet.Service `json:"service"`
	At      time.Duration `json:"at"`
	// Gap is the time from the last acknowledgement in the old term to the
	// first in the new one.
	Gap time.Duration `json:"gap"`
	To  fleet.Term    `json:"to"`
}

// Account is how one account was served.
type Account struct {
	Service fleet.Service `json:"service"`
	Account fleet.Account `json:"account"`
	// Demanded counts statements, Within those of them that a perfect bucket
	// would have admitted, Served those that were answered.
	Demanded int `json:"demanded"`
	Within   int `json:"within"`
	Served   int `json:"served"`
	// Share is Served ÷ Within, at most 1.
	Share float64 `json:"share"`
	// P50 and P99 are of served operations, from the time they were due.
	P50 time.Duration `json:"p50"`
	P99 time.Duration `json:"p99"`
}

// Worst returns the worst-served account: the least share, then the highest
// P99.
func (m Measures) Worst() (Account, bool) {
	if len(m.Accounts) == 0 {
		return Account{}, false
	}
	return slices.MinFunc(m.Accounts, func(a, b Account) int {
		return cmp.Or(cmp.Compare(a.Share, b.Share), cmp.Compare(b.P99, a.P99))
	}), true
}

// Measure works out the measures of a run.
func Measure(r Record) Measures {
	m := Measures{ReplicaShare: -1, WrongfulRefusals: map[string]int{}}
	told, replicas := 0, 0
	for _, o := range r.Ops {
		switch {
		case o.Outcome == OutcomeUnknown:
			m.Unknown++
		case o.Outcome != OutcomeOK:
		case o.Kind.Read():
			m.Reads++
			if o.Role != "" {
				told++
			}
			if o.Role == fleet.RoleReplica {
				replicas++
			}
		default:
			m.Writes++
		}
	}
	if told > 0 {
		m.ReplicaShare = float64(replicas) / float64(told)
	}
	m.Failovers = gaps(r.Ops)
	m.accounts(r)
	return m
}

func gaps(ops []Op) []Gap {
	var all []Gap
	for s, a := range acknowledged(ops) {
		slices.SortFunc(a, func(a, b Op) int { return cmp.Compare(a.Answered, b.Answered) })
		for n := 1; n < len(a); n++ {
			if a[n].Term > a[n-1].Term {
				all = append(all, Gap{Service: s, At: a[n].Answered, Gap: a[n].Answered - a[n-1].Answered, To: a[n].Term})
			}
		}
	}
	slices.SortFunc(all, func(a, b Gap) int { return cmp.Compare(a.At, b.At) })
	return all
}

// The range of recorded latencies.
const (
	leastLatency  = int64(time.Microsecond)
	mostLatency   = int64(10 * time.Minute)
	latencyDigits = 3
)

func (m *Measures) accounts(r Record) {
	byAccount := map[AccountID][]Op{}
	for _, o := range r.Ops {
		byAccount[o.account()] = append(byAccount[o.account()], o)
	}
	for id, ops := range byAccount {
		a := Account{Service: id.Service, Account: id.Account}
		h := hdrhistogram.New(leastLatency, mostLatency, latencyDigits)
		var all []Statement
		for _, o := range ops {
			all = append(all, o.Statements...)
			if o.Outcome == OutcomeOK {
				_ = h.RecordValue(min(max(int64(o.Answered-o.Intended), leastLatency), mostLatency))
			}
		}
		m.bucket(&a, all, r.Limits[id])
		a.P50, a.P99 = time.Duration(h.ValueAtQuantile(50)), time.Duration(h.ValueAtQuantile(99))
		m.Accounts = append(m.Accounts, a)
	}
	slices.SortFunc(m.Accounts, func(a, b Account) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Account, b.Account))
	})
}

// bucket runs the statements, in the order in which they were sent, through two
// buckets that begin full.
//
// The perfect one admits by itself, and tells how much of the demand was within
// the limit. The other one is charged with what was in fact admitted: a refusal
// while it holds a token is wrongful, and takes that token. Were refusals judged
// by the perfect one, an account that asks for several times its rate would show
// wrongful ones whenever the hosts admit the same number at other moments.
func (m *Measures) bucket(a *Account, all []Statement, l Limit) {
	slices.SortFunc(all, func(a, b Statement) int { return cmp.Compare(a.Sent, b.Sent) })
	perfect, actual, last := l.Burst, l.Burst, time.Duration(0)
	for _, s := range all {
		grown := l.Rate * (s.Sent - last).Seconds()
		perfect, actual, last = min(l.Burst, perfect+grown), min(l.Burst, actual+grown), s.Sent
		a.Demanded++
		if perfect >= 1 {
			perfect--
			a.Within++
		}
		switch {
		case s.Unsent:
		case s.Code == "":
			actual--
			if !s.Unknown {
				a.Served++
			}
		case actual >= 1:
			actual--
			m.WrongfulRefusals[s.Code]++
		default:
			m.RightfulRefusals++
		}
	}
	a.Share = 1
	if a.Within > 0 {
		a.Share = min(1, float64(a.Served)/float64(a.Within))
	}
}
