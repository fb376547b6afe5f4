package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"skylarkdeal/internal/sleep"
	"skylarkdeal/standin/machines"
)

// play carries the plan out and returns once all faults have ended.
func (f *fleet) play(ctx context.Context, es []event) {
	var all sync.WaitGroup
	began := time.Now()
	for _, e := range es {
		all.Go(func() {
			if !sleep.For(ctx, time.Until(began.Add(e.At))) {
				return
			}
			f.judge.tell("fault " + e.String())
			hs, instance := f.concerned(e), f.instanceOf(e)
			for _, h := range hs {
				h.trouble(1)
			}
			ends := f.judge.disturb(e.disturbs(instance)...)
			f.inflict(ctx, e, hs, instance)
			ends()
			for _, h := range hs {
				h.trouble(-1)
			}
			f.judge.tell("fault ends: " + e.String())
		})
	}
	all.Wait()
}

// instanceOf returns the instance that the event is about.
func (f *fleet) instanceOf(e event) string {
	if e.Instance < 0 {
		return f.machines.Primary(e.Service)
	}
	return f.machines.Instances(e.Service)[e.Instance]
}

// concerned returns the hosts that don't owe a change of the catalog in time because of a fault. One
// of the store as a whole concerns all.
func (f *fleet) concerned(e event) []*host {
	switch e.Kind {
	case faultTerm, faultKill, faultPause, faultDelay, faultReset, faultStoreCut, faultStoreLoses, faultStoreRefuses:
		return []*host{f.hosts[e.Host]}
	case faultRoll, faultKillAll, faultStoreDown, faultStoreSilent, faultStoreSlow, faultStoreForgets:
		return f.hosts
	case faultStoreSome:
		var hs []*host
		luck := rand.New(rand.NewPCG(uint64(e.N), uint64(e.Host)))
		for _, n := range luck.Perm(len(f.hosts))[:len(f.hosts)*(minPercent+e.N/2)/100] {
			hs = append(hs, f.hosts[n])
		}
		return hs
	default:
		return nil
	}
}

// minPercent is how many hosts the store treats badly at least, up to three quarters with what is
// drawn.
const minPercent = 25

// inflict carries one fault out, from its start to its end.
func (f *fleet) inflict(ctx context.Context, e event, concerned []*host, instance string) {
	h := f.hosts[e.Host]
	l := f.link(h.name, instance)
	m := f.machines
	rest := func() { sleep.For(ctx, e.Lasts) }
	switch e.Kind {
	case faultTerm:
		f.restart(h, syscall.SIGTERM, rest)
	case faultKill:
		f.restart(h, syscall.SIGKILL, rest)
	case faultPause:
		h.signal(syscall.SIGSTOP)
		rest()
		h.signal(syscall.SIGCONT)
	case faultRoll:
		for _, o := range f.hosts {
			f.restart(o, syscall.SIGTERM, func() {})
		}
	case faultKillAll:
		for _, o := range f.hosts {
			o.signal(syscall.SIGKILL)
		}
		rest()
		for _, o := range f.hosts {
			f.restart(o, syscall.SIGKILL, func() {})
		}
	case faultDelay:
		l.setDelay(time.Duration(e.N) * time.Millisecond)
		rest()
		l.setDelay(0)
	case faultReset:
		for range 1 + e.N%5 {
			l.reset()
			sleep.For(ctx, e.Lasts/5)
		}
	case faultCutOut:
		cut(rest, []*link{l}, wayOut)
	case faultCutBack:
		cut(rest, []*link{l}, wayBack)
	case faultSilence:
		cut(rest, []*link{l}, wayOut, wayBack)
	case faultOff:
		var ls []*link
		for _, n := range m.Instances(e.Service) {
			ls = append(ls, f.link(h.name, n))
		}
		cut(rest, ls, wayOut, wayBack)
	case faultStoreCut:
		cut(rest, []*link{h.storeLink}, wayOut, wayBack)
	case faultOrdersCut:
		cut(rest, []*link{h.ordersLink}, wayOut)
	case faultStoreDown:
		f.storeFault(rest, machines.StoreRefuses, f.hosts...)
	case faultStoreSilent:
		f.storeFault(rest, machines.StoreSilent, f.hosts...)
	case faultStoreSlow:
		f.storeFault(rest, machines.StoreSlow, f.hosts...)
	case faultStoreLoses:
		f.storeFault(rest, machines.StoreLoses, h)
	case faultStoreRefuses:
		f.storeFault(rest, machines.StoreCrowded, h)
	case faultStoreForgets:
		m.Store.Forget()
	case faultCrash:
		f.crash(instance, rest)
	case faultLost:
		m.Lose(instance, 1+e.N/10)
	case faultRelease:
		m.SetDraining(instance)
		rest()
		f.crash(instance, rest)
	case faultLag:
		m.SetLag(instance, e.Lasts)
		rest()
		m.SetLag(instance, 0)
	case faultSplit:
		m.SetSplit(instance, true)
		rest()
		m.SetSplit(instance, false)
	case faultLagCrash:
		f.lagAndCrash(ctx, e.Service, e.Lasts)
	case faultSplitCut:
		primary := m.Primary(e.Service)
		m.SetSplit(primary, true)
		cut(rest, []*link{f.link(h.name, primary)}, wayOut, wayBack)
		m.SetSplit(primary, false)
	case faultHoldOrder:
		f.holdAtPromotion(ctx, e)
	case faultCatalog:
		f.operator.write(change{gives: true, withdraws: true})
	case faultCatalogSeries:
		f.writeSeries(ctx, e)
	case faultStoreSome:
		f.storeFault(rest, e.aimed(), concerned...)
	case faultStoreReaders:
		f.turnCallersAway(ctx, e)
	case faultBurst:
		f.burst(ctx, e)
	case faultOverRate:
		f.exceedRate(ctx, e)
	case faultRest:
		f.restInTransactions(ctx, e)
	case faultFails, faultSheds, faultHangs, faultSlow:
		end := m.FaultStatements(instance, e.statementFault(h.dataCentre))
		rest()
		end()
	}
}

