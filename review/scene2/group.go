//go:build review2

package main

import (
	"bufio"
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

const (
	// promoteAfter is what the platform takes for a promotion, as the sheets of the small deployments say.
	promoteAfter = time.Second
	// joinAfter is when the other instances follow a new primary.
	joinAfter = 300 * time.Millisecond
	// heartbeat is HeartbeatMs. An entry is removed after three of them.
	heartbeat = 1200 * time.Millisecond
	// slots, statementTakes and connectTakes are those of an instance.
	slots          = 2
	statementTakes = 3 * time.Millisecond
	connectTakes   = 12 * time.Millisecond
	maxConns       = 16
)

// entry is one commit that has written.
type entry struct {
	term int
	// ids are those of its writes.
	ids         []string
	items, data []string
}

// group is one service: a primary and its replicas, with the platform's address for promotions.
type group struct {
	rec   *record
	store *machines.Store
	name  string
	// sync is SyncReplicas.
	sync int

	mu        sync.Mutex
	received  *sync.Cond
	term      int
	leader    *instance
	instances []*instance
	stop      chan struct{}
	digests   int
	// reads, if set, are the logs on which reads ran.
	reads map[string][]*entry
	// answer, if set, are the rows of each read.
	answer string
	// promoted is called with the lock held when a promotion takes effect.
	promoted func(i *instance)
}

// instance is one instance of the group.
type instance struct {
	g             *group
	id, address   string
	zone          string
	listener      net.Listener
	primary, dead bool
	// deaf is set while it receives nothing from the primary, held while it was told to by PAUSE.
	deaf      bool
	held      int
	term      int
	log       []*entry
	joins     time.Time
	busyUntil time.Time
	born      int64
	seq       int
	said      time.Time
	conns     map[net.Conn]bool
	slots     chan struct{}
}

func newGroup(rec *record, store *machines.Store, name string, sync_ int, zones []string) *group {
	g := &group{rec: rec, store: store, name: name, sync: sync_, term: 1, stop: make(chan struct{})}
	g.received = sync.NewCond(&g.mu)
	for n, z := range zones {
		g.instances = append(g.instances, g.listen(fmt.Sprintf("i-%s-%c", name, 'a'+n), z))
	}
	g.leader = g.instances[0]
	g.leader.primary = true
	g.mu.Lock()
	for _, i := range g.instances {
		g.announce(i)
	}
	g.mu.Unlock()
	go g.run()
	return g
}

func (g *group) listen(id, zone string) *instance {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fail("listen: %v", err)
	}
	i := &instance{
		g: g, id: id, address: l.Addr().String(), zone: zone, listener: l, term: 1, born: time.Now().UnixMilli(),
		conns: map[net.Conn]bool{}, slots: make(chan struct{}, slots),
	}
	go i.accept()
	return i
}

func (g *group) close() {
	close(g.stop)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, i := range g.instances {
		_ = i.listener.Close()
		i.disconnect()
	}
	g.received.Broadcast()
}

// run carries entries to the replicas and writes the heartbeats.
func (g *group) run() {
	for {
		select {
		case <-g.stop:
			return
		case <-time.After(2 * time.Millisecond):
		}
		g.mu.Lock()
		for _, i := range g.instances {
			g.receive(i)
			switch {
			case i.dead && !i.said.IsZero() && time.Since(i.said) > 3*heartbeat:
				i.said = time.Time{}
				g.store.Delete("servers/" + i.id)
				g.rec.add("the entry of %s has expired", i.id)
			case !i.dead && time.Since(i.said) > heartbeat:
				g.announce(i)
			}
		}
		g.received.Broadcast()
		g.mu.Unlock()
	}
}

// announce writes an instance's entry. The lock is held.
func (g *group) announce(i *instance) {
	i.said = time.Now()
	i.seq++
	role := "replica"
	if i.primary {
		role = "primary"
	}
	b, _ := json.Marshal(map[string]any{
		"Service": g.name, "Address": i.address, "Zone": i.zone, "Version": "v1", "Slots": slots, "State": "ready",
		"ColdLeftMs": 0, "Seq": i.seq, "DbRole": role, "born": i.born,
	})
	g.store.Put("servers/"+i.id, string(b))
}

