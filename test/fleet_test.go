package test_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
	"skylarkdeal/internal/localfleet"
	"skylarkdeal/standin/ledger"
	"skylarkdeal/test/launch"
)

// Secrets of the fleet, none of which may stand in a log or dump.
const (
	upstreamPassword = "upstream-password-of-the-scenarios"
	peerSecret       = "peer-secret-of-the-scenarios"
)

// bound is how long a condition gets on a busy machine. No verdict rests on how
// much of it is used.
const bound = 18 * time.Second

// centres are two, so that suspicion needs hosts of both, and with two hosts each
// the seats of the accounts' homes are taken within a store client's burst.
var centres = []fleet.DataCentre{"obihiro", "sapporo"}

// runningFleet is a store, groups and hosts, each a process of its own.
type runningFleet struct {
	dir   string
	store string
	// storeProcess and groups run the stand-ins.
	storeProcess *process
	groups       []*group
	hosts        []*host
}

// host is one host of the fleet.
type host struct {
	*process
	name     string
	centre   fleet.DataCentre
	settings string
	caller   string
	peer     string
	operator string
}

// group is one service with its database group.
type group struct {
	*process
	localfleet.Service
	fleet *runningFleet
	admin string
	at    map[fleet.Instance]string
}

// fleets bounds the fleets that run at a time beside the shared one.
var fleets = make(chan struct{}, 3)

// startFleet runs a store and hosts. They end with the test, which runs beside
// others that have fleets of their own.
func startFleet(t *testing.T, hosts int) *runningFleet {
	t.Helper()
	t.Parallel()
	fleets <- struct{}{}
	t.Cleanup(func() { <-fleets })
	dir := t.TempDir()
	f, err := openFleet(dir, hosts)
	if f != nil {
		t.Cleanup(func() { f.end(t) })
	}
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func openFleet(dir string, hosts int) (*runningFleet, error) {
	f := &runningFleet{dir: dir}
	for name, text := range map[string]string{"password": upstreamPassword, "secret": peerSecret} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text+"\n"), 0o600); err != nil {
			return f, err
		}
	}
	var err error
	if f.store, err = launch.Address(); err != nil {
		return f, err
	}
	if f.storeProcess, err = startProcess(dir, "store", "standin", "store", "--address", f.store); err != nil {
		return f, err
	}
	if err := waitFor(func() error { return httpGet("http://"+f.store+"/calls", nil) }); err != nil {
		return f, err
	}
	for range hosts {
		if _, err := f.addHost(); err != nil {
			return f, err
		}
	}
	return f, nil
}

// addHost starts one more host. It does not wait until the host is ready.
func (f *runningFleet) addHost() (*host, error) {
	n := len(f.hosts)
	d := centres[n%len(centres)]
	h := &host{name: fmt.Sprintf("%s-%d", d, n+1), centre: d}
	for _, a := range []*string{&h.caller, &h.peer, &h.operator} {
		var err error
		if *a, err = launch.Address(); err != nil {
			return nil, err
		}
	}
	seeds := h.peer
	for _, o := range f.hosts {
		seeds += ", " + o.peer
	}
	h.settings = filepath.Join(f.dir, h.name+".ini")
	text := fmt.Sprintf("[host]\nname = %s\ndata-centre = %s\n[caller]\naddress = %s\n"+
		"[peer]\naddress = %s\nseeds = %s\nsecret-file = %s\n[operator]\npprof = true\naddress = %s\n"+
		"[store]\nendpoints = %s\n[upstream]\npassword-file = %s\n[log]\nlevel = debug\n",
		h.name, d, h.caller, h.peer, seeds, filepath.Join(f.dir, "secret"), h.operator,
		f.store, filepath.Join(f.dir, "password"))
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	f.hosts = append(f.hosts, h)
	return h, h.start(f)
}

// start runs the host, for the first time or again.
func (h *host) start(f *runningFleet) error {
	p, err := startProcess(f.dir, h.name, "serve", "--settings", h.settings)
	if err == nil {
		h.process = p
	}
	return err
}

// ready waits until the host takes callers.
func (h *host) ready(t testing.TB) {
	t.Helper()
	eventually(t, func() error { return httpGet("http://"+h.operator+"/readyz", nil) })
}

