package group_test

import (
	"fmt"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/group"
	"skylarkdeal/core/group/grouptest"
)

// settle answers the callers whose proofs are there.
func (w *world) settle() error {
	for _, h := range w.hosts {
		t := h.group.Snapshot(w.now)
		var left []write
		for _, x := range h.writes {
			switch t.Acknowledge(w.rule, x.point, x.since) {
			case group.VerdictAcknowledge:
				w.stats["acknowledged"]++
				if err := w.replaced(x); err != nil {
					return err
				}
				w.acked = append(w.acked, &acked{write: x, at: w.now})
			case group.VerdictWait:
				left = append(left, x)
			case group.VerdictReplaced:
				w.stats["unknown"]++
			}
		}
		h.writes = left
		if err := w.settleReads(h, t); err != nil {
			return err
		}
	}
	return nil
}

// replaced checks that no later primary was there when the write committed.
func (w *world) replaced(x write) error {
	for t, at := range w.since {
		if t > x.point.Term && at.Before(x.since) {
			return fmt.Errorf("write %v of a primary that term %d had replaced is acknowledged", x.point, t)
		}
	}
	return nil
}

func (w *world) settleReads(h *host, t group.Snapshot) error {
	var left []*read
	for _, r := range h.reads {
		if p, ok := t.Prove(); ok {
			r.need = r.need.Resolve(p)
		}
		if !r.got || !r.need.Satisfied(r.answer, w.now, t) {
			left = append(left, r)
			continue
		}
		w.stats["read by "+string(r.answer.Role)]++
		if err := w.stale(r); err != nil {
			return err
		}
	}
	h.reads = left
	return nil
}

// stale checks that a read's answer has all that had been acknowledged when the
// read came in, or by the age that it accepts.
func (w *world) stale(r *read) error {
	if r.own != nil {
		if !r.own.lost && !contains(r.log, r.own.write) {
			return fmt.Errorf("read at %v by a %s misses its own %v", r.answer.Position, r.answer.Role, r.own.point)
		}
		return nil
	}
	bound := r.need.Arrived
	if r.need.MaxAge > 0 {
		bound = w.now.Add(-r.need.MaxAge)
	}
	for _, a := range w.acked {
		if !a.lost && a.at.Before(bound) && !contains(r.log, a.write) {
			return fmt.Errorf("read at %v by a %s misses %v", r.answer.Position, r.answer.Role, a.point)
		}
	}
	return nil
}

func contains(log []grouptest.Entry, x write) bool {
	i := int(x.point.Index) - 1
	return i < len(log) && log[i] == grouptest.Entry{Term: x.point.Term, Value: x.value}
}

// check checks that a term has one primary, which has every write that was
// acknowledged in an earlier term.
func (w *world) check() error {
	for _, i := range w.instances {
		if i.Role != fleet.RolePrimary {
			continue
		}
		t := i.Last().Term
		if p, ok := w.primaries[t]; ok && p != i.Name {
			return fmt.Errorf("term %d has two primaries, %s and %s", t, p, i.Name)
		}
		if _, ok := w.since[t]; !ok {
			w.primaries[t], w.since[t] = i.Name, w.now
			w.stats["promoted"]++
		}
		if err := w.inherits(i, t); err != nil {
			return err
		}
	}
	return nil
}

// inherits checks that the primary of t has the writes that were acknowledged
// in earlier terms. With acknowledge = primary a promotion may lose them.
func (w *world) inherits(i *grouptest.Instance, t fleet.Term) error {
	for _, a := range w.acked {
		if a.lost || a.point.Term >= t || contains(i.Log, a.write) {
			continue
		}
		if w.rule == document.AcknowledgeReplicated {
			return fmt.Errorf("primary %s of term %d lacks the acknowledged write %v", i.Name, t, a.point)
		}
		a.lost = true
		w.stats["lost"]++
	}
	return nil
}
