package place

import (
	"time"

	"skylarkdeal/core/exchange"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/group"
	"skylarkdeal/core/session"
)

// RequestInfo is what Choose needs to know of a request.
type RequestInfo struct {
	Intent exchange.Intent
	Need   session.Need
	// Long is set for a statement that occupies its slot for a long time.
	Long bool
	// Tried are the instances on which this request has already failed.
	Tried fleet.Set[fleet.Instance]
	// Deadline is when the answer is due.
	Deadline time.Time
}

// Load is this holder's use of one instance.
type Load struct {
	// Busy is how many statements run, Slots how many may run at a time.
	Busy  int
	Slots int
	// Latency is averaged over the callers' statements.
	Latency LatencyAverage
	// Unconnected is set while this holder has no connection to the instance, as that refuses them.
	Unconnected bool
}

// Free returns how many more statements may start.
func (l Load) Free() int {
	return max(0, l.Slots-l.Busy)
}

// Loads is this holder's use of the instances, and the length of the group's queue.
type Loads struct {
	Instances map[fleet.Instance]Load
	// Waiting is the length of the queue, including the request to be placed.
	Waiting int
}

// Action is what the holder does with a request.
type Action string

// The actions.
const (
	// ActionRun sends the request to Choice.Instance.
	ActionRun Action = "run"
	// ActionWait leaves the request in the queue until a slot is free, the group's
	// snapshot changes or Choice.Until is reached.
	ActionWait Action = "wait"
	// ActionResolve first obtains a current log position and resolves
	// RequestInfo.Need with it; Choose is then called again.
	ActionResolve Action = "prove"
)

// Choice is where a request runs, or what it waits for.
type Choice struct {
	Action   Action
	Instance fleet.Instance
	Role     fleet.Role
	Until    time.Time
	// Reason is for the state dump and the journal.
	Reason string
}

// Choose decides which instance serves a request.
//
// Designed for a primary that has to serve all writes of the group, and replicas
// that lag. A read goes to the instance with the earliest expected answer; the
// primary has to be faster by primaryPenalty, so that a short replication lag
// doesn't send reads to the primary's slots. A leaving instance gets no requests.
// Long statements don't take the last free slot, since one long report would
// block all short requests.
func Choose(now time.Time, request RequestInfo, snapshot group.Snapshot, loads Loads) Choice {
	if request.Intent != exchange.IntentRead {
		return chooseForWrite(now, request, snapshot, loads)
	}
	if request.Need.Latest() {
		return Choice{Action: ActionResolve, Reason: "the read shows no token"}
	}
	o, ok := bestCandidate(now, request, snapshot, loads)
	if !ok {
		return Choice{Action: ActionWait, Until: now.Add(minRecheckDelay), Reason: "no instance can serve the read yet"}
	}
	if o.wait > 0 {
		return Choice{
			Action: ActionWait, Instance: o.instance, Role: o.role, Until: now.Add(max(o.wait/2, minRecheckDelay)),
			Reason: o.reason,
		}
	}
	return Choice{Action: ActionRun, Instance: o.instance, Role: o.role}
}

// minRecheckDelay is the shortest wait before Choose is called again for a request.
const minRecheckDelay = time.Millisecond

// silenceLimit is how long an instance may leave a status request unanswered and
// still get requests. A write that is sent to a failed primary ends with an unknown
// outcome; one that waits for the next primary is only delayed.
const silenceLimit = 150 * time.Millisecond

func chooseForWrite(now time.Time, request RequestInfo, snapshot group.Snapshot, loads Loads) Choice {
	s, ok := snapshot.Find(snapshot.Primary)
	switch load := loads.Instances[snapshot.Primary]; {
	case !ok:
		return Choice{Action: ActionWait, Reason: "no primary is known"}
	case s.Silent(now) > silenceLimit:
		return Choice{Action: ActionWait, Instance: snapshot.Primary, Reason: "the primary is silent"}
	case !snapshot.HasQuorum(now):
		// This host may be cut off together with the old primary: the write would
		// run there and end as unknown. If it isn't sent, it can be refused as not run.
		return Choice{Action: ActionWait, Instance: snapshot.Primary, Reason: "no majority of the instances responds"}
	case s.Instance.Leaving && snapshot.CanHandOver(now):
		return Choice{Action: ActionWait, Instance: snapshot.Primary, Reason: "the primary is leaving"}
	case load.Unconnected:
		return Choice{Action: ActionWait, Instance: snapshot.Primary, Reason: "the primary refuses connections"}
	case !hasSlot(load, request.Long, loads.Waiting):
		return Choice{Action: ActionWait, Instance: snapshot.Primary, Reason: "the primary's slots are taken"}
	}
	return Choice{Action: ActionRun, Instance: snapshot.Primary, Role: fleet.RolePrimary}
}

