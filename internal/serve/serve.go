// Package serve puts one host together: it joins the duties of a host and ends
// them in the order that cuts no request.
package serve

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"skylarkdeal/core/failure"
	"skylarkdeal/core/journal"
	"skylarkdeal/core/settings"
	"skylarkdeal/internal/stall"
	"skylarkdeal/io/caller"
	"skylarkdeal/io/docsync"
	"skylarkdeal/io/etcd"
	"skylarkdeal/io/grants"
	"skylarkdeal/io/holder"
	"skylarkdeal/io/host"
	"skylarkdeal/io/members"
	"skylarkdeal/io/operator"
)

// Host is one running host.
type Host struct {
	settings *settings.Settings
	log      *zap.Logger
	epoch    uint64
	started  time.Time
	registry *prometheus.Registry
	journal  journal.Journal
	secret   string
	password string

	listener net.Listener
	store    *etcd.Store
	peers    *host.Peers
	server   *host.Server
	members  *members.Runtime
	spread   *docsync.Spread
	grants   *grants.Runtime
	holder   *holder.Holder
	callers  *caller.Server
	operator *operator.Server

	// control ends membership and spreading, which go on while requests end.
	control context.CancelFunc
	// work ends the holder and the grants.
	work   context.CancelFunc
	duties sync.WaitGroup
}

// Start brings a host up. It returns once callers, peers and operators can
// connect; whether the host is ready tells its operators' address.
func Start(s *settings.Settings, log *zap.Logger) (*Host, error) {
	if log == nil {
		log = zap.NewNop()
	}
	h := &Host{
		settings: s,
		log:      log,
		epoch:    uint64(time.Now().UnixNano()),
		started:  time.Now(),
		registry: prometheus.NewRegistry(),
	}
	if err := h.readSecrets(); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", s.Peer.Address)
	if err != nil {
		return nil, failure.At(err, "listen for peers", failure.Peer(s.Peer.Address))
	}
	h.listener = l
	h.assemble()
	if err := h.listen(); err != nil {
		return nil, errors.Join(err, h.Close())
	}
	h.run()
	log.Info("host started",
		zap.String("host", string(s.Host.Name)),
		zap.String("data-centre", string(s.Host.DataCentre)),
		zap.String("callers", h.callers.Addr().String()),
		zap.String("peers", h.listener.Addr().String()),
		zap.String("operators", h.operator.Addr()))
	return h, nil
}

func (h *Host) listen() error {
	if err := h.callers.Start(); err != nil {
		return err
	}
	o, err := operator.Start(operator.Config{
		Address:  h.settings.Operator.Address,
		Sections: h.sections(),
		Gatherer: h.registry,
		Ready:    h.ready,
		Pprof:    h.settings.Operator.Pprof,
		Logger:   h.log,
	})
	h.operator = o
	return err
}

func (h *Host) run() {
	control, endControl := context.WithCancel(context.Background())
	work, endWork := context.WithCancel(context.Background())
	h.control, h.work = endControl, endWork
	h.holder.Start(work)
	h.duty(func() {
		if err := h.server.Serve(h.listener); err != nil {
			h.log.Error("inner protocol failed", zap.Error(err))
		}
	})
	h.duty(h.holder.Wait)
	h.duty(func() { _ = h.grants.Run(work) })
	h.duty(func() { _ = h.members.Run(control) })
	h.duty(func() { h.spread.Run(control) })
	h.duty(func() { h.watch().Run(control) })
}

// answerTimeout bounds how long the dispatchers of the groups are waited for.
const answerTimeout = 30 * time.Second

// watch returns the watch over this host's duties.
func (h *Host) watch() stall.Watch {
	ask := func(f func()) func(func()) {
		return func(answer func()) {
			go func() {
				f()
				answer()
			}()
		}
	}
	return stall.Watch{
		Logger: h.log, Registerer: h.registry,
		Duties: map[string]func(func()){
			"dispatchers": ask(func() {
				ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
				defer cancel()
				h.holder.Await(ctx)
			}),
			"grants":  ask(func() { h.grants.Leaving() }),
			"members": ask(func() { h.members.Members() }),
		},
	}
}

func (h *Host) duty(f func()) {
	h.duties.Go(f)
}

var (
	errNoDocuments = errors.New("not ready: neither the store nor a peer has told the documents yet")
	errNoSeats     = errors.New("not ready: this host doesn't hold the seats of its accounts' homes yet")
	errDraining    = errors.New("not ready: the host shuts down")
)

func (h *Host) ready() error {
	if h.callers.State().Draining {
		return errDraining
	}
	if !h.spread.Ready() {
		return errNoDocuments
	}
	if h.grants.AcquiringOwnership() && time.Since(h.started) < seatPatience {
		return errNoSeats
	}
	return nil
}

// seatPatience is how long a new host waits for its seats before it counts as ready
// without them, as it must when the store is down: the accounts are then served with
// tokens of other homes.
const seatPatience = 5 * time.Second

// Ended is closed when the host no longer takes callers, by its end or by a
// failure of its listener.
func (h *Host) Ended() <-chan struct{} { return h.callers.Ended() }

// CallerAddr returns the address that callers connect to.
func (h *Host) CallerAddr() string { return h.callers.Addr().String() }

// OperatorAddr returns the operators' address.
func (h *Host) OperatorAddr() string { return h.operator.Addr() }

// PeerAddr returns the address of the inner protocol.
func (h *Host) PeerAddr() string { return h.listener.Addr().String() }
