package leader

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/syncrep"
)

// InstanceInfo is what the failover coordinator knows about one instance of a group.
type InstanceInfo struct {
	Name fleet.Instance
	// Leaving is set when the instance is about to shut down or is to receive no more requests,
	// Gone when it has ended.
	Leaving, Gone bool
	// Cold is set while the instance is slow after its start, OutsideRegion where it may not serve
	// all databases of the service.
	Cold, OutsideRegion bool
	// Reachable is set when the instance has answered this host's last status request.
	Reachable bool
	// IsPrimary is set when the instance has recently reported that it is a primary. Term is the term that it
	// reported.
	IsPrimary bool
	Term      fleet.Term
	// UnreachableFrom is the number of hosts that can't reach the instance, this host included.
	// ReachableFrom is the number of hosts that have received a response from it although others
	// can't reach it. UnreachableFor is how long at least one host has been unable to reach it.
	UnreachableFrom, ReachableFrom int
	UnreachableFor                 time.Duration
	// EjectedFrom is the number of hosts that eject it because it responds but fails.
	EjectedFrom int
	// Behind is set unless its log is known to cover what the primary had some time ago. It matters only
	// where the primary that is replaced still responds.
	Behind bool
	// Received is the end of the instance's log according to its last status report.
	Received fleet.LogPosition
	// Held is set if it receives nothing from a primary until a promotion, Unholdable if it rejects the request
	// for that.
	Held, Unholdable bool
}

// GroupStatus is the input of a decision about a group's primary.
type GroupStatus struct {
	Now       time.Time
	Instances []InstanceInfo
	// Since is the later of two times: when the last record became known, if there is one, and from
	// when on the group has had no confirmed primary.
	Since time.Time
	// SyncReplicas is how many replicas have to receive a commit before it is acknowledged.
	SyncReplicas int
	// Departed are former instances whose logs may have acknowledged commits that no listed one has. Name is that
	// of the former instance; the rest is what its successor with the same log has reported, if there is one.
	Departed []InstanceInfo
	// OwnRequest is set if this process itself has requested the promotion of the last record, and has asked the instances
	// since then.
	OwnRequest bool
	// HeldFor is the instance for which others are being held back. It stays the candidate while it may still be
	// receiving what they have.
	HeldFor fleet.Instance
	// EjectionsNeeded is how many hosts have to eject the primary for it to be replaced, zero while it must
	// not be replaced for that.
	EjectionsNeeded int
}

// Reason is the reason for replacing a primary.
type Reason string

// The reasons for a promotion request.
const (
	ReasonLeaving     Reason = "the primary is leaving"
	ReasonGone        Reason = "the primary has gone"
	ReasonUnreachable Reason = "too few hosts can reach the primary"
	ReasonNoPrimary   Reason = "no instance leads"
	ReasonEjected     Reason = "the primary responds but fails"
	// ReasonAlreadyPrimary changes only the record: no request is sent to the platform.
	ReasonAlreadyPrimary Reason = "the instance led already"
)

// PromotionRequest is a change of primary to be made.
type PromotionRequest struct {
	Service fleet.Service
	Primary fleet.Instance
	Former  fleet.Instance
	// Term is the lowest term that the promotion can start.
	Term   fleet.Term
	Reason Reason
	// BaseRevision is the revision of the record that the decision was based on. If the record has
	// changed, another host has decided in the meantime.
	BaseRevision uint64
	// Waiting is how many operations wait for the group on the host that requests the promotion, MissedBy how many
	// hosts can't reach the former primary. Where the platform takes few promotions at a time, they tell which of
	// them come first.
	Waiting, MissedBy int
}

const (
	// promotionTimeout is how long a promotion may take to show effect before another is requested:
	// twice the time that the platform takes. Two promotions in progress at once would make two
	// instances the primary, one after the other.
	promotionTimeout = 2500 * time.Millisecond
	// suspicionTimeout is how long the other hosts have to check an instance that is suspected:
	// long enough for a new connection and a report.
	suspicionTimeout = 150 * time.Millisecond
	// confirmAfter is how long the host waits after the platform has accepted a promotion request.
	// An instance that is still primary in its old term then was the primary already, and the
	// platform changed nothing. It is longer than the platform takes for a promotion.
	confirmAfter = 1600 * time.Millisecond
	// noPrimaryTimeout is how long a group may be without a confirmed primary when no promotion was
	// requested. At the start the instances have to be found first.
	noPrimaryTimeout = 3 * time.Second
)

