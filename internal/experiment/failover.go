// Package experiment measures what callers see of a fleet in this process while
// it is put through faults.
package experiment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"skylarkdeal/core/fleet"
	"skylarkdeal/internal/localfleet"
	"skylarkdeal/internal/sleep"
	"skylarkdeal/standin/ledger"
	"skylarkdeal/standin/store"
)

// Fault names one way in which a primary fails.
type Fault string

// The faults. A cut parts the primary from its replicas only, or from all; half a
// cut leaves it the hosts of its data centre, which lose the other instances. The
// last two come while the store is down.
const (
	FaultCrash          Fault = "crash"
	FaultHang           Fault = "hang"
	FaultCut            Fault = "cut"
	FaultCutReplicas    Fault = "cut-from-replicas"
	FaultHalfCut        Fault = "half-cut"
	FaultCrashStoreDown Fault = "crash-store-down"
	FaultCutStoreDown   Fault = "cut-store-down"
)

// Faults lists all of them.
var Faults = []Fault{
	FaultCrash, FaultHang, FaultCut, FaultCutReplicas, FaultHalfCut, FaultCrashStoreDown, FaultCutStoreDown,
}

// spec is what a fault does.
type spec struct {
	fault     ledger.Fault
	storeDown bool
	half      bool
}

var everyone = []string{"*"}

var specs = map[Fault]spec{
	FaultCrash:          {fault: ledger.Fault{Kind: ledger.FaultDie}},
	FaultHang:           {fault: ledger.Fault{Kind: ledger.FaultPause}},
	FaultCut:            {fault: ledger.Fault{Kind: ledger.FaultCut, From: everyone}},
	FaultCutReplicas:    {fault: ledger.Fault{Kind: ledger.FaultCut, From: []string{"a", "b", "c"}}},
	FaultHalfCut:        {fault: ledger.Fault{Kind: ledger.FaultCut}, half: true},
	FaultCrashStoreDown: {fault: ledger.Fault{Kind: ledger.FaultDie}, storeDown: true},
	FaultCutStoreDown:   {fault: ledger.Fault{Kind: ledger.FaultCut, From: everyone}, storeDown: true},
}

// Gaps is what came of one fault over many runs.
type Gaps struct {
	Fault Fault
	// Times are the longest times between two acknowledged writes around each
	// failure, the shortest first.
	Times []time.Duration
	// Acknowledged writes are those that callers were told of; of these, Lost
	// aren't in the primary's log. Doubled ones stand there twice.
	Acknowledged, Lost, Doubled int
}

// Median and worst of the gaps.
func (g Gaps) median() time.Duration { return g.Times[len(g.Times)/2] }
func (g Gaps) worst() time.Duration  { return g.Times[len(g.Times)-1] }

// WriteFailover writes a line for each fault.
func WriteFailover(w io.Writer, all []Gaps) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "FAULT\tRUNS\tMEDIAN\tWORST\tACKNOWLEDGED\tLOST\tDOUBLED")
	for _, g := range all {
		fmt.Fprintf(t, "%s\t%d\t%v\t%v\t%d\t%d\t%d\n", g.Fault, len(g.Times),
			g.median().Round(time.Millisecond), g.worst().Round(time.Millisecond), g.Acknowledged, g.Lost, g.Doubled)
	}
	return t.Flush()
}

// hosts is the size of the fleet: two in each of three data centres.
const hosts = 6

