package leader

import (
	"slices"
	"time"

	"skylarkdeal/core/fleet"
)

// Verdict is whether an answer of an instance came from the group's primary.
type Verdict string

// The verdicts on an answer.
const (
	// VerdictVerified lets the answer go to its caller.
	VerdictVerified Verdict = "proved"
	// VerdictAsk holds the answer back until other instances have reported that they are in the same
	// term.
	VerdictAsk Verdict = "ask"
	// VerdictRefuted means that another primary may have taken over already.
	VerdictRefuted Verdict = "refuted"
)

// VerifyAnswer returns what an answer that has just arrived from instance i needs before its caller
// may get it, the term in which i is the primary and, with VerdictAsk, the instances to ask.
// recordsCurrent is set if no promotion can have taken effect of which this host has no record.
//
// Guards against lost writes and stale reads of a primary that was replaced and has not noticed,
// because of a network partition or because the promotion has not reached it. If the
// records are current, only the instance that the last record names can be the primary beside the
// one that answered. Otherwise any other instance may be, so each of them has to be asked. A
// majority isn't enough, as a promotion needs no majority. The log position that comes with every
// answer isn't enough either: a promotion on a prepared machine writes no log entry.
func (p *PrimaryState) VerifyAnswer(
	i fleet.Instance, recordsCurrent bool, others []fleet.Instance,
) (Verdict, fleet.Term, []fleet.Instance) {
	if i == p.primary && p.confirmed {
		if recordsCurrent {
			return VerdictVerified, p.term, nil
		}
		return VerdictAsk, p.term, others
	}
	if i != p.former || p.confirmed {
		return VerdictRefuted, 0, nil
	}
	if recordsCurrent {
		return VerdictAsk, p.formerTerm, []fleet.Instance{p.primary}
	}
	if !slices.Contains(others, p.primary) {
		// The instance that the last record names may be the primary although it isn't in the list.
		others = append(others, p.primary)
	}
	return VerdictAsk, p.formerTerm, others
}

// PendingAnswer is an answer that is pending verification.
type PendingAnswer struct {
	// Key identifies the answer for the caller of Add.
	Key      uint64
	Instance fleet.Instance
	Term     fleet.Term
	// ReceivedAt is when the answer arrived, Deadline when its verification must be complete.
	ReceivedAt, Deadline time.Time

	missing []fleet.Instance
}

// PendingAnswers are the answers that are pending verification. The zero PendingAnswers holds none.
type PendingAnswers struct {
	pending []PendingAnswer
}

// Add stores the answer until every instance in others has reported the answer's term in response to a
// request that was sent no earlier than answer.ReceivedAt.
func (p *PendingAnswers) Add(answer PendingAnswer, others []fleet.Instance) {
	answer.missing = slices.Clone(others)
	p.pending = append(p.pending, answer)
}

// AddStatus adds the status of instance i, which was asked for at askedAt and gives term as its
// term. It returns the answers that are now verified and those that are refuted. An earlier term does
// neither: an instance that has led a later one, and has started anew since, knows of none.
func (p *PendingAnswers) AddStatus(
	i fleet.Instance, askedAt time.Time, term fleet.Term,
) (verified, refuted []PendingAnswer) {
	kept := p.pending[:0]
	for _, a := range p.pending {
		n := slices.Index(a.missing, i)
		switch {
		case n < 0 || askedAt.Before(a.ReceivedAt) || term < a.Term:
			kept = append(kept, a)
		case term > a.Term:
			refuted = append(refuted, a)
		default:
			a.missing = slices.Delete(a.missing, n, n+1)
			if len(a.missing) == 0 {
				verified = append(verified, a)
				continue
			}
			kept = append(kept, a)
		}
	}
	p.pending = kept
	return verified, refuted
}

// Expire removes and returns the answers whose deadline has passed.
func (p *PendingAnswers) Expire(now time.Time) []PendingAnswer {
	var expired []PendingAnswer
	p.pending = slices.DeleteFunc(p.pending, func(c PendingAnswer) bool {
		late := now.After(c.Deadline)
		if late {
			expired = append(expired, c)
		}
		return late
	})
	return expired
}

// Awaited returns the instances whose status is still missing, each with the time from which on its
// status has to be asked for.
func (p *PendingAnswers) Awaited() map[fleet.Instance]time.Time {
	if len(p.pending) == 0 {
		return nil
	}
	askAfter := map[fleet.Instance]time.Time{}
	for _, a := range p.pending {
		for _, i := range a.missing {
			if a.ReceivedAt.After(askAfter[i]) {
				askAfter[i] = a.ReceivedAt
			}
		}
	}
	return askAfter
}

// Len returns the number of pending answers.
func (p *PendingAnswers) Len() int { return len(p.pending) }

// LeaseValidity is how long a renewed registration proves that no unknown promotion has taken
// effect. The platform takes 1 s to carry out a promotion. The remaining 0.3 s are for a host that
// is slow between reading its clock and writing the answer.
const LeaseValidity = 700 * time.Millisecond

// Lease is what a host knows about its registration in the platform's store. The host that requests
// a promotion first ends the registrations of all other hosts, so that a successful renewal proves
// that no promotion was requested before the renewal was sent.
type Lease struct {
	renewalSent time.Time
	// lastRenewalSent is renewalSent, kept after the registration has ended.
	lastRenewalSent time.Time
}

// Renewed notes a successful renewal that was sent at sent.
func (l *Lease) Renewed(sent time.Time) {
	if sent.After(l.renewalSent) {
		l.renewalSent = sent
	}
	if sent.After(l.lastRenewalSent) {
		l.lastRenewalSent = sent
	}
}

// Until returns the time up to which no promotion can have taken effect that wasn't known at the
// last renewal. It stays valid when the registration has ended, because a promotion that is
// requested after that takes its time too.
func (l *Lease) Until() time.Time {
	if l.lastRenewalSent.IsZero() {
		return time.Time{}
	}
	return l.lastRenewalSent.Add(LeaseValidity)
}

// StoreSilentAfter is how long after the sending of the last successful renewal the store counts as
// silent. The next renewal is sent 0.3 s after it, and a healthy store answers within a few
// milliseconds.
const StoreSilentAfter = 450 * time.Millisecond

// StoreSilent reports whether the store has left renewals unanswered. It may just be slow.
func (l *Lease) StoreSilent(now time.Time) bool { return now.Sub(l.lastRenewalSent) > StoreSilentAfter }

// Lost notes that the registration has ended.
func (l *Lease) Lost() { l.renewalSent = time.Time{} }

// RecordsCurrent reports whether no promotion can have taken effect that this host doesn't know of.
func (l *Lease) RecordsCurrent(now time.Time) bool {
	return !l.renewalSent.IsZero() && now.Before(l.renewalSent.Add(LeaseValidity))
}
