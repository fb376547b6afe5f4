package database

import (
	"encoding/binary"
	"errors"
	"io"
)

const (
	headerLen = 5
	// readSize is what is read at a time at first, readMost what a stream of
	// rows grows it to.
	readSize = 8 << 10
	readMost = 64 << 10
	// maxMessage bounds one message of an instance, which is held whole.
	maxMessage = 64 << 20
)

var errMessageLength = errors.New("message with an impossible length")

// reader cuts what an instance sends into messages without copying them.
type reader struct {
	src  io.Reader
	buf  []byte
	r, w int
}

func (r *reader) buffered() int {
	return r.w - r.r
}

// frame returns the next whole message, or nil when more has to be read.
func (r *reader) frame() ([]byte, error) {
	b := r.buf[r.r:r.w]
	if len(b) < headerLen {
		return nil, nil
	}
	n := int(int32(binary.BigEndian.Uint32(b[1:])))
	if n < headerLen-1 || n > maxMessage {
		return nil, errMessageLength
	}
	if len(b) < n+1 {
		return nil, nil
	}
	return b[:n+1], nil
}

// skip goes past a message that frame returned.
func (r *reader) skip(m []byte) {
	r.r += len(m)
}

// fill waits for more bytes. Messages returned before are no longer valid.
func (r *reader) fill() error {
	r.makeRoom()
	n, err := r.src.Read(r.buf[r.w:])
	r.w += n
	if n > 0 {
		return nil
	}
	if err == nil {
		return io.ErrNoProgress
	}
	return err
}

// makeRoom moves what is buffered to the front, and grows the buffer to what
// the message that begins there needs, or when the last read filled it.
func (r *reader) makeRoom() {
	full := r.w == len(r.buf)
	copy(r.buf, r.buf[r.r:r.w])
	r.w, r.r = r.w-r.r, 0
	want := max(readSize, len(r.buf))
	if full && len(r.buf) > 0 {
		want = min(2*len(r.buf), readMost)
	}
	if r.w >= headerLen {
		want = max(want, int(binary.BigEndian.Uint32(r.buf[1:]))+1)
	}
	if r.w == len(r.buf) && want <= r.w {
		want = 2 * r.w
	}
	if want > len(r.buf) {
		b := make([]byte, want)
		copy(b, r.buf[:r.w])
		r.buf = b
	}
}

// shrink gives up a large buffer that is empty.
func (r *reader) shrink() {
	if r.r == r.w {
		r.r, r.w = 0, 0
		if len(r.buf) > readMost {
			r.buf = nil
		}
	}
}
