package entry

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/follow"
	"skylarkdeal/core/relay"
	"skylarkdeal/internal/clock"
	"skylarkdeal/io/forward"
	"skylarkdeal/io/registry"
)

// catalogStatus is what the host logs and shows of the catalog's way to it.
type catalogStatus struct {
	// forwarded is the version that this host, as a reader, last passed on.
	forwarded follow.Version
	// receivedFrom is the host from which a copy of the catalog last came, at receivedAt.
	receivedFrom fleet.Host
	receivedAt   time.Time
	// newer is the newest revision that another host's report named while it was missing here, newerAt the
	// host that named it.
	newer   registry.Revision
	newerAt fleet.Host
	// decision is the monitor's last.
	decision follow.CatalogDecision
	// asked is the host that was last asked for its copy, askedAt when.
	asked   fleet.Host
	askedAt time.Time
	// asOf is the decision's, in ns, and outdated whether the host refuses; both for the metrics.
	asOf     atomic.Int64
	outdated atomic.Bool
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

// checkCatalog finds out whether the catalog may be old, and does what follows from it.
func (h *Host) checkCatalog(now time.Time) {
	s := &h.catalogStatus
	d := h.catalogMonitor.Decide(now, follow.CatalogKnown{
		CompleteTo: h.knownCatalog(), AsOf: h.registry.CatalogAsOf(), IsReader: h.reads(), Hosts: h.peers.size(),
		HasSilentHosts: h.peers.hasSilentHosts(now), Receiving: h.receivesUpdate(now),
	})
	h.relay.SetCatalogOutdated(d.Outdated)
	h.logDecision(now, s.decision, d)
	s.decision = d
	s.asOf.Store(0)
	if !d.AsOf.IsZero() {
		s.asOf.Store(d.AsOf.UnixNano())
	}
	s.outdated.Store(d.Outdated != "")
	h.updateCatalog(now, d)
}

// updateCatalog does what the monitor has decided.
func (h *Host) updateCatalog(now time.Time, d follow.CatalogDecision) {
	switch d.Action {
	case follow.CatalogRequestAll:
		h.requestAll(now)
	case follow.CatalogSwitchReader:
		h.chooseReader(now)
		h.followStore(now)
	case follow.CatalogReadStore:
		h.registry.ReloadCatalog()
	case follow.CatalogAskHost:
		h.askForCopy(now, d.Host)
	case follow.CatalogKeep:
	}
}

// requestAll asks the reader that is followed for all parts.
func (h *Host) requestAll(now time.Time) {
	f := &h.following
	if f.session.Reader == "" {
		return
	}
	h.beginSession(f.session.Reader, now)
	f.asked = time.Time{}
	h.followStore(now)
}

// askForCopy asks a reader for all parts, of which only the catalog is used.
func (h *Host) askForCopy(now time.Time, n fleet.Host) {
	l := h.links.byHost[n]
	if l == nil || !l.up {
		h.requestLink(n)
		return
	}
	h.catalogStatus.asked, h.catalogStatus.askedAt = n, now
	l.used = now
	l.conn.Write(forward.AppendFollow(nil, forward.Follow{Sent: now, Full: true}))
}

// takeCopy takes in the catalog of the host that was asked for its copy, and reports whether n answers
// that question.
func (h *Host) takeCopy(from fleet.Host, n forward.StoreUpdate) bool {
	s := &h.catalogStatus
	if from != s.asked || n.RequestSentAt.Before(s.askedAt) {
		return false
	}
	s.asked = ""
	c, ok := n.Parts[follow.PartCatalog]
	if !ok || !c.HasBody {
		return true
	}
	var m follow.ClockMapping
	m.Observe(n.RequestSentAt, n.RequestReceivedAt)
	c.ReadAt, _ = m.NotBefore(c.ReadAt)
	h.catalogReceived(from, c)
	h.registry.ApplyPart(follow.PartCatalog, c)
	// The reader leaves out the body of a copy that this host had before, and has replaced just now.
	h.requestAll(clock.Now())
	return true
}

// logDecision logs what has changed since the last decision.
func (h *Host) logDecision(now time.Time, before, d follow.CatalogDecision) {
	s := &h.catalogStatus
	known := h.knownCatalog()
	if known == 0 {
		return
	}
	age := ageField(now, d.AsOf)
	switch {
	case before.BehindSince.IsZero() && !d.BehindSince.IsZero():
		h.logCatalog("catalog behind", zap.String("host", string(s.newerAt)), zap.Uint64("revision", uint64(d.Missing)),
			zap.Uint64("known", uint64(known)), zap.Bool("reader", h.reads()), age)
	case !before.BehindSince.IsZero() && d.BehindSince.IsZero():
		h.logCatalog("catalog no longer behind", zap.Uint64("revision", uint64(before.Missing)),
			zap.Duration("took", now.Sub(before.BehindSince)))
	}
	if d.Unconfirmed != before.Unconfirmed {
		h.logCatalog("catalog confirmed by others", zap.Bool("confirmed", !d.Unconfirmed), age)
	}
	if d.Outdated != before.Outdated {
		h.logCatalog("catalog outdated", zap.Bool("outdated", d.Outdated != ""),
			zap.String("reason", string(d.Outdated)), zap.Uint64("known", uint64(known)), age)
	}
	if d.Action != follow.CatalogKeep {
		h.logCatalog("catalog update", zap.String("choice", string(d.Action)), zap.String("host", string(d.Host)))
	}
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
	at := h.catalogStatus.asOf.Load()
	if at == 0 {
		return math.Inf(1)
	}
	return clock.Now().Sub(time.Unix(0, at)).Seconds()
}

func (h *Host) registerCatalogMetrics() {
	h.metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "skylarkdeal_catalog_age_seconds",
		Help: "Time since the catalog in force was last known to be the store's; +Inf if never.",
	}, h.catalogAge))
	h.metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "skylarkdeal_catalog_revision", Help: "The store's revision up to which the host knows the catalog.",
	}, func() float64 { return float64(h.registry.CatalogRevision()) }))
	h.metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "skylarkdeal_catalog_outdated", Help: "1 while the host refuses operations because its catalog may be old.",
	}, func() float64 {
		if h.catalogStatus.outdated.Load() {
			return 1
		}
		return 0
	}))
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
	// Outdated is why the host refuses operations, Unconfirmed set while nobody is known to have read the
	// store lately.
	Outdated    follow.OutdatedReason `json:"outdated,omitempty"`
	Unconfirmed bool                  `json:"unconfirmed,omitempty"`
}

func (h *Host) catalogState() CatalogState {
	now, s := clock.Now(), &h.catalogStatus
	out := CatalogState{
		InForce: catalog.Revision(h.peers.catalog), Known: h.knownCatalog(),
		Age: ageText(now, s.decision.AsOf), Reader: h.reads(), Follows: h.following.session.Reader,
		ReceivedFrom: s.receivedFrom, ReceivedAgo: ageText(now, s.receivedAt), Forwarded: s.forwarded,
	}
	out.Outdated, out.Unconfirmed = s.decision.Outdated, s.decision.Unconfirmed
	if at := s.decision.BehindSince; !at.IsZero() {
		out.Behind, out.Newer, out.NewerAt = ageText(now, at), s.decision.Missing, s.newerAt
	}
	return out
}

func ageText(now, at time.Time) string {
	if at.IsZero() {
		return ""
	}
	return now.Sub(at).Round(time.Millisecond).String()
}
