package admit

import (
	"slices"
	"time"

	"skylarkdeal/core/exchange"
)

// Next takes the item that is to start now, if any; it counts as running until
// Finished. fits reports whether a slot and a connection are available for an
// item at once. It must not reserve them.
//
// Exchanges of open transactions go first: each holds a connection, and the end
// of its transaction frees the connection for others. Then the most urgent class
// goes of which an item fits, unless a less urgent one has earned its guaranteed
// share. Within the class it is the account with the lowest start tag whose first
// write or first read fits, so that a slow or full instance holds up only what
// must run there.
func (q *Queue) Next(now time.Time, fits func(Item) bool) (Item, bool) {
	if i, ok := q.nextPinned(now, fits); ok {
		return i, true
	}
	for _, c := range q.classes {
		if c == nil || c.waiting == 0 {
			continue
		}
		s := q.nextInClass(now, c, fits)
		if s.account == nil {
			continue
		}
		if o := q.nextOutOfTurn(now, s, fits); o.account != nil {
			return q.startNext(now, o, true), true
		}
		return q.startNext(now, s, false), true
	}
	return Item{}, false
}

// startable is an item that may start: the one at an index of an account's lane.
type startable struct {
	account  *account
	lane, at int
}

// nextOutOfTurn returns an item of a less urgent class that starts before s, from
// the credit that its class has in the lane.
func (q *Queue) nextOutOfTurn(now time.Time, s startable, fits func(Item) bool) startable {
	for _, c := range q.classes[s.account.class.priority+1:] {
		if c == nil || c.backlog[s.lane] == 0 || c.credit[s.lane] <= 0 {
			continue
		}
		o := q.nextInClass(now, c, func(i Item) bool {
			return laneOf(i.Intent) == s.lane && c.affords(i, q.slotTimes.estimate(i)) && fits(i)
		})
		if o.account != nil {
			return o
		}
	}
	return startable{}
}

// startNext starts an item. Less urgent classes that wait in its lane earn credit
// by it.
func (q *Queue) startNext(now time.Time, s startable, outOfTurn bool) Item {
	c := s.account.class
	w := c.start(s)
	if outOfTurn {
		c.credit[s.lane] -= w.expected
	}
	c.started[s.lane].add(now, w.expected)
	for _, other := range q.classes[c.priority+1:] {
		if other != nil {
			other.earn(s.lane, w.expected)
		}
	}
	q.lastStart[s.lane] = now
	i := q.start(s.account, w)
	if outOfTurn {
		r := q.running[w.Key]
		r.outOfTurn = true
		q.running[w.Key] = r
	}
	return i
}

func (q *Queue) nextPinned(now time.Time, fits func(Item) bool) (Item, bool) {
	for n, w := range q.pinned {
		if expired(now, w.Item) || !fits(w.Item) {
			continue
		}
		q.pinned = slices.Delete(q.pinned, n, n+1)
		q.pinnedBacklog[laneOf(w.Intent)] -= w.expected
		c := q.class(w.Priority)
		a := c.account(w.Item)
		a.startTag = max(a.startTag, c.virtualTime) + w.expected.Seconds()/a.weight
		return q.start(a, w), true
	}
	return Item{}, false
}

// nextInClass returns the item of the account with the lowest start tag that has
// one which may start. Of two lanes, the one whose first item has waited longer
// goes first.
func (q *Queue) nextInClass(now time.Time, c *class, fits func(Item) bool) startable {
	// Mostly the first account can start, and no other has to be looked at.
	first := c.busy[0]
	for _, a := range c.busy[1:] {
		if lessByTag(a, first) {
			first = a
		}
	}
	best := q.startableOf(now, first, fits)
	if best.account != nil {
		return best
	}
	for _, a := range c.busy {
		if a == first || best.account != nil && !lessByTag(a, best.account) {
			continue
		}
		if s := q.startableOf(now, a, fits); s.account != nil {
			best = s
		}
	}
	return best
}

// lessByTag orders accounts by start tag, and those with equal tags by name, so
// that the order is deterministic.
func lessByTag(a, b *account) bool {
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
	}
	return a.name < b.name
}

// startableOf returns the first item of a lane of a that may start, if any.
func (q *Queue) startableOf(now time.Time, a *account, fits func(Item) bool) startable {
	lanes := [2]int{laneWrite, laneRead}
	if w, r := a.lanes[laneWrite], a.lanes[laneRead]; len(w) > 0 && len(r) > 0 && r[0].enqueuedAt.Before(w[0].enqueuedAt) {
		lanes = [2]int{laneRead, laneWrite}
	}
	for _, l := range lanes {
		n := a.firstInTime(now, l)
		if n < 0 {
			continue
		}
		w := &a.lanes[l][n]
		w.Long = q.slotTimes.isLong(w.Item, q.limits().LongAfter)
		if w.Long && !q.mayStartLong(w.Intent) {
			continue
		}
		if fits(w.Item) {
			return startable{a, l, n}
		}
	}
	return startable{}
}

