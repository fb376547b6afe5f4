package allot_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"skylarkdeal/core/allot"
	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/roster"
)

// event is something that happens at a time of the true clock.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(v any)   { *e = append(*e, v.(event)) }
func (e *events) Pop() any {
	v := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return v
}

// world is a fleet around the decisions of this package: hosts with clocks of
// their own, a store, and a network between them that can be cut.
type world struct {
	now    time.Duration
	queue  events
	seq    int
	random *rand.Rand
	hosts  []*host
	dcs    []fleet.DataCentre
	// chaos makes every host claim its data centre's seat whenever it likes, and
	// messages late or lost.
	chaos bool
	// lend is unset when hosts ask only the home of their own data centre.
	lend bool
	doc  *document.Document

	seats map[allot.SeatName]allot.SeatRecord
	// left is what homes that gave their seat up had, as io/grants writes it
	// into the record.
	left      map[allot.SeatName]float64
	leases    map[fleet.Host]lease
	cut       map[fleet.DataCentre]time.Duration
	storeDown time.Duration

	admitted []time.Time
	refused  int
	calls    int
}

// lease is a host's registration in the store.
type lease struct {
	name  uint64
	until time.Duration
}

// waiter is an exchange that waits for a token.
type waiter struct {
	limit time.Time
	done  func(bool)
}

// host is one host of the world; its process changes when it restarts.
type host struct {
	w     *world
	name  fleet.Host
	dc    fleet.DataCentre
	drift float64
	// lag is how far the monotonic clock is behind the wall clock.
	lag    time.Duration
	paused time.Duration
	dead   time.Duration

	process allot.Process
	doc     *document.Document
	spender allot.Spender
	home    allot.Home
	seat    allot.Seat
	claim   allot.Claim
	witness allot.Witness
	lease   roster.Lease
	target  map[fleet.DataCentre]int
	waiters []waiter
	// round counts the rounds of seats. One ends with its last answer or after
	// the store's timeout; answers that come later are nobody's.
	round     int
	roundEnds time.Duration
	// ticking is set while steps follow one another because exchanges wait.
	ticking bool
}

var epoch = time.Unix(1_700_000_000, 0)

const account fleet.Account = "hotel"

func newWorld(seed uint64, perDC int, dcs []fleet.DataCentre, rate, burst float64) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 1)), lend: true, dcs: dcs,
		seats: map[allot.SeatName]allot.SeatRecord{}, left: map[allot.SeatName]float64{}, leases: map[fleet.Host]lease{},
		cut: map[fleet.DataCentre]time.Duration{}, doc: newDoc(1, dcs, rate, burst),
	}
	for _, d := range dcs {
		for i := range perDC {
			w.addHost(fleet.Host(fmt.Sprintf("%s-%d", d, i)), d)
		}
	}
	return w
}

func newDoc(v document.Version, dcs []fleet.DataCentre, rate, burst float64) *document.Document {
	return &document.Document{
		Service: "orders", Version: v, DataCentres: dcs,
		Accounts: []document.Account{{Name: account, Rate: rate, Burst: burst}},
	}
}

func (w *world) addHost(n fleet.Host, d fleet.DataCentre) *host {
	h := &host{w: w, name: n, dc: d}
	w.hosts = append(w.hosts, h)
	h.boot()
	return h
}

// at does f after d.
func (w *world) at(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + d, w.seq, f})
}

