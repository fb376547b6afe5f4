package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"skylarkdeal/internal/sleep"
	"skylarkdeal/standin/machines"
)

const (
	// kiosk is the account that goes over its rate, kioskRate how many operations a second it may have.
	kiosk     = "kiosk"
	kioskRate = 60
	// kioskCallers ask for about five times the rate.
	kioskCallers = 12
	// restingCallers are half again as many as an instance takes connections. restMin and restMax bound how
	// long they rest, less than the operator's limit.
	restingCallers = 48
	restMin        = 500 * time.Millisecond
	restMax        = 2 * time.Second
	// burstMin is how many callers come in a burst at least, burstMore how many more at most.
	burstMin, burstMore = 40, 25
	// burstWork is how many times the usual the statements of a burst take. An instance then serves the
	// usual callers of the most urgent route and no burst.
	burstWork = 4
	// burstLag has the replicas too far behind for any route, so that the primary serves all.
	burstLag = 3 * time.Second
	// leastPercent is the least share of its statements that a faulty instance fails, sheds, hangs on or slows.
	leastPercent = 40
	// slowWork is how many times the usual a slow statement takes.
	slowWork = 8
	// maxDraw is the greatest N of an event; percent is the whole of a share in percent.
	maxDraw = 100
	percent = 100
	// leastUrgentPriority is that of the least urgent routes.
	leastUrgentPriority = 2
)

// mostUrgentOf and leastUrgentOf return the databases of a group with the most and the least urgent route, ownOf
// the one between.
func mostUrgentOf(service string) string  { return service + "-rush" }
func leastUrgentOf(service string) string { return service + "-view" }
func ownOf(service string) string         { return service + "-own" }

var statementFaults = map[faultKind]machines.StatementFaultKind{
	faultFails: machines.StatementFails, faultSheds: machines.StatementShed, faultHangs: machines.StatementHangs,
	faultSlow: machines.StatementSlow,
}

// statementFault returns what the event has an instance do to all hosts or to those of a data centre.
func (e event) statementFault(dataCentre string) machines.StatementFault {
	f := machines.StatementFault{
		Kind: statementFaults[e.Kind], Percent: leastPercent + (percent-leastPercent)*e.N/maxDraw, Factor: slowWork,
	}
	if e.N%2 == 0 {
		f.DataCentre = dataCentre
	}
	return f
}

// disturbs names what the event keeps from its work.
func (e event) disturbs(instance string) []string {
	switch e.Kind {
	case faultOverRate, faultCatalog, faultCatalogSeries:
		return nil
	case faultBurst, faultRest:
		return []string{loadOf(e.Service)}
	case faultFails, faultSheds, faultHangs, faultSlow:
		return []string{instance}
	case faultDelay, faultReset, faultCutOut, faultCutBack, faultSilence, faultOff, faultCrash, faultLost, faultRelease,
		faultLag, faultSplit, faultLagCrash, faultSplitCut, faultHoldOrder:
		return []string{e.Service}
	default:
		return []string{allServices}
	}
}

// named returns the database with a name.
func (f *fleet) named(name string) database {
	for _, d := range f.databases {
		if d.name == name {
			return d
		}
	}
	return database{}
}

// withCallers has callers beside the usual ones work for a while.
func (f *fleet) withCallers(ctx context.Context, e event, callers int, account string, of func(n int) database) {
	ctx, stop := context.WithTimeout(ctx, e.Lasts)
	defer stop()
	var all sync.WaitGroup
	for n := range callers {
		k := &caller{
			name: fmt.Sprintf("x%d", f.extras.Add(1)), database: of(n), account: account, key: keys[account],
			hosts: f.hosts, judge: f.judge, luck: rand.New(rand.NewPCG(uint64(e.At), uint64(n))),
			rests: e.Kind == faultRest,
		}
		all.Go(func() { k.run(ctx) })
	}
	all.Wait()
}

// burst has many callers of a route that isn't the most urgent of its group, while the group's statements
// take long and the primary serves all.
func (f *fleet) burst(ctx context.Context, e event) {
	name := leastUrgentOf(e.Service)
	if e.N%2 == 0 {
		name = ownOf(e.Service)
	}
	for _, i := range f.machines.Instances(e.Service) {
		f.machines.SetLag(i, burstLag)
		defer f.machines.SetLag(i, 0)
		defer f.machines.FaultStatements(i, machines.StatementFault{
			Kind: machines.StatementSlow, Percent: percent, Factor: burstWork,
		})()
	}
	f.withCallers(ctx, e, burstMin+burstMore*e.N/maxDraw, "bakery", func(int) database { return f.named(name) })
}

// exceedRate has an account ask for more than its rate.
func (f *fleet) exceedRate(ctx context.Context, e event) {
	f.withCallers(ctx, e, kioskCallers, kiosk, func(n int) database { return f.databases[n%len(f.databases)] })
}

// restInTransactions has callers hold more connections to a primary than it takes.
func (f *fleet) restInTransactions(ctx context.Context, e event) {
	f.withCallers(ctx, e, restingCallers, "bakery", func(int) database { return f.named(ownOf(e.Service)) })
}

// rest writes in a transaction, rests and commits; it reports false if the session can't go on.
func (k *caller) rest(s *session) bool {
	a := k.judge.begin(s, true)
	a.rests = true
	if !k.do(s, a, "BEGIN") || !k.do(s, a, k.write(s)) {
		return false
	}
	sleep.For(context.Background(), restMin+time.Duration(k.luck.Int64N(int64(restMax-restMin))))
	return k.do(s, a, "COMMIT")
}
