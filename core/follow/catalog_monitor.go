package follow

import (
	"time"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/times"
)

const (
	// maxBehind is how long a host may know that its catalog lacks a change. A change has to be in
	// force everywhere within 5 s; up to 3 s pass before some host has read it and one of its reports,
	// of which some are lost or late, arrives.
	maxBehind = 1500 * time.Millisecond
	// maxCatalogAge is how old a catalog may be that counts as confirmed, the time within which
	// a change is to be in force.
	maxCatalogAge = 3 * time.Second
	// noReadingsFor is how long nobody must be known to have read the store before a host takes it to be
	// down for all. Then nobody can change the catalog either.
	noReadingsFor = 3 * time.Second
)

// PausedFor is the time between two decisions from which on the process counts as paused: what it knew before
// may be old.
const PausedFor = 2 * time.Second

// The delays from when a host falls behind to what it does about it. Each step leaves the one before
// time for a round trip; all come before maxBehind.
const (
	requestAllAfter   = 250 * time.Millisecond
	switchReaderAfter = 500 * time.Millisecond
	askHostAfter      = 700 * time.Millisecond
	// readStoreAfter is when followers begin to read the store themselves, spread over readStoreSpread:
	// all hosts of a data centre may be behind at once.
	readStoreAfter  = 750 * time.Millisecond
	readStoreSpread = 500 * time.Millisecond
	// readStoreSpreadPerHost spreads these readings further in a large fleet, whose catalog is large too: hundreds
	// of copies at once take seconds of the store's link, on which the readers wait for theirs.
	readStoreSpreadPerHost = 5 * time.Millisecond
	// repeatAfter is the pause before a step that involves other hosts is repeated.
	repeatAfter = time.Second
)

// Readings of the store by followers.
const (
	// firstReadAfter is how long a follower that has just started waits for others to confirm its first
	// catalog.
	firstReadAfter = 500 * time.Millisecond
	// confirmAfter is how old a follower's catalog may be that nobody confirms before it reads the store.
	confirmAfter = 2 * time.Second
	// minReadPause is the pause after the first of several readings; it doubles with each.
	minReadPause = 500 * time.Millisecond
	maxReadPause = 4 * time.Second
	// readPausePerHost bounds the readings of all hosts together while none of them reaches the store,
	// to 20 a second.
	readPausePerHost = 50 * time.Millisecond
	// silentReadSpread and silentReadPause are the spread and the pause of a host that doesn't hear all data
	// centres, whatever the size of the fleet: nobody may be able to tell it of a change, and a change has
	// to be in force within 5 s, a call to the store included.
	silentReadSpread = time.Second
	silentReadPause  = 2 * time.Second
)

// maxPending bounds the revisions that are known to be missing.
const maxPending = 16

// CatalogAction is what a host does to bring its catalog up to date.
type CatalogAction string

// The actions.
const (
	CatalogKeep CatalogAction = ""
	// CatalogRequestAll asks the reader that is followed for all parts.
	CatalogRequestAll CatalogAction = "request-all"
	// CatalogSwitchReader follows another reader.
	CatalogSwitchReader CatalogAction = "switch-reader"
	// CatalogAskHost asks a reader that knows a newer catalog for its copy.
	CatalogAskHost CatalogAction = "ask-host"
	// CatalogReadStore reads the store.
	CatalogReadStore CatalogAction = "read-store"
)

// OutdatedReason is why a host must not act by its catalog.
type OutdatedReason string

// The reasons.
const (
	// OutdatedBehind is a catalog that has lacked a known change for too long.
	OutdatedBehind OutdatedReason = "behind"
	// OutdatedAgeUnknown is a catalog that is too old, or whose age isn't known, on a host that has just
	// started or was paused.
	OutdatedAgeUnknown OutdatedReason = "age-unknown"
)

// CatalogReport is what another host's report tells of its catalog.
type CatalogReport struct {
	Host     fleet.Host
	IsReader bool
	// Revision is that of the newest change that the host knows, zero if it has no catalog.
	Revision Revision
	// ReadAt is when the host itself last read the catalog, by this host's clock; zero if it hasn't.
	ReadAt time.Time
}