// receive has a replica take in what the primary has. The lock is held.
func (g *group) receive(i *instance) {
	l := g.leader
	if i == l || i.dead || l.dead || i.deaf || i.held > 0 || i.primary || time.Now().Before(i.joins) {
		return
	}
	n := common(l.log, i.log)
	if n < len(i.log) {
		i.log = slices.Clone(i.log[:n])
		i.busyUntil = time.Now().Add(100 * time.Millisecond)
	}
	i.term = l.term
	i.log = append(i.log, l.log[len(i.log):]...)
}

func common(a, b []*entry) int {
	n := min(len(a), len(b))
	for n > 0 && a[n-1] != b[n-1] {
		n--
	}
	return n
}

// find returns an instance. The lock is held.
func (g *group) find(id string) *instance {
	for _, i := range g.instances {
		if i.id == id {
			return i
		}
	}
	return nil
}

// setDeaf has a replica receive nothing, or ends that.
func (g *group) setDeaf(id string, deaf bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.find(id).deaf = deaf
	g.rec.add("%s receives nothing: %t", id, deaf)
}

// crash ends an instance with all its connections.
func (g *group) crash(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := g.find(id)
	i.dead = true
	i.disconnect()
	g.rec.add("%s crashes at %s", id, i.position())
	g.received.Broadcast()
}

// awaitHeartbeat waits until the last heartbeats of some instances are as old as a part of the interval.
func (g *group) awaitHeartbeat(from, to time.Duration, ids ...string) {
	for {
		g.mu.Lock()
		ok := true
		for _, id := range ids {
			age := time.Since(g.find(id).said)
			ok = ok && age >= from && age <= to
		}
		g.mu.Unlock()
		if ok {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// comeBack starts a crashed instance again: with its log, or with nothing of before.
func (g *group) comeBack(id string, blank bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := g.find(id)
	i.dead, i.held, i.seq, i.born = false, 0, 0, time.Now().UnixMilli()
	if blank {
		i.log, i.term, i.primary = nil, 1, false
	}
	if g.leader != i {
		i.primary = false
	}
	g.announce(i)
	g.rec.add("%s is back at %s, blank: %t, primary: %t", id, i.position(), blank, i.primary)
}

func (i *instance) disconnect() {
	for c := range i.conns {
		reset(c)
	}
	i.conns = map[net.Conn]bool{}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (i *instance) position() string {
	if len(i.log) == 0 {
		return "1.0"
	}
	return fmt.Sprintf("%d.%d", i.log[len(i.log)-1].term, len(i.log))
}

func (i *instance) has(position string) bool {
	var term, n int
	if _, err := fmt.Sscanf(position, "%d.%d", &term, &n); err != nil {
		return false
	}
	return n == 0 || n <= len(i.log) && i.log[n-1].term == term
}

// holds reports whether the log has a write.
func (i *instance) holds(id string) bool {
	return slices.ContainsFunc(i.log, func(e *entry) bool { return slices.Contains(e.ids, id) })
}

// promotions is the platform's address for changes of primary.
func (g *group) promotions() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var b struct{ Service, Id string }
		fence, err := strconv.ParseUint(r.Header.Get("Fence-Token"), 10, 64)
		if err != nil || json.NewDecoder(r.Body).Decode(&b) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		i := g.find(b.Id)
		g.rec.add("promotion of %s requested by %s, fence %d", b.Id, r.Header.Get("Duty-Holder"), fence)
		if i == nil || i.dead || b.Service != g.name {
			w.WriteHeader(http.StatusConflict)
			return
		}
		if g.leader != i {
			time.AfterFunc(promoteAfter, func() { g.promote(i) })
		}
	})
}

func (g *group) promote(i *instance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if i.dead || g.leader == i {
		return
	}
	former := g.leader
	g.term++
	g.leader = i
	i.primary, i.term, i.held, i.deaf = true, g.term, 0, false
	g.rec.add("%s leads term %d with %s", i.id, g.term, i.position())
	if g.promoted != nil {
		g.promoted(i)
	}
	for _, o := range g.instances {
		o.joins = time.Now().Add(joinAfter)
	}
	time.AfterFunc(time.Second, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.leader != former {
			former.primary = false
		}
	})
	g.announce(i)
}

