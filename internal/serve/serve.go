// Package serve puts one host together: it joins the duties of a host and ends
// them in the order that cuts no request.
package serve

import (
	"context"
	"errors"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"skylarkdeal/core/document"
	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/journal"
	"skylarkdeal/core/settings"
	"skylarkdeal/io/caller"
	"skylarkdeal/io/control"
	"skylarkdeal/io/etcd"
	"skylarkdeal/io/grants"
	"skylarkdeal/io/holder"
	"skylarkdeal/io/host"
	"skylarkdeal/io/members"
	"skylarkdeal/io/operator"
	"skylarkdeal/io/spread"
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
	spread   *spread.Spread
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

func (h *Host) readSecrets() error {
	var err error
	if h.secret, err = readSecret(h.settings.Peer.SecretFile); err != nil {
		return err
	}
	h.password, err = readSecret(h.settings.Upstream.PasswordFile)
	return err
}

// readSecret returns the first line of a file, or nothing when no file is set.
func readSecret(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	b, err := os.ReadFile(file) //nolint:gosec // the operator names the file
	if err != nil {
		return "", failure.At(err, "read secret", failure.Peer("file "+file))
	}
	line, _, _ := strings.Cut(string(b), "\n")
	return strings.TrimSpace(line), nil
}

// self is what this host tells others of itself.
func (h *Host) self() fleet.Member {
	return fleet.Member{
		Host:       h.settings.Host.Name,
		DataCentre: h.settings.Host.DataCentre,
		Peer:       h.listener.Addr().String(),
	}
}

func (h *Host) assemble() {
	s := h.settings
	h.store = etcd.Dial(etcd.Config{
		Endpoints: s.Store.Endpoints,
		Timeout:   s.Store.Timeout,
		Hosts:     func() int { return len(h.members.Members()) },
		Metrics:   h.registry,
	})
	h.members = members.New(members.Config{
		Self:       h.self(),
		Epoch:      h.epoch,
		Store:      memberStore(h.store, keys{s.Store.Prefix}),
		Platform:   platformHosts(h.store, s.Store.HostList),
		Logger:     h.log,
		Registerer: h.registry,
		Journal:    &h.journal,
	})
	me := host.Self{Host: s.Host.Name, Epoch: h.epoch}
	// An exchange holds one message of a caller and what comes with it.
	limit := max(host.DefaultMessageLimit, 2*s.Caller.MaxMessage)
	h.peers = &host.Peers{
		Self:         me,
		Secret:       h.secret,
		MessageLimit: limit,
		Address:      h.address,
		Log:          h.log,
		Metrics:      h.registry,
	}
	h.spread = spread.New(h.spreadConfig())
	h.grants = grants.New(h.grantsConfig())
	h.holder = holder.New(h.holderConfig())
	h.server = &host.Server{
		Self:         me,
		Secret:       h.secret,
		MessageLimit: limit,
		Runner:       h.holder.Local(),
		Digest:       h.digest,
		Push:         h.push,
		Grant:        h.grant,
		View:         h.view,
		Leave:        h.leave,
		Log:          h.log,
	}
	h.callers = caller.New(caller.Config{
		Address:        s.Caller.Address,
		Host:           s.Host.Name,
		Epoch:          h.epoch,
		Secret:         []byte(h.secret),
		MaxSessions:    s.Caller.MaxSessions,
		MaxMessage:     s.Caller.MaxMessage,
		StartupTimeout: s.Caller.StartupTimeout,
		MaxUnread:      s.Caller.MaxUnread,
		Runner:         h.holder.Runner(),
		Documents:      h.serving,
		Admit:          h.grants.Admit,
		AdmitOpen:      h.grants.AdmitOpen,
		Logger:         h.log,
		Registerer:     h.registry,
		Journal:        &h.journal,
	})
	h.members.OnChange(func([]fleet.Member) { h.holder.MembersChanged(h.spread.All()) })
}

func (h *Host) grantsConfig() grants.Config {
	return grants.Config{
		Host:       h.settings.Host.Name,
		DataCentre: h.settings.Host.DataCentre,
		Epoch:      h.epoch,
		Documents:  h.spread.Get,
		Members:    h.members.Members,
		Call:       h.callGrant,
		Store:      seatStore(h.store, h.members, keys{h.settings.Store.Prefix}),
		Logger:     h.log,
		Registerer: h.registry,
		Journal:    &h.journal,
	}
}

func (h *Host) holderConfig() holder.Config {
	return holder.Config{
		Host:       h.settings.Host.Name,
		DataCentre: h.settings.Host.DataCentre,
		Epoch:      h.epoch,
		User:       h.settings.Upstream.User,
		Password:   h.password,
		Document:   h.spread.Get,
		Members:    h.members.Members,
		Dial:       h.dialControl,
		View:       h.peers.View,
		Peer:       h.peers.Runner,
		Logger:     h.log,
		Registerer: h.registry,
		Journal:    &h.journal,
	}
}

func (h *Host) dialControl(d *document.Document, i document.Instance) control.Client {
	return control.Dial(control.Config{
		Instance: i.Name,
		Address:  i.Address,
		User:     h.settings.Upstream.User,
		Password: h.password,
		Database: string(d.Service),
		Host:     h.settings.Host.Name,
	})
}

// serving returns the document by which callers are served: the one in effect,
// unless it says that this host has to stop, having been cut off for too long.
func (h *Host) serving(s fleet.Service) (*document.Document, bool) {
	if h.spread.Stopped(s) {
		return nil, false
	}
	return h.spread.Get(s)
}

// documentChanged puts a document in effect on this host.
func (h *Host) documentChanged(d *document.Document) {
	h.grants.DocumentChanged(d)
	h.holder.DocumentChanged(d)
	h.callers.DocumentChanged(d.Service)
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
	if h.grants.Claiming() && time.Since(h.started) < seatPatience {
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
