package eventlog

import (
	"fmt"
	"io"
	"sync"
)

// maxPending bounds the lines that wait for their reader, in bytes.
const maxPending = 256 << 10

// leftOut is the line that tells how many are missing.
const leftOut = "level=warn msg=\"lines left out\" count=%d reason=\"nobody reads them in time\"\n"

// Async writes lines to another writer from a goroutine of its own, so that whoever logs
// never waits for a reader that is slow or has stopped: what finds no room is left out
// and counted. Close has to be called for the last lines.
type Async struct {
	w    io.Writer
	mu   sync.Mutex
	buf  []byte
	out  int
	stir chan struct{}
	done chan struct{}
}

// NewAsync returns an Async that writes to w.
func NewAsync(w io.Writer) *Async {
	a := &Async{w: w, stir: make(chan struct{}, 1), done: make(chan struct{})}
	go a.run()
	return a
}

// Write keeps b for the writer, or leaves it out.
func (a *Async) Write(b []byte) (int, error) {
	a.mu.Lock()
	if len(a.buf)+len(b) > maxPending {
		a.out++
	} else {
		a.buf = append(a.buf, b...)
	}
	a.mu.Unlock()
	select {
	case a.stir <- struct{}{}:
	default:
	}
	return len(b), nil
}

// Close writes what is left and ends the goroutine. Nothing may be written after it.
func (a *Async) Close() {
	close(a.stir)
	<-a.done
}

func (a *Async) run() {
	defer close(a.done)
	for range a.stir {
		a.flush()
	}
	a.flush()
}

func (a *Async) flush() {
	a.mu.Lock()
	b := a.buf
	if a.out > 0 {
		b = fmt.Appendf(b, leftOut, a.out)
	}
	a.buf, a.out = nil, 0
	a.mu.Unlock()
	if len(b) > 0 {
		// A log that can't be written has nowhere to say so.
		_, _ = a.w.Write(b)
	}
}
