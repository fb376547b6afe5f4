package host

import (
	"errors"
	"time"

	"skylarkdeal/core/exchange"
	"skylarkdeal/io/host/hostpb"
)

// tailLimit is how much of an answer is held back to go with its end in one
// frame. A database itself holds back as much before it flushes.
const tailLimit = 8 << 10

var errTooLarge = errors.New("part of an answer is too large to be passed on between hosts")

// send passes on part of the answer, once there is credit.
func (r *run) send(b []byte) error {
	if len(b) > limit(r.in.server.MessageLimit) {
		return errTooLarge
	}
	if len(r.tail)+len(b) <= tailLimit {
		r.tail = append(r.tail, b...)
		return nil
	}
	if len(r.tail) > 0 {
		if err := r.rows(r.tail); err != nil {
			return err
		}
		r.tail = nil
	}
	return r.rows(append([]byte(nil), b...))
}

// rows sends data, which is not touched again, as one frame.
func (r *run) rows(data []byte) error {
	if err := r.await(int64(len(data))); err != nil {
		return err
	}
	return r.in.out.rows(r.in.ctx, r.gone, &hostpb.Rows{Seq: r.id.Seq, Data: data})
}

// await takes n bytes of credit, waiting until there is any.
func (r *run) await(n int64) error {
	if r.take(n) {
		return nil
	}
	t := time.NewTimer(creditTimeout)
	defer t.Stop()
	for {
		select {
		case <-r.more:
			if r.take(n) {
				return nil
			}
		case <-t.C:
			return errNoCredit
		case <-r.gone:
			return errCancelled
		}
	}
}

func (r *run) take(n int64) bool {
	r.in.mu.Lock()
	defer r.in.mu.Unlock()
	if r.credit <= 0 {
		return false
	}
	r.credit -= n
	return true
}

// done ends the exchange. When the stream has ended before it, a transaction
// that the exchange has left open is rolled back here.
func (r *run) done(result exchange.Result) {
	i := r.in
	i.mu.Lock()
	delete(i.runs, r.id.Seq)
	ended := i.ended
	if !ended {
		delete(i.pins, r.pin)
		if result.Pin != 0 {
			i.pins[result.Pin] = struct{}{}
		}
	}
	i.mu.Unlock()
	if ended {
		if result.Pin != 0 {
			i.server.release(result.Pin)
		}
		return
	}
	d := fromResult(result, r.id.Seq)
	if i.version >= versionBatch {
		d.Data = r.tail
	} else if len(r.tail) > 0 {
		_ = i.out.rows(i.ctx, r.gone, &hostpb.Rows{Seq: r.id.Seq, Data: r.tail})
	}
	i.out.done(d)
}