// accounts of every service. The rates are far above what the scenarios need.
func accounts(service fleet.Service) []localfleet.Account {
	var out []localfleet.Account
	for _, n := range []fleet.Account{"hotel", "bakery"} {
		out = append(out, localfleet.Account{
			Name: n, Key: fmt.Sprintf("key-of-%s-at-%s", n, service), Rate: 5000, Burst: 5000,
		})
	}
	return out
}

// addGroup runs a database group, puts its document and waits until a caller is
// served over every host that runs.
func (f *runningFleet) addGroup(t testing.TB, name fleet.Service, flags ...string) *group {
	t.Helper()
	g := &group{fleet: f, at: map[fleet.Instance]string{}}
	g.Service = localfleet.Service{Name: name, DataCentres: centres, Accounts: accounts(name)}
	return f.runGroup(t, g, flags...)
}

// addHeldGroup is addGroup with a bound on the hosts that hold connections.
func (f *runningFleet) addHeldGroup(t testing.TB, name fleet.Service, holders int) *group {
	t.Helper()
	g := &group{fleet: f, at: map[fleet.Instance]string{}}
	g.Service = localfleet.Service{Name: name, DataCentres: centres, Accounts: accounts(name), Holders: holders}
	return f.runGroup(t, g)
}

func (f *runningFleet) runGroup(t testing.TB, g *group, flags ...string) *group {
	t.Helper()
	name := g.Name
	args := []string{"standin", "group", "--service", string(name), "--lag", "5ms", "--work", "1ms",
		"--user", "skylarkdeal", "--password-file", filepath.Join(f.dir, "password")}
	for _, n := range []fleet.Instance{"a", "b", "c"} {
		a, err := launch.Address()
		qt.Assert(t, err, qt.IsNil)
		g.at[n] = a
		g.Instances = append(g.Instances, ledger.InstanceConfig{Name: n, Slots: 2, Connections: 16})
		args = append(args, "--instance", string(n)+"="+a)
	}
	var err error
	g.admin, err = launch.Address()
	qt.Assert(t, err, qt.IsNil)
	g.process, err = startProcess(f.dir, "group-"+string(name), append(append(args, "--admin", g.admin), flags...)...)
	qt.Assert(t, err, qt.IsNil)
	f.groups = append(f.groups, g)
	eventually(t, func() error { return httpGet("http://"+g.admin+"/status", nil) })
	text, err := g.Document(func(i fleet.Instance) string { return g.at[i] })
	qt.Assert(t, err, qt.IsNil)
	code, _, errOut := f.document(t, text, "put", "-")
	qt.Assert(t, code, qt.Equals, 0, qt.Commentf("%s", errOut))
	for _, h := range f.hosts {
		g.served(t, h)
	}
	return g
}

// served waits until the primary answers a caller over h.
func (g *group) served(t testing.TB, h *host) {
	t.Helper()
	eventually(t, func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		c, err := g.connect(ctx, h, "")
		if err != nil {
			return err
		}
		defer c.Close(ctx)
		_, err = c.Exec(ctx, "get ready")
		return err
	})
}

// document runs skylarkdeal document against the fleet's store.
func (f *runningFleet) document(t testing.TB, in string, args ...string) (code int, out, errOut string) {
	t.Helper()
	return command(t, in, append(append([]string{"document"}, args...), "--store", f.store)...)
}

// edit changes the group's document and returns its new version.
func (g *group) edit(t testing.TB, change func(d *document.Document)) document.Version {
	t.Helper()
	code, text, errOut := g.fleet.document(t, "", "get", string(g.Name))
	qt.Assert(t, code, qt.Equals, 0, qt.Commentf("%s", errOut))
	head, body, _ := strings.Cut(text, "\n")
	d, err := document.Parse([]byte(body), 0)
	qt.Assert(t, err, qt.IsNil)
	change(d)
	code, out, errOut := g.fleet.document(t, head+"\n"+string(d.Format()), "put", "-")
	qt.Assert(t, code, qt.Equals, 0, qt.Commentf("%s", errOut))
	var v document.Version
	_, err = fmt.Sscanf(out, "version %d,", &v)
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	return v
}

