package place

import (
	"time"

	"skylarkdeal/core/exchange"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/group"
	"skylarkdeal/core/session"
)

// RequestInfo is what the choice of an instance depends on, of one request.
type RequestInfo struct {
	Intent exchange.Intent
	Need   session.Need
	// Long is set for work that will hold its slot for long.
	Long bool
	// Tried are the instances that have failed this request already.
	Tried fleet.Set[fleet.Instance]
	// Deadline is when the answer has to be there.
	Deadline time.Time
}

// Load is the use of one instance by this holder.
type Load struct {
	// Busy and Slots are the statements under way and the most there may be.
	Busy  int
	Slots int
	// Latency is measured over the callers' statements.
	Latency LatencyAverage
}

// Free returns how many more statements may start.
func (l Load) Free() int {
	return max(0, l.Slots-l.Busy)
}

// Loads is the use of the instances, and of the group's queue.
type Loads struct {
	Instances map[fleet.Instance]Load
	// Waiting is how many requests the queue holds, with the one chosen for.
	Waiting int
}

// Action is what to do with a request.
type Action string

// The actions.
const (
	// ActionRun sends the request to Choice.Instance.
	ActionRun Action = "run"
	// ActionWait leaves it in the queue until a slot is free, the table changes
	// or Choice.Until has come.
	ActionWait Action = "wait"
	// ActionProve asks for a fresh point first; the request is then chosen for
	// again with its need resolved.
	ActionProve Action = "prove"
)

// Choice is where a request goes.
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
// The load is a primary that has to serve all writes of the group, and replicas
// that lag: a read goes where its answer is expected first, and the primary has
// to be faster by patience to get it, so that reads don't take the primary's
// slots for a short lag. An instance that leaves gets nothing. Long work is kept
// off the last free slot, or one long report would hold up every short request.
func Choose(now time.Time, f RequestInfo, t group.Snapshot, l Loads) Choice {
	if f.Intent != exchange.IntentRead {
		return write(now, f, t, l)
	}
	if f.Need.Latest() {
		return Choice{Action: ActionProve, Reason: "shows no token"}
	}
	o, ok := best(now, f, t, l)
	if !ok {
		return Choice{Action: ActionWait, Until: now.Add(recheck), Reason: "no instance can serve it yet"}
	}
	if o.wait > 0 {
		return Choice{
			Action: ActionWait, Instance: o.instance, Role: o.role, Until: now.Add(max(o.wait/2, recheck)),
			Reason: o.reason,
		}
	}
	return Choice{Action: ActionRun, Instance: o.instance, Role: o.role}
}

// recheck is the shortest wait before a request is chosen for again.
const recheck = time.Millisecond

// suspicious is how long an instance may owe an answer and still get new work.
// A write that is sent to a dead primary ends with an unknown outcome; one that
// waits for the next primary is merely late.
const suspicious = 150 * time.Millisecond

func write(now time.Time, f RequestInfo, t group.Snapshot, l Loads) Choice {
	s, ok := t.Find(t.Primary)
	switch u := l.Instances[t.Primary]; {
	case !ok:
		return Choice{Action: ActionWait, Reason: "no primary is known"}
	case s.Silent(now) > suspicious:
		return Choice{Action: ActionWait, Instance: t.Primary, Reason: "the primary is silent"}
	case !t.HasQuorum(now):
		// A data centre that is cut off with the old primary: the write would run
		// and end as unknown. Unsent, it can be refused as not run.
		return Choice{Action: ActionWait, Instance: t.Primary, Reason: "no majority of the instances answers"}
	case s.Instance.Leaving && t.CanHandOver(now):
		return Choice{Action: ActionWait, Instance: t.Primary, Reason: "the primary leaves"}
	case !admits(u, f.Long, l.Waiting):
		return Choice{Action: ActionWait, Instance: t.Primary, Reason: "the primary's slots are taken"}
	}
	return Choice{Action: ActionRun, Instance: t.Primary, Role: fleet.RolePrimary}
}

