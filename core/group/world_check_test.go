package group_test

import (
	"fmt"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/group"
	"skylarkdeal/core/group/grouptest"
)

// answerCallers ends the writes that a verdict decides and the reads whose needs are
// satisfied, and checks them.
func (m *model) answerCallers() error {
	for _, h := range m.hosts {
		s := h.group.Snapshot(m.now)
		var waiting []write
		for _, w := range h.writes {
			switch s.Acknowledge(m.acknowledge, w.position, w.receivedAt) {
			case group.VerdictAcknowledge:
				m.stats["acknowledged"]++
				if err := m.checkNotReplaced(w); err != nil {
					return err
				}
				m.acknowledged = append(m.acknowledged, &acknowledgedWrite{write: w, acknowledgedAt: m.now})
			case group.VerdictWait:
				waiting = append(waiting, w)
			case group.VerdictReplaced:
				m.stats["unknown"]++
			}
		}
		h.writes = waiting
		if err := m.answerReads(h, s); err != nil {
			return err
		}
	}
	return nil
}

// checkNotReplaced checks that there was no later primary when the answer to the commit
// of w arrived.
func (m *model) checkNotReplaced(w write) error {
	for term, since := range m.primarySince {
		if term > w.position.Term && since.Before(w.receivedAt) {
			return fmt.Errorf("write %v of a primary that term %d had replaced is acknowledged", w.position, term)
		}
	}
	return nil
}

func (m *model) answerReads(h *host, s group.Snapshot) error {
	var waiting []*read
	for _, r := range h.reads {
		if p, ok := s.Prove(); ok {
			r.need = r.need.Resolve(p)
		}
		if !r.answered || !r.need.Satisfied(r.answer, m.now, s) {
			waiting = append(waiting, r)
			continue
		}
		m.stats["read by "+string(r.answer.Role)]++
		if err := m.checkFresh(r); err != nil {
			return err
		}
	}
	h.reads = waiting
	return nil
}

// checkFresh checks that the answer to a read has its own write if it shows a token, or
// else every write that had been acknowledged when the read arrived, or before the
// maximum age that it accepts.
func (m *model) checkFresh(r *read) error {
	if r.ownWrite != nil {
		if !r.ownWrite.lost && !hasWrite(r.log, r.ownWrite.write) {
			return fmt.Errorf("read at %v by a %s lacks its own write %v", r.answer.Position, r.answer.Role, r.ownWrite.position)
		}
		return nil
	}
	bound := r.need.Arrived
	if r.need.MaxAge > 0 {
		bound = m.now.Add(-r.need.MaxAge)
	}
	for _, a := range m.acknowledged {
		if !a.lost && a.acknowledgedAt.Before(bound) && !hasWrite(r.log, a.write) {
			return fmt.Errorf("read at %v by a %s lacks the acknowledged write %v", r.answer.Position, r.answer.Role, a.position)
		}
	}
	return nil
}

func hasWrite(log []grouptest.Entry, w write) bool {
	i := int(w.position.Index) - 1
	return i < len(log) && log[i] == grouptest.Entry{Term: w.position.Term, Value: w.value}
}

// checkPrimaries checks that each term has at most one primary, and that it has every
// write acknowledged in an earlier term.
func (m *model) checkPrimaries() error {
	for _, i := range m.instances {
		if i.Role != fleet.RolePrimary {
			continue
		}
		term := i.Last().Term
		if p, ok := m.primaries[term]; ok && p != i.Name {
			return fmt.Errorf("term %d has two primaries, %s and %s", term, p, i.Name)
		}
		if _, ok := m.primarySince[term]; !ok {
			m.primaries[term], m.primarySince[term] = i.Name, m.now
			m.stats["promoted"]++
		}
		if err := m.checkInherited(i, term); err != nil {
			return err
		}
	}
	return nil
}

// checkInherited checks that i, the primary of the given term, has the writes that were
// acknowledged in earlier terms. With acknowledge = primary a promotion may lose them.
func (m *model) checkInherited(i *grouptest.Instance, term fleet.Term) error {
	for _, a := range m.acknowledged {
		if a.lost || a.position.Term >= term || hasWrite(i.Log, a.write) {
			continue
		}
		if m.acknowledge == document.AcknowledgeReplicated {
			return fmt.Errorf("primary %s of term %d lacks the acknowledged write %v", i.Name, term, a.position)
		}
		a.lost = true
		m.stats["lost"]++
	}
	return nil
}
