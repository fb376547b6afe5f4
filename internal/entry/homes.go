package entry

import (
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/mesh"
	"skylarkdeal/core/quota"
	"skylarkdeal/core/ratelimit"
	"skylarkdeal/internal/clock"
	"skylarkdeal/io/gossip"
	"skylarkdeal/io/slots"
)

const (
	// claimInterval is how often it is checked which slots are free. A host that has started waits first until it has
	// heard the others.
	claimInterval = 250 * time.Millisecond
	// heldTimeout is how long the loop may take to stop the homes.
	heldTimeout = 5 * time.Second
)

// wholeFleet is the data centre of all accounts where the settings name none.
const wholeFleet fleet.DataCentre = "fleet"

// homes is what the host does as a home of accounts, and towards the other homes.
type homes struct {
	keeper *slots.Keeper
	claims ratelimit.Claims
	// wanted are the slots to take.
	wanted    atomic.Uint32
	claimedAt time.Time
	// addresses are where hosts have sent tokens or requests from, or told that they hold slots.
	addresses gossip.Addresses
}

func (h *Host) initHomes() {
	self := quota.Process{Host: h.settings.Host.Name, Epoch: h.peers.epoch}
	h.rates.Process = self
	h.rates.DataCentres = slices.Sorted(maps.Keys(h.settings.Regions))
	h.rates.DataCentre = h.settings.Host.DataCentre
	if len(h.rates.DataCentres) == 0 {
		h.rates.DataCentres, h.rates.DataCentre = []fleet.DataCentre{wholeFleet}, wholeFleet
	}
	h.rates.Send = func(to fleet.Host, m ratelimit.Message) {
		a := h.homes.addresses[to]
		if a == nil {
			a = h.peers.addresses[to]
		}
		if a != nil {
			h.gossip.SendTokens(self, m, h.homes.addresses, a)
		}
	}
	h.rates.Guide = h.guide
	h.rates.RequestTick = h.requestTick
	h.homes.addresses = gossip.Addresses{}
	h.homes.keeper = slots.New(slots.Config{
		Store: h.store,
		Self:  h.settings.Host.Name, Prefix: h.settings.Store.Prefix[1:] + "rates/" + string(h.rates.DataCentre) + "/",
		Now:    clock.Now,
		Wanted: func() ratelimit.SlotSet { return ratelimit.SlotSet(h.homes.wanted.Load()) },
		Held:   h.holdSlots,
		Stop:   h.stopHomes,
		Logger: h.log,
	})
}

func (h *Host) admit(
	a catalog.Account, p fleet.Priority, patience time.Duration, done func(retryAfter time.Duration, admitted bool),
) {
	begun := clock.Now()
	h.rates.Admit(begun, ratelimit.Operation{
		Account: a, Priority: p, Patience: patience,
		Done: func(retryAfter time.Duration, admitted bool) {
			decision := "admitted"
			if !admitted {
				decision = "refused"
			}
			h.counted.admission.WithLabelValues(decision).Observe(clock.Now().Sub(begun).Seconds())
			done(retryAfter, admitted)
		},
	})
}

// holdSlots puts the held slots in effect.
func (h *Host) holdSlots(held ratelimit.SlotSet, until time.Time, left ratelimit.Leftovers) {
	h.loop.Post(func() {
		h.rates.Hold(clock.Now(), held, until, left)
		h.counted.heldSlots.Set(float64(held.Len()))
	})
}

// stopHomes stops the homes of all slots, and reports whether the loop has done so.
func (h *Host) stopHomes() (map[ratelimit.Slot]ratelimit.Leftovers, bool) {
	done := make(chan map[ratelimit.Slot]ratelimit.Leftovers, 1)
	h.loop.Post(func() {
		h.counted.heldSlots.Set(0)
		done <- h.rates.Release(clock.Now())
	})
	select {
	case left := <-done:
		return left, true
	case <-time.After(heldTimeout):
		return nil, false
	}
}

