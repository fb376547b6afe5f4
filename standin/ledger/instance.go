package ledger

import (
	"fmt"
	"net"

	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
)

// The SQLSTATEs that only an instance gives.
const (
	codeRefusedStep    failure.Code = "55000"
	codeFenced         failure.Code = "57P04"
	codeSyntax         failure.Code = "42601"
	codeNoStatement    failure.Code = "26000"
	codeNoPortal       failure.Code = "34000"
	codeInvalidText    failure.Code = "22P02"
	codeTooManyClients failure.Code = "53300"
)

// instance is one database instance. All but the fixed fields are guarded by
// the group's mutex.
type instance struct {
	group *Group
	cfg   InstanceConfig
	slots chan struct{}

	listener net.Listener
	conns    map[uint32]*conn
	history  history
	role     fleet.Role
	// term is the term that a primary was promoted in.
	term     fleet.Term
	promised fleet.Term
	proposer fleet.Host
	follows  fleet.Instance
	faults   faults
}

func newInstance(g *Group, c InstanceConfig) *instance {
	i := &instance{
		group: g, cfg: c, conns: map[uint32]*conn{},
		role: fleet.RoleReplica, promised: firstTerm, follows: g.cfg.Instances[0].Name,
	}
	i.faults.lag = g.cfg.Lag
	if c.Slots > 0 {
		i.slots = make(chan struct{}, c.Slots)
	}
	return i
}

func (i *instance) statusLocked() fleet.Status {
	return fleet.Status{
		Instance: i.cfg.Name, Promised: i.promised, Role: i.role,
		Last: i.history.last(), Follows: i.follows,
	}
}

// fenceLocked promises term t to proposer. A term is promised once: two
// proposers of one term can't both win a majority, whoever asks last.
func (i *instance) fenceLocked(t fleet.Term, proposer fleet.Host) error {
	if t == i.promised && proposer == i.proposer {
		return nil
	}
	if t <= i.promised {
		return refusedStep("term %d is promised to %q", i.promised, i.proposer)
	}
	i.promised, i.proposer = t, proposer
	i.group.wakeLocked()
	return nil
}

// promoteLocked makes i the primary of term t and appends an entry of t.
func (i *instance) promoteLocked(t fleet.Term, proposer fleet.Host) error {
	if t != i.promised || proposer != i.proposer {
		return refusedStep("term %d is promised to %q", i.promised, i.proposer)
	}
	if i.role == fleet.RolePrimary && i.term == t {
		return nil
	}
	i.role, i.term, i.follows = fleet.RolePrimary, t, ""
	i.appendLocked(Op{Kind: OpPromote})
	return nil
}

// followLocked makes i a replica of the primary of term t.
func (i *instance) followLocked(t fleet.Term, primary fleet.Instance) error {
	if t < i.promised {
		return refusedStep("term %d is promised", i.promised)
	}
	if _, ok := i.group.instances[primary]; !ok || primary == i.cfg.Name {
		return refusedStep("can't follow instance %q", primary)
	}
	if i.role == fleet.RolePrimary && i.term == t {
		return refusedStep("is the primary of term %d", t)
	}
	if t > i.promised {
		i.promised, i.proposer = t, ""
	}
	i.role, i.follows = fleet.RoleReplica, primary
	i.group.wakeLocked()
	return nil
}

func refusedStep(format string, args ...any) error {
	return &failure.Refusal{Code: codeRefusedStep, Message: fmt.Sprintf(format, args...)}
}

// writableLocked refuses a write that i may not take. The check is made again
// at COMMIT, under the same lock as the append: a fence that comes before it
// stops the write, a fence that comes after finds the entry in the log.
func (i *instance) writableLocked() error {
	if i.role != fleet.RolePrimary {
		return &failure.Refusal{Code: failure.CodeReadOnly, Message: "this instance is a replica"}
	}
	if i.promised > i.term {
		return &failure.Refusal{Code: codeFenced,
			Message: fmt.Sprintf("primary of term %d is fenced by term %d; not run", i.term, i.promised)}
	}
	return nil
}

func (i *instance) appendLocked(ops ...Op) fleet.LogPosition {
	p := fleet.LogPosition{Term: i.term, Index: i.history.last().Index + 1}
	i.history.append(Entry{Point: p, At: i.group.now(), Ops: ops})
	i.group.wakeLocked()
	return p
}

// commit applies ops as one entry, and returns its point.
func (i *instance) commit(ops []Op) (fleet.LogPosition, error) {
	i.group.mu.Lock()
	defer i.group.mu.Unlock()
	if err := i.writableLocked(); err != nil {
		return i.history.last(), err
	}
	return i.appendLocked(ops...), nil
}

// stopLocked closes the port and all connections, as the death of the process
// would.
func (i *instance) stopLocked() {
	_ = i.listener.Close()
	for _, c := range i.conns {
		c.stop()
	}
}
