package leader

import (
	"iter"
	"time"

	"skylarkdeal/core/fleet"
)

// HostReport is what the last report of another host tells about promotions.
type HostReport struct {
	DataCentre fleet.DataCentre
	// SentAt is when the report was sent at the latest, by this host's clock.
	SentAt time.Time
	// RecordRevision is the revision of the newest record that the host knew.
	RecordRevision uint64
}

// NoNewerPromotionAt returns the latest time at which hosts of all data centres, those of centres and of the
// reports, were heard, if none knew of a record that is newer than known. At that time no promotion had been
// requested that this host doesn't know. Now is returned if there are no other hosts.
//
// A host that is silent counts as gone if others of its data centre are heard: with the store unavailable,
// nothing else tells it from one that has died, and a fleet that lost a host would serve no writes until the
// store is back.
func NoNewerPromotionAt(
	now time.Time, known uint64, centres iter.Seq[fleet.DataCentre], reports []HostReport,
) (time.Time, bool) {
	heard := map[fleet.DataCentre]time.Time{}
	for c := range centres {
		heard[c] = time.Time{}
	}
	for _, r := range reports {
		if r.RecordRevision > known {
			return time.Time{}, false
		}
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
	return at, true
}