// Failover fails the primary of a group runs times, each after the former one is
// back as a replica, while callers write over two hosts of different data centres.
func Failover(ctx context.Context, f Fault, runs int) (Gaps, error) {
	cfg := localfleet.Tokachi(hosts)
	cfg.Services = cfg.Services[:1]
	cfg.Services[0].Accounts[0].Rate = 2000
	cfg.Services[0].Accounts[0].Burst = 4000
	l, err := localfleet.Start(ctx, cfg)
	if err != nil {
		return Gaps{}, err
	}
	defer func() { _ = l.Close() }() // what was to be measured has been
	w := newWriters(l, cfg.Services[0])
	stop := w.start(ctx, 0, 4)
	out := Gaps{Fault: f}
	if err := await(ctx, "a group at work", func() bool { return w.acknowledged() >= warmUp }); err != nil {
		stop()
		return out, err
	}
	for range runs {
		d, err := w.gap(ctx, specs[f])
		if err != nil {
			stop()
			return out, fmt.Errorf("%s: %w", f, err)
		}
		out.Times = append(out.Times, d)
	}
	stop()
	slices.Sort(out.Times)
	out.Acknowledged, out.Lost, out.Doubled = w.count()
	return out, nil
}

// warmUp is how many writes come before the first failure: a group fresh from its
// start has no usual lag yet by which to judge its replicas.
const warmUp = 200

// settle is how long writes go on between a failover and the return of the
// former primary.
const settle = 200 * time.Millisecond

// resumed is how fresh the last acknowledged write is once writes go on.
const resumed = 50 * time.Millisecond

// gap puts the fault on the present primary, and returns the longest time between
// two acknowledged writes until all instances are back in one term.
func (w *writers) gap(ctx context.Context, s spec) (time.Duration, error) {
	g := w.group()
	p, term := primary(g)
	w.reset()
	down := func(on bool) { w.fleet.Store.Set(func(f *store.Faults) { f.Down = on && s.storeDown }) }
	down(true)
	defer down(false)
	if err := w.inject(p, s); err != nil {
		return 0, err
	}
	err := errors.Join(
		await(ctx, "a promotion", func() bool { _, t := primary(g); return t > term }),
		await(ctx, "a write on the new primary", func() bool { return w.since() < resumed }),
	)
	time.Sleep(settle)
	for _, n := range g.Names() {
		err = errors.Join(err, g.Clear(n, s.fault.Kind))
	}
	down(false)
	err = errors.Join(err, await(ctx, "the former primary's return", func() bool {
		n, t := primary(g)
		return g.Status(p).Promised == t && g.Status(p).Follows == n
	}))
	return w.longest(), err
}

// inject puts the fault on the primary p, and for half a cut on the others too.
func (w *writers) inject(p fleet.Instance, s spec) error {
	g := w.group()
	f := s.fault
	f.From = slices.DeleteFunc(slices.Clone(f.From), func(n string) bool { return n == string(p) })
	if !s.half {
		return g.Set(p, f)
	}
	at := slices.Index(g.Names(), p)
	near, far := w.fleet.HostsIn(w.service.DataCentres[at%len(w.service.DataCentres)])
	var errs []error
	for _, n := range g.Names() {
		if n == p {
			continue
		}
		f.From = append(f.From, string(n))
		errs = append(errs, g.Set(n, ledger.Fault{Kind: f.Kind, From: names(near)}))
	}
	f.From = append(f.From, names(far)...)
	return errors.Join(append(errs, g.Set(p, f))...)
}

func names(hosts []fleet.Host) []string {
	out := make([]string, 0, len(hosts))
	for _, h := range hosts {
		out = append(out, string(h))
	}
	return out
}

// primary returns the instance that serves in the highest term.
func primary(g *ledger.Group) (fleet.Instance, fleet.Term) {
	var best fleet.Status
	for _, n := range g.Names() {
		s := g.Status(n)
		if s.Role == fleet.RolePrimary && s.Last.Term >= best.Last.Term {
			best = s
		}
	}
	return best.Instance, best.Last.Term
}

// awaitTimeout bounds the wait for one step of a failover.
const awaitTimeout = 20 * time.Second

func await(ctx context.Context, what string, ok func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, awaitTimeout)
	defer cancel()
	for !ok() {
		if !sleep.For(ctx, time.Millisecond) {
			return fmt.Errorf("no sign of %s", what)
		}
	}
	return nil
}
