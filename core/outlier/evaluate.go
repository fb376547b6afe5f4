package outlier

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minOutcomes is how many outcomes the window needs for a decision, minAccounts of how many accounts.
	minOutcomes = 5
	minAccounts = 2
	// minRate is the least share of failures of an ejected instance, and rateFactor how many times that of
	// the others it has to be.
	minRate    = 0.2
	rateFactor = 2
	// slowFactor is how many times the others' slot time that of an ejected instance has to be, and
	// targetDivisor the fraction of the smallest target that it has to exceed.
	slowFactor    = 4
	targetDivisor = 4
	// replaceMargin is by how much more an instance has to fail to be ejected in place of another one, so
	// that two don't take turns.
	replaceMargin = 0.2
)

// Member is one instance of a group that is evaluated.
type Member struct {
	Instance *Instance
	// Usable is set unless the instance is leaving, removed or in an evacuated data centre.
	Usable bool
	// Target is the smallest target of the routes that the instance serves, zero if it isn't known.
	Target time.Duration
}

// Choice is what is decided about an instance.
type Choice string

// The choices.
const (
	ChoiceEject  Choice = "eject"
	ChoiceReturn Choice = "return"
	ChoiceAdopt  Choice = "adopt ejection"
	ChoiceExpire Choice = "adopted ejection ended"
)

// Decision is a change of one member, by its index.
type Decision struct {
	Member int
	Choice Choice
	Reason Reason
}

// The reasons for a return without three successful probes.
const (
	reasonUnprobed Reason = "no operation could probe it"
	reasonWorse    Reason = "another instance is worse, and the group can spare no more"
	reasonReports  Reason = "by the reports of other hosts"
)

// qualified is a member that is to be ejected if the group can spare it.
type qualified struct {
	member    int
	reason    Reason
	rate      float64
	slowAbove time.Duration
}

// Evaluate decides which instances of one group are ejected now: at most half of the usable ones. Those
// that this host has found itself come before those that other hosts report.
func Evaluate(now time.Time, ms []Member) []Decision {
	var out []Decision
	limit, ejected := 0, 0
	for _, m := range ms {
		if m.Usable {
			limit++
		}
	}
	limit /= 2
	for n, m := range ms {
		if r := m.endReason(now); r != "" {
			m.Instance.end(now)
			out = append(out, Decision{n, ChoiceReturn, r})
		}
		if m.Instance.ejected && m.Usable {
			ejected++
		}
	}
	for _, q := range candidates(now, ms) {
		if ejected >= limit {
			n := replaceable(ms, q)
			if n < 0 || limit == 0 {
				continue
			}
			ms[n].Instance.end(now)
			out = append(out, Decision{n, ChoiceReturn, reasonWorse})
			ejected--
		}
		ms[q.member].Instance.eject(now, q)
		ejected++
		out = append(out, Decision{q.member, ChoiceEject, q.reason})
	}
	return append(out, avoid(now, ms, limit)...)
}

// endReason returns why an ejection ends without successful probes, empty if it doesn't.
func (m Member) endReason(now time.Time) Reason {
	switch i := m.Instance; {
	case !i.ejected:
		return ""
	case !i.probing && now.Sub(i.probeAt) > unprobedFor:
		return reasonUnprobed
	default:
		return ""
	}
}

// candidates returns the members in use that qualify for an ejection, the worst first.
func candidates(now time.Time, ms []Member) []qualified {
	var out []qualified
	var sums []bucket
	for n, m := range ms {
		if !m.Usable || m.Instance.ejected || m.Instance.window == nil {
			continue
		}
		if sums == nil {
			sums = make([]bucket, len(ms))
			for k, o := range ms {
				sums[k] = o.Instance.window.sum(now)
			}
		}
		if q, ok := qualify(n, ms, sums); ok {
			out = append(out, q)
		}
	}
	slices.SortFunc(out, func(a, b qualified) int { return cmp.Compare(b.rate, a.rate) })
	return out
}

