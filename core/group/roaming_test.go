package group_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"skylarkdeal/core/exchange"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/group/grouptest"
	"skylarkdeal/core/reference"
	"skylarkdeal/core/session"
)

// roamingSession is a session that writes and reads through any host, one request at a
// time, with its token.
type roamingSession struct {
	reference reference.Database
	token     session.Token
	writing   string
	reading   *read
	startedAt time.Time
	// unknown are the writes whose outcome the caller doesn't know.
	unknown   fleet.Set[string]
	readCount int
}

// answerTimeout is how long the session waits for an answer.
const answerTimeout = 500 * time.Millisecond

// step leaves a pending request alone until answerTimeout, and then starts another one
// through h.
func (r *roamingSession) step(m *model, h *host, pick func(n int) int) {
	if m.now.Sub(r.startedAt) < answerTimeout && (r.writing != "" || r.reading != nil) {
		return
	}
	if r.writing != "" {
		r.unknown.Add(r.writing)
	}
	r.writing, r.reading, r.startedAt = "", nil, m.now
	if pick(2) == 0 {
		if p := h.group.Snapshot(m.now).Primary; p != "" {
			m.writeCount++
			r.writing = fmt.Sprint(m.writeCount)
			m.send(h, p, message{kind: messageWrite, value: r.writing})
		}
		return
	}
	q := &exchange.Request{Intent: exchange.IntentRead, After: fleet.Some(r.token)}
	r.reading = &read{need: session.NeedOf(q, m.now)}
	m.send(h, m.instances[pick(len(m.instances))].Name, message{kind: messageRead, read: r.reading})
}

// checkRead handles the answer to the pending request. It compares the result of a read
// with that of the reference database.
func (r *roamingSession) checkRead(m *model) error {
	if n := len(m.acknowledged); n > 0 && m.acknowledged[n-1].value == r.writing && r.writing != "" {
		r.reference.Write(r.writing)
		r.token = session.Merge(r.token, m.acknowledged[n-1].position)
		r.writing = ""
	}
	pending := r.reading
	if pending == nil || !pending.answered ||
		!pending.need.Satisfied(pending.answer, m.now, m.hosts[0].group.Snapshot(m.now)) {
		return nil
	}
	r.readCount++
	r.reading = nil
	r.token = session.Merge(r.token, pending.answer.Position)
	if got, want := r.certainValues(pending.log), r.reference.Read(); !slices.Equal(got, want) {
		return fmt.Errorf("read at %v by a %s: %v, reference: %v", pending.answer.Position, pending.answer.Role, got, want)
	}
	return nil
}

// certainValues returns the values of a log without those of unknown outcome and that
// of the pending write.
func (r *roamingSession) certainValues(log []grouptest.Entry) []string {
	var out []string
	for _, e := range log {
		if e.Value != "" && e.Value != r.writing && !r.unknown.Has(e.Value) {
			out = append(out, e.Value)
		}
	}
	return out
}

// A session sends its requests through one host after another while links are cut and
// primaries change. Its reads have to return what a single database would: every
// confirmed write, once and in order.
func TestRoamingSessionMatchesReferenceDatabase(t *testing.T) {
	var reads, writes, promoted int
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(3, 3)
		m.start()
		m.session = &roamingSession{unknown: fleet.NewSet[string]()}
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
		for range 4000 {
			if err := m.step(pick); err != nil {
				t.Fatal(err)
			}
			if err := m.session.checkRead(m); err != nil {
				t.Fatal(err)
			}
		}
		reads += m.session.readCount
		writes += len(m.session.reference.Read())
		promoted += m.stats["promoted"]
	})
	t.Logf("%d reads, %d writes, %d primaries", reads, writes, promoted)
	if reads < 300 || writes < 300 || promoted < 300 {
		t.Errorf("%d reads, %d writes, %d primaries: too few to be conclusive", reads, writes, promoted)
	}
}
