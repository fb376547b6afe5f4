package entry

import (
	"math"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/follow"
	"skylarkdeal/core/relay"
	"skylarkdeal/internal/clock"
	"skylarkdeal/io/gossip"
	"skylarkdeal/io/registry"
)

// catalogStatus is what the host logs and shows of the catalog's way to it.
type catalogStatus struct {
	// forwarded is the version that this host, as a reader, last passed on.
	forwarded follow.Version
	// receivedFrom is the host from which a copy of the catalog last came, at receivedAt.
	receivedFrom fleet.Host
	receivedAt   time.Time
	// behind is since when another host's report has named a newer revision, newer the newest one
	// named, newerAt a host that named it.
	behind  time.Time
	newer   registry.Revision
	newerAt fleet.Host
}

// eventCatalog is the kind of the log lines about the catalog's way.
const eventCatalog relay.EventKind = "catalog"

func (h *Host) logCatalog(msg string, fs ...zap.Field) {
	if h.events.admit(eventCatalog) {
		h.log.Info(msg, fs...)
	}
}

// knownCatalog is the store's revision up to which this host knows the catalog, by its own readings or
// by the copy in force.
func (h *Host) knownCatalog() registry.Revision {
	return max(h.registry.CatalogRevision(), registry.Revision(h.peers.catalog))
}

// catalogReceived logs a copy of the catalog that a reader has passed on. ReadAt is translated to
// this host's clock, and zero if it couldn't be.
func (h *Host) catalogReceived(from fleet.Host, c follow.PartCopy[[]registry.Entry]) {
	s := &h.catalogStatus
	s.receivedFrom, s.receivedAt = from, clock.Now()
	if !c.HasBody {
		return
	}
	h.logCatalog("catalog received", zap.String("from", string(from)),
		zap.Uint64("revision", uint64(c.Version)), ageField(s.receivedAt, c.ReadAt),
		zap.Uint64("known", uint64(h.knownCatalog())))
}

// catalogForwarded logs the version of the catalog that this host passes on when it changes.
func (h *Host) catalogForwarded(c follow.PartCopy[[]registry.Entry]) {
	s := &h.catalogStatus
	if c.Version == 0 || c.Version == s.forwarded {
		return
	}
	s.forwarded = c.Version
	h.logCatalog("catalog passed on", zap.Uint64("revision", uint64(c.Version)),
		ageField(clock.Now(), c.ReadAt), zap.Uint64("in-force", h.peers.catalog))
}

// catalogReported logs when another host's report first names a revision that isn't known here.
func (h *Host) catalogReported(r gossip.Report, now time.Time) {
	s := &h.catalogStatus
	named := registry.Revision(r.CatalogRevision)
	known := h.knownCatalog()
	if named <= known || named <= s.newer {
		return
	}
	s.newer, s.newerAt = named, r.Host
	if !s.behind.IsZero() {
		return
	}
	s.behind = now
	h.logCatalog("catalog behind", zap.String("host", string(r.Host)), zap.Uint64("revision", uint64(named)),
		zap.Uint64("known", uint64(known)), zap.Bool("reader", h.reads()), ageField(now, h.registry.CatalogAsOf()))
}

// checkCatalogBehind logs when what is known here has reached what other hosts have named.
func (h *Host) checkCatalogBehind(now time.Time) {
	s := &h.catalogStatus
	if s.behind.IsZero() || h.knownCatalog() < s.newer {
		return
	}
	h.logCatalog("catalog no longer behind", zap.Uint64("revision", uint64(s.newer)),
		zap.Duration("took", now.Sub(s.behind)))
	s.behind = time.Time{}
}

// ageField is the age of a reading of the store; one without a known time has none.
func ageField(now, readAt time.Time) zap.Field {
	if readAt.IsZero() {
		return zap.String("age", "unknown")
	}
	return zap.Duration("age", now.Sub(readAt))
}

// catalogAge is the time since the catalog in force was last known to be the store's.
func (h *Host) catalogAge() float64 {
	at := h.registry.CatalogAsOf()
	if at.IsZero() {
		return math.Inf(1)
	}
	return clock.Now().Sub(at).Seconds()
}

func (h *Host) registerCatalogMetrics() {
	h.metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "skylarkdeal_catalog_age_seconds",
		Help: "Time since the catalog in force was last known to be the store's; +Inf if never.",
	}, h.catalogAge))
	h.metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "skylarkdeal_catalog_revision", Help: "The store's revision up to which the host knows the catalog.",
	}, func() float64 { return float64(h.registry.CatalogRevision()) }))
}

// CatalogState is a snapshot of the catalog's way to this host, for the state dump.
type CatalogState struct {
	// InForce is the revision of the newest change in force, Known the revision of the store up to
	// which no change is missing.
	InForce catalog.Revision  `json:"in-force"`
	Known   registry.Revision `json:"known"`
	// Age is the time since the catalog was last known to be the store's, empty if never.
	Age    string `json:"age,omitempty"`
	Reader bool   `json:"reader"`
	// Follows is the reader that the host follows, ReceivedFrom the host from which the last copy came,
	// ReceivedAgo how long ago.
	Follows      fleet.Host `json:"follows,omitempty"`
	ReceivedFrom fleet.Host `json:"received-from,omitempty"`
	ReceivedAgo  string     `json:"received-ago,omitempty"`
	// Forwarded is the version that the host last passed on.
	Forwarded follow.Version `json:"passed-on,omitempty"`
	// Behind is how long other hosts' reports have named a newer revision, Newer that revision, NewerAt
	// a host that named it.
	Behind  string            `json:"behind,omitempty"`
	Newer   registry.Revision `json:"newer,omitempty"`
	NewerAt fleet.Host        `json:"newer-at,omitempty"`
}

func (h *Host) catalogState() CatalogState {
	now, s := clock.Now(), &h.catalogStatus
	out := CatalogState{
		InForce: catalog.Revision(h.peers.catalog), Known: h.knownCatalog(),
		Age: ageText(now, h.registry.CatalogAsOf()), Reader: h.reads(), Follows: h.following.session.Reader,
		ReceivedFrom: s.receivedFrom, ReceivedAgo: ageText(now, s.receivedAt), Forwarded: s.forwarded,
	}
	if !s.behind.IsZero() {
		out.Behind, out.Newer, out.NewerAt = ageText(now, s.behind), s.newer, s.newerAt
	}
	return out
}

func ageText(now, at time.Time) string {
	if at.IsZero() {
		return ""
	}
	return now.Sub(at).Round(time.Millisecond).String()
}
