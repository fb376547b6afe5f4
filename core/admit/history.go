package admit

import (
	"time"

	"skylarkdeal/core/fleet"
)

// kind names statements whose slot times are taken to be alike.
type kind struct {
	account fleet.Account
	lane    int
	kind    uint64
}

// history learns how long exchanges hold a slot.
type history struct {
	kinds map[kind]time.Duration
	all   time.Duration
	// short follows the slot times of a lane's quickest statements: fast
	// downwards, slowly upwards, so that long ones hardly move it. Lanes differ,
	// as a slow primary makes all writes slow, and none long beside the others.
	short [2]time.Duration
}

const (
	// firstGuess stands for the slot time of a group that has finished nothing.
	firstGuess = time.Millisecond
	// keepKinds bounds the memory of a history; a fuller one starts anew.
	keepKinds = 4096
	// weightOfNew is the part that a new slot time has in the moving average:
	// a quarter follows a change within about eight statements.
	weightOfNew = 4
	// weightUpwards is the same for a slot time above the shortest ones.
	weightUpwards = 256
	// longTimes is how many times the usual slot time makes an exchange long,
	// so that a group whose statements are all slow has no long ones.
	longTimes = 4
)

func (h *history) add(i Item, took time.Duration) {
	if h.kinds == nil || len(h.kinds) >= keepKinds {
		h.kinds = map[kind]time.Duration{}
	}
	h.all = blend(h.all, took)
	l := lane(i.Intent)
	if h.short[l] == 0 || took < h.short[l] {
		h.short[l] = blend(h.short[l], took)
	} else {
		h.short[l] += (took - h.short[l]) / weightUpwards
	}
	k := kind{i.Account, lane(i.Intent), i.TextHash}
	h.kinds[k] = blend(h.kinds[k], took)
}

func blend(old, v time.Duration) time.Duration {
	if old == 0 {
		return v
	}
	return old + (v-old)/weightOfNew
}

// expect returns the slot time that i is expected to take.
func (h *history) expect(i Item) time.Duration {
	if d, ok := h.kinds[kind{i.Account, lane(i.Intent), i.TextHash}]; ok {
		return d
	}
	if h.all > 0 {
		return h.all
	}
	return firstGuess
}

// long reports whether i is expected to hold its slot for much longer than
// others. Work of an unknown kind counts as short until it has been seen once.
func (h *history) long(i Item, after time.Duration) bool {
	d, ok := h.kinds[kind{i.Account, lane(i.Intent), i.TextHash}]
	return ok && d >= after && d >= longTimes*h.short[lane(i.Intent)]
}
