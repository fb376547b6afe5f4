package ledger

import (
	"strconv"
	"time"

	"skylarkdeal/core/fleet"
)

// OpKind is what one operation of an entry does.
type OpKind string

// The kinds of operations.
const (
	OpPromote OpKind = "promote"
	OpPut     OpKind = "put"
	OpAdd     OpKind = "add"
	OpOnce    OpKind = "once"
)

// Op is one change of the ledger.
type Op struct {
	Kind OpKind `json:"kind"`
	Key  string `json:"key,omitempty"`
	// Value is what to store, or for OpAdd and OpOnce the number to add.
	Value string `json:"value,omitempty"`
	// ID names an OpOnce; an entry that repeats one is a double.
	ID string `json:"id,omitempty"`
}

// Entry is one committed transaction. Its position is its place in the log,
// counted from 1.
type Entry struct {
	Point fleet.LogPosition `json:"point"`
	At    time.Time         `json:"at"`
	Ops   []Op              `json:"ops"`
}

// history is an instance's log and the values that it adds up to.
type history struct {
	entries []Entry
	values  map[string]string
}

func (h *history) last() fleet.LogPosition {
	if len(h.entries) == 0 {
		return fleet.LogPosition{}
	}
	return h.entries[len(h.entries)-1].Point
}

func (h *history) append(e Entry) {
	h.entries = append(h.entries, e)
	if h.values == nil {
		h.values = map[string]string{}
	}
	for _, o := range e.Ops {
		apply(h.values, o)
	}
}

// truncate drops all entries after the first n.
func (h *history) truncate(n int) {
	if n == len(h.entries) {
		return
	}
	kept := h.entries[:n:n]
	h.entries, h.values = nil, nil
	for _, e := range kept {
		h.append(e)
	}
}

// common returns how many entries h and o share. Two logs that agree on the
// term of one entry agree on all before it, since a term has one primary.
func (h *history) common(o *history) int {
	n := min(len(h.entries), len(o.entries))
	for n > 0 && h.entries[n-1].Point != o.entries[n-1].Point {
		n--
	}
	return n
}

func apply(values map[string]string, o Op) {
	switch o.Kind {
	case OpPut:
		values[o.Key] = o.Value
	case OpAdd, OpOnce:
		old, _ := strconv.ParseInt(values[o.Key], 10, 64)
		n, _ := strconv.ParseInt(o.Value, 10, 64)
		values[o.Key] = strconv.FormatInt(old+n, 10)
	case OpPromote:
	}
}
