package machines

import (
	"bufio"
	"fmt"
	"maps"
	"net"
	"strings"
	"sync"
	"time"
)

// The states of a connection.
const (
	stateIdle   = "I"
	stateTx     = "T"
	stateFailed = "E"
)

// tx is an open transaction.
type tx struct {
	reads bool
	entry *Entry
}

// conn is one connection to an instance.
type conn struct {
	m     *Machines
	i     *instance
	net   net.Conn
	info  Conn
	state string
	tx    tx
	// unconfirmed is the commit that the statement in progress has made.
	unconfirmed *Entry
	// freeSlot ends the use of its slot.
	freeSlot func()
	values   map[string]string
	prepared map[string]string
}

func (m *Machines) accept(i *instance, l net.Listener) {
	for {
		n, err := l.Accept()
		if err != nil {
			return
		}
		m.mu.Lock()
		if i.dead {
			reset(n)
			m.mu.Unlock()
			continue
		}
		i.conns[n] = true
		m.conns++
		c := &conn{
			m: m, i: i, net: n, state: stateIdle, values: map[string]string{}, prepared: map[string]string{},
			info: Conn{Number: m.conns, Remote: n.RemoteAddr().String(), Instance: i.name},
		}
		m.mu.Unlock()
		go c.serve()
	}
}

// reset ends a connection as the kernel of a program that is gone does.
func reset(n net.Conn) {
	if t, ok := n.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = n.Close()
}

func (c *conn) serve() {
	defer func() {
		_ = c.net.Close()
		c.m.mu.Lock()
		delete(c.i.conns, c.net)
		c.m.mu.Unlock()
	}()
	in := bufio.NewScanner(c.net)
	if !in.Scan() {
		return
	}
	out, ok := c.start(in.Text())
	if _, err := fmt.Fprint(c.net, out); err != nil || !ok {
		return
	}
	for in.Scan() {
		out, ok := c.query(in.Text())
		if !ok {
			return
		}
		if _, err := fmt.Fprint(c.net, out); err != nil {
			return
		}
	}
}

func (c *conn) start(line string) (string, bool) {
	c.m.mu.Lock()
	defer c.m.mu.Unlock()
	f := words(line)
	if len(f) < 3 || f[0] != "START" || f[1] != c.i.group.name || len(f) > 3 && f[3] != c.i.name {
		return "ERR MISROUTED\r\n", false
	}
	if len(c.i.conns) > maxConns {
		return "ERR TOOMANY\r\n", false
	}
	c.info.Account = f[2]
	if c.m.DataCentreOf != nil {
		c.info.DataCentre = c.m.DataCentreOf(c.info)
	}
	if c.m.Heard != nil {
		c.m.Heard(c.info, line)
	}
	return c.ready(), true
}

func (c *conn) ready() string { return "READY " + c.state + " " + c.i.position() + "\r\n" }

// query runs one statement; it reports false if the connection has to end unanswered.
func (c *conn) query(line string) (string, bool) {
	f := words(line)
	if len(f) < 3 || f[0] != "QUERY" {
		return "", false
	}
	id, f := f[1], f[2:]
	after := ""
	if f[0] == "AFTER" {
		after, f = f[1], f[2:]
	}
	work := c.m.Work
	if takesSlot(f[0]) && f[0] != "STATUS" {
		var refused string
		if work, refused = c.applyFaults(id); refused != "" {
			return c.fail(refused), true
		}
	}
	if takesSlot(f[0]) {
		select {
		case c.i.slots <- struct{}{}:
			time.Sleep(work)
			free := sync.OnceFunc(func() { <-c.i.slots })
			defer free()
			c.freeSlot = free
		case <-time.After(slotWait):
			return c.fail("BUSY"), true
		}
	}
	c.m.mu.Lock()
	defer c.m.mu.Unlock()
	if c.i.dead {
		return "", false
	}
	if c.m.Heard != nil {
		c.m.Heard(c.info, line)
	}
	out := c.run(id, f, after)
	if e := c.unconfirmed; e != nil {
		c.unconfirmed = nil
		c.freeSlot()
		if !c.m.awaitReplicas(c.i, e) {
			return "", false
		}
	}
	if c.i.lose > 0 && takesSlot(f[0]) {
		c.i.lose--
		return "", false
	}
	return out + c.ready(), true
}

func takesSlot(word string) bool {
	switch word {
	case "READ", "WRITE", "COMMIT", "EXECUTE", "STATUS":
		return true
	}
	return false
}

// refuse answers that a statement has not run, without the line that ends the answer.
func (c *conn) refuse(code string) string {
	if c.state == stateTx {
		c.state = stateFailed
	}
	return "ERR " + code + " " + c.i.name + "\r\n"
}

// fail is refuse with a whole answer.
func (c *conn) fail(code string) string {
	c.m.mu.Lock()
	defer c.m.mu.Unlock()
	return c.refuse(code) + c.ready()
}

const done = "DONE -\r\n"

