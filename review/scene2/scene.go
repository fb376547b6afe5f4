//go:build review2

// Command scene2 plays one case of the review: it starts hosts as processes before the project's stand-in of the
// prepared machines, drives callers through them, inflicts one disruption and judges what callers and instances saw.
package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is what was sent, answered and run, one line each.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// host is one host of the system as a process.
type host struct {
	name, zone                   string
	front, ready, peer, operator string
	store, cloud                 string
	settings                     string
	mu                           sync.Mutex
	cmd                          *exec.Cmd
	ended                        chan struct{}
}

// fleet is all that a case starts.
type fleet struct {
	rec     *record
	dir     string
	hosts   []*host
	servers []*http.Server
	closers []func()
}

// freeAddress returns a loopback address on which nobody listens.
func freeAddress() string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fail("no free port: %v", err)
	}
	defer l.Close()
	return l.Addr().String()
}

// fail ends the case as one that couldn't run.
func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "could not run: "+format+"\n", args...)
	panic(couldNotRun{})
}

type couldNotRun struct{}

// serve serves a handler on a loopback address.
func (f *fleet) serve(h http.Handler) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fail("listen: %v", err)
	}
	s := &http.Server{Handler: h}
	f.servers = append(f.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String()
}

// newHost writes the settings of a host, as the template of the deploy file gives them.
func (f *fleet) newHost(name, zone string, zones []string, store, cloud http.Handler) *host {
	h := &host{
		name: name, zone: zone, front: freeAddress(), ready: freeAddress(), peer: freeAddress(), operator: freeAddress(),
		settings: filepath.Join(f.dir, name+".ini"),
	}
	h.store, h.cloud = f.serve(store), f.serve(cloud)
	var b strings.Builder
	fmt.Fprintf(&b, "[host]\nname = %s\ndata-centre = %s\n[caller]\naddress = %s\n[peer]\naddress = %s\n", name, zone,
		h.front, h.peer)
	fmt.Fprintf(&b, "[operator]\naddress = %s\n[store]\nendpoints = %s\n", h.operator, h.store)
	fmt.Fprintf(&b, "[adapter]\nkind = platform\nbalancer = %s\npromotions = %s\ngrace = 6s\nrate-window = 5s\n", h.ready, h.cloud)
	b.WriteString("promotion-least = 500ms\npromotion-delay = 1s\npromotion-rate = 50\nmemory = 284MiB\ncapacity = 0.4\n")
	b.WriteString("overload-control = true\noutlier-detection = true\n[regions]\n")
	for _, z := range zones {
		fmt.Fprintf(&b, "%s = hokkaido\n", z)
	}
	if err := os.WriteFile(h.settings, []byte(b.String()), 0o600); err != nil {
		fail("settings: %v", err)
	}
	f.hosts = append(f.hosts, h)
	return h
}

// start starts the host's process with the command of the deploy file.
func (f *fleet) start(h *host) {
	out, err := os.OpenFile(filepath.Join(f.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("log: %v", err)
	}
	defer out.Close()
	c := exec.Command("target/skylarkdeal", "serve", "--settings", h.settings)
	c.Stdout, c.Stderr = out, out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		fail("start %s: %v", h.name, err)
	}
	ended := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.ended = c, ended
	h.mu.Unlock()
	f.rec.add("host %s started as process %d", h.name, c.Process.Pid)
	go func() {
		err := c.Wait()
		f.rec.add("host %s ended: %v", h.name, err)
		close(ended)
	}()
}

// startAll starts all hosts and waits until they are ready.
func (f *fleet) startAll() {
	for _, h := range f.hosts {
		f.start(h)
	}
	for _, h := range f.hosts {
		if !h.awaitReady(15 * time.Second) {
			fail("%s isn't ready", h.name)
		}
	}
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		_ = h.cmd.Process.Signal(s)
	}
}

// hasEnded reports whether the process has ended.
func (h *host) hasEnded() bool {
	select {
	case <-h.ended:
		return true
	default:
		return false
	}
}

// awaitReady waits until the host tells the balancer that it is ready.
func (h *host) awaitReady(d time.Duration) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		c := http.Client{Timeout: time.Second}
		r, err := c.Get("http://" + h.ready + "/readyz")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

func (f *fleet) close() {
	for _, h := range f.hosts {
		if h.ended != nil {
			h.signal(syscall.SIGKILL)
			<-h.ended
		}
	}
	for _, c := range f.closers {
		c()
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
}

// caller is one client connection.
type caller struct {
	c  net.Conn
	in *bufio.Reader
}

func dialCaller(address string) (*caller, error) {
	c, err := net.DialTimeout("tcp4", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &caller{c: c, in: bufio.NewReader(c)}, nil
}

// start opens the session.
func (c *caller) start(database, key string) error {
	_ = c.c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(c.c, "START %s %s\r\n", database, key); err != nil {
		return err
	}
	l, err := c.line()
	if err != nil {
		return err
	}
	if !strings.HasPrefix(l, "READY") {
		return fmt.Errorf("%s", l)
	}
	return nil
}

func (c *caller) line() (string, error) {
	l, err := c.in.ReadString('\n')
	return strings.TrimRight(l, "\r\n"), err
}

// answer is the answer to one statement.
type answer struct {
	code, digest, state string
	rows                []string
}

// query sends one statement and reads its answer.
func (c *caller) query(id, text string, d time.Duration) (answer, error) {
	_ = c.c.SetDeadline(time.Now().Add(d))
	if _, err := fmt.Fprintf(c.c, "QUERY %s %s\r\n", id, text); err != nil {
		return answer{}, err
	}
	var a answer
	for {
		l, err := c.line()
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(l, " ")
		switch word {
		case "ROW":
			a.rows = append(a.rows, rest)
		case "DONE":
			a.digest = rest
		case "ERR":
			a.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a, nil
		}
	}
}