// hasSlot reports whether another statement may start. A long statement leaves one
// slot free; where there is only one slot, it starts only if no other request waits.
func hasSlot(load Load, long bool, waiting int) bool {
	switch {
	case !long:
		return load.Free() > 0
	case load.Slots <= 1:
		return load.Free() > 0 && waiting <= 1
	}
	return load.Free() > 1
}

// candidate is an instance that may serve a read.
type candidate struct {
	instance fleet.Instance
	role     fleet.Role
	// wait is the time until the read can start, reason what it waits for.
	wait   time.Duration
	reason string
	// expected is the estimated time until the answer, with primaryPenalty.
	expected time.Duration
}

// primaryPenalty is by how much the primary's expected answer has to be earlier than
// a replica's for a read to go to the primary. It lets reads wait for a replica that
// lags by a few milliseconds, which users don't notice, and keeps the primary free
// for writes.
const primaryPenalty = 25 * time.Millisecond

func bestCandidate(now time.Time, request RequestInfo, snapshot group.Snapshot, loads Loads) (candidate, bool) {
	var best candidate
	for _, s := range snapshot.Observations {
		o, ok := evaluate(now, request, snapshot, loads, s)
		if ok && (best.instance == "" || o.expected < best.expected) {
			best = o
		}
	}
	return best, best.instance != ""
}

// evaluate estimates when the observed instance would answer a read. It returns
// false if the instance can't serve the read.
func evaluate(
	now time.Time, request RequestInfo, snapshot group.Snapshot, loads Loads, s group.Observation,
) (candidate, bool) {
	n := s.Instance.Name
	if !s.Known() || s.Instance.Leaving || request.Tried.Has(n) || s.Silent(now) > silenceLimit {
		return candidate{}, false
	}
	o := candidate{instance: n, role: fleet.RoleReplica}
	load := loads.Instances[n]
	if load.Unconnected {
		return candidate{}, false
	}
	latency := max(load.Latency.Read(now), minLatency)
	if n == snapshot.Primary {
		if !primarySatisfies(now, request, snapshot, s) {
			return candidate{}, false
		}
		o.role = fleet.RolePrimary
		o.expected = primaryPenalty + latency*time.Duration(loads.Waiting)/time.Duration(max(1, load.Slots))
	} else if s.Status.Role != fleet.RoleReplica || !o.setReplicaWait(now, request, snapshot, s) {
		return candidate{}, false
	}
	if !hasSlot(load, request.Long, loads.Waiting) && o.wait < latency {
		o.wait, o.reason = latency, "the slots of the instance are taken"
	}
	o.expected += o.wait + latency*time.Duration(1+load.Busy)/time.Duration(max(1, load.Slots))
	return o, true
}

// primarySatisfies reports whether an answer of the primary will satisfy the read.
// Either the known statuses show it, or later ones can verify it, for which a
// majority of the instances has to respond. A primary that has been replaced beyond
// a network partition never covers a token of a later term.
func primarySatisfies(now time.Time, request RequestInfo, snapshot group.Snapshot, s group.Observation) bool {
	a := session.Answer{Position: s.Status.Last, Role: fleet.RolePrimary}
	if request.Need.Satisfied(a, now, snapshot) {
		return true
	}
	after, ok := request.Need.After.Get()
	return snapshot.HasQuorum(now) && (!ok || after.Term <= snapshot.Term)
}

// minLatency is assumed for an instance without latency samples. With zero, its
// running statements would add nothing to the expected time.
const minLatency = time.Millisecond

// ageMargin is what the round trip to the replica adds to the age of the data.
// Without it an answer could arrive slightly too old, and the read would have to be
// retried.
const ageMargin = 10 * time.Millisecond

// setReplicaWait sets how long the read waits for the replica to catch up: its usual
// lag, as the required log entry may just have been written. It returns false if
// waiting doesn't help.
func (o *candidate) setReplicaWait(
	now time.Time, request RequestInfo, snapshot group.Snapshot, s group.Observation,
) bool {
	a := session.Answer{Position: s.Status.Last, Role: fleet.RoleReplica}
	if request.Need.Satisfied(a, now.Add(min(ageMargin, request.Need.MaxAge/2)), snapshot) {
		return true
	}
	if request.Need.MaxAge > 0 {
		// The data of a lagging replica doesn't get fresher while the read waits.
		return false
	}
	o.wait, o.reason = max(s.Lag, minRecheckDelay), "the replica has not caught up"
	return true
}
