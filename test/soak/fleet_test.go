package soak_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"skylarkdeal/standin/machines"
	"skylarkdeal/test/launch"
)

// hostName is the name of a host.
type hostName string

// host is one host as a process.
type host struct {
	name                                       hostName
	callers, peers, operators, balancer, store string
	orders                                     string
	settings, output, dataCentre               string
	storeLink, ordersLink                      *link

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	// frozen is set while it is stopped, thawed when that last ended.
	frozen bool
	thawed time.Time
	// boots counts its starts. troubles are the faults that concern it now, calm is when the last
	// of them ended.
	boots, troubles int
	calm            time.Time
}

// thawSlack is how long after it was stopped a host may still act on what it knew.
const thawSlack = 300 * time.Millisecond

// fleet is all that a soak runs: hosts, the platform's stand-in and the links between.
type fleet struct {
	dir       string
	program   string
	machines  *machines.Machines
	judge     *judge
	hosts     []*host
	proxies   map[string]*proxy
	closers   []func()
	databases []database

	mu sync.Mutex
	// links are between hosts and instances, owners the hosts behind the connections that
	// instances see.
	links  map[hostName]map[string]*link
	owners map[string]hostName
	// operator writes the catalog.
	operator operator
	// extras counts the callers beside the usual ones.
	extras atomic.Int64
}

var keys = map[string]string{"hotel": "key-of-hotel", "bakery": "key-of-bakery", kiosk: "key-of-kiosk"}

// dataCentres are those of a fleet, which lies in the first ones.
var dataCentres = []string{"obihiro", "sapporo", "asahikawa"}

// services are the groups of instances.
var services = []string{"ledger", "orders"}

func databases() []database {
	var out []database
	for _, s := range services {
		out = append(out,
			database{name: mostUrgentOf(s), service: s, kind: kindPrimary},
			database{
				name: leastUrgentOf(s), service: s, kind: kindBounded, maxAge: 1500 * time.Millisecond,
				priority: leastUrgentPriority,
			},
			database{name: ownOf(s), service: s, kind: kindOwn, maxAge: 2500 * time.Millisecond, priority: 1})
	}
	return out
}

// startFleet starts everything; m is not yet started. spoil may change what is recorded. The
// caller has to close the fleet, also after an error.
func startFleet(
	dir, program string, hosts int, m *machines.Machines, j *judge, spoil func(m *machines.Machines),
) (*fleet, error) {
	f := &fleet{
		dir: dir, program: program, machines: m, judge: j, proxies: map[string]*proxy{},
		links: map[hostName]map[string]*link{}, owners: map[string]hostName{}, databases: databases(),
	}
	m.Heard, m.Ran, m.Committed, m.Ordered, m.Told = j.heard, j.ran, j.committed, j.ordered, j.tell
	m.Address, m.DataCentreOf = f.front, f.dataCentreBehind
	j.excused, j.hostOf, j.instances = f.excused, f.hostOf, m.Instances
	if spoil != nil {
		spoil(m)
	}
	if err := m.Start(services...); err != nil {
		return f, err
	}
	f.closers = append(f.closers, m.Close)
	f.operator.store, f.operator.databases, f.operator.syncReplicas = m.Store, f.databases, m.SyncReplicas
	f.operator.write(change{gives: true})
	for n := range hosts {
		h, err := f.newHost(hostName(fmt.Sprintf("h%d", n+1)), dataCentreOf(n, m.DataCentres))
		if err != nil {
			return f, err
		}
		f.mu.Lock()
		f.hosts = append(f.hosts, h)
		f.mu.Unlock()
	}
	for _, h := range f.hosts {
		if err := f.start(h); err != nil {
			return f, err
		}
	}
	for _, h := range f.hosts {
		if err := h.awaitReady(); err != nil {
			return f, err
		}
	}
	return f, nil
}

// close ends all that the fleet has started.
func (f *fleet) close() {
	for _, h := range f.hosts {
		h.kill()
	}
	for _, p := range f.proxies {
		_ = p.listener.Close()
	}
	for n := len(f.closers) - 1; n >= 0; n-- {
		f.closers[n]()
	}
}

// front returns the address of the proxy before an instance, which it starts. It is called
// by the stand-in as it announces its instances.
func (f *fleet) front(instance, own string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.proxies[instance]; p != nil {
		return p.address()
	}
	p, err := startProxy(func() string { return own }, func(c *net.TCPConn) *link {
		return f.link(f.owner(c), instance)
	})
	if err != nil {
		return own
	}
	p.passed = func(l *link, local string) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.owners[local] = l.host
	}
	f.proxies[instance] = p
	return p.address()
}

// link returns the link between a host and an instance.
func (f *fleet) link(h hostName, instance string) *link {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.links[h] == nil {
		f.links[h] = map[string]*link{}
	}
	if f.links[h][instance] == nil {
		f.links[h][instance] = &link{host: h}
	}
	return f.links[h][instance]
}

// hostOf returns the host behind a connection that an instance sees.
func (f *fleet) hostOf(c machines.Conn) hostName {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.owners[c.Remote]
}

// dataCentreBehind returns the data centre of the host behind a connection that an instance sees.
func (f *fleet) dataCentreBehind(c machines.Conn) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.hosts {
		if h.name == f.owners[c.Remote] {
			return h.dataCentre
		}
	}
	return ""
}

