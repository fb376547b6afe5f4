// Package outlier finds the instances of a group that respond but fail, and decides when they are used
// again.
//
// Designed for an instance that fails, sheds or doesn't answer a part of its statements, or is several
// times as slow as the others, while its health check passes. Each host retried it for each operation, for
// as long as the fault lasted. An overloaded group fails and is slow as well, and must eject no instance:
// the others would get the load of the ejected one on top.
package outlier

import (
	"time"

	"skylarkdeal/core/fleet"
)

// Kind is how a statement ended at an instance.
type Kind string

// The kinds of outcomes.
const (
	// OK is a statement that was run.
	OK Kind = "ok"
	// Failed is a failure of the instance.
	Failed Kind = "failed"
	// Shed is a statement that the instance refused for lack of capacity.
	Shed Kind = "shed"
	// TimedOut is a statement without a response in the expected time.
	TimedOut Kind = "timed out"
)

// Outcome is how one statement ended.
type Outcome struct {
	Account fleet.Account
	Kind    Kind
	// Took is the time to the response.
	Took time.Duration
	// SlotTime is the response time less the wait for a slot at the instance; zero if it isn't known.
	SlotTime time.Duration
}

// SlotTime estimates how long a statement has held a slot of an instance, from the time it took and how
// many statements this host had there. Each of senders hosts is assumed to have sent as many.
//
// Designed for a primary that gets most of the load, while the replicas are idle. Its statements wait for
// its slots, so that its response time is several times theirs although it is as quick.
func SlotTime(took time.Duration, running, senders, slots int) time.Duration {
	slots = max(slots, 1)
	return took * time.Duration(slots) / time.Duration(max(slots, running*senders))
}

// Reason is why an instance is ejected.
type Reason string

// The reasons for an ejection.
const (
	ReasonFails Reason = "it fails more often than the others of its group"
	ReasonSlow  Reason = "it is slower than the others of its group"
)

const (
	// firstPause is how long an ejected instance gets nothing before the first probe; a failed probe
	// doubles the pause, up to maxPause.
	firstPause = 500 * time.Millisecond
	maxPause   = 4 * time.Second
	// probesToReturn is how many probes in a row have to succeed.
	probesToReturn = 3
	// forgetPauseAfter is how long an instance has to stay in use for its next ejection to begin with
	// the first pause again. An instance that fails a part of its statements passes three probes now and
	// then.
	forgetPauseAfter = 10 * time.Second
	// unprobedFor is how long after a probe was due the ejection ends if no operation could be the probe.
	unprobedFor = 10 * time.Second
)

// Instance is what one host knows of an instance's outcomes, and whether it ejects the instance. The zero
// Instance has no outcomes and is in use.
type Instance struct {
	window *window
	// mean is the moving average of the response times of successful statements.
	mean time.Duration

	ejected bool
	reason  Reason
	// rate is the share of failures at the ejection.
	rate float64
	// slowAbove is the slot time above which a probe counts as slow, zero for no limit.
	slowAbove  time.Duration
	pause      time.Duration
	probeAt    time.Time
	probing    bool
	successes  int
	returnedAt time.Time

	// adoptedUntil is until when reports of other hosts eject it, adoptedRate the highest rate of these.
	adoptedUntil time.Time
	adoptedRate  float64
	// avoided is set while the instance gets no operation that another one can run.
	avoided bool
}

// Record adds an outcome.
func (i *Instance) Record(now time.Time, o Outcome) {
	if i.window == nil {
		i.window = &window{}
	}
	if o.Kind == OK {
		if i.mean == 0 {
			i.mean = o.Took
		}
		i.mean += (o.Took - i.mean) / meanWeight
	}
	i.window.record(now, o)
}

// Restarted returns what stays known of an instance that has restarted or got another role: whether it is
// ejected, as an instance that goes down and up in turn would otherwise be used each time it is up.
func (i *Instance) Restarted() Instance {
	n := *i
	n.window, n.mean, n.probing = nil, 0, false
	return n
}

// Avoided reports whether the instance gets no operation while another one can run it.
func (i *Instance) Avoided() bool { return i.avoided }

// Ejected reports whether this host itself has ejected the instance.
func (i *Instance) Ejected() bool { return i.ejected }

// Left returns how long it takes until the next probe is due.
func (i *Instance) Left(now time.Time) time.Duration { return max(0, i.probeAt.Sub(now)) }

// Rate returns the share of failures for which the instance is ejected.
func (i *Instance) Rate() float64 {
	if i.ejected {
		return i.rate
	}
	return i.adoptedRate
}

// MayProbe reports whether an operation may be sent to the ejected instance as a probe.
func (i *Instance) MayProbe(now time.Time) bool {
	return i.ejected && !i.probing && !now.Before(i.probeAt)
}

// BeginProbe records that a probe is sent.
func (i *Instance) BeginProbe() { i.probing = true }

// AbortProbe ends a probe that has shown nothing, such as one whose caller has gone.
func (i *Instance) AbortProbe() { i.probing = false }

// EndProbe ends a probe with its outcome, and reports whether the instance returns.
func (i *Instance) EndProbe(now time.Time, o Outcome) bool {
	i.probing = false
	if !i.ejected {
		return false
	}
	if o.Kind != OK || i.slowAbove > 0 && o.SlotTime > i.slowAbove {
		i.successes = 0
		i.pause = min(2*i.pause, maxPause)
		i.probeAt = now.Add(i.pause)
		return false
	}
	i.successes++
	if i.successes < probesToReturn || i.stillFails(now) {
		return false
	}
	i.end(now)
	return true
}

// stillFails reports whether the outcomes of the window would eject the instance. Those of a primary go on
// during its ejection, as no other instance can run its writes.
func (i *Instance) stillFails(now time.Time) bool {
	b := i.window.sum(now)
	return b.all.total >= minOutcomes && b.rate(false) >= minRate
}

// eject begins an ejection.
func (i *Instance) eject(now time.Time, q qualified) {
	if i.pause == 0 || now.Sub(i.returnedAt) > forgetPauseAfter {
		i.pause = firstPause
	}
	i.ejected, i.reason, i.rate, i.slowAbove = true, q.reason, q.rate, q.slowAbove
	i.successes, i.probing = 0, false
	i.probeAt = now.Add(i.pause)
}

// end ends an ejection. The outcomes before it don't count any more.
func (i *Instance) end(now time.Time) {
	i.ejected, i.probing, i.returnedAt, i.window = false, false, now, nil
}
