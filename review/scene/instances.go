package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"skylarkdeal/standin/machines"
)

// The figures of the groups, as on the sheets of the small deployments.
const (
	slots        = 2
	maxConns     = 16
	connectTime  = 12 * time.Millisecond
	writeTime    = 3 * time.Millisecond
	netDelay     = time.Millisecond
	applyLag     = 20 * time.Millisecond
	promoteTime  = time.Second
	reachTime    = time.Second
	heartbeat    = 1200 * time.Millisecond
	forgetAfter  = 3 * heartbeat
	replicateGap = time.Millisecond
)

// entry is one commit in a log.
type entry struct {
	term, number int
	ids          []string
	// at is when it was committed.
	at time.Time
}

// instance is one database instance of a group.
type instance struct {
	name, address, zone string
	group               *group
	conns               map[net.Conn]bool
	slots               chan struct{}

	primary, dead, draining bool
	// behind is how long commits take to reach it.
	behind time.Duration
	// deaf is set while it receives nothing.
	deaf bool
	// ordered is set from an order until the promotion takes effect.
	ordered bool
	// replaced is set on a former primary that hasn't met its successor.
	replaced bool
	term     int
	log      []*entry
	born     int64
	seq      int
	said     string
	saidAt   time.Time
	diedAt   time.Time
}

// group is the instances of one service.
type group struct {
	name      string
	term      int
	leader    *instance
	instances []*instance
}

// world is the platform and the database instances.
type world struct {
	store *machines.Store
	rec   *record
	// sync is the SyncReplicas of all services.
	sync int
	// orderDelay returns how long the platform takes before it handles an order. It may be nil.
	orderDelay func() time.Duration

	mu       sync.Mutex
	received *sync.Cond
	groups   []*group
	byName   map[string]*instance
	digests  int
	// promotions are those that have taken effect.
	promotions []promotion
	// acknowledgedAt is when a client got the acknowledgement of a write.
	acknowledgedAt map[string]time.Time
	// committed are the commits of all instances.
	committed []commit
}

// promotion is a change of primary that has taken effect.
type promotion struct {
	service, instance, former string
	term                      int
	at                        time.Time
	// log are the ids in the log of the instance.
	log map[string]bool
}

// commit is one commit on an instance.
type commit struct {
	service, instance string
	ids               []string
	at                time.Time
	// replacedSince is since when another instance led, zero if none did.
	replacedSince time.Time
}

func newWorld(rec *record, syncReplicas int) *world {
	w := &world{
		store: machines.NewStore(), rec: rec, sync: syncReplicas, byName: map[string]*instance{},
		acknowledgedAt: map[string]time.Time{},
	}
	w.received = sync.NewCond(&w.mu)
	return w
}

// start starts groups of three instances, one in each zone.
func (w *world) start(services, zones []string) error {
	for _, s := range services {
		g := &group{name: s, term: 1}
		for n, letter := range []string{"a", "b", "c"} {
			i := &instance{
				name: "i-" + s + "-" + letter, group: g, zone: zones[n%len(zones)], term: 1,
				conns: map[net.Conn]bool{}, slots: make(chan struct{}, slots), born: time.Now().UnixMilli(),
			}
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				return err
			}
			i.address = l.Addr().String()
			g.instances = append(g.instances, i)
			w.byName[i.name] = i
			go w.accept(i, l)
		}
		g.leader = g.instances[0]
		g.leader.primary = true
		w.groups = append(w.groups, g)
	}
	go w.run()
	return nil
}

// run replicates and announces.
func (w *world) run() {
	for ; ; time.Sleep(replicateGap) {
		w.mu.Lock()
		for _, g := range w.groups {
			for _, i := range g.instances {
				w.receive(i)
				w.announce(i)
			}
		}
		w.received.Broadcast()
		w.mu.Unlock()
	}
}

// receive has a replica take in what the leader has.
func (w *world) receive(i *instance) {
	l := i.group.leader
	if i == l || i.dead || l.dead || i.deaf || i.replaced {
		return
	}
	if n := common(i.log, l.log); n < len(i.log) {
		i.log = slices.Clone(i.log[:n])
	}
	i.term = l.term
	for len(i.log) < len(l.log) && time.Since(l.log[len(i.log)].at) >= max(i.behind, netDelay) {
		i.log = append(i.log, l.log[len(i.log)])
	}
}

