package edit_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
	"skylarkdeal/internal/edit"
	"skylarkdeal/io/etcd"
)

// memory is a store in memory whose writes can lose their answers, be lost
// themselves, or take effect only after the answer was given up on.
type memory struct {
	revision etcd.Revision
	entries  map[string]etcd.Entry
	// fault is asked before each write.
	fault func() fault
	// late are writes still on their way.
	late []etcd.Swap
	// took lists the edits that took effect, in order.
	took []string
}

type fault string

const (
	faultNone   fault = "none"
	faultAnswer fault = "answer lost after the effect"
	faultLost   fault = "request lost"
	faultLate   fault = "request late"
)

var errLost = errors.New("lost")

func newMemory() *memory {
	return &memory{revision: 1, entries: map[string]etcd.Entry{}, fault: func() fault { return faultNone }}
}

func (m *memory) store() *etcd.Store {
	return &etcd.Store{Get: m.get, List: m.list, Swap: m.swap}
}

func (m *memory) get(_ context.Context, key string) (etcd.Entry, error) {
	e := m.entries[key]
	e.Key = key
	return e, nil
}

func (m *memory) list(_ context.Context, prefix string) ([]etcd.Entry, etcd.Revision, error) {
	var l []etcd.Entry
	for k, e := range m.entries {
		if strings.HasPrefix(k, prefix) {
			l = append(l, e)
		}
	}
	return l, m.revision, nil
}

func (m *memory) swap(_ context.Context, s etcd.Swap) (etcd.Revision, error) {
	switch m.fault() {
	case faultLost:
		return 0, &etcd.Unknown{Err: errLost}
	case faultLate:
		m.late = append(m.late, s)
		return 0, &etcd.Unknown{Err: errLost}
	case faultAnswer:
		_, _ = m.apply(s)
		return 0, &etcd.Unknown{Err: errLost}
	default:
		return m.apply(s)
	}
}

func (m *memory) apply(s etcd.Swap) (etcd.Revision, error) {
	if e := m.entries[s.Key]; e.Revision != s.Expect {
		e.Key = s.Key
		return 0, &etcd.Conflict{Current: e}
	}
	m.revision++
	m.entries[s.Key] = etcd.Entry{Key: s.Key, Value: s.Value, Revision: m.revision}
	for _, p := range s.Also {
		m.entries[p.Key] = etcd.Entry{Key: p.Key, Value: p.Value, Revision: m.revision}
	}
	stamp, _ := document.SplitStamp(s.Value)
	m.took = append(m.took, stamp.EditID)
	return m.revision, nil
}

func (m *memory) deliver() {
	for _, s := range m.late {
		_, _ = m.apply(s)
	}
	m.late = nil
}

func text(holders int) []byte {
	return fmt.Appendf(nil, "[service]\nname = a\nholders = %d\ndata-centres = x\n"+
		"[instance \"a\"]\naddress = 10.0.0.1:1\ndata-centre = x\n", holders)
}

// Two operators change one document at once, over a network that loses requests
// and answers. An edit that was reported as done must have taken effect, once;
// one reported as lost must never take effect, not even late; and one whose
// outcome is unknown says so.
func TestRacingEditors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMemory()
		m.fault = func() fault {
			return rapid.SampledFrom([]fault{faultNone, faultNone, faultAnswer, faultLost, faultLate}).Draw(t, "fault")
		}
		ids := 0
		editor := func(by string) *edit.Editor {
			e := &edit.Editor{Store: m.store(), Root: "/", By: by}
			e.NewID = func() string {
				ids++
				return fmt.Sprintf("%s-%d", by, ids)
			}
			return e
		}
		one, other := editor("one"), editor("other")
		waits := 0
		one.Sleep = func(context.Context, time.Duration) bool {
			waits++
			// The other edits while the first waits to learn of its outcome.
			for range rapid.IntRange(0, 25).Draw(t, "edits in between") {
				seen, _ := other.Get(context.Background(), "a")
				_, _ = other.Put(context.Background(), text(1+len(m.took)%60), seen.Version)
			}
			if rapid.Bool().Draw(t, "late requests arrive") {
				m.deliver()
			}
			return waits < 5
		}
		other.Sleep = func(context.Context, time.Duration) bool { return rapid.Bool().Draw(t, "other waits") }

		_, _ = other.Put(context.Background(), text(1), 0)
		seen, _ := one.Get(context.Background(), "a")
		if rapid.Bool().Draw(t, "the other is first") {
			_, _ = other.Put(context.Background(), text(2), seen.Version)
		}
		got, err := one.Put(context.Background(), text(3), seen.Version)
		m.deliver()
		judge(t, m, got, err)
	})
}

