package soak_test

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// darkFor is how long an instance keeps a connection whose far end is dark.
	darkFor = 3 * time.Second
	// holdEvery is how finely bytes that are held up are looked at.
	holdEvery = 2 * time.Millisecond
	// calmAfter is how long after a disturbance a link counts as disturbed.
	calmAfter = 4 * time.Second
	chunk     = 16 << 10
	// maxChunks bounds what is held up on one way of one connection.
	maxChunks = 1024
)

// way is one direction of a link.
type way int

// The two ways, as seen from a host.
const (
	wayOut way = iota
	wayBack
	ways
)

// link is the path between a host and one address.
type link struct {
	host  hostName
	mu    sync.Mutex
	held  [ways]int
	delay time.Duration
	// until is when the last disturbance ended.
	until time.Time
	conns map[*passage]bool
}

// hold keeps bytes of a way back until it is called again with -1.
func (l *link) hold(w way, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held[w] += n
	l.until = time.Now()
}

func (l *link) setDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay, l.until = d, time.Now()
}

// reset ends all connections at once.
func (l *link) reset() {
	l.mu.Lock()
	l.until = time.Now()
	ps := make([]*passage, 0, len(l.conns))
	for p := range l.conns {
		ps = append(ps, p)
	}
	l.mu.Unlock()
	for _, p := range ps {
		p.reset()
	}
}

// disturbed reports whether anything is or was wrong with the link shortly before.
func (l *link) disturbed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held != [ways]int{} || l.delay > 0 || time.Since(l.until) < calmAfter
}

func (l *link) holds(w way) (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held[w] > 0, l.delay
}

// passage is one connection through the proxy.
type passage struct {
	link     *link
	host, at *net.TCPConn
	ended    chan struct{}
	once     sync.Once
}

// reset ends both sides without delivering what is held up.
func (p *passage) reset() {
	p.once.Do(func() {
		close(p.ended)
		_ = p.host.SetLinger(0)
		_ = p.at.SetLinger(0)
		_ = p.host.Close()
		_ = p.at.Close()
		p.link.mu.Lock()
		delete(p.link.conns, p)
		p.link.mu.Unlock()
	})
}

// part is what was read at once, or the end of what there is to read.
type part struct {
	b   []byte
	at  time.Time
	end bool
}

// carry passes on one way. A reset of the sender drops what is held up, as the sender's
// kernel does.
func (p *passage) carry(w way, from, to *net.TCPConn) {
	parts := make(chan part, maxChunks)
	go func() {
		defer close(parts)
		for {
			b := make([]byte, chunk)
			n, err := from.Read(b)
			if n > 0 {
				parts <- part{b: b[:n], at: time.Now()}
			}
			if errors.Is(err, io.EOF) {
				parts <- part{at: time.Now(), end: true}
				return
			}
			if err != nil {
				p.reset()
				return
			}
		}
	}()
	for t := range parts {
		if !p.await(w, t.at) {
			break
		}
		if t.end {
			_ = to.CloseWrite()
			return
		}
		if _, err := to.Write(t.b); err != nil {
			p.reset()
		}
	}
	for range parts { //nolint:revive // lets the reader end
	}
}

// await waits until a part that was read at a moment may be passed on.
func (p *passage) await(w way, at time.Time) bool {
	began := time.Now()
	for {
		held, delay := p.link.holds(w)
		if !held && time.Since(at) >= delay {
			return true
		}
		if held && time.Since(began) > darkFor {
			_ = p.at.SetLinger(0)
			_ = p.at.Close()
		}
		select {
		case <-p.ended:
			return false
		case <-time.After(holdEvery):
		}
	}
}

// proxy passes connections on to one address.
type proxy struct {
	listener net.Listener
	target   func() string
	// link returns the link of the host that has connected.
	link func(c *net.TCPConn) *link
	// passed is told of the local address of each connection made. It may be nil.
	passed func(l *link, local string)
}

func startProxy(target func() string, of func(c *net.TCPConn) *link) (*proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, link: of}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.pass(c.(*net.TCPConn))
	}
}

func (p *proxy) pass(host *net.TCPConn) {
	l := p.link(host)
	c, err := net.DialTimeout("tcp4", p.target(), time.Second)
	if err != nil {
		_ = host.SetLinger(0)
		_ = host.Close()
		return
	}
	at := c.(*net.TCPConn)
	if p.passed != nil {
		p.passed(l, at.LocalAddr().String())
	}
	g := &passage{link: l, host: host, at: at, ended: make(chan struct{})}
	l.mu.Lock()
	if l.conns == nil {
		l.conns = map[*passage]bool{}
	}
	l.conns[g] = true
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { g.carry(wayOut, host, at) })
	both.Go(func() { g.carry(wayBack, at, host) })
	both.Wait()
	g.reset()
}

func portOf(a net.Addr) int { return a.(*net.TCPAddr).Port }