// aimed returns how the store treats single hosts.
func (e event) aimed() machines.StoreFault { return aimedStoreFaults[e.N%len(aimedStoreFaults)] }

// turnCallersAway has the store treat each host badly from its next call on, up to five of six.
func (f *fleet) turnCallersAway(ctx context.Context, e event) {
	began, store := time.Now(), f.machines.Store
	troubled := map[string]bool{}
	store.TurnAway(e.aimed(), len(f.hosts)*5/6)
	for time.Since(began) < e.Lasts && sleep.For(ctx, readyEvery) {
		f.troubleTurned(store.TurnedAway(), troubled)
	}
	f.troubleTurned(store.TurnedAway(), troubled)
	store.ServeAll()
	for _, h := range f.hosts {
		if troubled[string(h.name)] {
			h.trouble(-1)
		}
	}
	f.judge.tell(fmt.Sprintf("the store has turned %d hosts away", len(troubled)))
}

// troubleTurned takes in which hosts are turned away.
func (f *fleet) troubleTurned(names []string, troubled map[string]bool) {
	for _, h := range f.hosts {
		if n := string(h.name); slices.Contains(names, n) && !troubled[n] {
			troubled[n] = true
			h.trouble(1)
		}
	}
}

// maxSeries is how many versions of the catalog follow each other at most.
const maxSeries = 8

// writeSeries writes versions of the catalog at a pace that is drawn. Each second one withdraws the
// oldest grant.
func (f *fleet) writeSeries(ctx context.Context, e event) {
	pace := time.Duration(30+4*e.N) * time.Millisecond
	for n := range 2 + e.N%(maxSeries-1) {
		f.operator.write(change{gives: n%2 == 0, withdraws: n%2 == 1})
		if !sleep.For(ctx, pace) {
			return
		}
	}
}

// cut holds ways of links back for a while.
func cut(rest func(), ls []*link, ws ...way) {
	for _, l := range ls {
		for _, w := range ws {
			l.hold(w, 1)
		}
	}
	rest()
	for _, l := range ls {
		for _, w := range ws {
			l.hold(w, -1)
		}
	}
}

func (f *fleet) storeFault(rest func(), k machines.StoreFault, hs ...*host) {
	for _, h := range hs {
		f.machines.Store.SetFault(string(h.name), k)
	}
	rest()
	for _, h := range hs {
		f.machines.Store.SetFault(string(h.name), machines.StoreWell)
	}
}

// crash ends an instance, and brings it back after a while.
func (f *fleet) crash(instance string, rest func()) {
	f.machines.Kill(instance)
	rest()
	f.machines.Restart(instance)
}

// lagAndCrash has replicas fall behind for a while, each by another time, and ends the
// primary halfway.
func (f *fleet) lagAndCrash(ctx context.Context, service string, d time.Duration) {
	primary := f.machines.Primary(service)
	for n, i := range f.machines.Instances(service) {
		f.machines.SetLag(i, d/time.Duration(n+1))
	}
	sleep.For(ctx, d/2)
	f.crash(primary, func() { sleep.For(ctx, d) })
	for _, i := range f.machines.Instances(service) {
		f.machines.SetLag(i, 0)
	}
}

const (
	// orderWithin is how long an event waits for the next order.
	orderWithin = 5 * time.Second
	// maxHeld is how long answers are held back at most: hosts give up a connection later.
	maxHeld = 400 * time.Millisecond
)

// holdAtPromotion waits for the next order of a group, and holds all answers of its instance
// back while it becomes the primary. Some were given before, some after.
func (f *fleet) holdAtPromotion(ctx context.Context, e event) {
	began := time.Now()
	var o arrival
	for !o.at.After(began) {
		if time.Since(began) > orderWithin || !sleep.For(ctx, holdEvery) {
			return
		}
		f.judge.mu.Lock()
		o = f.judge.orders[e.Service]
		f.judge.mu.Unlock()
	}
	held := min(e.Lasts, maxHeld)
	sleep.For(ctx, time.Until(o.at.Add(machines.PromoteAfter-held/2)))
	var ls []*link
	for _, h := range f.hosts {
		ls = append(ls, f.link(h.name, o.order.Instance))
	}
	cut(func() { sleep.For(ctx, held) }, ls, wayBack)
}

// graceAndMore is how long a host may take to end.
const graceAndMore = 4 * time.Second

// restart ends a host's process and starts it again after a while. One that doesn't end in
// its grace is killed, as the platform does.
func (f *fleet) restart(h *host, s syscall.Signal, rest func()) {
	h.signal(s)
	if !h.await(graceAndMore) {
		h.kill()
	}
	rest()
	if err := f.start(h); err != nil {
		f.judge.tell(fmt.Sprintf("restart of %s: %v", h.name, err))
	}
}
