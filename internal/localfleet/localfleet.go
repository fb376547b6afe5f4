// Package localfleet runs a whole fleet in one process on loopback: the stand-in
// store, stand-in database groups, and hosts. The demonstration, benchmarks and
// tests use it.
package localfleet

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"go.uber.org/zap"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/settings"
	"skylarkdeal/internal/edit"
	"skylarkdeal/internal/serve"
	"skylarkdeal/internal/sleep"
	"skylarkdeal/io/etcd"
	"skylarkdeal/standin/ledger"
	"skylarkdeal/standin/store"
)

// Account is one client account of a service, with its key in the clear: only
// stand-ins know it.
type Account struct {
	Name  fleet.Account
	Key   string
	Rate  float64
	Burst float64
}

// Service is one service with its database group.
type Service struct {
	Name        fleet.Service
	Instances   []ledger.InstanceConfig
	DataCentres []fleet.DataCentre
	Lag         time.Duration
	Acknowledge document.Acknowledge
	Holders     int
	Accounts    []Account
}

// Config is the fleet to run.
type Config struct {
	// Hosts names the data centre of each host.
	Hosts    []fleet.DataCentre
	Services []Service
	Logger   *zap.Logger
}

// Fleet is a running fleet.
type Fleet struct {
	Store  *store.Server
	Groups map[fleet.Service]*ledger.Group
	Hosts  []*serve.Host

	c      Config
	client *etcd.Store
	editor *edit.Editor
}

// Start runs a fleet. It returns once every host has every document and a
// primary answers each service.
func Start(ctx context.Context, c Config) (*Fleet, error) {
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	f := &Fleet{c: c, Groups: map[fleet.Service]*ledger.Group{}}
	if err := f.start(ctx); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	var err error
	if f.Store, err = store.Start(store.Config{}); err != nil {
		return err
	}
	f.client = etcd.Dial(etcd.Config{Endpoints: []string{f.Store.Addr()}, Patient: true})
	f.editor = &edit.Editor{Store: f.client, Root: settings.DefaultPrefix, By: "localfleet"}
	for _, s := range f.c.Services {
		if err := f.startService(ctx, s); err != nil {
			return err
		}
	}
	for n := range f.c.Hosts {
		if err := f.StartHost(n); err != nil {
			return err
		}
	}
	return f.awaitReady(ctx)
}

func (f *Fleet) startService(ctx context.Context, s Service) error {
	g, err := ledger.Start(ledger.Config{Service: s.Name, Instances: s.Instances, Lag: s.Lag, Log: f.c.Logger})
	if err != nil {
		return err
	}
	f.Groups[s.Name] = g
	text, err := s.Document(g.Address)
	if err != nil {
		return err
	}
	_, err = f.editor.Put(ctx, []byte(text), 0)
	return err
}

// Document returns the text of the service's document. address returns where an
// instance listens.
func (s Service) Document(address func(fleet.Instance) string) (string, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "[service]\nname = %s\n", s.Name)
	if s.Acknowledge != "" {
		fmt.Fprintf(&b, "acknowledge = %s\n", s.Acknowledge)
	}
	if s.Holders > 0 {
		fmt.Fprintf(&b, "holders = %d\n", s.Holders)
	}
	var centres []string
	for _, c := range s.DataCentres {
		centres = append(centres, string(c))
	}
	fmt.Fprintf(&b, "data-centres = %s\n", strings.Join(centres, ", "))
	for n, i := range s.Instances {
		fmt.Fprintf(&b, "\n[instance %q]\naddress = %s\ndata-centre = %s\nslots = %d\nconnections = %d\n",
			i.Name, address(i.Name), s.DataCentres[n%len(s.DataCentres)], i.Slots, i.Connections)
	}
	for _, a := range s.Accounts {
		v, err := document.NewVerifier(a.Key)
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&b, "\n[account %q]\nrate = %g/s\nburst = %g\nkey.one = %s\n", a.Name, a.Rate, a.Burst, v)
	}
	return b.String(), nil
}

// name is what host n is called.
func (f *Fleet) name(n int) fleet.Host {
	return fleet.Host(fmt.Sprintf("%s-%d", f.c.Hosts[n], n))
}

// HostsIn returns the names of the hosts in a data centre, and of all others.
func (f *Fleet) HostsIn(d fleet.DataCentre) (inside, outside []fleet.Host) {
	for n, c := range f.c.Hosts {
		if c == d {
			inside = append(inside, f.name(n))
			continue
		}
		outside = append(outside, f.name(n))
	}
	return inside, outside
}

const anyPort = "127.0.0.1:0"

// StartHost starts host n, a new one or one that was stopped.
func (f *Fleet) StartHost(n int) error {
	d := f.c.Hosts[n]
	text := fmt.Sprintf("[host]\nname = %s\ndata-centre = %s\n"+
		"[caller]\naddress = 127.0.0.1:1\n[peer]\naddress = 127.0.0.1:2\n[operator]\naddress = 127.0.0.1:3\n"+
		"[store]\nendpoints = %s\n", f.name(n), d, f.Store.Addr())
	s, err := settings.Parse("local", []byte(text))
	if err != nil {
		return err
	}
	// Settings take no port 0, by which a host would be found nowhere; here it is
	// asked where it listens.
	s.Caller.Address, s.Peer.Address, s.Operator.Address = anyPort, anyPort, anyPort
	for _, h := range f.Hosts {
		if h != nil {
			s.Peer.Seeds = append(s.Peer.Seeds, h.PeerAddr())
		}
	}
	h, err := serve.Start(s, f.c.Logger)
	if err != nil {
		return err
	}
	for len(f.Hosts) <= n {
		f.Hosts = append(f.Hosts, nil)
	}
	f.Hosts[n] = h
	return nil
}

// readyTimeout bounds the wait for a fleet to be ready.
const readyTimeout = 20 * time.Second

func (f *Fleet) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, s := range f.c.Services {
		for n, h := range f.Hosts {
			if err := f.awaitAnswer(ctx, h, s); err != nil {
				return fmt.Errorf("host %d, service %s: %w", n, s.Name, err)
			}
		}
	}
	return nil
}

// awaitAnswer returns once a caller of the service's first account gets an
// answer from the primary over h.
func (f *Fleet) awaitAnswer(ctx context.Context, h *serve.Host, s Service) error {
	var last error
	for ctx.Err() == nil {
		c, err := Connect(ctx, h, s.Name, s.Accounts[0], "")
		if err == nil {
			_, err = c.Exec(ctx, "get ready")
			_ = c.Close(ctx)
		}
		if err == nil {
			return nil
		}
		last = err
		sleep.For(ctx, 20*time.Millisecond)
	}
	return errors.Join(ctx.Err(), last)
}

// Close ends the fleet.
func (f *Fleet) Close() error {
	var errs []error
	for _, h := range f.Hosts {
		if h != nil {
			errs = append(errs, h.Close())
		}
	}
	for _, g := range f.Groups {
		g.Close()
	}
	if f.client != nil {
		f.client.Close()
	}
	if f.Store != nil {
		f.Store.Close()
	}
	return errors.Join(errs...)
}

// Edit changes the document of a service in the store, as an operator would.
func (f *Fleet) Edit(ctx context.Context, s fleet.Service, change func(*document.Document)) error {
	now, err := f.editor.Get(ctx, s)
	if err != nil {
		return err
	}
	d, err := document.Parse(now.Text, now.Version)
	if err != nil {
		return err
	}
	change(d)
	_, err = f.editor.Put(ctx, d.Format(), now.Version)
	return err
}
