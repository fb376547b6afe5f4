package rates

import (
	"time"

	"skylarkdeal/core/fleet"
)

// linked reports whether two data centres reach each other.
func (w *World) linked(a, b fleet.DataCentre) bool {
	return a == b || w.cut[a] <= w.now && w.cut[b] <= w.now
}

func (w *World) storeUp(d fleet.DataCentre) bool {
	return w.storeDown <= w.now && w.cut[d] <= w.now
}

// delay returns how long a message takes, and whether it gets there.
func (w *World) delay(far bool) (time.Duration, bool) {
	d := 200 * time.Microsecond
	if far {
		d = time.Millisecond
	}
	if !w.Chaos {
		return d, true
	}
	switch w.random.IntN(20) {
	case 0:
		return 0, false
	case 1:
		return time.Duration(w.random.Int64N(int64(2 * time.Second))), true
	}
	return d, true
}

// call asks another host and gives its answer to back, which comes at most once.
func call[T any](h, to *Host, ask func() T, back func(T)) {
	h.w.calls++
	far := h.dc != to.dc
	d, ok := h.w.delay(far)
	if !ok || !h.w.linked(h.dc, to.dc) {
		return
	}
	h.w.After(d, func() {
		to.later(0, func() {
			v := ask()
			d, ok := h.w.delay(far)
			if ok && h.w.linked(h.dc, to.dc) {
				h.later(d, func() { back(v) })
			}
		})
	})
}

// seatCall is storeCall in a round of seats.
func seatCall[T any](h *Host, ask func() T, back func(T)) {
	round := h.round
	storeCall(h, ask, func(v T) {
		if h.round == round {
			h.roundEnds = 0
			back(v)
		}
	})
}

// storeCall is call for the store.
func storeCall[T any](h *Host, ask func() T, back func(T)) {
	d, ok := h.w.delay(true)
	if !ok {
		return
	}
	h.w.After(d, func() {
		if !h.w.storeUp(h.dc) {
			return
		}
		v := ask()
		if d, ok := h.w.delay(true); ok && h.w.storeUp(h.dc) {
			h.later(d, func() { back(v) })
		}
	})
}
