package mesh

import (
	"iter"
	"time"

	"skylarkdeal/core/fleet"
)

// LastReport is when another host sent its last report that arrived, at the latest and by this host's clock.
type LastReport struct {
	DataCentre fleet.DataCentre
	SentAt     time.Time
}

// UsualDelay returns how long a report takes at most in a fleet of n hosts if it isn't held up: relays keep it
// for a while.
func UsualDelay(n int) time.Duration {
	if UsesRelays(n) {
		return secondRelayDelay
	}
	return 0
}

// AllHeardAt returns the latest time by which hosts of all data centres, those of centres and of the reports,
// had been heard: now if there are no other hosts, zero if a data centre was never heard.
//
// A host that is silent counts as gone if others of its data centre are heard: with the store unavailable,
// nothing else tells it from one that has died.
func AllHeardAt(now time.Time, centres iter.Seq[fleet.DataCentre], reports iter.Seq[LastReport]) time.Time {
	heard := map[fleet.DataCentre]time.Time{}
	for c := range centres {
		heard[c] = time.Time{}
	}
	for r := range reports {
		if r.SentAt.After(heard[r.DataCentre]) {
			heard[r.DataCentre] = r.SentAt
		}
	}
	at := now
	for _, t := range heard {
		if t.Before(at) {
			at = t
		}
	}
	return at
}
