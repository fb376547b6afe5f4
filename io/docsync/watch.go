package docsync

import (
	"context"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
	"skylarkdeal/io/etcd"
)

// watch follows the store while this host is the watcher.
func (s *Spread) watch(ctx context.Context) {
	for ctx.Err() == nil {
		if s.cfg.IsWatcher() {
			s.follow(ctx)
		}
		s.sleep(ctx, watcherPoll)
	}
}

func (s *Spread) follow(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := etcd.Follower{
		Store: s.cfg.Store, Prefix: s.cfg.Prefix, Check: s.cfg.CheckEvery, Now: s.cfg.Now,
		See: s.see,
		Confirmed: func(at time.Time) {
			s.ready.Store(true)
			s.confirm(at)
		},
		Floor:   s.floor,
		Problem: s.storeProblem,
	}
	s.watching.Store(true)
	defer s.watching.Store(false)
	var duty sync.WaitGroup
	duty.Go(func() { f.Run(ctx) })
	for s.cfg.IsWatcher() && s.sleep(ctx, watcherPoll) {
		continue
	}
	cancel()
	duty.Wait()
}

func (s *Spread) floor() etcd.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return etcd.Revision(s.table.Revision())
}

func (s *Spread) storeProblem(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.problem = ""
		s.log.Info("store answers again")
		return
	}
	s.problem = err.Error()
	s.metrics.problems.Inc()
	s.log.Warn("store trouble", zap.Error(err))
}

// see takes what the store holds and hands on what is new.
func (s *Spread) see(changes []etcd.Change) {
	var offers []document.Offer
	for _, c := range changes {
		n := fleet.Service(strings.TrimPrefix(c.Key, s.cfg.Prefix))
		if c.Deleted {
			// A document that went missing by mistake must not end a service.
			s.log.Warn("document deleted in the store, stays in effect", zap.String("service", string(n)))
			continue
		}
		offers = append(offers, document.Offer{
			Service: n, Version: document.VersionAt(c.Value, uint64(c.Revision)), Text: c.Value, From: "store",
		})
	}
	news, _ := s.offer(offers)
	for len(news) > 0 {
		n := fit(news)
		s.spread(news[:n])
		news = news[n:]
	}
}
