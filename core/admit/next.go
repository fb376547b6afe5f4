package admit

import (
	"slices"
	"time"

	"skylarkdeal/core/exchange"
)

// Next takes the item that is to start now, if any; it counts as running until
// Finished. fits reports whether a slot and a connection can be had for an item
// at once; it must not be called to reserve them.
//
// Exchanges of open transactions go first: each holds a connection, and ending
// its transaction is what frees it for the others. Then the account with the
// lowest tag goes whose first write or first read fits, so that an instance that
// is slow or full holds up only what must run there.
func (q *Queue) Next(now time.Time, fits func(Item) bool) (Item, bool) {
	if i, ok := q.nextPinned(now, fits); ok {
		return i, true
	}
	a, l := q.choose(now, fits)
	if a == nil {
		return Item{}, false
	}
	w := a.lanes[l][0]
	a.lanes[l] = a.lanes[l][1:]
	a.backlog[l] -= w.expect
	q.virtual = max(q.virtual, a.tag)
	a.tag += w.expect.Seconds() / a.weight
	q.moved[l] = now
	return q.start(a, w), true
}

func (q *Queue) nextPinned(now time.Time, fits func(Item) bool) (Item, bool) {
	for n, w := range q.pinned {
		if expired(now, w.Item) || !fits(w.Item) {
			continue
		}
		q.pinned = slices.Delete(q.pinned, n, n+1)
		a := q.account(w.Item)
		a.tag = max(a.tag, q.virtual) + w.expect.Seconds()/a.weight
		return q.start(a, w), true
	}
	return Item{}, false
}

// choose returns the account with the lowest tag and the lane whose first item
// may start. Of two lanes that may, the one whose item has waited longer goes.
func (q *Queue) choose(now time.Time, fits func(Item) bool) (*account, int) {
	var best *account
	var from int
	for _, a := range q.accounts {
		if best != nil && !before(a, best) {
			continue
		}
		if l, ok := q.eligible(now, a, fits); ok {
			best, from = a, l
		}
	}
	return best, from
}

// before orders accounts by tag, and equal tags by name to stay deterministic.
func before(a, b *account) bool {
	if a.tag != b.tag {
		return a.tag < b.tag
	}
	return a.name < b.name
}

func (q *Queue) eligible(now time.Time, a *account, fits func(Item) bool) (int, bool) {
	lanes := [2]int{laneWrite, laneRead}
	if w, r := a.lanes[laneWrite], a.lanes[laneRead]; len(w) > 0 && len(r) > 0 && r[0].since.Before(w[0].since) {
		lanes = [2]int{laneRead, laneWrite}
	}
	for _, l := range lanes {
		if len(a.lanes[l]) == 0 {
			continue
		}
		w := &a.lanes[l][0]
		if expired(now, w.Item) {
			continue
		}
		w.Long = q.history.long(w.Item, q.limits().LongAfter)
		if w.Long && !q.roomForLong(w.Intent) {
			continue
		}
		if fits(w.Item) {
			return l, true
		}
	}
	return 0, false
}

// roomForLong reports whether one more long item leaves a slot for short work.
//
// The limit is made for a mix of long and short work: without it two reports
// take both slots of the primary, and each short order behind them waits for as
// long as a report runs. One slot less for long work costs it at most its own
// share of time. With a single slot there is none to leave.
func (q *Queue) roomForLong(i exchange.Intent) bool {
	l := q.limits()
	if l.Slots > 1 && q.long >= l.Slots-1 {
		return false
	}
	return i == exchange.IntentRead || l.WriteSlots <= 1 || q.longWrites < l.WriteSlots-1
}

// start counts w as running.
func (q *Queue) start(a *account, w waiting) Item {
	q.waiting--
	q.backlog[lane(w.Intent)] -= w.expect
	a.running++
	q.busy[lane(w.Intent)]++
	q.occupied[lane(w.Intent)] += w.expect
	if w.Long {
		q.countLong(w.Item, 1)
	}
	q.running[w.Key] = started{account: a, item: w.Item, expect: w.expect}
	return w.Item
}

func (q *Queue) countLong(i Item, n int) {
	q.long += n
	if i.Intent != exchange.IntentRead {
		q.longWrites += n
	}
}

// Finished frees the slot of the item named key, which held it for took; zero
// tells that it wasn't worked on after all, and nothing is learnt from it. The
// account's tag is corrected from the expected to the real slot time: an account
// whose statements turn out long pays for them, not for their number.
func (q *Queue) Finished(_ time.Time, key uint64, took time.Duration) {
	s, ok := q.running[key]
	if !ok {
		return
	}
	delete(q.running, key)
	s.account.running--
	q.busy[lane(s.item.Intent)]--
	q.occupied[lane(s.item.Intent)] -= s.expect
	s.account.tag += (took - s.expect).Seconds() / s.account.weight
	if s.item.Long {
		q.countLong(s.item, -1)
	}
	if took > 0 {
		q.history.add(s.item, took)
	}
	q.forget(s.account)
}

// Remove takes a waiting item out, for a caller that is gone or cancels. It
// reports whether the item was waiting and so has not been run.
func (q *Queue) Remove(key uint64) bool {
	gone := q.remove(func(w waiting) bool { return w.Key == key })
	return len(gone) > 0
}

// Expire takes out the items that can't be finished in time any more. They are
// refused as soon as that is known, not at their deadline: the caller gets the
// time that is left to ask again, and no slot works for an answer that nobody
// waits for.
func (q *Queue) Expire(now time.Time) []Expired {
	gone := q.remove(func(w waiting) bool { return late(now, w.need, w.Deadline) })
	q.refused += len(gone)
	out := make([]Expired, len(gone))
	for n, w := range gone {
		l := lane(w.Intent)
		after := q.backlog[l] / time.Duration(q.slots(l))
		out[n] = Expired{Item: w.Item, Refusal: refusal("the deadline can't be met", after)}
	}
	return out
}

// expired reports whether i's deadline has passed, whatever it would take.
func expired(now time.Time, i Item) bool {
	return late(now, 0, i.Deadline)
}

// remove takes out the waiting items that match.
func (q *Queue) remove(match func(waiting) bool) []waiting {
	var gone []waiting
	q.pinned, gone = split(q.pinned, match, gone)
	for _, a := range q.accounts {
		before := len(gone)
		for l := range a.lanes {
			a.lanes[l], gone = split(a.lanes[l], match, gone)
		}
		for _, w := range gone[before:] {
			a.backlog[lane(w.Intent)] -= w.expect
		}
		q.forget(a)
	}
	for _, w := range gone {
		q.backlog[lane(w.Intent)] -= w.expect
	}
	q.waiting -= len(gone)
	slices.SortFunc(gone, func(a, b waiting) int { return a.since.Compare(b.since) })
	return gone
}

// split moves the items of w that match to gone.
func split(w []waiting, match func(waiting) bool, gone []waiting) (kept, out []waiting) {
	if !slices.ContainsFunc(w, match) {
		return w, gone
	}
	for _, e := range w {
		if match(e) {
			gone = append(gone, e)
			continue
		}
		kept = append(kept, e)
	}
	return kept, gone
}