// common returns how many first entries two logs share.
func common(a, b []*entry) int {
	n := min(len(a), len(b))
	for n > 0 && a[n-1] != b[n-1] {
		n--
	}
	return n
}

// announce writes an instance's entry at each heartbeat, and at once when it has changed.
func (w *world) announce(i *instance) {
	key := "servers/" + i.name
	if i.dead {
		if i.said != "" && time.Since(i.diedAt) > forgetAfter {
			i.said = ""
			w.store.Delete(key)
		}
		return
	}
	state := "ready"
	if i.draining {
		state = "draining"
	}
	said := fmt.Sprintf(`"Service":%q,"Address":%q,"Zone":%q,"Version":"v1","Slots":%d,"State":%q,"ColdLeftMs":0,`+
		`"DbRole":%q,"born":%d`, i.group.name, i.address, i.zone, slots, state, i.role(), i.born)
	if said == i.said && time.Since(i.saidAt) < heartbeat {
		return
	}
	i.said, i.saidAt = said, time.Now()
	i.seq++
	w.store.Put(key, fmt.Sprintf(`{%s,"Seq":%d}`, said, i.seq))
}

func (i *instance) role() string {
	if i.primary {
		return "primary"
	}
	return "replica"
}

// applied is how many entries the instance has applied.
func (i *instance) applied() int {
	n := len(i.log)
	if i.primary {
		return n
	}
	for n > 0 && time.Since(i.log[n-1].at) < applyLag {
		n--
	}
	return n
}

func (i *instance) positionAt(n int) string {
	if n == 0 {
		return "1.0"
	}
	return fmt.Sprintf("%d.%d", i.log[n-1].term, i.log[n-1].number)
}

// has reports whether the instance has applied a position.
func (i *instance) has(position string) bool {
	var term, number int
	if _, err := fmt.Sscanf(position, "%d.%d", &term, &number); err != nil {
		return false
	}
	n := i.applied()
	return number == 0 || number <= n && i.log[number-1].term >= term
}

// setBehind sets how long commits take to reach a replica.
func (w *world) setBehind(name string, behind time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byName[name].behind = behind
	w.rec.note("commits take %v to reach %s", behind, name)
}

// setDeaf has an instance receive nothing, or ends that.
func (w *world) setDeaf(name string, deaf bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byName[name].deaf = deaf
	w.rec.note("instance %s receives nothing: %t", name, deaf)
}

// drain says that an instance is about to leave. It goes on serving and receiving.
func (w *world) drain(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byName[name].draining = true
	w.announce(w.byName[name])
	w.rec.note("instance %s is draining, accepted by the store", name)
}

// crash ends an instance's process.
func (w *world) crash(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := w.byName[name]
	i.dead, i.diedAt = true, time.Now()
	for c := range i.conns {
		_ = c.Close()
	}
	w.rec.note("instance %s (%s, log to %s) crashes", name, i.role(), i.positionAt(len(i.log)))
	w.received.Broadcast()
}

// comeBack starts a crashed instance with its log, as a replica if another was promoted.
func (w *world) comeBack(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := w.byName[name]
	i.dead, i.born, i.seq = false, time.Now().UnixMilli(), 0
	i.primary, i.replaced = i.group.leader == i, false
	w.rec.note("instance %s is back as a %s with its log to %s", name, i.role(), i.positionAt(len(i.log)))
}

// primaryOf returns the instance that leads a service.
func (w *world) primaryOf(service string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, g := range w.groups {
		if g.name == service {
			return g.leader.name
		}
	}
	return ""
}

// orders is the address where promotions are ordered.
func (w *world) orders(host string) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		var b struct{ Service, Id string } //nolint:revive // the platform's name
		fence, err := strconv.ParseUint(r.Header.Get("Fence-Token"), 10, 64)
		if r.URL.Path != "/promotion" || err != nil || json.NewDecoder(r.Body).Decode(&b) != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		w.rec.note("order of %s, fence %d: %s is to lead %s", host, fence, b.Id, b.Service)
		w.mu.Lock()
		delay := w.orderDelay
		w.mu.Unlock()
		if delay != nil {
			if d := delay(); d > 0 {
				time.Sleep(d)
				w.rec.note("order of %s, fence %d, is handled after %v: %s is to lead %s", host, fence, d, b.Id, b.Service)
			}
		}
		rw.WriteHeader(w.order(b.Service, b.Id))
	})
}

