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

// roamer is one session that writes and reads through any host, one request at
// a time, with its token.
type roamer struct {
	naive   reference.Database
	token   session.Token
	writing string
	reading *read
	since   time.Time
	// maybe are the writes of which the caller was told that it is unknown
	// whether they were done.
	maybe fleet.Set[string]
	reads int
}

// patience is how long the session waits for an answer.
const patience = 500 * time.Millisecond

// act goes on with the request under way, or starts another through h.
func (r *roamer) act(w *world, h *host, pick func(n int) int) {
	if w.now.Sub(r.since) < patience && (r.writing != "" || r.reading != nil) {
		return
	}
	if r.writing != "" {
		r.maybe.Add(r.writing)
	}
	r.writing, r.reading, r.since = "", nil, w.now
	if pick(2) == 0 {
		if p := h.group.Snapshot(w.now).Primary; p != "" {
			w.written++
			r.writing = fmt.Sprint(w.written)
			w.send(h, p, message{kind: messageWrite, value: r.writing})
		}
		return
	}
	q := &exchange.Request{Intent: exchange.IntentRead, After: fleet.Some(r.token)}
	r.reading = &read{need: session.Needs(q, w.now)}
	w.send(h, w.instances[pick(len(w.instances))].Name, message{kind: messageRead, read: r.reading})
}

// look takes up the answer to the request under way and compares a read with
// what the naive ledger says.
func (r *roamer) look(w *world) error {
	if n := len(w.acked); n > 0 && w.acked[n-1].value == r.writing && r.writing != "" {
		r.naive.Write(r.writing)
		r.token = session.Merge(r.token, w.acked[n-1].point)
		r.writing = ""
	}
	d := r.reading
	if d == nil || !d.got || !d.need.Satisfied(d.answer, w.now, w.hosts[0].group.Snapshot(w.now)) {
		return nil
	}
	r.reads++
	r.reading = nil
	r.token = session.Merge(r.token, d.answer.Position)
	if got, want := r.certain(d.log), r.naive.Read(); !slices.Equal(got, want) {
		return fmt.Errorf("read at %v by a %s: %v, naive: %v", d.answer.Position, d.answer.Role, got, want)
	}
	return nil
}

// certain returns the values of a log but those of unknown outcome, and the one
// under way.
func (r *roamer) certain(log []grouptest.Entry) []string {
	var out []string
	for _, e := range log {
		if e.Value != "" && e.Value != r.writing && !r.maybe.Has(e.Value) {
			out = append(out, e.Value)
		}
	}
	return out
}

// A caller with a handheld walks through the cellar and its requests come in
// through one host after another, while links are cut and primaries change. It
// has to see what one host with one database would have shown it: all that was
// confirmed, once and in order.
func TestRoamingSessionSeesWhatTheNaiveLedgerShows(t *testing.T) {
	var reads, writes, promoted int
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(3, 3)
		w.start()
		w.session = &roamer{maybe: fleet.NewSet[string]()}
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
		for range 4000 {
			if err := w.step(pick); err != nil {
				t.Fatal(err)
			}
			if err := w.session.look(w); err != nil {
				t.Fatal(err)
			}
		}
		reads += w.session.reads
		writes += len(w.session.naive.Read())
		promoted += w.stats["promoted"]
	})
	t.Logf("%d reads, %d writes, %d primaries", reads, writes, promoted)
	if reads < 300 || writes < 300 || promoted < 300 {
		t.Errorf("%d reads, %d writes, %d primaries: too few to tell anything", reads, writes, promoted)
	}
}
