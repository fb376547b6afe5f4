package ratelimit

import (
	"slices"
	"time"

	"skylarkdeal/core/fleet"
)

// Claims decides which slots a host should take. The zero Claims works.
type Claims struct {
	// freeSince is since when no host is known to hold a slot, zero while one is.
	freeSince [Slots]time.Time
}

// othersTakeAfter is how long a slot may be free before a host takes it that isn't the first one to.
const othersTakeAfter = 3 * time.Second

// Wanted returns the slots that self should take. hosts are those of its data centre that should be homes, in the same
// order on all of them, and held tells whether a host that is heard holds a slot.
func (c *Claims) Wanted(now time.Time, self fleet.Host, hosts []fleet.Host, held func(s Slot) bool) SlotSet {
	eligible := slices.Contains(hosts, self)
	var out SlotSet
	for s := range Slot(Slots) {
		if held(s) {
			c.freeSince[s] = time.Time{}
			continue
		}
		if c.freeSince[s].IsZero() {
			c.freeSince[s] = now
		}
		if !eligible {
			continue
		}
		if hosts[int(s)%len(hosts)] == self || now.Sub(c.freeSince[s]) >= othersTakeAfter {
			out = out.With(s)
		}
	}
	return out
}
