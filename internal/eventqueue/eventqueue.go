// Package eventqueue runs functions at times of a simulated clock, in order.
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue is a list of things to do at times since its start. The zero Queue is
// empty. Things due at one time are done in the order in which they were added.
type Queue struct {
	entries entries
	seq     uint64
}

// Add has f done at a time.
func (a *Queue) Add(at time.Duration, f func()) {
	a.seq++
	heap.Push(&a.entries, entry{at: at, seq: a.seq, do: f})
}

// Next takes out the first thing that is due by a time, and when it is due.
func (a *Queue) Next(by time.Duration) (at time.Duration, do func(), ok bool) {
	if len(a.entries) == 0 || a.entries[0].at > by {
		return 0, nil, false
	}
	e, _ := heap.Pop(&a.entries).(entry)
	return e.at, e.do, true
}

// Clear forgets all that is still to be done.
func (a *Queue) Clear() {
	a.entries = nil
}

type entry struct {
	at  time.Duration
	seq uint64
	do  func()
}

type entries []entry

func (e entries) Len() int { return len(e) }
func (e entries) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e entries) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *entries) Push(v any) {
	n, _ := v.(entry)
	*e = append(*e, n)
}

func (e *entries) Pop() any {
	v := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return v
}