// CatalogKnown is what a host knows of its own catalog.
type CatalogKnown struct {
	// CompleteTo is the revision up to which no change is missing, zero without a catalog.
	CompleteTo Revision
	// AsOf is the latest time as of which the catalog is known to be the store's, other than by
	// reports.
	AsOf     time.Time
	IsReader bool
	// Hosts is the number of hosts of the fleet.
	Hosts int
	// Receiving is set while an update of the reader that is followed is arriving.
	Receiving bool
	// HasSilentHosts is set while no host of some data centre is heard, so that a change may be known to
	// hosts whose reports don't arrive.
	HasSilentHosts bool
}

// CatalogDecision is what a host is to do, and what it knows.
type CatalogDecision struct {
	Action CatalogAction
	// Host is a reader that named the newest missing revision, the one to ask; empty if none did.
	Host fleet.Host
	// Outdated is why the host must not act by its catalog, empty if it may.
	Outdated OutdatedReason
	// BehindSince is since when a report has named a revision that is missing here, zero if none is
	// missing. Missing is the newest one.
	BehindSince time.Time
	Missing     Revision
	// AsOf is the latest time as of which the catalog is known to be the store's.
	AsOf time.Time
	// Unconfirmed is set if that is too long ago and the host acts by its catalog all the same: nothing is
	// known to be missing, and nobody is known to have read the store lately.
	Unconfirmed bool
}

// CatalogMonitor decides what a host does when its catalog may be old, and whether it may still act by
// it. The zero CatalogMonitor is ready to use.
//
// A host is behind a revision from when a report first names it until the host's own catalog is complete
// to it. Reports of other hosts that lack it too change nothing.
type CatalogMonitor struct {
	// Jitter returns a number from 0 to 1 that spreads the readings of many hosts. It may be nil.
	Jitter func() float64

	// pending are the revisions that are missing here, from the lowest to the highest.
	pending []pendingRevision
	// source is a reader that named the highest one.
	source fleet.Host
	// confirmedAt is the latest time as of which a report has confirmed the catalog, newestReading that
	// of the latest reading of the store by any host.
	confirmedAt, newestReading time.Time
	// verified is set once the catalog was confirmed since verifyFrom, the start or the end of a pause.
	verified               bool
	verifyFrom, lastDecide time.Time

	requestAll, switchReader, askHost, readStore retry
	// confirm spaces the readings of a follower that isn't known to be behind.
	confirm retry
}

// pendingRevision is a revision that is missing here, and when a report first named it.
type pendingRevision struct {
	revision Revision
	since    time.Time
}

// AddReport takes in another host's report. completeTo is that of the catalog known here.
func (m *CatalogMonitor) AddReport(now time.Time, completeTo Revision, r CatalogReport) {
	m.newestReading = times.Later(m.newestReading, r.ReadAt)
	if r.Revision <= completeTo {
		if r.Revision != 0 {
			m.confirmedAt = times.Later(m.confirmedAt, r.ReadAt)
		}
		return
	}
	n := len(m.pending)
	switch {
	case n == 0 || r.Revision > m.pending[n-1].revision && n < maxPending:
		m.pending = append(m.pending, pendingRevision{r.Revision, now})
	case r.Revision > m.pending[n-1].revision:
		// The newest ones are kept as one, missing since the first of them.
		m.pending[n-1].revision = r.Revision
	case r.Revision < m.pending[n-1].revision:
		return
	}
	if r.IsReader {
		m.source = r.Host
	}
}

// Decide returns what the host is to do now. It is to be called several times a second.
func (m *CatalogMonitor) Decide(now time.Time, k CatalogKnown) CatalogDecision {
	m.dropReached(k.CompleteTo)
	d := CatalogDecision{AsOf: times.Later(k.AsOf, m.confirmedAt)}
	if n := len(m.pending); n > 0 {
		d.BehindSince, d.Missing = m.pending[0].since, m.pending[n-1].revision
	}
	m.verify(now, d.AsOf, k)
	d.Unconfirmed = m.verified && d.BehindSince.IsZero() && now.Sub(d.AsOf) > maxCatalogAge
	switch {
	case !d.BehindSince.IsZero() && now.Sub(d.BehindSince) > maxBehind:
		d.Outdated = OutdatedBehind
	case !m.verified:
		d.Outdated = OutdatedAgeUnknown
	}
	d.Action = m.action(now, k, d)
	d.Host = m.source
	return d
}

func (m *CatalogMonitor) dropReached(completeTo Revision) {
	n := 0
	for n < len(m.pending) && m.pending[n].revision <= completeTo {
		n++
	}
	m.pending = m.pending[n:]
	if len(m.pending) == 0 {
		m.source = ""
	}
}

