package edit

import (
	"cmp"
	"context"
	"fmt"
	"slices"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
)

// History returns the last versions of a service's document, the newest first.
func (e *Editor) History(ctx context.Context, s fleet.Service) ([]Stored, error) {
	l, _, err := e.Store.List(ctx, historyPrefix(e.Root, s))
	if err != nil {
		return nil, err
	}
	if len(l) == 0 {
		return nil, fmt.Errorf("service %s: %w", s, ErrNone)
	}
	a := make([]Stored, len(l))
	for n, v := range l {
		a[n] = stored(s, v)
	}
	slices.SortFunc(a, func(a, b Stored) int { return cmp.Compare(b.Version, a.Version) })
	return a, nil
}

// At returns one version from the history.
func (e *Editor) At(ctx context.Context, s fleet.Service, v document.Version) (Stored, error) {
	l, err := e.History(ctx, s)
	if err != nil {
		return Stored{}, err
	}
	for _, h := range l {
		if h.Version == v {
			return h, nil
		}
	}
	return Stored{}, fmt.Errorf("service %s, version %d: %w", s, v, ErrNone)
}