// mayStartLong reports whether one more long item leaves a slot for short work.
//
// Designed for a mix of long and short work: without this limit two reports
// take both slots of the primary, and each short statement behind them waits
// for as long as a report runs. One slot less for long work costs it at most
// its own share of time. With a single slot there is none to leave.
func (q *Queue) mayStartLong(i exchange.Intent) bool {
	l := q.limits()
	if l.Slots > 1 && q.long >= l.Slots-1 {
		return false
	}
	return i == exchange.IntentRead || l.WriteSlots <= 1 || q.longWrites < l.WriteSlots-1
}

// start counts w as running.
func (q *Queue) start(a *account, w waitingItem) Item {
	q.waiting--
	q.backlog[laneOf(w.Intent)] -= w.expected
	a.running++
	q.runningInLane[laneOf(w.Intent)]++
	q.runningTime[laneOf(w.Intent)] += w.expected
	if w.Long {
		q.countLong(w.Item, 1)
	}
	if q.running == nil {
		q.running = map[uint64]runningItem{}
	}
	q.running[w.Key] = runningItem{account: a, item: w.Item, expected: w.expected}
	return w.Item
}

func (q *Queue) countLong(i Item, n int) {
	q.long += n
	if i.Intent != exchange.IntentRead {
		q.longWrites += n
	}
}

// Finished frees the slot of the item with the given key, which held it for
// took. Zero means that the item was not run after all, and the slot times are
// not updated. The account's start tag is corrected from the expected to the
// actual slot time, so that an account is charged for the time of its
// statements, not for their number.
func (q *Queue) Finished(_ time.Time, key uint64, took time.Duration) {
	s, ok := q.running[key]
	if !ok {
		return
	}
	delete(q.running, key)
	s.account.running--
	q.runningInLane[laneOf(s.item.Intent)]--
	q.runningTime[laneOf(s.item.Intent)] -= s.expected
	s.account.startTag += (took - s.expected).Seconds() / s.account.weight
	if s.outOfTurn {
		s.account.class.credit[laneOf(s.item.Intent)] -= took - s.expected
	}
	if s.item.Long {
		q.countLong(s.item, -1)
	}
	if took > 0 {
		q.slotTimes.add(s.item, took)
	}
	s.account.class.dropIdle(s.account)
}

// Remove removes a waiting item whose caller has disconnected or cancels. It
// reports whether the item was waiting, and so has not been run.
func (q *Queue) Remove(key uint64) bool {
	removed := q.remove(func(w waitingItem) bool { return w.Key == key })
	return len(removed) > 0
}

// Expire removes and returns the items that can't be finished in time any more.
// They are refused as soon as that is known, not at their deadline: the caller
// can use the time that is left to retry, and no slot is used for an answer
// that comes too late.
func (q *Queue) Expire(now time.Time) []Expired {
	expired := q.remove(func(w waitingItem) bool { return missesDeadline(now, w.required, w.Deadline) })
	out := make([]Expired, len(expired))
	for n, w := range expired {
		q.refused[w.Priority]++
		l := laneOf(w.Intent)
		after := q.backlog[l] / time.Duration(q.slots(l))
		out[n] = Expired{Item: w.Item, Refusal: refusal("the deadline can't be met", after)}
	}
	return out
}

// expired reports whether i's deadline has passed, whatever its slot time.
func expired(now time.Time, i Item) bool {
	return missesDeadline(now, 0, i.Deadline)
}

// remove removes and returns the waiting items that match, the longest waiting
// first.
func (q *Queue) remove(match func(waitingItem) bool) []waitingItem {
	var removed []waitingItem
	q.pinned, removed = extract(q.pinned, match, removed)
	for _, w := range removed {
		q.pinnedBacklog[laneOf(w.Intent)] -= w.expected
	}
	for _, c := range q.classes {
		if c == nil {
			continue
		}
		for _, a := range c.accounts {
			before := len(removed)
			for l := range a.lanes {
				a.lanes[l], removed = extract(a.lanes[l], match, removed)
			}
			if len(removed) > before {
				c.removed(a, removed[before:])
			}
			c.dropIdle(a)
		}
	}
	for _, w := range removed {
		q.backlog[laneOf(w.Intent)] -= w.expected
	}
	q.waiting -= len(removed)
	slices.SortFunc(removed, func(a, b waitingItem) int { return a.enqueuedAt.Compare(b.enqueuedAt) })
	return removed
}

// extract moves the items of w that match to extracted.
func extract(w []waitingItem, match func(waitingItem) bool, extracted []waitingItem) (kept, out []waitingItem) {
	if !slices.ContainsFunc(w, match) {
		return w, extracted
	}
	for _, e := range w {
		if match(e) {
			extracted = append(extracted, e)
			continue
		}
		kept = append(kept, e)
	}
	return kept, extracted
}
