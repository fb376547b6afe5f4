package loop_test

import (
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/io/loop"
)

// Guards against an answer that is cut off because its connection counts as settled while bytes wait to be sent.
func TestConnectionIsUnsettledUntilAllIsSent(t *testing.T) {
	c := qt.New(t)
	const size = 16 << 20
	conns := make(chan *loop.Conn, 1)
	l, at := start(c, loop.Config{Accept: func(k *loop.Conn) {
		lines(k, func(string) {
			k.Write(make([]byte, size))
			conns <- k
		})
	}})
	x, err := net.Dial("tcp4", at)
	c.Assert(err, qt.IsNil)
	defer func() { _ = x.Close() }()
	_, err = io.WriteString(x, "go\n")
	c.Assert(err, qt.IsNil)
	k := <-conns
	// settled closes the connection once it is settled.
	settled := func() (done bool, unsent int) {
		got := make(chan bool)
		l.Post(func() {
			unsent = l.UnsentBytes()
			ok := k.Settled()
			if ok {
				k.Close()
			}
			got <- ok
		})
		return <-got, unsent
	}
	done, unsent := settled()
	c.Assert(done, qt.IsFalse)
	c.Assert(unsent > 0, qt.IsTrue)
	received := make(chan int64)
	go func() {
		n, _ := io.Copy(io.Discard, x)
		received <- n
	}()
	for !done {
		time.Sleep(time.Millisecond)
		done, unsent = settled()
	}
	c.Check(unsent, qt.Equals, 0)
	c.Check(<-received, qt.Equals, int64(size))
}

// Guards against a connection that counts as settled while messages that were received haven't been handed on, or that
// never does because half of a message is there.
func TestConnectionSettlesOnceAllIsHandled(t *testing.T) {
	c := qt.New(t)
	handled := make(chan []string, 8)
	var got []string
	loops := make(chan *loop.Loop, 1)
	l, at := start(c, loop.Config{Accept: func(k *loop.Conn) {
		lines(k, func(line string) {
			got = append(got, line)
			c.Check(k.Settled(), qt.IsFalse)
			k.Pause()
			time.AfterFunc(5*time.Millisecond, func() {
				l := <-loops
				loops <- l
				l.Post(func() {
					c.Check(k.Settled(), qt.IsFalse)
					k.Resume()
					c.Check(k.Settled(), qt.IsFalse)
				})
			})
		})
		k.Handled = func() {
			c.Check(k.Settled(), qt.IsTrue)
			handled <- got
		}
	}})
	loops <- l
	x, err := net.Dial("tcp4", at)
	c.Assert(err, qt.IsNil)
	defer func() { _ = x.Close() }()
	_, err = io.WriteString(x, "one\ntwo\nthr")
	c.Assert(err, qt.IsNil)
	c.Check(<-handled, qt.DeepEquals, []string{"one", "two"})
}

// Guards against a statement that runs although its caller had ended the session before it.
func TestNothingIsDeliveredAfterClose(t *testing.T) {
	c := qt.New(t)
	ended := make(chan []string)
	var got []string
	_, at := start(c, loop.Config{Accept: func(k *loop.Conn) {
		lines(k, func(line string) {
			got = append(got, line)
			k.Closed = func(error) { ended <- got }
			k.Close()
		})
	}})
	x, err := net.Dial("tcp4", at)
	c.Assert(err, qt.IsNil)
	defer func() { _ = x.Close() }()
	_, err = io.WriteString(x, "bye\nquery\n")
	c.Assert(err, qt.IsNil)
	c.Check(<-ended, qt.DeepEquals, []string{"bye"})
}
