package loop_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/io/loop"
)

func freeAddress(c *qt.C) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func start(c *qt.C, cfg loop.Config) (*loop.Loop, string) {
	cfg.Address = freeAddress(c)
	l, err := loop.Start(cfg)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { c.Check(l.Stop(), qt.IsNil) })
	return l, cfg.Address
}

// lines calls f with each line received on c.
func lines(c *loop.Conn, f func(line string)) {
	c.Data = func(b []byte) int {
		for n := range b {
			if b[n] == '\n' {
				f(string(b[:n]))
				return n + 1
			}
		}
		return 0
	}
}

// A caller sends its next statements before the answer to the first one. They have to wait for it,
// in their order, however the bytes are split.
func TestPausedConnectionKeepsWhatComes(t *testing.T) {
	c := qt.New(t)
	started := make(chan *loop.Loop, 1)
	l, at := start(c, loop.Config{Accept: func(k *loop.Conn) {
		lines(k, func(line string) {
			k.Pause()
			time.AfterFunc(10*time.Millisecond, func() {
				l := <-started
				started <- l
				l.Post(func() {
					k.Write([]byte("answer to " + line + "\n"))
					k.Resume()
				})
			})
		})
	}})
	started <- l
	x, err := net.Dial("tcp4", at)
	c.Assert(err, qt.IsNil)
	defer func() { _ = x.Close() }()
	_, err = io.WriteString(x, "one\ntwo\nth")
	c.Assert(err, qt.IsNil)
	time.Sleep(5 * time.Millisecond)
	_, err = io.WriteString(x, "ree\n")
	c.Assert(err, qt.IsNil)
	in := bufio.NewScanner(x)
	for _, want := range []string{"one", "two", "three"} {
		c.Assert(in.Scan(), qt.IsTrue)
		c.Assert(in.Text(), qt.Equals, "answer to "+want)
	}
}

func TestDialledConnection(t *testing.T) {
	c := qt.New(t)
	l, at := start(c, loop.Config{Accept: func(k *loop.Conn) {
		lines(k, func(line string) { k.Write([]byte(line + "\n")) })
	}})
	got := make(chan string, 4)
	k := &loop.Conn{Closed: func(error) { got <- "closed" }}
	k.Opened = func() { k.Write([]byte("hello\n")) }
	lines(k, func(line string) {
		got <- line
		k.Close()
	})
	l.Dial(k, at, time.Second)
	c.Assert(<-got, qt.Equals, "hello")
	c.Assert(<-got, qt.Equals, "closed")
}

// An instance is down: the connection is refused. And a connection that is closed before it is
// established must not open afterwards.
func TestConnectionsThatAreNeverEstablished(t *testing.T) {
	c := qt.New(t)
	l, at := start(c, loop.Config{Accept: func(*loop.Conn) {}})
	failed := make(chan error, 1)
	l.Dial(&loop.Conn{Closed: func(err error) { failed <- err }}, freeAddress(c), time.Second)
	c.Assert(<-failed, qt.ErrorMatches, "connect with .*refused")

	k := &loop.Conn{Opened: func() { c.Error("a connection that was given up has opened") }}
	closed := make(chan struct{})
	k.Closed = func(error) { close(closed) }
	l.Post(func() {
		l.Dial(k, at, time.Second)
		k.Close()
	})
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		c.Fatal("it was never closed")
	}
}

// A peer reads nothing. What is written to it must not fill the host's memory.
func TestPeerThatDoesNotReadIsCutOff(t *testing.T) {
	c := qt.New(t)
	closed := make(chan struct{})
	_, at := start(c, loop.Config{MaxUnread: 1 << 20, Accept: func(k *loop.Conn) {
		lines(k, func(string) {
			k.Closed = func(error) { close(closed) }
			for range 64 {
				k.Write(make([]byte, 1<<20))
			}
		})
	}})
	x, err := net.Dial("tcp4", at)
	c.Assert(err, qt.IsNil)
	defer func() { _ = x.Close() }()
	_, err = fmt.Fprintln(x, "go")
	c.Assert(err, qt.IsNil)
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		c.Fatal("it was never cut off")
	}
}

func TestTicksFollowTheTickInterval(t *testing.T) {
	c := qt.New(t)
	slow := make(chan struct{})
	ticks := make(chan time.Time, 100)
	l, _ := start(c, loop.Config{
		Accept: func(*loop.Conn) {},
		Tick:   func() { ticks <- time.Now() },
		TickInterval: func() time.Duration {
			select {
			case <-slow:
				return 5 * time.Millisecond
			default:
				return time.Hour
			}
		},
	})
	close(slow)
	l.RequestTick()
	for range 3 {
		select {
		case <-ticks:
		case <-time.After(5 * time.Second):
			c.Fatal("no tick")
		}
	}
}

// Guards against callers that send without waiting for responses and use up the memory of the host, one by itself or
// many together, and against the end of one that sends a little ahead.
func TestCallersThatDoNotWaitAreCutOff(t *testing.T) {
	c := qt.New(t)
	for _, t := range []struct {
		name             string
		callers, sent    int
		perConn, atTotal int
		cutOff           bool
	}{
		{"one sends too much", 1, 4 << 20, 1 << 20, 0, true},
		{"many send too much together", 8, 512 << 10, 1 << 20, 1 << 20, true},
		{"some send a little ahead", 8, 32 << 10, 1 << 20, 64 << 10, false},
	} {
		closed := make(chan struct{}, 2*t.callers)
		overflowed := make(chan int, 2*t.callers)
		_, at := start(c, loop.Config{
			MaxUnprocessed: t.perConn, MaxUnprocessedTotal: t.atTotal,
			Overflowed: func(n int) { overflowed <- n },
			Accept: func(k *loop.Conn) {
				lines(k, func(string) { k.Pause() })
				k.Closed = func(error) { closed <- struct{}{} }
			},
		})
		for range t.callers {
			x, err := net.Dial("tcp4", at)
			c.Assert(err, qt.IsNil)
			defer func() { _ = x.Close() }()
			_, err = x.Write([]byte("first\n"))
			c.Assert(err, qt.IsNil)
			go func() { _, _ = x.Write(make([]byte, t.sent)) }()
		}
		select {
		case <-overflowed:
			c.Check(t.cutOff, qt.IsTrue, qt.Commentf("%s", t.name))
			<-closed
		case <-time.After(300 * time.Millisecond):
			c.Check(t.cutOff, qt.IsFalse, qt.Commentf("%s", t.name))
		}
	}
}
