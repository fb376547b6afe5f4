package caller

import (
	"context"
	"errors"
	"time"

	"skylarkdeal/core/exchange"
	"skylarkdeal/core/failure"
)

var errGone = errors.New("the caller has gone")

// hold bounds how much of an answer waits for its outcome.
const hold = 64 << 10

// send takes whole messages of the answer. It waits while the caller has too
// much unread: made for a caller that reads slower than its instance answers,
// it keeps the rest of the answer on the upstream connection instead of in the
// memory of the host.
//
// An answer waits here for its outcome, so that what a fence rejects is never
// seen, neither rows of a replaced primary nor its CommandComplete, which some
// callers take for the acknowledgement. One longer than hold is passed on as it
// comes; but from a write's CommandComplete on it waits again.
func (r *run) send(b []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.waitForRoom(); err != nil {
		return err
	}
	if r.abandoned {
		return errGone
	}
	r.scan(b)
	holds := !r.streaming || (r.complete && r.q.Intent == exchange.IntentWrite)
	if holds && len(r.tail)+len(b) <= hold {
		r.tail = append(r.tail, b...)
		return nil
	}
	r.streaming = true
	r.out = append(append(r.out, r.tail...), b...)
	r.tail = nil
	r.post()
	return nil
}

// scan notes errors and the first CommandComplete in b.
func (r *run) scan(b []byte) {
	for len(b) >= headerLen {
		n := 1 + int(uint32(b[1])<<24|uint32(b[2])<<16|uint32(b[3])<<8|uint32(b[4]))
		switch b[0] {
		case 'C':
			r.complete = true
		case 'E':
			r.failed = true
		}
		if n > len(b) || n < headerLen {
			return
		}
		b = b[n:]
	}
}

// The wait between two looks at a caller that doesn't read, which grows: a
// caller that is only slow is soon served again, and one that has stopped costs
// few looks.
const (
	lookFirst = time.Millisecond
	lookMost  = 50 * time.Millisecond
)

// waitForRoom waits until the caller has read enough; r.mu is held but for the
// waiting.
func (r *run) waitForRoom() error {
	cfg := r.x.srv.cfg
	since, least, wait := time.Time{}, 0, lookFirst
	for !r.abandoned {
		unread := len(r.out) + r.buffered
		if unread < cfg.MaxUnread {
			return nil
		}
		now := cfg.Now()
		if since.IsZero() || unread < least {
			since, least, wait = now, unread, lookFirst
		}
		if now.Sub(since) >= cfg.StallTimeout {
			r.x.post((*session).stalled)
			return errGone
		}
		r.post()
		r.mu.Unlock()
		time.Sleep(wait)
		wait = min(2*wait, lookMost)
		r.mu.Lock()
	}
	return errGone
}

var errStalled = &failure.Refusal{
	Code: failure.CodeUnreachable, Step: "write answer", Message: "the caller has stopped reading",
}

func (x *session) stalled() {
	x.srv.metrics.stalled.Inc()
	x.end(errStalled)
	if x.phase == phaseLinger {
		_ = x.loop.Close(x.conn)
	}
}

// done takes the result; the first one counts.
func (r *run) done(res exchange.Result) {
	r.mu.Lock()
	if r.result != nil {
		r.mu.Unlock()
		return
	}
	r.result = &res
	r.x.srv.running.Add(-1)
	abandoned := r.abandoned
	if !abandoned {
		r.post()
	}
	r.mu.Unlock()
	s := r.x.srv
	s.metrics.exchange(res, r.q.Intent, s.cfg.Now().Sub(r.began))
	if abandoned {
		r.releaseAfter(res)
	}
}

// releaseAfter gives up the transaction that an exchange without a session
// leaves open, or the one it was refused in.
func (r *run) releaseAfter(res exchange.Result) {
	if res.Outcome == exchange.OutcomeNotRun {
		r.releasePin(r.q.Pin)
		return
	}
	r.releasePin(res.Pin)
}

// post has Run called on the event loop; r.mu is held.
func (r *run) post() {
	if r.posted {
		return
	}
	r.posted = true
	_ = r.x.loop.Execute(context.Background(), r)
}

// Run is called by the event loop to pass on what has come.
func (r *run) Run(context.Context) error {
	x := r.x
	r.mu.Lock()
	r.posted = false
	out, res := r.out, r.result
	r.out, r.spare = r.spare[:0], nil
	r.mu.Unlock()
	if x.run != r {
		return nil
	}
	if res != nil {
		x.finish(r, out, res)
		return nil
	}
	x.write(out)
	r.mu.Lock()
	if x.phase != phaseClosed {
		r.buffered = x.conn.OutboundBuffered()
	}
	r.spare = out[:0]
	r.mu.Unlock()
	return nil
}