// claimSlots determines which slots this host should take. While it shuts down it gives its own up, once another host
// can take them.
func (h *Host) claimSlots(now time.Time) {
	size := h.peers.size()
	if now.Sub(h.homes.claimedAt) < claimInterval || now.Sub(h.began) < mesh.IntervalsFor(size).HeardWithin {
		return
	}
	h.homes.claimedAt = now
	self, local := h.self(), h.homePeers(now)
	hosts := mesh.HomeHosts(h.rates.DataCentre, local)
	if self.Leaving {
		h.homes.wanted.Store(0)
		if len(hosts) > 0 {
			h.homes.keeper.Leave()
		}
		return
	}
	heard := fleet.Set[fleet.Host]{}
	for _, p := range local {
		if p.Heard {
			heard.Add(p.Host)
		}
	}
	own, holders := h.rates.Held(now), h.rates.Holders(h.rates.DataCentre)
	held := func(s ratelimit.Slot) bool {
		return own.Has(s) || holders[s] != self.Host && heard.Has(holders[s])
	}
	wanted := h.homes.claims.Wanted(now, self.Host, hosts, held)
	if h.homes.wanted.Swap(uint32(wanted)) != uint32(wanted) {
		h.homes.keeper.Check()
	}
}

// homePeers returns the hosts that hold slots beside this one, itself included.
func (h *Host) homePeers(now time.Time) []mesh.Peer {
	self := h.self()
	local := []mesh.Peer{self}
	for _, p := range h.peers.members(now) {
		if p.DataCentre == self.DataCentre || h.rates.DataCentre == wholeFleet {
			local = append(local, p)
		}
	}
	return local
}

// guide returns one of the hosts that are heard, in data centre d if there are any. A host that doesn't hear a home may
// hear one that does.
func (h *Host) guide(d fleet.DataCentre) (fleet.Host, bool) {
	var heard, there []fleet.Host
	for _, p := range h.peers.members(clock.Now()) {
		if !p.Heard {
			continue
		}
		heard = append(heard, p.Host)
		if p.DataCentre == d {
			there = append(there, p.Host)
		}
	}
	if len(there) == 0 {
		there = heard
	}
	if len(there) == 0 {
		return "", false
	}
	return there[rand.IntN(len(there))], true
}

// noteHolder notes which slots another host reports to hold.
func (h *Host) noteHolder(host fleet.Host, dc fleet.DataCentre, held ratelimit.SlotSet) {
	if h.rates.DataCentre == wholeFleet {
		dc = wholeFleet
	}
	if dc == "" {
		return
	}
	if a := h.peers.addresses[host]; a != nil && held != 0 {
		h.setTokenAddress(host, a)
	}
	h.rates.SetHolder(host, dc, held)
}

// setTokenAddress notes where tokens are asked of a host. Hosts that have gone leave theirs behind until there are
// many.
func (h *Host) setTokenAddress(host fleet.Host, a *net.UDPAddr) {
	if len(h.homes.addresses) > maxFormerAddresses+h.peers.size() {
		clear(h.homes.addresses)
	}
	h.homes.addresses[host] = a
}

// maxFormerAddresses bounds the addresses that are kept of hosts that have gone.
const maxFormerAddresses = 256

// handleTokens handles a request for tokens or the answer to one.
func (h *Host) handleTokens(from quota.Process, known gossip.Addresses, m ratelimit.Message) {
	h.loop.Post(func() {
		for host, a := range known {
			h.setTokenAddress(host, a)
		}
		h.rates.Handle(clock.Now(), from, m)
	})
}

// homeFields returns the log fields on the homes of an account.
func homeFields(a ratelimit.AccountState) []zap.Field {
	var fs []zap.Field
	for d, host := range a.Homes {
		fs = append(fs, zap.String("home-in-"+string(d), string(host)))
	}
	if s, ok := a.Home.Get(); ok {
		fs = append(fs, zap.Float64("own-level", s.Level), zap.Int64("own-outstanding", int64(s.Outstanding)))
	}
	return fs
}