// session is one connection to an instance.
type session struct {
	i        *instance
	c        net.Conn
	state    string
	reads    bool
	entry    *entry
	prepared map[string]string
}

func (i *instance) accept() {
	for {
		c, err := i.listener.Accept()
		if err != nil {
			return
		}
		i.g.mu.Lock()
		if i.dead {
			reset(c)
			i.g.mu.Unlock()
			continue
		}
		i.conns[c] = true
		i.g.mu.Unlock()
		go (&session{i: i, c: c, state: "I", prepared: map[string]string{}}).serve()
	}
}

func (s *session) serve() {
	defer func() {
		_ = s.c.Close()
		s.i.g.mu.Lock()
		delete(s.i.conns, s.c)
		s.i.g.mu.Unlock()
	}()
	in := bufio.NewReader(s.c)
	for first := true; ; first = false {
		l, err := in.ReadString('\n')
		if err != nil {
			return
		}
		l = strings.TrimRight(l, "\r\n")
		var out string
		var ok bool
		if first {
			out, ok = s.start(l)
		} else {
			out, ok = s.query(l)
		}
		if out != "" {
			if _, err := s.c.Write([]byte(out)); err != nil {
				return
			}
		}
		if !ok {
			return
		}
	}
}

func (s *session) start(l string) (string, bool) {
	time.Sleep(connectTakes)
	s.i.g.mu.Lock()
	defer s.i.g.mu.Unlock()
	f := strings.Fields(l)
	if len(f) < 3 || f[0] != "START" || f[1] != s.i.g.name || len(f) > 3 && f[3] != s.i.id {
		return "ERR MISROUTED " + s.i.id + "\r\n", false
	}
	if len(s.i.conns) > maxConns {
		return "ERR TOOMANY " + s.i.id + "\r\n", false
	}
	return s.ready(), true
}

func (s *session) ready() string { return "READY " + s.state + " " + s.i.position() + "\r\n" }

func (s *session) refuse(code string) string {
	if s.state == "T" {
		s.state = "E"
	}
	return "ERR " + code + " " + s.i.id + "\r\n"
}

const done = "DONE -\r\n"

// query answers one statement; it reports false if the connection ends unanswered.
func (s *session) query(l string) (string, bool) {
	f := strings.Fields(l)
	if len(f) < 3 || f[0] != "QUERY" {
		return "", false
	}
	id, f := f[1], f[2:]
	after := ""
	if f[0] == "AFTER" {
		after, f = f[1], f[2:]
	}
	switch f[0] {
	case "READ", "WRITE", "COMMIT", "EXECUTE", "STATUS":
		s.i.slots <- struct{}{}
		time.Sleep(statementTakes)
		<-s.i.slots
	}
	g := s.i.g
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.i.dead {
		return "", false
	}
	out, committed := s.run(id, f, after)
	if committed != nil {
		for g.confirmed(s.i, committed) < g.sync {
			if s.i.dead || !s.i.primary {
				return "", false
			}
			g.received.Wait()
		}
	}
	return out + s.ready(), true
}

// confirmed returns how many replicas have received an entry. The lock is held.
func (g *group) confirmed(primary *instance, e *entry) int {
	n := 0
	for _, i := range g.instances {
		if i != primary && slices.Contains(i.log, e) {
			n++
		}
	}
	return n
}

