package ledger

import (
	"fmt"
	"slices"
	"time"

	"skylarkdeal/core/fleet"
)

// FaultKind names a fault switch of an instance.
type FaultKind string

// The faults. A cut, paused or slow instance keeps its connections; a dead one
// closes them and its port, and keeps its log.
const (
	// FaultCut holds back all traffic with the peers in Fault.From: names of
	// instances, names of hosts (their application_name), IP addresses, or "*".
	FaultCut FaultKind = "cut"
	// FaultSlow adds Fault.Delay to each statement, inside its slot.
	FaultSlow FaultKind = "slow"
	// FaultLose runs statements and closes the connection in place of the
	// answer.
	FaultLose FaultKind = "lose"
	// FaultLoseControl does so for administrative statements.
	FaultLoseControl FaultKind = "lose-control"
	// FaultPause stops the instance as SIGSTOP would.
	FaultPause FaultKind = "pause"
	// FaultDie ends the instance; clearing it starts it again.
	FaultDie FaultKind = "die"
	// FaultLag sets the replica's lag to Fault.Delay.
	FaultLag FaultKind = "lag"
	// FaultSkew shifts the instance's clock, which "SHOW clock" tells.
	FaultSkew FaultKind = "skew"
)

// Fault is the setting of one switch.
type Fault struct {
	Kind  FaultKind
	From  []string
	Delay time.Duration
	// For is how long the fault lasts; zero lasts until it is cleared.
	For time.Duration
}

// faults is the state of an instance's switches.
type faults struct {
	cut         fleet.Set[string]
	slow        time.Duration
	lag         time.Duration
	skew        time.Duration
	lose        bool
	loseControl bool
	paused      bool
	dead        bool
}

// anyPeer in a cut stands for all peers.
const anyPeer = "*"

func (f *faults) stopped() bool {
	return f.paused || f.dead
}

func (f *faults) cutFrom(peers ...string) bool {
	return f.cut.Has(anyPeer) || slices.ContainsFunc(peers, f.cut.Has)
}

func (g *Group) instanceLocked(n fleet.Instance) (*instance, error) {
	i, ok := g.instances[n]
	if !ok {
		return nil, fmt.Errorf("ledger: no instance %q", n)
	}
	return i, nil
}

// Set turns a fault of the instance n on.
func (g *Group) Set(n fleet.Instance, f Fault) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	i, err := g.instanceLocked(n)
	if err != nil {
		return err
	}
	if err := i.switchLocked(f, true); err != nil {
		return err
	}
	g.wakeLocked()
	if f.For > 0 {
		g.clearLater(n, f)
	}
	return nil
}

// clearLater clears f when it has lasted f.For.
func (g *Group) clearLater(n fleet.Instance, f Fault) {
	var t *time.Timer
	t = time.AfterFunc(f.For, func() {
		g.mu.Lock()
		delete(g.timers, t)
		g.mu.Unlock()
		_ = g.Clear(n, f.Kind)
	})
	g.timers[t] = struct{}{}
}

// Clear turns a fault of the instance n off.
func (g *Group) Clear(n fleet.Instance, k FaultKind) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	i, err := g.instanceLocked(n)
	if err != nil {
		return err
	}
	if g.closed {
		return nil
	}
	err = i.switchLocked(Fault{Kind: k, Delay: g.normal(k)}, false)
	g.wakeLocked()
	return err
}

// normal returns the delay that a cleared fault goes back to.
func (g *Group) normal(k FaultKind) time.Duration {
	if k == FaultLag {
		return g.cfg.Lag
	}
	return 0
}

func (i *instance) switchLocked(f Fault, on bool) error {
	switch f.Kind {
	case FaultCut:
		i.faults.cut = fleet.NewSet(f.From...)
	case FaultSlow:
		i.faults.slow = f.Delay
	case FaultLose:
		i.faults.lose = on
	case FaultLoseControl:
		i.faults.loseControl = on
	case FaultPause:
		i.faults.paused = on
	case FaultDie:
		return i.dieLocked(on)
	case FaultLag:
		i.faults.lag = f.Delay
	case FaultSkew:
		i.faults.skew = f.Delay
	default:
		return fmt.Errorf("ledger: no fault %q", f.Kind)
	}
	return nil
}

func (i *instance) dieLocked(die bool) error {
	if die == i.faults.dead {
		return nil
	}
	i.faults.dead = die
	if die {
		i.stopLocked()
		return nil
	}
	return i.listen()
}
