package ledger

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"skylarkdeal/core/fleet"
)

// firstTerm is the term of the first instance's primaryship.
const firstTerm = 1

// Group is a running database group.
type Group struct {
	cfg   Config
	now   func() time.Time
	log   *zap.Logger
	done  chan struct{}
	tasks sync.WaitGroup
	order []*instance

	// mu guards the state of all instances, so that a status is atomic.
	mu        sync.Mutex
	instances map[fleet.Instance]*instance
	// changed is closed and replaced whenever a waiting goroutine may have to
	// look again.
	changed chan struct{}
	pid     uint32
	timers  map[*time.Timer]struct{}
	closed  bool
}

// Start opens the instances' ports and returns the running group.
func Start(cfg Config) (*Group, error) {
	if len(cfg.Instances) == 0 {
		return nil, errors.New("ledger: no instances")
	}
	g := &Group{
		cfg: cfg, now: cfg.Now, log: cfg.Log,
		done:      make(chan struct{}),
		instances: map[fleet.Instance]*instance{},
		changed:   make(chan struct{}),
		timers:    map[*time.Timer]struct{}{},
	}
	if g.now == nil {
		g.now = time.Now
	}
	if g.log == nil {
		g.log = zap.NewNop()
	}
	for _, c := range cfg.Instances {
		if err := g.add(c); err != nil {
			g.Close()
			return nil, err
		}
	}
	first := g.order[0]
	first.role, first.term, first.follows = fleet.RolePrimary, firstTerm, ""
	first.appendLocked(Op{Kind: OpPromote})
	for _, i := range g.order {
		g.tasks.Go(i.replicate)
	}
	return g, nil
}

func (g *Group) add(c InstanceConfig) error {
	if _, ok := g.instances[c.Name]; ok || c.Name == "" {
		return fmt.Errorf("ledger: instance name %q is empty or taken", c.Name)
	}
	if c.Address == "" {
		c.Address = "127.0.0.1:0"
	}
	i := newInstance(g, c)
	if err := i.listen(); err != nil {
		return fmt.Errorf("ledger: instance %s: %w", c.Name, err)
	}
	g.instances[c.Name] = i
	g.order = append(g.order, i)
	return nil
}

// Close ends all instances and their connections.
func (g *Group) Close() {
	g.mu.Lock()
	if g.closed {
		g.mu.Unlock()
		return
	}
	g.closed = true
	close(g.done)
	for t := range g.timers {
		t.Stop()
	}
	for _, i := range g.order {
		i.stopLocked()
	}
	g.wakeLocked()
	g.mu.Unlock()
	g.tasks.Wait()
}

// Address returns where the instance n listens.
func (g *Group) Address(n fleet.Instance) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if i, ok := g.instances[n]; ok {
		return i.cfg.Address
	}
	return ""
}

// Names returns the instances in the order of the Config.
func (g *Group) Names() []fleet.Instance {
	names := make([]fleet.Instance, 0, len(g.order))
	for _, i := range g.order {
		names = append(names, i.cfg.Name)
	}
	return names
}

// Status returns what the instance n would answer to "skylark status".
func (g *Group) Status(n fleet.Instance) fleet.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	if i, ok := g.instances[n]; ok {
		return i.statusLocked()
	}
	return fleet.Status{}
}

// Entries returns the log of the instance n.
func (g *Group) Entries(n fleet.Instance) []Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	i, ok := g.instances[n]
	if !ok {
		return nil
	}
	return append([]Entry(nil), i.history.entries...)
}

// Value returns what the instance n holds under key.
func (g *Group) Value(n fleet.Instance, key string) (string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	i, ok := g.instances[n]
	if !ok {
		return "", false
	}
	v, ok := i.history.values[key]
	return v, ok
}

// wakeLocked makes all waiting goroutines look again.
func (g *Group) wakeLocked() {
	close(g.changed)
	g.changed = make(chan struct{})
}

func (i *instance) listen() error {
	l, err := net.Listen("tcp", i.cfg.Address)
	if err != nil {
		return err
	}
	i.cfg.Address = l.Addr().String()
	i.listener = l
	i.group.tasks.Go(func() { i.accept(l) })
	return nil
}

// Running returns how many slots of the instance n are taken.
func (g *Group) Running(n fleet.Instance) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if i, ok := g.instances[n]; ok {
		return len(i.slots)
	}
	return 0
}