// post sets a fault switch and returns its answer.
func post(t testing.TB, url string) {
	t.Helper()
	r, err := http.Post(url, "", nil)
	qt.Assert(t, err, qt.IsNil)
	defer r.Body.Close()
	b, _ := io.ReadAll(r.Body)
	qt.Assert(t, r.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s: %s", url, b))
}

func (g *group) fault(t testing.TB, query string) {
	t.Helper()
	post(t, "http://"+g.admin+"/fault?"+query)
}

// storeFault sets a switch of the store.
func (f *runningFleet) storeFault(t testing.TB, query string) {
	t.Helper()
	post(t, "http://"+f.store+"/fault?"+query)
}

// record returns the log of the instance, or of the primary when n is empty.
func (g *group) record(t testing.TB, n fleet.Instance) ledger.Record {
	t.Helper()
	var r ledger.Record
	qt.Assert(t, httpGet("http://"+g.admin+"/ledger?instance="+string(n), &r), qt.IsNil)
	return r
}

// statuses returns what the instances say of themselves.
func (g *group) statuses(t testing.TB) []fleet.Status {
	t.Helper()
	var s []fleet.Status
	qt.Assert(t, httpGet("http://"+g.admin+"/status", &s), qt.IsNil)
	return s
}

// dump returns the state of h, raw.
func (h *host) dump(t testing.TB) string {
	t.Helper()
	code, out, errOut := command(t, "", "state", "--address", h.operator)
	qt.Assert(t, code, qt.Equals, 0, qt.Commentf("%s", errOut))
	return out
}

// httpGet reads url into v, which may be nil.
func httpGet(url string, v any) error {
	b, err := httpText(url)
	if err != nil || v == nil {
		return err
	}
	return json.Unmarshal(b, v)
}

func httpText(url string) ([]byte, error) {
	c := http.Client{Timeout: 5 * time.Second}
	r, err := c.Get(url)
	if err != nil {
		return nil, err
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	if err == nil && r.StatusCode != http.StatusOK {
		err = errors.New(strings.TrimSpace(string(b)))
	}
	return b, err
}

// waitFor tries until check returns nil or the bound is over.
func waitFor(check func() error) error {
	end := time.Now().Add(bound)
	for {
		err := check()
		if err == nil || time.Now().After(end) {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func eventually(t testing.TB, check func() error) {
	t.Helper()
	if err := waitFor(check); err != nil {
		t.Fatalf("not within %v: %v", bound, err)
	}
}

// end stops every process of the fleet by its id. Of a failed test it shows the
// states, the goroutines and the logs.
func (f *runningFleet) end(t testing.TB) {
	if t != nil && t.Failed() {
		f.explain(t)
	}
	for _, h := range f.hosts {
		if h.process != nil {
			h.kill()
		}
	}
	for _, g := range f.groups {
		if g.process != nil {
			g.kill()
		}
	}
	if f.storeProcess != nil {
		f.storeProcess.kill()
	}
}

// shownBytes bounds what is shown of one log.
const shownBytes = 20000

func (f *runningFleet) explain(t testing.TB) {
	keep := os.Getenv("SKYLARKDEAL_KEEP")
	for _, h := range f.hosts {
		code, out, _ := command(t, "", "state", "--address", h.operator)
		if code == 0 {
			_ = os.WriteFile(filepath.Join(f.dir, h.name+"-state.log"), []byte(out), 0o600)
		}
		if b, err := httpText("http://" + h.operator + "/debug/pprof/goroutine?debug=1"); err == nil {
			_ = os.WriteFile(filepath.Join(f.dir, h.name+"-goroutines.log"), b, 0o600)
		}
	}
	files, _ := filepath.Glob(filepath.Join(f.dir, "*.log"))
	for _, n := range files {
		b, _ := os.ReadFile(n)
		if keep != "" {
			_ = os.WriteFile(filepath.Join(keep, filepath.Base(n)), b, 0o600)
			continue
		}
		t.Logf("%s:\n%s", filepath.Base(n), b[max(0, len(b)-shownBytes):])
	}
}