// verify finds out whether the catalog has been confirmed since the start or the last pause.
//
// Guards against a host that takes the first catalog it is given, or goes on with the one that it had
// before a pause, whatever was changed meanwhile.
func (m *CatalogMonitor) verify(now, asOf time.Time, k CatalogKnown) {
	if m.lastDecide.IsZero() || now.Sub(m.lastDecide) > PausedFor {
		m.verified, m.verifyFrom = false, now
	}
	m.lastDecide = now
	if k.CompleteTo == 0 {
		m.verifyFrom = now
		return
	}
	if m.verified {
		return
	}
	lastReading := times.Later(times.Later(m.newestReading, asOf), m.verifyFrom)
	m.verified = now.Sub(asOf) <= maxCatalogAge || now.Sub(lastReading) > noReadingsFor
}

func (m *CatalogMonitor) action(now time.Time, k CatalogKnown, d CatalogDecision) CatalogAction {
	if !d.BehindSince.IsZero() {
		m.confirm = retry{}
		return m.actionBehind(now, k, d.BehindSince)
	}
	m.requestAll, m.switchReader, m.askHost, m.readStore = retry{}, retry{}, retry{}, retry{}
	if k.IsReader || k.CompleteTo == 0 || now.Sub(d.AsOf) <= confirmAfter {
		// A reader reads the store time and again in any case.
		m.confirm = retry{}
		return CatalogKeep
	}
	spread, pause := m.storePause(k)
	from := times.Later(d.AsOf.Add(confirmAfter), m.verifyFrom.Add(firstReadAfter))
	// Nothing is known to be missing, so that no pause needs to be short.
	if m.confirm.due(now, from, spread, pauses{pause, pause}, m.jitter) {
		return CatalogReadStore
	}
	return CatalogKeep
}

func (m *CatalogMonitor) actionBehind(now time.Time, k CatalogKnown, since time.Time) CatalogAction {
	_, longest := m.storePause(k)
	repeat := pauses{repeatAfter, repeatAfter}
	readAfter, spread := readStoreAfter, max(readStoreSpread, time.Duration(k.Hosts)*readStoreSpreadPerHost)
	if k.IsReader {
		readAfter, spread = requestAllAfter, 0
	}
	switch {
	case k.Receiving:
		// Another copy would only delay the one that is on its way over a slow link.
		return CatalogKeep
	case !k.IsReader && m.requestAll.due(now, since.Add(requestAllAfter), 0, repeat, m.jitter):
		return CatalogRequestAll
	case !k.IsReader && m.switchReader.due(now, since.Add(switchReaderAfter), 0, repeat, m.jitter):
		return CatalogSwitchReader
	case m.readStore.due(now, since.Add(readAfter), spread, pauses{minReadPause, longest}, m.jitter):
		return CatalogReadStore
	case m.source != "" && m.askHost.due(now, since.Add(askHostAfter), 0, repeat, m.jitter):
		return CatalogAskHost
	}
	return CatalogKeep
}

// storePause returns the time over which the first readings of all hosts are spread while none of them
// reaches the store, and the longest pause between two readings of one host.
//
// Designed for an outage of the store in a fleet of hundreds of hosts: while all of them are heard, the first
// one that reaches the store again tells the others, and few need to try.
func (m *CatalogMonitor) storePause(k CatalogKnown) (spread, longest time.Duration) {
	if k.HasSilentHosts {
		return silentReadSpread, silentReadPause
	}
	all := time.Duration(k.Hosts) * readPausePerHost
	return max(all, repeatAfter), max(all, maxReadPause)
}

func (m *CatalogMonitor) jitter() float64 {
	if m.Jitter == nil {
		return 0
	}
	return m.Jitter()
}

// pauses are the first and the longest pause between the repetitions of an action.
type pauses struct{ first, longest time.Duration }

// retry spaces the repetitions of one action. The zero retry hasn't begun.
type retry struct {
	next  time.Time
	pause time.Duration
}

// due reports whether the action is due. It is first due within spread after first, then at pauses that
// double, each between a half and the whole.
func (r *retry) due(now, first time.Time, spread time.Duration, p pauses, jitter func() float64) bool {
	if r.next.IsZero() {
		r.next, r.pause = first.Add(time.Duration(float64(spread)*jitter())), p.first
	}
	if now.Before(r.next) {
		return false
	}
	r.next = now.Add(r.pause - time.Duration(float64(r.pause/2)*jitter()))
	r.pause = min(2*r.pause, p.longest)
	return true
}
