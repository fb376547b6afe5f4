package database_test

import (
	"context"
	"flag"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"skylarkdeal/io/database"
)

func TestMain(m *testing.M) {
	// One seed, so that each run has the same verdict.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	goleak.VerifyTestMain(m)
}

// Two hosts believe in shares that together are above the instance's limit. The
// instance refuses the surplus; the host that is refused makes do with what it
// got, and fills up once there is room.
func TestRefusedConnectionShrinksTheShare(t *testing.T) {
	c := qt.New(t)
	i := newInstance(t, 3)
	var clock atomic.Int64
	p := newPool(t, i, func(g *database.Config) {
		g.Limit = 5
		g.Now = func() time.Time { return time.Unix(clock.Load(), 0) }
	})
	until(t, "refused", func() bool { return i.count(func() int { return i.refused }) > 0 })
	until(t, "three open", func() bool { return p.State().Open == 3 && p.State().Opening == 0 })
	c.Assert(p.State().Trouble, qt.Contains, "53300")
	c.Assert(p.State().Allowed, qt.Equals, 3)
	// While the clock stands still nothing is asked again, whatever goes on.
	asked := i.count(func() int { return i.refused })
	for range 100 {
		p.Put(take(t, p))
		p.SetLimit(5)
	}
	c.Assert(p.State().Opening, qt.Equals, 0)
	c.Assert(i.count(func() int { return i.refused }), qt.Equals, asked)
	i.mu.Lock()
	i.limit = 5
	i.mu.Unlock()
	clock.Add(60)
	until(t, "five open", func() bool { return p.State().Open == 5 })
	c.Assert(p.State().Trouble, qt.Equals, "")
}

// Four connections are being opened when the instance turns out to be full, and all four
// are refused. That is one refusal by what the host learns: the next try comes after the
// first pause, not after four of growing length.
func TestRefusalsOfOneRoundCountOnce(t *testing.T) {
	c := qt.New(t)
	i := newInstance(t, 0)
	at := time.Unix(1000, 0)
	i.mu.Lock()
	admit := sync.OnceFunc(i.mu.Unlock)
	defer admit()
	p := newPool(t, i, func(g *database.Config) {
		g.Limit = 4
		g.Now = func() time.Time { return at }
	})
	until(t, "four tries", func() bool { return p.State().Opening == 4 })
	admit()
	until(t, "four refusals", func() bool { return p.State().Opening == 0 })
	c.Assert(i.count(func() int { return i.refused }), qt.Equals, 4)
	c.Assert(p.State().RetryAt.Sub(at) < 400*time.Millisecond, qt.IsTrue, qt.Commentf("%v", p.State().RetryAt.Sub(at)))
}

// Guards against a host that gets no connection for seconds although there is room: the instance refused it
// several times before, and each pause was longer than the last.
func TestPoolWithoutConnectionsAsksSoon(t *testing.T) {
	c := qt.New(t)
	i := newInstance(t, 0)
	var clock atomic.Int64
	now := func() time.Time { return time.Unix(1000, clock.Load()) }
	p := newPool(t, i, func(g *database.Config) { g.Limit, g.Now = 1, now })
	var began time.Time
	for n := range 10 {
		until(t, "a refusal", func() bool { return i.count(func() int { return i.refused }) > n && p.State().Opening == 0 })
		since, at, ok := p.Refused()
		c.Assert(ok, qt.IsTrue)
		if n == 0 {
			began = since
		}
		c.Assert(since.Equal(began), qt.IsTrue)
		c.Assert(at.Sub(now()) <= 500*time.Millisecond, qt.IsTrue, qt.Commentf("%v after %d refusals", at.Sub(now()), n+1))
		clock.Add(int64(at.Sub(now())))
	}
	i.mu.Lock()
	i.limit = 1
	i.mu.Unlock()
	until(t, "a connection", func() bool {
		clock.Add(int64(time.Millisecond))
		return p.State().Open == 1
	})
	_, _, ok := p.Refused()
	c.Assert(ok, qt.IsFalse)
}

// stalled is a connection whose first write returns late, as on a host that is out of
// processor time: the instance's answer is there before.
type stalled struct {
	*net.TCPConn
	once *sync.Once
}

func (s stalled) Write(b []byte) (int, error) {
	n, err := s.TCPConn.Write(b)
	s.once.Do(func() { time.Sleep(60 * time.Millisecond) })
	return n, err
}

// A host is out of processor time while it opens a connection. The library then begins to
// read on a goroutine of its own; left at that, it would take the first bytes of the next
// answer, and whoever looks whether the connection lives would wait for them.
func TestConnectionOpenedWhileTheHostStallsIsUsable(t *testing.T) {
	c := qt.New(t)
	i := newInstance(t, 2)
	p := newPool(t, i, func(g *database.Config) {
		g.Limit = 1
		g.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			n, err := (&net.Dialer{}).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			tcp, _ := n.(*net.TCPConn)
			return stalled{tcp, &sync.Once{}}, nil
		}
	})
	until(t, "a connection", func() bool { return p.State().Open == 1 })
	done := make(chan database.Answer, 1)
	go func() {
		if conn, ok := p.TryTake(); ok {
			done <- conn.Exchange(context.Background(), simple("rows 1"), func([]byte) error { return nil })
		}
	}()
	select {
	case a := <-done:
		c.Assert(a.Err, qt.IsNil)
	case <-time.After(5 * time.Second):
		c.Error("no answer: somebody else reads on the connection")
		i.cut()
	}
}

func TestLimitSinksAndRises(t *testing.T) {
	c := qt.New(t)
	i := newInstance(t, 10)
	p := newPool(t, i, func(g *database.Config) { g.Limit = 4 })
	until(t, "full", func() bool { return p.State().Idle == 4 })
	a, b := take(t, p), take(t, p)
	p.SetLimit(1)
	c.Assert(p.State().Idle, qt.Equals, 0)
	p.Put(a)
	c.Assert(a.Broken(), qt.IsTrue)
	p.Put(b)
	c.Assert(b.Broken(), qt.IsFalse)
	until(t, "one left", func() bool { return i.count(func() int { return i.open }) == 1 })
	p.SetLimit(3)
	until(t, "three", func() bool { return p.State().Idle == 3 })
}

// An instance restarts while connections to it are idle. A write sent on one of
// them would end with an unknown outcome for nothing; so none is handed out.
func TestClosedIdleConnectionIsNotHandedOut(t *testing.T) {
	c := qt.New(t)
	i := newInstance(t, 10)
	p := newPool(t, i, nil)
	until(t, "full", func() bool { return p.State().Idle == 2 })
	i.cut()
	until(t, "closed at the instance", func() bool { return i.count(func() int { return i.open }) == 0 })
	conn := take(t, p)
	got, a := exchangeOn(conn, simple("get a"))
	c.Assert(a.Err, qt.IsNil)
	c.Assert(got, qt.Equals, "T D(get a) C")
}

func TestOnFreeFollowsOpenAndPut(t *testing.T) {
	free := make(chan struct{}, 100)
	p := newPool(t, newInstance(t, 10), func(g *database.Config) {
		g.Limit = 1
		g.OnFree = func() { free <- struct{}{} }
	})
	<-free
	p.Put(take(t, p))
	<-free
}
