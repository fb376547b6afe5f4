package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"

	"skylarkdeal/test/launch"
)

// zones are the data centres, hostZones those of the hosts, as on the sheet of the site.
var (
	zones     = []string{"obihiro", "sapporo", "asahikawa"}
	hostZones = []string{"obihiro", "obihiro", "obihiro", "sapporo", "asahikawa", "asahikawa"}
)

// The ports of a host, each at an address of its own.
const (
	frontPort = 8465
	readyPort = 8460
	innerPort = 7560
	statePort = 9464
)

// host is one entry host as a process.
type host struct {
	name, ip, settings, log string
	cmd                     *exec.Cmd
	ended                   chan struct{}
}

func (h *host) front() string { return fmt.Sprintf("%s:%d", h.ip, frontPort) }

// newHosts writes the settings of all hosts from the template of the deploy file.
func newHosts(dir string, w *world) ([]*host, error) {
	template, err := os.ReadFile("deploy/host.ini")
	if err != nil {
		return nil, err
	}
	net24, err := freeNetwork()
	if err != nil {
		return nil, err
	}
	var hosts []*host
	for n, zone := range hostZones {
		h := &host{name: fmt.Sprintf("front-%s-%d", zone, n+1), ip: fmt.Sprintf("%s.%d", net24, n+1)}
		h.settings, h.log = filepath.Join(dir, h.name+".ini"), filepath.Join(dir, h.name+".log")
		store, err := serveHTTP(w.store.Handler(h.name))
		if err != nil {
			return nil, err
		}
		orders, err := serveHTTP(w.orders(h.name))
		if err != nil {
			return nil, err
		}
		text := render(string(template), map[string]string{
			"NodeName": h.name, "Zone": zone, "Ip": h.ip, "Listen.Front": h.front(),
			"Listen.Ready":    fmt.Sprintf("%s:%d", h.ip, readyPort),
			"InternalPorts.0": fmt.Sprint(innerPort), "platform.Address": store, "CloudApi.Address": orders,
			"Bounds.GraceS": "6", "Bounds.QuotaWindowS": "5", "CloudApi.DutyPerS": "50.0",
			"Limits.MemoryMb": "284", "Limits.CpuShare": "0.4",
		})
		if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil { //nolint:gosec // in a folder of ours
			return nil, err
		}
		hosts = append(hosts, h)
	}
	return hosts, nil
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
)

// render fills a template in as the platform does, as far as the deploy file's template needs it.
func render(template string, values map[string]string) string {
	out := section.ReplaceAllStringFunc(template, func(s string) string {
		m := section.FindStringSubmatch(s)
		if m[1] == "Zones" {
			var b strings.Builder
			for _, z := range zones {
				b.WriteString(strings.NewReplacer("{{@}}", z, "{{.}}", "hokkaido").Replace(m[2]))
			}
			return b.String()
		}
		if values[m[1]] == "" {
			return ""
		}
		return m[2]
	})
	return placeholder.ReplaceAllStringFunc(out, func(s string) string { return values[strings.Trim(s, "{}")] })
}

// freeNetwork returns the first three bytes of loopback addresses whose ports are free.
func freeNetwork() (string, error) {
	for range 50 {
		n := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		if isFree(n) {
			return n, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

func isFree(net24 string) bool {
	for n := range hostZones {
		for _, port := range []int{frontPort, readyPort, innerPort, statePort} {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", net24, n+1, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func serveHTTP(handler http.Handler) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// start starts the host's process with the command of the deploy file.
func (h *host) start() error {
	out, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	h.cmd = exec.Command("target/skylarkdeal", "serve", "--settings", h.settings) //nolint:gosec // a file of ours
	h.cmd.Stdout, h.cmd.Stderr = out, out
	if err := launch.Start(h.cmd); err != nil {
		return err
	}
	h.ended = make(chan struct{})
	go func() {
		_ = h.cmd.Wait()
		close(h.ended)
	}()
	return nil
}

// kill ends the host's process.
func (h *host) kill() {
	if h.cmd == nil || h.cmd.Process == nil {
		return
	}
	_ = h.cmd.Process.Signal(syscall.SIGKILL)
	<-h.ended
}

// awaitReady waits until the balancer would send callers to the host.
func (h *host) awaitReady(end time.Time) error {
	client := http.Client{Timeout: time.Second}
	for time.Now().Before(end) {
		r, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", h.ip, readyPort))
		if err == nil {
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("host %s isn't ready", h.name)
}
