package check

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"skylarkdeal/core/fleet"
)

// Invariant names what must always hold.
type Invariant string

// The invariants.
const (
	// OwnWork: a session reads all that it was told is written.
	OwnWork Invariant = "own-work"
	// NothingLost: an acknowledged write is in the log.
	NothingLost Invariant = "nothing-lost"
	// NothingDoubled: no write is in the log twice.
	NothingDoubled Invariant = "nothing-doubled"
	// NotRunIsTrue: what was refused as not run is not in the log.
	NotRunIsTrue Invariant = "not-run-is-true"
	// WithinRate: no window of time admits more than rate·w + burst.
	WithinRate Invariant = "within-rate"
	// OwnAnswer: each answer is whole, and that to its own request.
	OwnAnswer Invariant = "own-answer"
	// WithinAge: a read shows all that was acknowledged before its stated age.
	WithinAge Invariant = "within-age"
	// NoReplacedPrimary: once a term has acknowledged a write, no write sent
	// later is acknowledged in a lower term.
	NoReplacedPrimary Invariant = "no-replaced-primary"
)

// Invariants lists all invariants.
var Invariants = []Invariant{
	OwnWork, NothingLost, NothingDoubled, NotRunIsTrue, WithinRate, OwnAnswer, WithinAge, NoReplacedPrimary,
}

// Breach is one case in which an invariant didn't hold.
type Breach struct {
	Invariant Invariant     `json:"invariant"`
	Service   fleet.Service `json:"service"`
	Account   fleet.Account `json:"account"`
	At        time.Duration `json:"at"`
	Detail    string        `json:"detail"`
}

func breach(i Invariant, o Op, format string, args ...any) Breach {
	return Breach{Invariant: i, Service: o.Service, Account: o.Account, At: o.Answered,
		Detail: fmt.Sprintf(format, args...)}
}

// Check returns all breaches that the record proves. What the record leaves
// open, such as a write of unknown outcome, breaks nothing.
func Check(r Record) []Breach {
	ops := slices.Clone(r.Ops)
	slices.SortStableFunc(ops, func(a, b Op) int { return cmp.Compare(a.Sent, b.Sent) })
	var all []Breach
	all = append(all, ownWork(ops)...)
	all = append(all, applied(ops, r.Applied)...)
	all = append(all, answers(ops)...)
	all = append(all, ages(ops)...)
	all = append(all, terms(ops)...)
	return append(all, rates(ops, r.Limits)...)
}

// ownKey names a session's own key.
type ownKey struct {
	service fleet.Service
	session Session
	key     string
}

// ownWork goes through each session, whose operations never overlap.
func ownWork(ops []Op) []Breach {
	acked := map[ownKey]uint64{}
	possible := map[ownKey]fleet.Set[uint64]{}
	var all []Breach
	for _, o := range ops {
		k := ownKey{o.Service, o.Session, o.Key}
		switch {
		case o.Kind == KindWrite && (o.Outcome == OutcomeOK || o.Outcome == OutcomeUnknown):
			if possible[k] == nil {
				possible[k] = fleet.Set[uint64]{}
			}
			possible[k].Add(o.Number)
			if o.Outcome == OutcomeOK {
				acked[k] = o.Number
			}
		case o.Kind == KindOwn && o.Outcome == OutcomeOK:
			if o.Number < acked[k] {
				all = append(all, breach(OwnWork, o, "session %d read %d after %d was acknowledged",
					o.Session, o.Number, acked[k]))
			} else if o.Number != 0 && !possible[k].Has(o.Number) {
				all = append(all, breach(NotRunIsTrue, o, "session %d read %d, which was never said to be run",
					o.Session, o.Number))
			}
		}
	}
	return all
}

// applied compares what callers were told of their writes with the log.
func applied(ops []Op, logs map[fleet.Service]map[string]int) []Breach {
	var all []Breach
	for _, o := range ops {
		log, ok := logs[o.Service]
		if !ok || o.Kind != KindWrite {
			continue
		}
		n := log[o.ID]
		switch {
		case n > 1:
			all = append(all, breach(NothingDoubled, o, "%s is in the log %d times", o.ID, n))
		case n == 0 && o.Outcome == OutcomeOK:
			all = append(all, breach(NothingLost, o, "%s was acknowledged and is not in the log", o.ID))
		case n == 1 && o.Outcome != OutcomeOK && o.Outcome != OutcomeUnknown:
			all = append(all, breach(NotRunIsTrue, o, "%s was %s (%s) and is in the log", o.ID, o.Outcome, o.Code))
		}
	}
	return all
}

func answers(ops []Op) []Breach {
	var all []Breach
	for _, o := range ops {
		if o.Outcome == OutcomeOK && o.Got != o.Want {
			all = append(all, breach(OwnAnswer, o, "session %d: %s: got %q, want %q", o.Session, o.Kind, o.Got, o.Want))
		}
	}
	return all
}

// ages compares aged reads with the ticks acknowledged before their age. Every
// tick adds one, so that a read that shows fewer is older.
func ages(ops []Op) []Breach {
	ticks := map[fleet.Service][]time.Duration{}
	for _, o := range ops {
		if o.Kind == KindTick && o.Outcome == OutcomeOK {
			ticks[o.Service] = append(ticks[o.Service], o.Answered)
		}
	}
	for _, t := range ticks {
		slices.Sort(t)
	}
	var all []Breach
	for _, o := range ops {
		if o.Kind != KindAged || o.Outcome != OutcomeOK {
			continue
		}
		n, _ := slices.BinarySearch(ticks[o.Service], o.Sent-o.MaxAge)
		if o.Number < uint64(n) {
			all = append(all, breach(WithinAge, o, "read %d ticks; %d were acknowledged more than %s before",
				o.Number, n, o.MaxAge))
		}
	}
	return all
}

// acknowledged returns the writes that a primary has acknowledged, by service and
// in the order of ops.
func acknowledged(ops []Op) map[fleet.Service][]Op {
	acks := map[fleet.Service][]Op{}
	for _, o := range ops {
		if !o.Kind.Read() && o.Outcome == OutcomeOK && o.Term > 0 {
			acks[o.Service] = append(acks[o.Service], o)
		}
	}
	return acks
}

// terms looks for acknowledgements by a replaced primary.
func terms(ops []Op) []Breach {
	var all []Breach
	for _, a := range acknowledged(ops) {
		byAnswer := slices.SortedFunc(slices.Values(a), func(a, b Op) int { return cmp.Compare(a.Answered, b.Answered) })
		n, highest := 0, Op{}
		for _, o := range a { // in the order in which they were sent
			for ; n < len(byAnswer) && byAnswer[n].Answered < o.Sent; n++ {
				if byAnswer[n].Term > highest.Term {
					highest = byAnswer[n]
				}
			}
			if o.Term < highest.Term {
				all = append(all, breach(NoReplacedPrimary, o, "acknowledged in term %d, sent %s after an answer in term %d",
					o.Term, o.Sent-highest.Answered, highest.Term))
			}
		}
	}
	return all
}