// Decision is what a group needs for its next primary.
type Decision struct {
	// Request is the promotion to be requested, if Ready is set.
	Request PromotionRequest
	Ready   bool
	// Hold are the instances that have to be held back before, at Request.Term.
	Hold []fleet.Instance
	// Missing are the instances that stand in the way of the preferred candidate while there is none that may lead:
	// their logs may have acknowledged commits that it lacks, or they may be in a later term.
	Missing map[fleet.Instance]syncrep.Obstacle
}

// Decide returns the promotion request that a group needs now, if any, and what it has to wait for.
//
// Designed for a primary that has died or is cut off, which nothing announces, and for one that is
// leaving. Waiting too long leaves the group without writes. A premature promotion holds up callers
// for a tenth of a second and, if replicas lag, loses the last writes. So at least half of the
// hosts that have reported must be unable to reach the primary, and all hosts get the time to
// check: one broken link replaces no primary.
func (p *PrimaryState) Decide(status GroupStatus) Decision {
	reason, ok := p.promotionReason(status)
	if !ok {
		return Decision{}
	}
	best, v, ok := p.safeCandidate(status, reason)
	if !ok {
		return Decision{Missing: v.Missing}
	}
	req := PromotionRequest{
		Primary: best.Name, Former: p.primary, Reason: reason, Term: p.LastTerm() + 1, BaseRevision: p.record.Revision,
	}
	if !p.confirmed && p.former != "" {
		req.Former = p.former
	}
	if p.isPending(best) {
		// The term of the record hasn't begun.
		req.Term = p.record.Term
	}
	for _, inst := range status.Instances {
		req.Term = max(req.Term, inst.Term+1)
	}
	return Decision{Request: req, Ready: v.Safe(), Hold: v.Hold}
}

// NeedsPromotion reports whether the group needs another primary, even if there is no candidate.
func (p *PrimaryState) NeedsPromotion(status GroupStatus) bool {
	_, ok := p.promotionReason(status)
	return ok
}

func (p *PrimaryState) promotionReason(status GroupStatus) (Reason, bool) {
	if !p.confirmed {
		timeout := noPrimaryTimeout
		if p.record.Revision != 0 {
			timeout = promotionTimeout
		}
		return ReasonNoPrimary, status.Now.Sub(status.Since) > timeout
	}
	for _, inst := range status.Instances {
		if inst.Name != p.primary {
			continue
		}
		switch {
		case inst.Gone:
			return ReasonGone, true
		case inst.Leaving:
			return ReasonLeaving, true
		case inst.isUnreachable():
			return ReasonUnreachable, true
		case status.EjectionsNeeded > 0 && inst.EjectedFrom >= status.EjectionsNeeded:
			return ReasonEjected, true
		}
		return "", false
	}
	return ReasonGone, true
}

// isUnreachable reports whether at least half of the hosts that have reported can't reach the
// instance, and have had the time to check.
func (i InstanceInfo) isUnreachable() bool {
	return i.UnreachableFrom > 0 && i.UnreachableFrom >= i.ReachableFrom && i.UnreachableFor > suspicionTimeout
}

// safeCandidate returns the preferred instance that has, or will have once others are held back, all acknowledged
// commits. If there is none, it returns what stands in the way of the most preferred one.
//
// Where replicas are synchronous, an instance that is leaving is promoted rather than to lose acknowledged commits
// that only its log has. It receives, and confirms, until it ends, and is replaced once another one has its log.
func (p *PrimaryState) safeCandidate(status GroupStatus, reason Reason) (InstanceInfo, syncrep.Verdict, bool) {
	candidates := p.candidates(status, reason)
	if len(candidates) == 0 {
		return InstanceInfo{}, syncrep.Verdict{}, false
	}
	if n := slices.IndexFunc(candidates, p.isPending); n >= 0 {
		candidates = candidates[n : n+1]
	}
	if status.SyncReplicas == 0 {
		best := candidates[0]
		awaited := p.mayReturnInLaterTerm(status, best)
		return best, syncrep.Verdict{Missing: awaited}, len(awaited) == 0
	}
	g := p.syncGroup(status)
	var first syncrep.Verdict
	for _, c := range candidates {
		if status.HeldFor != "" && c.Name != status.HeldFor {
			continue
		}
		v := g.Judge(c.Name)
		if len(v.Missing) == 0 {
			v.Missing = p.mayReturnInLaterTerm(status, c)
		}
		if len(v.Missing) == 0 {
			return c, v, true
		}
		if first.Missing == nil {
			first = v
		}
	}
	return InstanceInfo{}, first, false
}

