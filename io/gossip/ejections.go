package gossip

import (
	"time"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/outlier"
	"skylarkdeal/io/gossip/gossippb"
)

func toEjections(es []outlier.Ejection) []*gossippb.Ejection {
	var out []*gossippb.Ejection
	for _, e := range es {
		out = append(out, &gossippb.Ejection{
			Instance: string(e.Instance), LeftMs: toMillis(e.Left), RatePercent: uint32(e.RatePercent),
			Primary: e.Primary,
		})
	}
	return out
}

// fromEjections returns the ejections of a report that are in range, and how many are not or are more than
// a report may have.
func fromEjections(ms []*gossippb.Ejection) (es []outlier.Ejection, ignored int) {
	for _, m := range ms {
		e := outlier.Ejection{
			Instance: fleet.Instance(m.GetInstance()), Left: time.Duration(m.GetLeftMs()) * time.Millisecond,
			RatePercent: int(m.GetRatePercent()), Primary: m.GetPrimary(),
		}
		if len(es) == outlier.MaxEjections || !e.Valid() {
			ignored++
			continue
		}
		es = append(es, e)
	}
	return es, ignored
}
