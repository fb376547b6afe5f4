package groupmonitor_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"skylarkdeal/core/document"
	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/group/grouptest"
	"skylarkdeal/core/journal"
	"skylarkdeal/io/control"
	"skylarkdeal/io/groupmonitor"
	"skylarkdeal/io/host/hostpb"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// fault is the fault of an instance, as all hosts see it.
type fault string

const (
	healthy fault = ""
	crashed fault = "crashed"
	hung    fault = "hung"
	full    fault = "full"
)

// cluster is a group of instances and its holders in one process, with a real
// clock and links that take a millisecond each way.
type cluster struct {
	ctx  context.Context
	stop context.CancelFunc
	wait sync.WaitGroup
	doc  document.Document
	// moved replaces doc once it is set.
	moved     atomic.Pointer[document.Document]
	hosts     []fleet.Member
	monitors  map[fleet.Host]*groupmonitor.Monitor
	journals  map[fleet.Host]*journal.Journal
	link      time.Duration
	mu        sync.Mutex
	instances map[fleet.Instance]*grouptest.Instance
	faults    map[fleet.Instance]fault
	// unreachable holds, by host, the instances that it can't reach; cutOffHosts are
	// the hosts that no other host reaches.
	unreachable map[fleet.Host]map[fleet.Instance]bool
	cutOffHosts map[fleet.Host]bool
	slow        map[fleet.Instance]time.Duration
	// cutOffInstances are the instances that no other reaches.
	cutOffInstances map[fleet.Instance]bool
	// statusRequests counts the status requests of each host.
	statusRequests map[fleet.Host]int
	// closed counts the connections that each host has closed.
	closed map[fleet.Host]int
	// clockAhead is how far h0's clock is ahead, as after a pause of its process.
	// beforeClockRead, once it is set, is called before each reading of that clock.
	// While clockStopped is set, each reading of that clock is that time.
	clockAhead      atomic.Int64
	clockStopped    atomic.Pointer[time.Time]
	beforeClockRead atomic.Pointer[func()]
}

// now is h0's clock.
func (c *cluster) now() time.Time {
	if f := c.beforeClockRead.Load(); f != nil {
		(*f)()
	}
	if t := c.clockStopped.Load(); t != nil {
		return *t
	}
	return time.Now().Add(time.Duration(c.clockAhead.Load()))
}

// newCluster starts a group of three instances in three data centres with a
// holder in each. A replica has its primary's entries after lag.
func newCluster(tb testing.TB, lag time.Duration) *cluster {
	tb.Helper()
	c := &cluster{
		link:            time.Millisecond,
		monitors:        make(map[fleet.Host]*groupmonitor.Monitor),
		journals:        make(map[fleet.Host]*journal.Journal),
		instances:       make(map[fleet.Instance]*grouptest.Instance),
		faults:          make(map[fleet.Instance]fault),
		unreachable:     make(map[fleet.Host]map[fleet.Instance]bool),
		cutOffHosts:     make(map[fleet.Host]bool),
		slow:            make(map[fleet.Instance]time.Duration),
		cutOffInstances: make(map[fleet.Instance]bool),
		statusRequests:  make(map[fleet.Host]int),
		closed:          make(map[fleet.Host]int),
	}
	c.ctx, c.stop = context.WithCancel(context.Background())
	c.doc.Service = "orders"
	for n, i := range grouptest.New("a", "b", "c") {
		c.instances[i.Name] = i
		dc := fleet.DataCentre(fmt.Sprintf("dc%d", n))
		c.doc.Instances = append(c.doc.Instances, document.Instance{
			Name: i.Name, Address: fmt.Sprintf("127.0.0.1:%d", n+1), DataCentre: dc, Slots: 2, Connections: 16,
		})
		h := fleet.Host(fmt.Sprintf("h%d", n))
		c.hosts = append(c.hosts, fleet.Member{Host: h, DataCentre: dc})
		c.unreachable[h] = make(map[fleet.Instance]bool)
	}
	c.wait.Go(func() { c.replicate(lag) })
	for n, m := range c.hosts {
		c.prepare(m, uint64(n))
	}
	// The monitors request views from each other from the start, so all are
	// made before one runs.
	for _, s := range c.monitors {
		c.wait.Go(func() { s.Run(c.ctx) })
	}
	tb.Cleanup(func() {
		c.stop()
		c.wait.Wait()
	})
	return c
}

func (c *cluster) prepare(m fleet.Member, seed uint64) {
	j := new(journal.Journal)
	now := time.Now
	if m.Host == "h0" {
		now = c.now
	}
	s := groupmonitor.New(groupmonitor.Config{
		Service: "orders", Host: m.Host, DataCentre: m.DataCentre, Epoch: seed + 1, Seed: seed,
		Document:    c.document,
		Dial:        func(i document.Instance) control.Client { return c.dial(m.Host, i.Name) },
		Holders:     c.holders,
		RequestView: func(ctx context.Context, o fleet.Member) (*hostpb.ViewResponse, error) { return c.view(ctx, m, o) },
		Journal:     j,
		Now:         now,
	})
	c.monitors[m.Host], c.journals[m.Host] = s, j
}

func (c *cluster) document() *document.Document {
	if d := c.moved.Load(); d != nil {
		return d
	}
	return &c.doc
}

func (c *cluster) holders() []fleet.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hosts
}