// isPending reports whether the promotion of an instance was requested last and hasn't taken effect, as far as its
// status tells.
//
// The platform may carry a request out seconds after it was given up for want of an answer. If another instance led by
// then, it would be replaced without a record, and go on to acknowledge what is lost. So the same instance is requested
// again as long as it can be promoted at all.
func (p *PrimaryState) isPending(inst InstanceInfo) bool {
	return !p.confirmed && inst.Name == p.record.Primary && inst.Term < p.record.Term
}

// candidates returns the instances that may be promoted, the preferred one first: of those in the latest term the one
// whose log reaches farthest, as the entries that it lacks are lost.
//
// An instance that is a primary in an earlier term than another one has reported has been replaced without
// having noticed. Its log has diverged, and promoting it would undo what its successor has
// acknowledged. So may that of a replica in an earlier term, as one that led and has returned. If no
// primary was confirmed, an instance that is a primary is chosen last of those in its term: the promotion of another
// may be late and still take effect.
//
// In place of a primary that responds, only an instance is promoted that doesn't fail itself and has nearly
// all of its log: the primary goes on until then, and what its successor lacks would be lost.
func (p *PrimaryState) candidates(status GroupStatus, reason Reason) []InstanceInfo {
	var out, leaving []InstanceInfo
	for _, inst := range status.Instances {
		switch p.exclusion(inst, reason) {
		case "":
			out = append(out, inst)
		case exclusionLeaving:
			inst.Leaving = false
			if status.SyncReplicas > 0 && reason != ReasonEjected && p.exclusion(inst, reason) == "" {
				leaving = append(leaving, inst)
			}
		}
	}
	for _, s := range [][]InstanceInfo{out, leaving} {
		slices.SortFunc(s, func(a, b InstanceInfo) int {
			switch {
			case a.preferredTo(b):
				return -1
			case b.preferredTo(a):
				return 1
			}
			return 0
		})
	}
	return append(out, leaving...)
}

// syncGroup returns the group as the decision on its synchronous replicas needs it.
func (p *PrimaryState) syncGroup(status GroupStatus) syncrep.Group {
	g := syncrep.Group{Required: status.SyncReplicas, Term: p.term}
	for _, inst := range status.Instances {
		if !inst.Gone {
			g.Members = append(g.Members, inst.member())
		}
		if inst.Reachable {
			g.Term = max(g.Term, inst.Term)
		}
	}
	for _, inst := range status.Departed {
		m := inst.member()
		m.Gone = true
		g.Members = append(g.Members, m)
	}
	if p.primary != "" {
		g.Primaries = append(g.Primaries, p.primary)
	}
	// Until an instance has reported the record's term, the primary before may still lead.
	if !p.confirmed && g.Term < p.record.Term && p.record.Former != "" && p.record.Former != p.primary {
		g.Primaries = append(g.Primaries, p.record.Former)
	}
	return g
}

func (i InstanceInfo) member() syncrep.Member {
	return syncrep.Member{
		Name: i.Name, Term: i.Term, Received: i.Received, Heard: i.Reachable, Leads: i.IsPrimary,
		Held: i.Held, Unholdable: i.Unholdable,
	}
}

// exclusion returns why an instance is not to be promoted, "" if it may be.
func (p *PrimaryState) exclusion(inst InstanceInfo, reason Reason) string {
	switch {
	case inst.Gone:
		return "gone"
	case inst.Leaving:
		return exclusionLeaving
	case inst.isUnreachable():
		return "unreachable"
	case !inst.Reachable:
		return "not heard"
	case inst.IsPrimary && inst.Term < p.begunTerm():
		return "replaced"
	case p.confirmed && inst.Name == p.primary:
		return "the primary"
	case reason == ReasonEjected && inst.EjectedFrom > 0:
		return "ejected"
	case reason == ReasonEjected && (inst.Behind || inst.Term < p.term):
		return "behind"
	}
	return ""
}