// setOrderDelay sets how long the platform takes before it handles an order.
func (w *world) setOrderDelay(f func() time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.orderDelay = f
}

func (w *world) order(service, name string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := w.byName[name]
	if i == nil || i.dead || i.group.name != service {
		return http.StatusConflict
	}
	if i.group.leader != i && !i.ordered {
		i.ordered = true
		time.AfterFunc(promoteTime, func() { w.promote(i) })
	}
	return http.StatusOK
}

// promote has an instance lead the next term with what it has received.
func (w *world) promote(i *instance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	g := i.group
	i.ordered = false
	if i.dead || g.leader == i {
		return
	}
	former := g.leader
	g.term++
	g.leader, i.primary, i.term, i.replaced = i, true, g.term, false
	p := promotion{
		service: g.name, instance: i.name, former: former.name, term: g.term, at: time.Now(), log: map[string]bool{},
	}
	for _, e := range i.log {
		for _, id := range e.ids {
			p.log[id] = true
		}
	}
	w.promotions = append(w.promotions, p)
	w.rec.note("promotion: %s leads %s in term %d with its log to %s; before it was %s, whose log ends at %s",
		i.name, g.name, g.term, i.positionAt(len(i.log)), former.name, former.positionAt(len(former.log)))
	if former.primary && !former.dead {
		former.replaced = true
		time.AfterFunc(reachTime, func() { w.meet(former) })
	}
}

// meet has a former primary find its successor.
func (w *world) meet(former *instance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if former.replaced {
		former.primary, former.replaced = false, false
	}
}

// conn is one connection to an instance.
type conn struct {
	w     *world
	i     *instance
	state string
	reads bool
	// ids are the writes of the open transaction.
	ids      []string
	prepared map[string]string
}

func (w *world) accept(i *instance, l net.Listener) {
	for {
		n, err := l.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		if i.dead {
			w.mu.Unlock()
			_ = n.(*net.TCPConn).SetLinger(0)
			_ = n.Close()
			continue
		}
		i.conns[n] = true
		w.mu.Unlock()
		go func() {
			(&conn{w: w, i: i, state: "I", prepared: map[string]string{}}).serve(n)
			_ = n.Close()
			w.mu.Lock()
			delete(i.conns, n)
			w.mu.Unlock()
		}()
	}
}

func (c *conn) serve(n net.Conn) {
	in := newLines(n)
	line, err := in.next()
	if err != nil {
		return
	}
	out, ok := c.start(line)
	for {
		if _, err := n.Write([]byte(out)); err != nil || !ok {
			return
		}
		if line, err = in.next(); err != nil {
			return
		}
		if out, ok = c.query(line); !ok {
			return
		}
	}
}

func (c *conn) start(line string) (string, bool) {
	f := strings.Split(line, " ")
	c.i.slots <- struct{}{}
	time.Sleep(connectTime)
	<-c.i.slots
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	if len(f) < 3 || f[0] != "START" || f[1] != c.i.group.name || len(f) > 3 && f[3] != c.i.name {
		return "ERR MISROUTED " + c.i.name + "\r\n", false
	}
	if len(c.i.conns) > maxConns {
		return "ERR TOOMANY " + c.i.name + "\r\n", false
	}
	return c.ready(), true
}

func (c *conn) ready() string {
	return "READY " + c.state + " " + c.i.positionAt(c.i.applied()) + "\r\n"
}

// query runs one statement; it reports false if the connection ends unanswered.
func (c *conn) query(line string) (string, bool) {
	f := strings.SplitN(line, " ", 3)
	if len(f) < 3 || f[0] != "QUERY" {
		return "", false
	}
	id, text := f[1], f[2]
	after := ""
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		after, text, _ = strings.Cut(rest, " ")
	}
	word, rest, _ := strings.Cut(text, " ")
	if slices.Contains([]string{"READ", "WRITE", "COMMIT", "EXECUTE", "STATUS"}, word) {
		c.i.slots <- struct{}{}
		time.Sleep(writeTime)
		<-c.i.slots
	}
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	if c.i.dead {
		return "", false
	}
	if after != "" && !c.i.has(after) {
		return c.refuse("LAGGING"), true
	}
	return c.run(id, word, rest)
}

