package serve

import (
	"os"
	"strings"

	"skylarkdeal/core/document"
	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/io/caller"
	"skylarkdeal/io/control"
	"skylarkdeal/io/docsync"
	"skylarkdeal/io/etcd"
	"skylarkdeal/io/grants"
	"skylarkdeal/io/holder"
	"skylarkdeal/io/host"
	"skylarkdeal/io/members"
)

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
	h.spread = docsync.New(h.spreadConfig())
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