func (c *cluster) view(ctx context.Context, from, to fleet.Member) (*hostpb.ViewResponse, error) {
	c.mu.Lock()
	gone := c.cutOffHosts[from.Host] || c.cutOffHosts[to.Host]
	c.mu.Unlock()
	if gone {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if err := sleep(ctx, 2*c.link); err != nil {
		return nil, err
	}
	return c.monitors[to.Host].HandleView(), nil
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// call runs f at an instance as a host sees it.
func (c *cluster) call(
	ctx context.Context, h fleet.Host, n fleet.Instance, f func(i *grouptest.Instance) error,
) (fleet.Status, error) {
	c.mu.Lock()
	late := c.slow[n]
	c.mu.Unlock()
	if err := sleep(ctx, c.link+late); err != nil {
		return fleet.Status{}, err
	}
	st, err := c.serve(h, n, f)
	if errors.Is(err, errHung) {
		<-ctx.Done()
		return st, ctx.Err()
	}
	if err := sleep(ctx, c.link); err != nil {
		return fleet.Status{}, err
	}
	return st, err
}

var errHung = errors.New("no answer")

func (c *cluster) serve(h fleet.Host, n fleet.Instance, f func(i *grouptest.Instance) error) (fleet.Status, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.faults[n] == crashed {
		return fleet.Status{}, syscall.ECONNREFUSED
	}
	if c.faults[n] == full {
		return fleet.Status{}, &failure.Refusal{Code: failure.CodeTooManySessions}
	}
	if c.faults[n] == hung || c.unreachable[h][n] {
		return fleet.Status{}, errHung
	}
	i := c.instances[n]
	err := f(i)
	return i.Status(), err
}

func (c *cluster) dial(h fleet.Host, n fleet.Instance) control.Client {
	return control.Client{
		Status: func(ctx context.Context) (fleet.Status, error) {
			c.set(func() { c.statusRequests[h]++ })
			return c.call(ctx, h, n, func(*grouptest.Instance) error { return nil })
		},
		Fence: func(ctx context.Context, t fleet.Term, p fleet.Host) (fleet.Status, error) {
			return c.call(ctx, h, n, func(i *grouptest.Instance) error { return i.Fence(t, p) })
		},
		Promote: func(ctx context.Context, t fleet.Term, p fleet.Host) (fleet.Status, error) {
			return c.call(ctx, h, n, func(i *grouptest.Instance) error { return i.Promote(t, p) })
		},
		Follow: func(ctx context.Context, t fleet.Term, p fleet.Instance, _ string) (fleet.Status, error) {
			return c.call(ctx, h, n, func(i *grouptest.Instance) error { return i.Follow(t, p) })
		},
		Close: func() { c.set(func() { c.closed[h]++ }) },
	}
}

// replicate has every replica copy its primary's entries once they are as old
// as lag.
func (c *cluster) replicate(lag time.Duration) {
	type mark struct {
		at  time.Time
		len map[fleet.Instance]int
	}
	var marks []mark
	for sleep(c.ctx, time.Millisecond) == nil {
		c.mu.Lock()
		now := time.Now()
		m := mark{at: now, len: make(map[fleet.Instance]int)}
		for n, i := range c.instances {
			m.len[n] = len(i.Log)
		}
		marks = append(marks, m)
		for len(marks) > 1 && now.Sub(marks[1].at) >= lag {
			marks = marks[1:]
		}
		for _, i := range c.instances {
			from := c.instances[i.Follows]
			if from == nil || c.faults[i.Name] != healthy || c.faults[from.Name] != healthy ||
				c.cutOffInstances[i.Name] || c.cutOffInstances[from.Name] {
				continue
			}
			if n := marks[0].len[from.Name] - len(i.Log); n > 0 || from.Last().Term > i.Last().Term {
				_ = i.Copy(from, max(n, 1))
			}
		}
		c.mu.Unlock()
	}
}

func (c *cluster) set(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// statusRequestCount returns the number of status requests of a host.
func (c *cluster) statusRequestCount(h fleet.Host) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.statusRequests[h]
}

// checkNotLost checks that the primary of the highest term has all acknowledged
// writes.
func (c *cluster) checkNotLost(tb testing.TB, acked map[fleet.LogPosition]string) {
	tb.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	top := c.instances["a"]
	for _, i := range c.instances {
		if i.Role == fleet.RolePrimary && i.Last().Term > top.Last().Term {
			top = i
		}
	}
	for p, v := range acked {
		if int(p.Index) > len(top.Log) || top.Log[p.Index-1].Value != v {
			tb.Fatalf("acknowledged write %v = %s is lost", p, v)
		}
	}
}

var errNoPrimary = errors.New("no primary is known")

// write writes a value through one host and waits for its acknowledgement.
func (c *cluster) write(
	h fleet.Host, rule document.Acknowledge, value string, limit time.Duration,
) (fleet.LogPosition, error) {
	s := c.monitors[h]
	t := s.Snapshot()
	p, ok := t.Find(t.Primary)
	if !ok || p.Silent(time.Now()) > 150*time.Millisecond {
		return fleet.LogPosition{}, errNoPrimary
	}
	ctx, cancel := context.WithTimeout(c.ctx, limit)
	defer cancel()
	var at fleet.LogPosition
	_, err := c.call(ctx, h, t.Primary, func(i *grouptest.Instance) error {
		var err error
		at, err = i.Append(value)
		return err
	})
	if err != nil {
		return at, err
	}
	out := make(chan error, 1)
	s.Confirm(at, rule, time.Now().Add(limit), func(err error) { out <- err })
	return at, <-out
}

// eventually waits until f holds.
func eventually(tb testing.TB, f func() bool) {
	tb.Helper()
	end := time.Now().Add(20 * time.Second)
	for !f() {
		if time.Now().After(end) {
			tb.Fatal("the condition didn't come about in 20 s")
		}
		time.Sleep(time.Millisecond)
	}
}

// ready waits until every holder knows the primary.
func (c *cluster) ready(tb testing.TB) {
	tb.Helper()
	eventually(tb, func() bool {
		for _, s := range c.monitors {
			if s.Snapshot().Primary == "" {
				return false
			}
		}
		return true
	})
}
