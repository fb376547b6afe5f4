package docsync

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/journal"
)

// State is what the state dump shows of the documents.
type State struct {
	Documents []DocumentState `json:"documents"`
	Invalid   []InvalidState  `json:"invalid"`
	// Confirmed is when what is held was last known to be the newest.
	Confirmed time.Time `json:"confirmed"`
	Ready     bool      `json:"ready"`
	// Watching is set while this host follows the store for its data centre.
	Watching bool `json:"watching"`
	// StoreProblem is what the watcher last met.
	StoreProblem string `json:"store-problem,omitempty"`
	PushesQueued int    `json:"pushes-queued"`
}

// DocumentState is one document in effect.
type DocumentState struct {
	Service fleet.Service    `json:"service"`
	Version document.Version `json:"version"`
	Since   time.Time        `json:"since"`
	From    document.Source  `json:"from"`
	// Stopped is set when it could not be confirmed for as long as it states.
	Stopped bool `json:"stopped"`
}

// InvalidState is one newer version that isn't in effect.
type InvalidState struct {
	Service fleet.Service    `json:"service"`
	Version document.Version `json:"version"`
	At      time.Time        `json:"at"`
	From    document.Source  `json:"from"`
	Error   string           `json:"error"`
}

// State returns the documents in effect and what stands against newer ones.
func (s *Spread) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Now()
	a := State{
		Documents: []DocumentState{}, Invalid: []InvalidState{},
		Confirmed: s.table.ConfirmedAt(), Ready: s.ready.Load(), Watching: s.watching.Load(),
		StoreProblem: s.problem, PushesQueued: s.pushes.Len(),
	}
	for _, h := range s.table.All() {
		a.Documents = append(a.Documents, DocumentState{
			Service: h.Document.Service, Version: h.Document.Version, Since: h.Since, From: h.From,
			Stopped: h.Document.Stopped(s.table.ConfirmedAt(), now),
		})
	}
	for _, r := range s.table.Rejected() {
		a.Invalid = append(a.Invalid, InvalidState{
			Service: r.Service, Version: r.Version, At: r.At, From: r.From, Error: r.Err.Error(),
		})
	}
	return a
}

type metrics struct {
	inEffect prometheus.Gauge
	invalid  prometheus.Gauge
	problems prometheus.Counter
	verdicts *prometheus.CounterVec
	pushes   *prometheus.CounterVec
	digests  *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer) metrics {
	m := metrics{
		inEffect: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "skylarkdeal_documents_in_force", Help: "Documents in effect on this host.",
		}),
		invalid: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "skylarkdeal_documents_invalid", Help: "Services whose newest document is invalid and not in effect.",
		}),
		problems: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "skylarkdeal_store_watch_problems_total", Help: "Troubles that the watcher has met with the store.",
		}),
		verdicts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "skylarkdeal_document_versions_total", Help: "Versions of documents that have come, by what became of them.",
		}, []string{"verdict"}),
		pushes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "skylarkdeal_document_pushes_total", Help: "Documents handed on to other hosts, by outcome.",
		}, []string{"outcome"}),
		digests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "skylarkdeal_document_digests_total", Help: "Comparisons with other hosts, by outcome.",
		}, []string{"outcome"}),
	}
	if r != nil {
		r.MustRegister(m.inEffect, m.invalid, m.problems, m.verdicts, m.pushes, m.digests)
	}
	return m
}

// registerAge registers how long ago the documents were last confirmed.
func (s *Spread) registerAge(r prometheus.Registerer) {
	if r == nil {
		return
	}
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "skylarkdeal_documents_confirmed_age_seconds",
		Help: "Time since the documents were last known to be the store's newest; -1 for never.",
	}, func() float64 {
		at := *s.confirmed.Load()
		if at.IsZero() {
			return -1
		}
		return s.cfg.Now().Sub(at).Seconds()
	}))
}

// tell reports a verdict wherever an operator looks.
func (s *Spread) tell(o document.Offer, v document.Verdict, err error) {
	s.metrics.verdicts.WithLabelValues(string(v)).Inc()
	s.metrics.invalid.Set(float64(len(s.table.Rejected())))
	fields := []zap.Field{
		zap.String("service", string(o.Service)), zap.Uint64("version", uint64(o.Version)),
		zap.String("from", string(o.From)), zap.Error(err),
	}
	switch v {
	case document.VerdictAdopted:
		s.log.Info("document in effect", fields...)
		s.journal(o, "adopt", "valid and newer than the one in effect")
	case document.VerdictInvalid:
		s.log.Error("document invalid, the one in effect stays", fields...)
		s.journal(o, "reject", err.Error())
	case document.VerdictConflict:
		if s.conflict[o.Service] {
			return
		}
		s.conflict[o.Service] = true
		s.log.Error("document conflicts, the one in effect stays", fields...)
		s.journal(o, "reject", err.Error())
	case document.VerdictStale, document.VerdictKnown:
	}
}

func (s *Spread) journal(o document.Offer, choice, reason string) {
	s.cfg.Journal.Add(journal.Decision{
		At: s.cfg.Now(), Kind: journal.KindDocument,
		Subject: "service=" + string(o.Service), Choice: choice,
		Reason: "from " + string(o.From) + ": " + reason,
	})
}
