package edit

import (
	"context"
	"errors"
	"fmt"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
	"skylarkdeal/io/etcd"
)

// writing is one edit on its way into the store.
type writing struct {
	e       *Editor
	service fleet.Service
	text    []byte
	stated  document.Version
	stamp   document.Stamp
	swap    etcd.Swap
}

func (w *writing) swapAt(expect etcd.Revision) etcd.Swap {
	v := document.AddStamp(w.stamp, w.text)
	return etcd.Swap{
		Key: document.StoreKey(w.e.Root, w.service), Value: v, Expect: expect,
		Also: []etcd.Pair{{Key: historyKey(w.e.Root, w.service, w.stamp.Seq), Value: v}},
	}
}

// run swaps until the outcome is certain or patience ends.
//
// An answer can be lost after the write took effect, and the write can take
// effect after a read that didn't show it. Sending the same swap again settles
// both: it expects the revision from before, so of all its copies one at most
// takes effect, and one that is refused is told what stands there, which carries
// the edit's own id if a copy was there first.
func (w *writing) run(ctx context.Context) (Edited, error) {
	ctx, cancel := context.WithTimeout(ctx, w.e.patience())
	defer cancel()
	for {
		r, err := w.e.Store.Swap(ctx, w.swap)
		var c *etcd.Conflict
		var u *etcd.Unknown
		switch {
		case err == nil:
			return Edited{Version: document.Version(w.stamp.Base + uint64(r)), Edit: w.stamp.EditID}, nil
		case errors.As(err, &c):
			return w.lost(ctx, c.Current)
		case !errors.As(err, &u):
			return Edited{}, err
		}
		if !w.e.sleep(ctx, retryPause) {
			return Edited{}, &Unknown{Edit: w.stamp.EditID, Err: err}
		}
	}
}

// lost tells an edit that was refused from one that had taken effect before.
func (w *writing) lost(ctx context.Context, current etcd.Entry) (Edited, error) {
	now := stored(w.service, current)
	if now.Stamp.EditID == w.stamp.EditID {
		return Edited{Version: now.Version, Edit: w.stamp.EditID}, nil
	}
	for {
		then, err := w.e.Store.Get(ctx, historyKey(w.e.Root, w.service, w.stamp.Seq))
		if err == nil {
			return w.judge(now, stored(w.service, then))
		}
		if !w.e.sleep(ctx, retryPause) {
			return Edited{}, &Unknown{Edit: w.stamp.EditID, Err: err}
		}
	}
}

// judge looks at the history entry that the edit would have written. One from
// before shows that it took no effect, and so does another edit that replaced
// the same version. Anything else has overwritten what would tell.
func (w *writing) judge(now, then Stored) (Edited, error) {
	switch {
	case then.Stamp.EditID == w.stamp.EditID:
		return Edited{Version: then.Version, Edit: w.stamp.EditID, ReplacedBy: now.Version}, nil
	case then.Version <= w.stated, then.Stamp.After == w.stated:
		return Edited{}, &Lost{Current: now, Mine: w.text, Stated: w.stated}
	}
	return Edited{}, &Unknown{Edit: w.stamp.EditID, Err: errors.New("the history no longer reaches back to it")}
}

func historyPrefix(root string, s fleet.Service) string {
	return root + "history/" + string(s) + "/"
}

// historyKey returns the key of an edit in the history. Keys are used in turn,
// so the history stays bounded without deletions.
func historyKey(root string, s fleet.Service, seq uint64) string {
	return fmt.Sprintf("%s%02d", historyPrefix(root, s), seq%HistoryLength)
}
