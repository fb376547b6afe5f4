package leader

import (
	"slices"
	"time"

	"skylarkdeal/core/fleet"
)

// Verdict says whether an answer of an instance came from the group's primary.
type Verdict string

// The verdicts on an answer.
const (
	// VerdictVerified lets the answer go to its caller.
	VerdictVerified Verdict = "proved"
	// VerdictAsk holds it until other instances have said that they lead no later term.
	VerdictAsk Verdict = "ask"
	// VerdictRefuted means that another primary may have been at work already.
	VerdictRefuted Verdict = "refuted"
)

// VerifyAnswer says what an answer of i, that has just come, needs before it may be given, and
// the term that i led in. certain tells that no order can have taken effect that this
// host has no record of.
//
// The guard is against a primary that was replaced and doesn't know it, on the far side
// of a cut or before the order reaches it: its writes are lost and its reads are old.
// With certain records only the instance that the last record names can lead beside
// the one that answered. Without them any other instance may, so each has to be asked;
// a majority isn't enough, as a promotion needs no majority. Nor is the position that
// comes with every answer: a promotion writes no entry.
func (b *PrimaryState) VerifyAnswer(
	i fleet.Instance, certain bool, others []fleet.Instance,
) (Verdict, fleet.Term, []fleet.Instance) {
	if i == b.primary && b.settled {
		if certain {
			return VerdictVerified, b.term, nil
		}
		return VerdictAsk, b.term, others
	}
	if i != b.former || b.settled {
		return VerdictRefuted, 0, nil
	}
	if certain {
		return VerdictAsk, b.formerTerm, []fleet.Instance{b.primary}
	}
	if !slices.Contains(others, b.primary) {
		// The one that the last order named may lead although it is off the list.
		others = append(others, b.primary)
	}
	return VerdictAsk, b.formerTerm, others
}

// PendingAnswer is an answer that waits for its proof.
type PendingAnswer struct {
	// Key names the answer to whoever holds it.
	Key      uint64
	Instance fleet.Instance
	Term     fleet.Term
	// At is when the answer came, Deadline how long its proof may take.
	At, Deadline time.Time

	missing []fleet.Instance
}

// PendingAnswers are the claims that wait. The zero PendingAnswers holds none.
type PendingAnswers struct {
	waiting []PendingAnswer
}

// Add has c wait for an answer of each of others that was asked for after c.At.
func (p *PendingAnswers) Add(c PendingAnswer, others []fleet.Instance) {
	c.missing = slices.Clone(others)
	p.waiting = append(p.waiting, c)
}

// AddStatus takes in that i, asked at some moment, has said to be in term t. It returns
// the claims that are proved by it and those that are refuted.
func (p *PendingAnswers) AddStatus(i fleet.Instance, asked time.Time, t fleet.Term) (proved, refuted []PendingAnswer) {
	kept := p.waiting[:0]
	for _, c := range p.waiting {
		n := slices.Index(c.missing, i)
		switch {
		case n < 0 || asked.Before(c.At):
			kept = append(kept, c)
		case t > c.Term:
			refuted = append(refuted, c)
		default:
			c.missing = slices.Delete(c.missing, n, n+1)
			if len(c.missing) == 0 {
				proved = append(proved, c)
				continue
			}
			kept = append(kept, c)
		}
	}
	p.waiting = kept
	return proved, refuted
}

// Expire returns the claims whose deadline has passed.
func (p *PendingAnswers) Expire(now time.Time) []PendingAnswer {
	var out []PendingAnswer
	p.waiting = slices.DeleteFunc(p.waiting, func(c PendingAnswer) bool {
		late := now.After(c.Deadline)
		if late {
			out = append(out, c)
		}
		return late
	})
	return out
}

// Awaited returns the instances whose answers are missing, each with the moment after
// which it has to be asked.
func (p *PendingAnswers) Awaited() map[fleet.Instance]time.Time {
	if len(p.waiting) == 0 {
		return nil
	}
	out := map[fleet.Instance]time.Time{}
	for _, c := range p.waiting {
		for _, i := range c.missing {
			if c.At.After(out[i]) {
				out[i] = c.At
			}
		}
	}
	return out
}

// Len returns how many claims wait.
func (p *PendingAnswers) Len() int { return len(p.waiting) }

// LeaseValidity is how long a renewed registration proves that no order has taken
// effect. The platform takes 1 s to carry one out; the rest is for a host that is slow
// between looking at its clock and writing the answer.
const LeaseValidity = 700 * time.Millisecond

// Lease is what a host knows of its registration in the platform's store. Whoever gives
// an order ends the registrations of all other hosts first, so that a renewal which
// has succeeded proves that no order was given before it was sent.
type Lease struct {
	sent time.Time
	// last is sent, also after the registration has ended.
	last time.Time
}

// Renewed takes in a renewal that was sent at some moment and has succeeded.
func (l *Lease) Renewed(sent time.Time) {
	if sent.After(l.sent) {
		l.sent = sent
	}
	if sent.After(l.last) {
		l.last = sent
	}
}

// Until returns the moment up to which no order can have taken effect that wasn't known at the
// last renewal. It holds on when the registration has ended: what is given after the end takes
// its time too.
func (l *Lease) Until() time.Time {
	if l.last.IsZero() {
		return time.Time{}
	}
	return l.last.Add(LeaseValidity)
}

// StoreSilentAfter is how long after a renewal that has succeeded was sent the store counts as silent: the
// next one is sent 0.3 s after it, and a store that is well answers in some ms.
const StoreSilentAfter = 450 * time.Millisecond

// StoreSilent reports whether the store has let renewals go unanswered. It may be slow.
func (l *Lease) StoreSilent(now time.Time) bool { return now.Sub(l.last) > StoreSilentAfter }

// Lost takes in that the registration has ended.
func (l *Lease) Lost() { l.sent = time.Time{} }

// RecordsCurrent reports whether no order that the host doesn't know of can have taken effect.
func (l *Lease) RecordsCurrent(now time.Time) bool {
	return !l.sent.IsZero() && now.Before(l.sent.Add(LeaseValidity))
}