// admits reports whether another statement may start. Long work leaves a slot
// free; where there is but one, it starts only while nothing else waits than the
// request itself.
func admits(u Load, long bool, waiting int) bool {
	switch {
	case !long:
		return u.Free() > 0
	case u.Slots <= 1:
		return u.Free() > 0 && waiting <= 1
	}
	return u.Free() > 1
}

// option is one instance that may serve a read.
type option struct {
	instance fleet.Instance
	role     fleet.Role
	// wait is the time until it can start.
	wait   time.Duration
	reason string
	// expect is the time until its answer.
	expect time.Duration
}

// patience is by how much a read is expected to end sooner at the primary for
// it to go there. It lets reads wait for a replica that lags by a few
// milliseconds, which people don't notice, and leaves the primary to the writes.
const patience = 25 * time.Millisecond

func best(now time.Time, f RequestInfo, t group.Snapshot, l Loads) (option, bool) {
	var out option
	for _, s := range t.Observations {
		o, ok := consider(now, f, t, l, s)
		if ok && (out.instance == "" || o.expect < out.expect) {
			out = o
		}
	}
	return out, out.instance != ""
}

func consider(now time.Time, f RequestInfo, t group.Snapshot, l Loads, s group.Observation) (option, bool) {
	n := s.Instance.Name
	if !s.Known() || s.Instance.Leaving || f.Tried.Has(n) || s.Silent(now) > suspicious {
		return option{}, false
	}
	o := option{instance: n, role: fleet.RoleReplica}
	u := l.Instances[n]
	each := max(u.Latency.Read(now), latencyFloor)
	if n == t.Primary {
		if !primaryServes(now, f, t, s) {
			return option{}, false
		}
		o.role = fleet.RolePrimary
		o.expect = patience + each*time.Duration(l.Waiting)/time.Duration(max(1, u.Slots))
	} else if s.Status.Role != fleet.RoleReplica || !o.catchUp(now, f, t, s) {
		return option{}, false
	}
	if !admits(u, f.Long, l.Waiting) && o.wait < each {
		o.wait, o.reason = each, "its slots are taken"
	}
	o.expect += o.wait + each*time.Duration(1+u.Busy)/time.Duration(max(1, u.Slots))
	return o, true
}

// primaryServes reports whether an answer of the primary will satisfy the read:
// it does by what is known already, or the statuses to come will prove it, for
// which a majority has to answer. A primary that has been replaced on the other
// side of a cut never covers a token of a later term.
func primaryServes(now time.Time, f RequestInfo, t group.Snapshot, s group.Observation) bool {
	a := session.Answer{Position: s.Status.Last, Role: fleet.RolePrimary}
	if f.Need.Satisfied(a, now, t) {
		return true
	}
	after, ok := f.Need.After.Get()
	return t.HasQuorum(now) && (!ok || after.Term <= t.Term)
}

// latencyFloor keeps an instance that nothing is measured of from looking free
// of cost, so that its use still counts.
const latencyFloor = time.Millisecond

// ageMargin is what a read's way to the replica and back adds to the age of its
// data; without it the answer would come in a little too old and the read would
// have to be tried again.
const ageMargin = 10 * time.Millisecond

// catchUp sets how long a replica takes to satisfy the read: its usual lag, as
// the entry may have been written just now.
func (o *option) catchUp(now time.Time, f RequestInfo, t group.Snapshot, s group.Observation) bool {
	a := session.Answer{Position: s.Status.Last, Role: fleet.RoleReplica}
	if f.Need.Satisfied(a, now.Add(min(ageMargin, f.Need.MaxAge/2)), t) {
		return true
	}
	if f.Need.MaxAge > 0 {
		// Waiting doesn't make a lagging replica's data younger.
		return false
	}
	o.wait, o.reason = max(s.Lag, recheck), "the replica has yet to catch up"
	return true
}
