package outlier

import (
	"time"

	"skylarkdeal/core/fleet"
)

const (
	// bucketTime and bucketCount make the window, of one second.
	bucketTime  = 100 * time.Millisecond
	bucketCount = 10
	// accountSlots is how many accounts the window tells apart. Two accounts in one slot count as one,
	// which can only keep an instance in use.
	accountSlots = 16
	// meanWeight is the divisor by which an answer's latency enters the moving average.
	meanWeight = 8
)

// tally counts the outcomes of the accounts of one slot. Overload has the failures that a full instance
// gives as well.
type tally struct {
	total, failed, overload uint32
}

func (t *tally) add(u tally) {
	t.total += u.total
	t.failed += u.failed
	t.overload += u.overload
}

// failures returns the failures that count: those of overload don't for an instance that is busy.
func (t *tally) failures(busy bool) uint32 {
	if busy {
		return t.failed
	}
	return t.failed + t.overload
}

// bucket has the outcomes of one part of the window.
type bucket struct {
	all       tally
	accounts  [accountSlots]tally
	slotTime  time.Duration
	slotTimes int
}

func (b *bucket) add(o *bucket) {
	b.all.add(o.all)
	b.slotTime += o.slotTime
	b.slotTimes += o.slotTimes
	for n := range b.accounts {
		b.accounts[n].add(o.accounts[n])
	}
}

// window has the outcomes of the last second.
type window struct {
	buckets [bucketCount]bucket
	// last is the number of the newest bucket.
	last int64
}

// advance clears the buckets whose time has passed.
func (w *window) advance(now time.Time) {
	n := now.UnixNano() / int64(bucketTime)
	if n-w.last >= bucketCount {
		*w = window{last: n}
		return
	}
	for w.last < n {
		w.last++
		w.buckets[w.last%bucketCount] = bucket{}
	}
}

func (w *window) record(now time.Time, o Outcome) {
	w.advance(now)
	b := &w.buckets[w.last%bucketCount]
	t := tally{total: 1}
	switch o.Kind {
	case Failed:
		t.failed = 1
	case Shed, TimedOut:
		t.overload = 1
	case OK:
	}
	b.all.add(t)
	b.accounts[accountSlot(o.Account)].add(t)
	if o.SlotTime > 0 {
		b.slotTime += o.SlotTime
		b.slotTimes++
	}
}

// sum adds up the window.
func (w *window) sum(now time.Time) bucket {
	var b bucket
	if w == nil {
		return b
	}
	w.advance(now)
	for n := range w.buckets {
		if w.buckets[n].all.total > 0 {
			b.add(&w.buckets[n])
		}
	}
	return b
}

// accountSlot returns the slot of an account by the FNV-1a hash of its name.
func accountSlot(a fleet.Account) uint32 {
	h := uint32(2166136261)
	for n := range len(a) {
		h = (h ^ uint32(a[n])) * 16777619
	}
	return (h ^ h>>16) % accountSlots
}

// meanSlotTime returns the mean slot time, false with too few of them.
func (b *bucket) meanSlotTime() (time.Duration, bool) {
	if b.slotTimes < minOutcomes {
		return 0, false
	}
	return b.slotTime / time.Duration(b.slotTimes), true
}

// rate returns the share of the outcomes that are failures.
func (b *bucket) rate(busy bool) float64 {
	if b.all.total == 0 {
		return 0
	}
	return float64(b.all.failures(busy)) / float64(b.all.total)
}

// accountCount returns how many accounts have outcomes.
func (b *bucket) accountCount() int {
	n := 0
	for _, t := range b.accounts {
		if t.total > 0 {
			n++
		}
	}
	return n
}

// rateOfOthers returns the rate without the account that has the most failures.
func (b *bucket) rateOfOthers(busy bool) float64 {
	var worst tally
	for _, t := range b.accounts {
		if t.failures(busy) > worst.failures(busy) {
			worst = t
		}
	}
	if b.all.total == worst.total {
		return 0
	}
	return float64(b.all.failures(busy)-worst.failures(busy)) / float64(b.all.total-worst.total)
}