// run lets the world go on until the true time t.
func (w *world) run(t time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= t {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = t
}

// boot starts a new process on the host, which has forgotten everything.
func (h *host) boot() {
	h.process = allot.Process{Host: h.name, Epoch: h.process.Epoch + 1}
	h.doc, h.home, h.seat, h.claim = h.w.doc, allot.Home{}, allot.Seat{}, allot.Claim{}
	h.witness = allot.Witness{Since: h.early()}
	h.spender = allot.Spender{Host: h.name, Own: h.dc}
	h.lease, h.waiters, h.dead = roster.Lease{}, nil, 0
	h.target = map[fleet.DataCentre]int{}
	h.roundEnds = 0
	h.ticking = false
	h.every(25*time.Millisecond, h.step)
	h.every(500*time.Millisecond, h.keepSeat)
	h.every(roster.RenewEvery, h.renew)
}

// every repeats f for the life of the process, starting somewhere in d.
func (h *host) every(d time.Duration, f func()) {
	var again func()
	again = func() { f(); h.later(d, again) }
	h.later(time.Duration(h.w.random.Int64N(int64(d))), again)
}

// later does f on the host after d, or once it is no longer paused. A process
// that has died by then does nothing.
func (h *host) later(d time.Duration, f func()) {
	p := h.process
	var run func()
	run = func() {
		switch {
		case h.process != p || h.dead > 0:
		case h.paused > h.w.now:
			h.w.at(h.paused-h.w.now, run)
		default:
			f()
		}
	}
	h.w.at(d, run)
}

func (h *host) late() time.Time {
	return epoch.Add(time.Duration(float64(h.w.now) * (1 + h.drift)))
}

func (h *host) early() time.Time {
	return h.late().Add(-h.lag)
}

func (h *host) share() allot.Share {
	a, _ := h.doc.Account(account)
	return allot.ShareOf(a.Rate, a.Burst, h.doc.Service, account, h.dc, h.doc.DataCentres)
}

// adopt puts a newer document in force on the host.
func (h *host) adopt(d *document.Document) {
	same := slices.Equal(h.doc.DataCentres, d.DataCentres)
	h.doc = d
	if h.home.Started() {
		h.home.Change(h.early(), d.Version, h.share(), same)
	}
}

// answer is a home's answer to an ask.
type answer struct {
	grant allot.Grant
	here  bool
}

func (h *host) answer(a allot.Ask) answer {
	if !h.seat.May(h.late()) {
		return answer{}
	}
	return answer{h.home.Ask(h.early(), a), true}
}

// arrive is an exchange that comes to the host.
func (h *host) arrive(done func(bool)) {
	if h.dead > 0 || h.paused > h.w.now {
		done(false)
		return
	}
	now := h.late()
	if len(h.waiters) == 0 && h.spender.Take(now, 1) {
		h.admit(done)
		return
	}
	h.waiters = append(h.waiters, waiter{now.Add(250 * time.Millisecond), done})
	h.step()
}

func (h *host) admit(done func(bool)) {
	h.w.admitted = append(h.w.admitted, epoch.Add(h.w.now))
	done(true)
}

func (h *host) refuse(i int) {
	w := h.waiters[i]
	h.waiters = slices.Delete(h.waiters, i, i+1)
	h.w.refused++
	w.done(false)
}

// step is what io/grants does for one account.
func (h *host) step() {
	now := h.late()
	for len(h.waiters) > 0 && h.spender.TakeAny(now, 1) {
		w := h.waiters[0]
		h.waiters = h.waiters[1:]
		h.admit(w.done)
	}
	for len(h.waiters) > 0 && !now.Before(h.waiters[0].limit) {
		h.refuse(0)
	}
	for len(h.waiters) > 0 {
		n := len(h.waiters)
		if !now.Add(h.spender.Soonest(now, h.rate(), allot.Tokens(n), h.dcs())).After(h.waiters[n-1].limit) {
			break
		}
		h.refuse(n - 1)
	}
	if w, ok := h.spender.Next(now, allot.Tokens(len(h.waiters)), h.dcs()); ok {
		h.ask(w, now)
	}
	if len(h.waiters) > 0 && !h.ticking {
		h.ticking = true
		h.later(5*time.Millisecond, func() {
			h.ticking = false
			h.step()
		})
	}
}

func (h *host) rate() allot.Share {
	a, _ := h.doc.Account(account)
	return allot.Share{Rate: a.Rate, Burst: a.Burst}
}

func (h *host) dcs() []fleet.DataCentre {
	if !h.w.lend && slices.Contains(h.doc.DataCentres, h.dc) {
		return []fleet.DataCentre{h.dc}
	}
	return h.doc.DataCentres
}

func (h *host) ask(w allot.Wanted, sent time.Time) {
	to := h.targetIn(w.DataCentre)
	settled := false
	back := func(a answer) {
		if settled {
			return
		}
		settled = true
		if !a.here {
			h.target[w.DataCentre]++
			h.spender.Failed(h.late(), w.DataCentre)
			return
		}
		h.spender.Granted(h.late(), sent, w.DataCentre, w.Ask, a.grant)
		h.step()
	}
	if to == h {
		back(h.answer(w.Ask))
		return
	}
	call(h, to, func() answer { return to.answer(w.Ask) }, back)
	if !h.w.chaos {
		h.later(allot.AskTimeout, func() { back(answer{}) })
	}
}

func (h *host) targetIn(d fleet.DataCentre) *host {
	var there []*host
	for _, o := range h.w.hosts {
		if o.dc == d {
			there = append(there, o)
		}
	}
	return there[h.target[d]%len(there)]
}
