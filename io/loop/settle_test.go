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
