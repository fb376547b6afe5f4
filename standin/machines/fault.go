package machines

import (
	"fmt"
	"net"
	"slices"
	"time"
)

// Kill ends an instance with all its connections.
func (m *Machines) Kill(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	i := m.instances[name]
	if i.dead {
		return
	}
	i.dead, i.died = true, time.Now()
	m.received.Broadcast()
	m.tell("killed " + name)
	for c := range i.conns {
		_ = c.Close()
	}
	i.conns = map[net.Conn]bool{}
}

// Restart brings an instance back with its log, as a replica if it was replaced.
func (m *Machines) Restart(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	i := m.instances[name]
	if !i.dead {
		return
	}
	i.dead, i.draining, i.held, i.born = false, false, 0, time.Now().UnixMilli()
	if i.group.leader != i {
		i.follow(i.group.leader)
	}
	m.tell("restarted " + name + " as " + i.role())
	m.announce()
}

// SetDraining says that an instance is about to leave.
func (m *Machines) SetDraining(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.instances[name].draining = true
	m.tell("draining " + name)
	m.announce()
}

// SetSplit cuts an instance off from the others of its group, or ends that.
func (m *Machines) SetSplit(name string, split bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.instances[name].split = split
	m.tell(fmt.Sprintf("split %s: %t", name, split))
}

// SetLag sets how much later than usual an instance applies what it has received.
func (m *Machines) SetLag(name string, by time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.instances[name].lag = by
	m.tell(fmt.Sprintf("lag of %s: %v", name, by))
}

// Lose has an instance run its next n statements and end their connections unanswered.
func (m *Machines) Lose(name string, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.instances[name].lose = n
	m.tell("loses answers: " + name)
}

// StatementFaultKind is what becomes of a statement that a fault concerns.
type StatementFaultKind string

// The kinds of faults of statements.
const (
	// StatementFails answers with an error, StatementShed that the instance is busy; neither runs the statement.
	StatementFails StatementFaultKind = "fail"
	StatementShed  StatementFaultKind = "shed"
	// StatementHangs runs the statement once the fault has ended. It takes no slot meanwhile.
	StatementHangs StatementFaultKind = "hang"
	// StatementSlow takes a multiple of the usual time in the slot.
	StatementSlow StatementFaultKind = "slow"
)

// StatementFault is what an instance does with a part of its statements. What it announces and how it
// answers STATUS stay those of a healthy one.
type StatementFault struct {
	Kind StatementFaultKind
	// Percent is how many of the statements are concerned.
	Percent int
	// DataCentre is that of the hosts that are concerned, empty for all.
	DataCentre string
	// Factor is how many times the usual a slow statement takes.
	Factor int
}

// activeFault is a fault that hasn't ended.
type activeFault struct {
	StatementFault
	// credit grows by the percentage with each statement; each time it reaches 100 the fault concerns one.
	credit int
	ended  chan struct{}
}

const wholePercent = 100

// FaultStatements starts a fault of an instance's statements. The returned function ends it.
func (m *Machines) FaultStatements(name string, f StatementFault) (end func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	i, a := m.instances[name], &activeFault{StatementFault: f, ended: make(chan struct{})}
	i.faults = append(i.faults, a)
	m.tell(fmt.Sprintf("fault of the statements of %s: %+v", name, f))
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		i.faults = slices.DeleteFunc(i.faults, func(o *activeFault) bool { return o == a })
		close(a.ended)
		m.tell(fmt.Sprintf("fault of the statements of %s has ended: %+v", name, f))
	}
}

// concerns reports whether the fault concerns the next statement from a data centre.
func (a *activeFault) concerns(dataCentre string) bool {
	if a.DataCentre != "" && a.DataCentre != dataCentre {
		return false
	}
	a.credit += a.Percent
	if a.credit < wholePercent {
		return false
	}
	a.credit -= wholePercent
	return true
}

// applyFaults applies the faults that concern a statement. It returns what the statement takes in its slot, or
// the code with which it is refused.
func (c *conn) applyFaults(id string) (work time.Duration, refused string) {
	work = c.m.Work
	for _, a := range c.matchingFaults() {
		c.m.mu.Lock()
		c.m.tell(fmt.Sprintf("%s conn %d, %s: %s", c.i.name, c.info.Number, id, a.Kind))
		c.m.mu.Unlock()
		switch a.Kind {
		case StatementFails:
			return 0, "FAILED"
		case StatementShed:
			return 0, "BUSY"
		case StatementHangs:
			select {
			case <-a.ended:
			case <-c.m.stop:
			}
		case StatementSlow:
			work = c.m.Work * time.Duration(a.Factor)
		}
	}
	return work, ""
}

// matchingFaults returns the faults of the instance that concern the next statement, and counts the statement.
func (c *conn) matchingFaults() []*activeFault {
	c.m.mu.Lock()
	defer c.m.mu.Unlock()
	var out []*activeFault
	for _, a := range c.i.faults {
		if a.concerns(c.info.DataCentre) {
			out = append(out, a)
		}
	}
	return out
}