// qualify reports whether member n fails or is slow by its own window and those of the others.
func qualify(n int, ms []Member, sums []bucket) (qualified, bool) {
	b, busy := &sums[n], ms[n].busy()
	if b.all.total < minOutcomes || b.accountCount() < minAccounts {
		return qualified{}, false
	}
	rate := b.rate(busy)
	q := qualified{member: n, reason: ReasonFails, rate: rate}
	if rate >= minRate && b.rateOfOthers(busy) >= minRate && rate >= rateFactor*othersRate(n, ms, sums) {
		return q, true
	}
	own, ok := b.meanSlotTime()
	median, others := othersSlotTime(n, ms, sums)
	target := ms[n].Target
	if !ok || !others || target == 0 {
		return qualified{}, false
	}
	q.reason, q.slowAbove = ReasonSlow, max(slowFactor*median, target/targetDivisor)
	return q, own >= q.slowAbove
}

// busy reports whether the instance's successful statements take so long that it may be full. A healthy
// instance that is full sheds statements or lets them wait, so that these don't count as failures of the
// instance; one that sheds or hangs although it is otherwise quick is faulty.
func (m Member) busy() bool {
	mean := m.Instance.mean
	return mean == 0 || m.Target == 0 || mean > m.Target/targetDivisor
}

// othersRate returns the share of failures of all other members in use together.
func othersRate(n int, ms []Member, sums []bucket) float64 {
	failures, total := uint32(0), uint32(0)
	for k := range ms {
		if k == n || !ms[k].Usable || ms[k].Instance.ejected {
			continue
		}
		// The failures of an overloaded instance count here, so that an overloaded group ejects none.
		failures += sums[k].all.failures(false)
		total += sums[k].all.total
	}
	if total == 0 {
		return 0
	}
	return float64(failures) / float64(total)
}

// othersSlotTime returns the median of the slot times of the other members in use, false if there is none.
func othersSlotTime(n int, ms []Member, sums []bucket) (time.Duration, bool) {
	var times []time.Duration
	for k := range ms {
		if k == n || !ms[k].Usable || ms[k].Instance.ejected {
			continue
		}
		if t, ok := sums[k].meanSlotTime(); ok {
			times = append(times, t)
		}
	}
	if len(times) == 0 {
		return 0, false
	}
	slices.Sort(times)
	mid := len(times) / 2
	if len(times)%2 == 0 {
		return (times[mid-1] + times[mid]) / 2, true
	}
	return times[mid], true
}

// replaceable returns the ejected member that fails least, if q fails more than that one by a margin, or -1.
func replaceable(ms []Member, q qualified) int {
	best := -1
	for n, m := range ms {
		if m.Usable && m.Instance.ejected && m.Instance.rate+replaceMargin < q.rate &&
			(best < 0 || m.Instance.rate < ms[best].Instance.rate) {
			best = n
		}
	}
	return best
}

// avoid sets which members get no operations: the ejected ones, and while the group can spare more those
// that other hosts report, the worst first.
func avoid(now time.Time, ms []Member, limit int) []Decision {
	var out []Decision
	var adopted []int
	for n, m := range ms {
		if m.Instance.ejected {
			m.Instance.avoided = true
			if m.Usable {
				limit--
			}
			continue
		}
		if m.Usable && now.Before(m.Instance.adoptedUntil) {
			adopted = append(adopted, n)
			continue
		}
		if m.Instance.avoided {
			out = append(out, Decision{n, ChoiceExpire, reasonReports})
		}
		m.Instance.avoided = false
	}
	slices.SortFunc(adopted, func(a, b int) int {
		return cmp.Compare(ms[b].Instance.adoptedRate, ms[a].Instance.adoptedRate)
	})
	for k, n := range adopted {
		i := ms[n].Instance
		was := i.avoided
		i.avoided = k < limit
		switch {
		case i.avoided && !was:
			out = append(out, Decision{n, ChoiceAdopt, reasonReports})
		case was && !i.avoided:
			out = append(out, Decision{n, ChoiceExpire, reasonWorse})
		}
	}
	return out
}