func (c *conn) run(id string, f []string, after string) string {
	switch f[0] {
	case "STATUS", "STEPDOWN", "PAUSE", "RESUME":
		return c.status(f)
	case "ROLLBACK":
		c.state = stateIdle
		return done
	}
	if c.state == stateFailed {
		return c.refuse("MALFORMED")
	}
	if time.Now().Before(c.i.busyUntil) {
		return c.refuse("BUSY")
	}
	if after != "" && !c.i.has(after) && c.m.Plant != PlantLag {
		return c.refuse("LAGGING")
	}
	switch f[0] {
	case "BEGIN":
		return c.begin(len(f) > 1)
	case "SET":
		c.values[f[1]] = f[2]
	case "PREPARE":
		c.prepared[f[1]] = f[2] + " " + f[3]
	case "DEALLOC":
		delete(c.prepared, f[1])
	case "DISCARD":
		c.values, c.prepared = map[string]string{}, map[string]string{}
	case "COMMIT":
		return c.commit(id)
	case "READ":
		return c.read(id, f[1], strings.Join(f, " "))
	case "WRITE":
		return c.write(id, f[1], f[2], strings.Join(f, " "))
	case "EXECUTE":
		return c.execute(id, f)
	default:
		return c.refuse("MALFORMED")
	}
	return done
}

// status answers STATUS, and STEPDOWN, PAUSE and RESUME once they have taken effect.
func (c *conn) status(f []string) string {
	i := c.i
	var term int
	if f[0] == "STEPDOWN" || f[0] == "PAUSE" {
		if _, err := fmt.Sscan(f[1], &term); err != nil {
			return c.refuse("MALFORMED")
		}
	}
	switch {
	case f[0] == "PAUSE" && !i.primary && term > i.term:
		i.held = term
		c.m.tell("held back " + i.name)
	case f[0] == "RESUME":
		i.held = 0
		c.m.tell("receives again " + i.name)
	}
	if f[0] == "STEPDOWN" && i.primary && i.term < term && !c.m.KeepFormer {
		c.m.tell("stepped down " + i.name)
		i.primary = false
		if i.group.leader != i {
			i.follow(i.group.leader)
		}
		c.m.announce()
	}
	return fmt.Sprintf("ROW %s %d %s %d 0 %d %d\r\n", i.role(), i.term, i.at(len(i.log)), i.held, len(i.slots),
		len(i.conns)) + done
}

func (c *conn) begin(reads bool) string {
	if !reads && !c.i.primary {
		return c.refuse("READONLY")
	}
	c.state, c.tx = stateTx, tx{reads: reads}
	return done
}

// deposed reports whether the connection is in a transaction whose instance no longer leads.
func (c *conn) deposed() bool { return c.state == stateTx && !c.tx.reads && !c.i.primary }

func (c *conn) execute(id string, f []string) string {
	shape, ok := c.prepared[f[1]]
	if !ok {
		return c.refuse("NOSTMT")
	}
	text := "EXECUTE " + shape + " " + strings.Join(f[2:], " ")
	if strings.HasPrefix(shape, "READ") {
		return c.read(id, f[2], text)
	}
	return c.write(id, f[2], f[3], text)
}

func (c *conn) read(id, item, text string) string {
	if c.deposed() {
		return c.refuse("READONLY")
	}
	return c.ran(id, text, []string{c.i.value(item)})
}

func (c *conn) write(id, item, data, text string) string {
	if !c.i.primary || c.state == stateTx && c.tx.reads {
		return c.refuse("READONLY")
	}
	if c.state == stateTx {
		if c.tx.entry == nil {
			c.tx.entry = &Entry{}
		}
		c.tx.entry.add(id, item, data)
		return c.ran(id, text, nil)
	}
	e := &Entry{}
	e.add(id, item, data)
	out := c.ran(id, text, nil)
	c.append(e)
	if c.m.due(PlantTwice) {
		c.append(&Entry{IDs: e.IDs, items: e.items, data: e.data})
	}
	return out
}

func (e *Entry) add(id, item, data string) {
	e.IDs, e.items, e.data = append(e.IDs, id), append(e.items, item), append(e.data, data)
}

func (c *conn) commit(id string) string {
	if c.tx.entry != nil && c.deposed() {
		return c.refuse("READONLY")
	}
	e := c.tx.entry
	c.info.InTx = c.state == stateTx
	out := c.ran(id, "COMMIT", nil)
	if e != nil {
		c.append(e)
	}
	c.state, c.tx = stateIdle, tx{}
	if e != nil && c.m.due(PlantRefused) {
		return c.refuse("ABORTED")
	}
	return out
}

// append commits an entry.
func (c *conn) append(e *Entry) {
	i := c.i
	e.Service, e.Term, e.Number, e.Conn, e.At = i.group.name, i.term, len(i.log)+1, c.info, time.Now()
	e.Replaced, e.RolledBack = i.replaced, i.replaced
	i.log = append(i.log, e)
	i.applied = len(i.log)
	c.unconfirmed = e
	if c.m.Committed != nil {
		c.m.Committed(e)
	}
}

// ran tells of a statement that has run and returns its answer.
func (c *conn) ran(id, text string, rows []string) string {
	c.m.digests++
	r := Run{
		Conn: c.info, ID: id, Text: text, Values: maps.Clone(c.values), Rows: rows,
		Digest: fmt.Sprintf("%s.%d.%d", c.i.name, c.info.Number, c.m.digests), Log: c.i.log[:c.i.applied],
	}
	r.Conn.InTx = c.state == stateTx
	if c.m.Ran != nil {
		c.m.Ran(r)
	}
	if c.m.due(PlantMixed) {
		rows = []string{"another"}
	}
	var b strings.Builder
	for _, row := range rows {
		b.WriteString("ROW " + row + "\r\n")
	}
	return b.String() + "DONE " + r.Digest + "\r\n"
}