// exclusionLeaving is the reason why an instance that is leaving isn't promoted.
const exclusionLeaving = "leaving"

// Considered describes what is known of each instance for a decision, and why it isn't promoted, for the log.
func (p *PrimaryState) Considered(status GroupStatus, reason Reason) string {
	out := make([]string, 0, len(status.Instances))
	for _, inst := range status.Instances {
		s := fmt.Sprintf("%s %d %s", inst.Name, inst.Term, inst.Received)
		if e := p.exclusion(inst, reason); e != "" {
			s += " " + e
		}
		out = append(out, s)
	}
	slices.Sort(out)
	return strings.Join(out, ", ")
}

// obstacleLaterTerm is why a candidate waits for an instance that may be in a later term than its own.
const obstacleLaterTerm syncrep.Obstacle = "not heard, and may be in a later term"

// mayReturnInLaterTerm returns the instances that can't be asked now and may be in a later term than the candidate:
// they may just be slow, and are waited for until they have gone. So may the last known primary itself, which returns
// with its log if it has only crashed.
func (p *PrimaryState) mayReturnInLaterTerm(status GroupStatus, best InstanceInfo) map[fleet.Instance]syncrep.Obstacle {
	recorded := p.recordMayHaveBegun(status, best)
	if best.Term >= p.begunTerm() && !recorded {
		return nil
	}
	awaited := map[fleet.Instance]syncrep.Obstacle{}
	for _, i := range status.Instances {
		dismissed := !recorded && i.Name == p.primary && (i.Leaving || !i.isUnreachable())
		if i.Name != best.Name && !i.Gone && !i.Reachable && !dismissed {
			awaited[i.Name] = obstacleLaterTerm
		}
	}
	return awaited
}

// recordMayHaveBegun reports whether the promotion of the last record may have taken effect without the candidate, as
// far as this host can tell.
//
// Guards against a coordinator that hasn't itself met the last primary, as it has just started or was cut off, and goes
// by the terms that it has confirmed: it would have the former primary promoted again, with what was rolled back since,
// and without what its successor has acknowledged. The host that has requested the promotion, and has asked the
// instances since, waits for nobody if one of the term before is there that wasn't the primary: the successor has died
// before it led.
func (p *PrimaryState) recordMayHaveBegun(status GroupStatus, best InstanceInfo) bool {
	met := p.begunTerm() >= p.record.Term
	diedBefore := status.OwnRequest && best.Name != p.record.Former && best.Term+1 >= p.record.Term
	if p.record.Primary == "" || met || best.Term >= p.record.Term || diedBefore {
		return false
	}
	notYet := func(i InstanceInfo) bool {
		return i.Name == p.record.Primary && i.Reachable && !i.Gone && i.Term < p.record.Term
	}
	return !slices.ContainsFunc(status.Instances, notYet)
}

// ConfirmingRequest returns the request that records instance i as the primary in term, which it is
// already in although the last record names a later term. When the platform is asked to promote the
// instance that is the primary already, it changes nothing, and the recorded term never begins.
// acceptedAt is when the platform accepted the promotion request, now a time at which the instance
// is still the primary in term.
func (p *PrimaryState) ConfirmingRequest(i fleet.Instance, term fleet.Term,
	acceptedAt, now time.Time) (PromotionRequest, bool) {
	if p.confirmed || i != p.primary || term >= p.record.Term || acceptedAt.IsZero() ||
		now.Sub(acceptedAt) < confirmAfter {
		return PromotionRequest{}, false
	}
	return PromotionRequest{
		Primary: i, Former: i, Term: term, Reason: ReasonAlreadyPrimary, BaseRevision: p.record.Revision,
	}, true
}

func (i InstanceInfo) preferredTo(other InstanceInfo) bool {
	if i.Term != other.Term {
		return i.Term > other.Term
	}
	if i.IsPrimary != other.IsPrimary {
		return other.IsPrimary
	}
	if c := i.Received.Compare(other.Received); c != 0 {
		return c > 0
	}
	if i.OutsideRegion != other.OutsideRegion {
		return other.OutsideRegion
	}
	if i.Cold != other.Cold {
		return other.Cold
	}
	return i.Name < other.Name
}
