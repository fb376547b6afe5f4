package eventlog_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/internal/eventlog"
)

// stuck is a reader that doesn't read until it is let go.
type stuck struct {
	mu      sync.Mutex
	buf     bytes.Buffer
	release chan struct{}
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(b)
}

// The reader of the log stops reading, as a full disk behind it does. Requests must not
// wait for it, and memory must not fill; once it reads again, it is told what is missing.
func TestStuckReaderHoldsUpNobody(t *testing.T) {
	c := qt.New(t)
	s := &stuck{release: make(chan struct{})}
	a := eventlog.NewAsync(s)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 1000 {
		n, err := a.Write(line)
		c.Assert(err, qt.IsNil)
		c.Assert(n, qt.Equals, len(line))
	}
	close(s.release)
	a.Close()
	text := s.buf.String()
	c.Assert(len(text) < 600<<10, qt.IsTrue)
	c.Assert(text, qt.Contains, "lines left out")
	c.Assert(strings.Count(text, "\n") > 200, qt.IsTrue)
}