func judge(t *rapid.T, m *memory, got edit.Edited, err error) {
	took := map[string]int{}
	mine := 0
	for _, id := range m.took {
		if took[id]++; took[id] > 1 {
			t.Fatalf("edit %s took effect twice", id)
		}
		if strings.HasPrefix(id, "one-") {
			mine++
		}
	}
	var lost *edit.Lost
	var unknown *edit.Unknown
	switch {
	case err == nil && took[got.Edit] != 1:
		t.Fatalf("edit %s is reported as done and took no effect", got.Edit)
	case errors.As(err, &lost) && mine > 0:
		t.Fatalf("an edit is reported as lost and took effect")
	case err != nil && lost == nil && !errors.As(err, &unknown):
		t.Fatalf("unexpected error: %v", err)
	}
}

// The answer of a put is lost after the effect, and before it is sent again
// another operator has changed the document. The first must not be told that it
// lost: its edit took effect and was replaced.
func TestEditReplacedBeforeItsOutcomeIsKnown(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	m := newMemory()
	other := &edit.Editor{Store: m.store(), Root: "/", By: "other"}
	first, err := other.Put(ctx, text(1), 0)
	c.Assert(err, qt.IsNil)
	one := &edit.Editor{Store: m.store(), Root: "/", By: "one"}
	m.fault = func() fault { return faultAnswer }
	one.Sleep = func(context.Context, time.Duration) bool {
		m.fault = func() fault { return faultNone }
		seen, _ := other.Get(ctx, "a")
		_, err := other.Put(ctx, text(2), seen.Version)
		return err == nil
	}
	got, err := one.Put(ctx, text(3), first.Version)
	c.Assert(err, qt.IsNil)
	c.Assert(got.Version, qt.Equals, document.Version(3))
	c.Assert(got.ReplacedBy, qt.Equals, document.Version(4))
	h, err := one.At(ctx, "a", 3)
	c.Assert(err, qt.IsNil)
	c.Assert(string(h.Text), qt.Equals, string(text(3)))
}

// The answer of a put is lost after the effect, and nobody else edits. The put is
// sent again, is refused as the document has changed, and has to see that the
// change is its own.
func TestLostAnswerOfOwnEdit(t *testing.T) {
	c := qt.New(t)
	m := newMemory()
	m.fault = func() fault { return faultAnswer }
	e := &edit.Editor{Store: m.store(), Root: "/"}
	e.Sleep = func(context.Context, time.Duration) bool {
		m.fault = func() fault { return faultNone }
		return true
	}
	got, err := e.Put(context.Background(), text(1), 0)
	c.Assert(err, qt.IsNil)
	c.Assert(got.Version, qt.Equals, document.Version(2))
	c.Assert(got.ReplacedBy, qt.Equals, document.Version(0))
	c.Assert(m.took, qt.HasLen, 1)
}

func TestUnknownOutcomeSaysSo(t *testing.T) {
	c := qt.New(t)
	m := newMemory()
	m.fault = func() fault { return faultLost }
	e := &edit.Editor{Store: m.store(), Root: "/", Sleep: func(context.Context, time.Duration) bool { return false }}
	_, err := e.Put(context.Background(), text(1), 0)
	var unknown *edit.Unknown
	c.Assert(err, qt.ErrorAs, &unknown)
	c.Assert(err, qt.ErrorIs, errLost)
}

func TestHistoryIsBounded(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	m := newMemory()
	e := &edit.Editor{Store: m.store(), Root: "/", By: "one"}
	var v document.Version
	for n := range 2 * edit.HistoryLength {
		got, err := e.Put(ctx, text(1+n), v)
		c.Assert(err, qt.IsNil)
		v = got.Version
	}
	h, err := e.History(ctx, "a")
	c.Assert(err, qt.IsNil)
	c.Assert(h, qt.HasLen, edit.HistoryLength)
	c.Assert(h[0].Version, qt.Equals, v)
	c.Assert(m.entries, qt.HasLen, edit.HistoryLength+1)
	_, err = e.At(ctx, "a", 2)
	c.Assert(err, qt.ErrorIs, edit.ErrNone)
	l, err := e.List(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(l, qt.HasLen, 1)
	c.Assert(l[0].Service, qt.Equals, fleet.Service("a"))
}

// The store was restored from a backup. A new version has to stand above the one
// that the hosts have in effect, or no host takes it.
func TestPutAboveAfterReset(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	m := newMemory()
	e := &edit.Editor{Store: m.store(), Root: "/"}
	first, err := e.Put(ctx, text(1), 0)
	c.Assert(err, qt.IsNil)
	got, err := e.PutAbove(ctx, text(2), first.Version, 100)
	c.Assert(err, qt.IsNil)
	c.Assert(got.Version, qt.Equals, document.Version(103))
	got, err = e.Put(ctx, text(3), got.Version)
	c.Assert(err, qt.IsNil)
	c.Assert(got.Version, qt.Equals, document.Version(104))
}