func (c *conn) done(digest bool, rows ...string) string {
	d := "-"
	if digest {
		c.w.digests++
		d = fmt.Sprintf("%s.%d", c.i.name, c.w.digests)
	}
	var b strings.Builder
	for _, r := range rows {
		b.WriteString("ROW " + r + "\r\n")
	}
	return b.String() + "DONE " + d + "\r\n" + c.ready()
}

func (c *conn) refuse(code string) string {
	if c.state == "T" {
		c.state, c.ids = "E", nil
	}
	return "ERR " + code + " " + c.i.name + "\r\n" + c.ready()
}

func (c *conn) run(id, word, rest string) (string, bool) {
	switch word {
	case "STATUS", "STEPDOWN":
		return c.status(word, rest), true
	case "ROLLBACK":
		c.state, c.ids = "I", nil
		return c.done(false), true
	}
	if c.state == "E" {
		return c.refuse("MALFORMED"), true
	}
	lost := c.state == "T" && !c.reads && !c.i.primary
	if lost && (word != "COMMIT" || len(c.ids) > 0) {
		return c.refuse("READONLY"), true
	}
	switch word {
	case "BEGIN":
		if rest != "READ" && !c.i.primary {
			return c.refuse("READONLY"), true
		}
		c.state, c.reads = "T", rest == "READ"
	case "SET":
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		c.prepared[name] = shape
	case "DEALLOC":
		delete(c.prepared, rest)
	case "DISCARD":
		clear(c.prepared)
	case "EXECUTE":
		name, arguments, _ := strings.Cut(rest, " ")
		shape, ok := c.prepared[name]
		if !ok {
			return c.refuse("NOSTMT"), true
		}
		kind, _, _ := strings.Cut(shape, " ")
		return c.run(id, kind, arguments)
	case "READ":
		return c.done(true, "value"), true
	case "WRITE":
		if !c.i.primary || c.state == "T" && c.reads {
			return c.refuse("READONLY"), true
		}
		if c.state == "T" {
			c.ids = append(c.ids, id)
			return c.done(true), true
		}
		return c.commit([]string{id})
	case "COMMIT":
		ids := c.ids
		c.state, c.ids = "I", nil
		return c.commit(ids)
	default:
		return c.refuse("MALFORMED"), true
	}
	return c.done(false), true
}

// status answers STATUS and STEPDOWN.
func (c *conn) status(word, rest string) string {
	i := c.i
	if below, err := strconv.Atoi(rest); word == "STEPDOWN" && err == nil && i.primary && i.term < below {
		i.primary, i.replaced = false, false
		c.w.rec.note("instance %s steps down, its log ends at %s", i.name, i.positionAt(len(i.log)))
	}
	row := fmt.Sprintf("%s %d %s %d 0 0 %d", i.role(), i.term, i.positionAt(len(i.log)), i.term, len(i.conns))
	return c.done(false, row)
}

// commit commits writes. With SyncReplicas it is acknowledged once as many replicas have received it. The lock is
// held, and released while it waits.
func (c *conn) commit(ids []string) (string, bool) {
	if len(ids) == 0 {
		return c.done(true), true
	}
	i := c.i
	e := &entry{term: i.term, number: len(i.log) + 1, ids: ids, at: time.Now()}
	i.log = append(i.log, e)
	k := commit{service: i.group.name, instance: i.name, ids: ids, at: e.at}
	if i.group.leader != i {
		for _, p := range c.w.promotions {
			if p.service == i.group.name {
				k.replacedSince = p.at
			}
		}
	}
	c.w.committed = append(c.w.committed, k)
	c.w.rec.note("run      %s committed on %s as %s", strings.Join(ids, " "), i.name, i.positionAt(len(i.log)))
	for c.w.receivedBy(e, i) < c.w.sync {
		if i.dead || !i.primary {
			return "", false
		}
		c.w.received.Wait()
	}
	return c.done(true), true
}

// receivedBy counts the replicas that have received an entry.
func (w *world) receivedBy(e *entry, leader *instance) int {
	n := 0
	for _, i := range leader.group.instances {
		if i != leader && len(i.log) >= e.number && i.log[e.number-1] == e {
			n++
		}
	}
	return n
}
