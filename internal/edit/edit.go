// Package edit changes documents in the platform's store for the operators'
// commands: checked first, then written by compare-and-swap, so that of two
// operators who edit at once one loses and is told.
package edit

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"strings"
	"time"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
	"skylarkdeal/internal/sleep"
	"skylarkdeal/io/etcd"
)

// HistoryLength is how many versions of a document the store keeps besides the
// newest.
const HistoryLength = 20

const (
	// retryPause is the wait between two tries to learn of an outcome.
	retryPause = 200 * time.Millisecond
	// DefaultPatience is how long an edit whose answer was lost is read back for.
	DefaultPatience = 30 * time.Second
)

// Editor reads and changes documents. Store has to be set.
type Editor struct {
	Store *etcd.Store
	// Root starts all keys.
	Root string
	// By names the operator in the history.
	By  string
	Now func() time.Time
	// NewID returns a new name of an edit.
	NewID func() string
	// Patience bounds how long a lost answer is read back for.
	Patience time.Duration
	// Sleep waits and reports whether ctx goes on.
	Sleep func(ctx context.Context, d time.Duration) bool
}

// Stored is one version of a document as the store holds it.
type Stored struct {
	Service  fleet.Service
	Version  document.Version
	Revision etcd.Revision
	Stamp    document.Stamp
	Text     []byte
}

// Edited is an edit that took effect.
type Edited struct {
	Version document.Version
	Edit    string
	// ReplacedBy is set when the document was changed again before the outcome
	// of this edit could be learnt.
	ReplacedBy document.Version
}

// ErrNone says that the service has no document.
var ErrNone = errors.New("no such document")

// Lost says that somebody else's edit came first, and this one took no effect.
type Lost struct {
	// Current is what stands in the store, Mine what was to be written.
	Current Stored
	Mine    []byte
	// Stated is the version on which Mine was based.
	Stated document.Version
}

// Error says who changed what.
func (l *Lost) Error() string {
	if l.Current.Version == 0 {
		return fmt.Sprintf("no document is there, yours is based on version %d", l.Stated)
	}
	who := l.Current.Stamp.By
	if who == "" {
		who = "somebody"
	}
	return fmt.Sprintf("service %s: %s has written version %d, yours is based on version %d; nothing was changed",
		l.Current.Service, who, l.Current.Version, l.Stated)
}

// Diff returns how mine differs from what stands there.
func (l *Lost) Diff() string {
	return document.Diff(l.Current.Text, l.Mine)
}

// Unknown says that an edit may or may not have taken effect.
type Unknown struct {
	Edit string
	Err  error
}

// Error names the edit, by which the history tells later.
func (u *Unknown) Error() string {
	return fmt.Sprintf("the outcome of edit %s is unknown: %v; see if `skylarkdeal document history` shows it",
		u.Edit, u.Err)
}

// Unwrap returns the cause.
func (u *Unknown) Unwrap() error {
	return u.Err
}

// Get returns the newest version of a service's document.
func (e *Editor) Get(ctx context.Context, s fleet.Service) (Stored, error) {
	v, err := e.Store.Get(ctx, document.StoreKey(e.Root, s))
	if err != nil {
		return Stored{}, err
	}
	if v.Revision == 0 {
		return Stored{Service: s}, fmt.Errorf("service %s: %w", s, ErrNone)
	}
	return stored(s, v), nil
}

func stored(s fleet.Service, v etcd.Entry) Stored {
	if v.Revision == 0 {
		return Stored{Service: s}
	}
	stamp, text := document.SplitStamp(v.Value)
	return Stored{
		Service: s, Version: document.VersionAt(v.Value, uint64(v.Revision)), Revision: v.Revision,
		Stamp: stamp, Text: text,
	}
}

// List returns the newest versions of all documents, by service.
func (e *Editor) List(ctx context.Context) ([]Stored, error) {
	prefix := document.StorePrefix(e.Root)
	l, _, err := e.Store.List(ctx, prefix)
	if err != nil {
		return nil, err
	}
	a := make([]Stored, len(l))
	for n, v := range l {
		a[n] = stored(fleet.Service(strings.TrimPrefix(v.Key, prefix)), v)
	}
	return a, nil
}

// Put writes text as the next version of the document that it names, if the
// newest is still the stated one, zero for none. The error holds the mistakes of
// text, or is *Lost or *Unknown, or says why nothing was written.
func (e *Editor) Put(ctx context.Context, text []byte, stated document.Version) (Edited, error) {
	return e.put(ctx, text, stated, 0)
}

// PutAbove is Put with a version above another: after a reset of the store, the
// one that the hosts still have in effect.
func (e *Editor) PutAbove(ctx context.Context, text []byte, stated, above document.Version) (Edited, error) {
	return e.put(ctx, text, stated, above)
}

func (e *Editor) put(ctx context.Context, text []byte, stated, above document.Version) (Edited, error) {
	d, err := document.Parse(text, 0)
	if err != nil {
		return Edited{}, err
	}
	now, err := e.Get(ctx, d.Service)
	if err != nil && !errors.Is(err, ErrNone) {
		return Edited{}, err
	}
	if now.Version != stated {
		return Edited{}, &Lost{Current: now, Mine: text, Stated: stated}
	}
	s := document.Stamp{
		EditID: e.newID(), Seq: now.Stamp.Seq + 1, After: now.Version, Base: max(now.Stamp.Base, uint64(above)),
		By: e.By, At: e.now(),
	}
	w := writing{e: e, service: d.Service, text: text, stated: stated, stamp: s}
	w.swap = w.swapAt(now.Revision)
	return w.run(ctx)
}

func (e *Editor) now() time.Time {
	if e.Now == nil {
		return time.Now()
	}
	return e.Now()
}

func (e *Editor) newID() string {
	if e.NewID == nil {
		return strings.ToLower(rand.Text()[:16])
	}
	return e.NewID()
}

func (e *Editor) patience() time.Duration {
	if e.Patience == 0 {
		return DefaultPatience
	}
	return e.Patience
}

func (e *Editor) sleep(ctx context.Context, d time.Duration) bool {
	if e.Sleep != nil {
		return e.Sleep(ctx, d)
	}
	return sleep.For(ctx, d)
}