// excused reports whether the host behind a connection stood still or its link to the
// instance was disturbed shortly before: a statement may then have been held up on its way.
func (f *fleet) excused(c machines.Conn) bool {
	name := f.hostOf(c)
	for _, h := range f.hosts {
		if h.name == name && h.stoodStill() {
			return true
		}
	}
	return f.link(name, c.Instance).disturbed()
}

func (h *host) stoodStill() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.frozen || time.Since(h.thawed) < thawSlack
}

// owner returns the host at the far end of a connection, empty if it has closed its end.
func (f *fleet) owner(c *net.TCPConn) hostName {
	inode := inodeOf(portOf(c.RemoteAddr()), portOf(c.LocalAddr()))
	if inode == "" {
		return ""
	}
	f.mu.Lock()
	hosts := f.hosts
	f.mu.Unlock()
	for _, h := range hosts {
		if h.has("socket:[" + inode + "]") {
			return h.name
		}
	}
	return ""
}

func (h *host) has(file string) bool {
	h.mu.Lock()
	c := h.cmd
	h.mu.Unlock()
	if c == nil {
		return false
	}
	dir := filepath.Join("/proc", strconv.Itoa(c.Process.Pid), "fd")
	fds, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	for _, d := range fds {
		if to, err := os.Readlink(filepath.Join(dir, d.Name())); err == nil && to == file {
			return true
		}
	}
	return false
}

// dataCentreOf returns where the host with a number lies.
func dataCentreOf(n int, names []string) string {
	if len(names) == 0 {
		return dataCentres[0]
	}
	return names[n%len(names)]
}

func (f *fleet) newHost(name hostName, dataCentre string) (*host, error) {
	h := &host{
		name: name, dataCentre: dataCentre, settings: filepath.Join(f.dir, string(name)+".ini"),
		output: filepath.Join(f.dir, string(name)+".log"), storeLink: &link{}, ordersLink: &link{},
	}
	for _, a := range []*string{&h.callers, &h.peers, &h.operators, &h.balancer} {
		var err error
		if *a, err = launch.Address(); err != nil {
			return nil, err
		}
	}
	var err error
	if h.store, err = f.serve(string(name)+" store", f.machines.Store.Handler(string(name)), h.storeLink); err != nil {
		return nil, err
	}
	if h.orders, err = f.serve(string(name)+" orders", f.machines.Orders(), h.ordersLink); err != nil {
		return nil, err
	}
	text := fmt.Sprintf("[host]\nname = %s\ndata-centre = %s\n[caller]\naddress = %s\n[peer]\naddress = %s\n"+
		"[operator]\naddress = %s\n[store]\nendpoints = %s\n[adapter]\nkind = platform\nbalancer = %s\npromotions = %s\n"+
		"promotion-delay = 1s\ngrace = 3s\noverload-control = true\noutlier-detection = true\n",
		name, dataCentre, h.callers, h.peers, h.operators, h.store, h.balancer, h.orders)
	return h, os.WriteFile(h.settings, []byte(text), 0o600)
}

// serve serves one host behind a proxy and returns the proxy's address.
func (f *fleet) serve(name string, handler http.Handler, l *link) (string, error) {
	s := httptest.NewServer(handler)
	f.closers = append(f.closers, func() {
		s.CloseClientConnections()
		s.Close()
	})
	p, err := startProxy(func() string { return s.Listener.Addr().String() }, func(*net.TCPConn) *link { return l })
	if err != nil {
		return "", err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.proxies[name] = p
	return p.address(), nil
}

// start starts a host's process unless it runs.
func (f *fleet) start(h *host) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		return nil
	}
	out, err := os.OpenFile(h.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	c := exec.Command(f.program, "serve", "--settings", h.settings)
	c.Stdout, c.Stderr = out, out
	h.boots++
	h.calm = time.Now()
	if err := launch.Start(c); err != nil {
		return err
	}
	done := make(chan struct{})
	h.cmd, h.done, h.frozen = c, done, false
	go func() {
		err := c.Wait()
		f.judge.tell(fmt.Sprintf("host %s ended: %v", h.name, err))
		h.mu.Lock()
		h.cmd = nil
		h.mu.Unlock()
		close(done)
	}()
	return nil
}

// signal sends a signal to the host's process, if it runs.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return
	}
	switch s {
	case syscall.SIGSTOP:
		h.frozen = true
	case syscall.SIGCONT:
		h.frozen, h.thawed = false, time.Now()
	default:
	}
	_ = h.cmd.Process.Signal(s) // it may just have ended
}

// await waits until the process has ended, and reports whether it has.
func (h *host) await(d time.Duration) bool {
	h.mu.Lock()
	done, runs := h.done, h.cmd != nil
	h.mu.Unlock()
	if !runs {
		return true
	}
	select {
	case <-done:
		return true
	case <-time.After(d):
		return false
	}
}

func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	h.await(patience)
}

const (
	// readyWithin is how long a host has to become ready.
	readyWithin = 15 * time.Second
	readyEvery  = 20 * time.Millisecond
)

func (h *host) awaitReady() error {
	for end := time.Now().Add(readyWithin); time.Now().Before(end); time.Sleep(readyEvery) {
		r, err := http.Get("http://" + h.balancer + "/readyz")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("host %s isn't ready after %v", h.name, readyWithin)
}