func (s *session) run(id string, f []string, after string) (string, *entry) {
	i := s.i
	switch f[0] {
	case "STATUS", "STEPDOWN", "PAUSE", "RESUME":
		return s.status(f), nil
	case "ROLLBACK":
		s.state, s.entry = "I", nil
		return done, nil
	}
	switch {
	case s.state == "E":
		return s.refuse("MALFORMED"), nil
	case time.Now().Before(i.busyUntil):
		return s.refuse("BUSY"), nil
	case after != "" && !i.has(after):
		return s.refuse("LAGGING"), nil
	}
	if f[0] == "EXECUTE" {
		shape, ok := s.prepared[f[1]]
		if !ok {
			return s.refuse("NOSTMT"), nil
		}
		f = append([]string{strings.Fields(shape)[0]}, f[2:]...)
	}
	if need := map[string]int{"READ": 2, "WRITE": 3, "PREPARE": 4, "DEALLOC": 2}[f[0]]; len(f) < need {
		return s.refuse("MALFORMED"), nil
	}
	deposed := s.state == "T" && !s.reads && !i.primary
	switch f[0] {
	case "BEGIN":
		if len(f) == 1 && !i.primary {
			return s.refuse("READONLY"), nil
		}
		s.state, s.reads, s.entry = "T", len(f) > 1, nil
	case "SET":
	case "PREPARE":
		s.prepared[f[1]] = f[2] + " " + f[3]
	case "DEALLOC":
		delete(s.prepared, f[1])
	case "DISCARD":
		s.prepared = map[string]string{}
	case "READ":
		if deposed {
			return s.refuse("READONLY"), nil
		}
		i.g.rec.add("%s runs %s READ %s at %s", i.id, id, f[1], i.position())
		if i.g.reads != nil {
			i.g.reads[id] = i.log[:len(i.log):len(i.log)]
		}
		if i.g.answer != "" {
			return i.g.answer + s.digest(), nil
		}
		return "ROW " + i.value(f[1]) + "\r\n" + s.digest(), nil
	case "WRITE":
		if !i.primary || s.state == "T" && s.reads {
			return s.refuse("READONLY"), nil
		}
		if s.state == "T" {
			if s.entry == nil {
				s.entry = &entry{}
			}
			s.entry.add(id, f[1], f[2])
			i.g.rec.add("%s runs %s WRITE %s in a transaction", i.id, id, f[1])
			return s.digest(), nil
		}
		e := &entry{}
		e.add(id, f[1], f[2])
		s.append(e)
		return s.digest(), e
	case "COMMIT":
		if deposed && s.entry != nil {
			return s.refuse("READONLY"), nil
		}
		e := s.entry
		s.state, s.entry = "I", nil
		if e != nil {
			s.append(e)
		}
		return s.digest(), e
	default:
		return s.refuse("MALFORMED"), nil
	}
	return done, nil
}

func (e *entry) add(id, item, data string) {
	e.ids, e.items, e.data = append(e.ids, id), append(e.items, item), append(e.data, data)
}

// append commits an entry. The lock is held.
func (s *session) append(e *entry) {
	e.term = s.i.term
	s.i.log = append(s.i.log, e)
	s.i.g.rec.add("%s commits %s at %s", s.i.id, strings.Join(e.ids, " "), s.i.position())
}

func (i *instance) value(item string) string {
	for n := len(i.log) - 1; n >= 0; n-- {
		if k := slices.Index(i.log[n].items, item); k >= 0 {
			return i.log[n].data[k]
		}
	}
	return "none"
}

func (s *session) digest() string {
	s.i.g.digests++
	return fmt.Sprintf("DONE %s.%x\r\n", s.i.id, s.i.g.digests)
}

// status answers STATUS, STEPDOWN, PAUSE and RESUME. The lock is held.
func (s *session) status(f []string) string {
	i, term := s.i, 0
	if f[0] == "STEPDOWN" || f[0] == "PAUSE" {
		if _, err := fmt.Sscan(f[1], &term); err != nil {
			return s.refuse("MALFORMED")
		}
	}
	switch {
	case f[0] == "PAUSE" && !i.primary && term > i.term:
		i.held = term
		i.g.rec.add("%s is held back for term %d at %s", i.id, term, i.position())
	case f[0] == "RESUME":
		i.held = 0
	case f[0] == "STEPDOWN" && i.primary && i.term < term:
		i.primary = false
		i.g.rec.add("%s steps down", i.id)
	}
	role := "replica"
	if i.primary {
		role = "primary"
	}
	return fmt.Sprintf("ROW %s %d %s %d 0 %d %d\r\n", role, i.term, i.position(), i.held, len(i.slots), len(i.conns)) + done
}
