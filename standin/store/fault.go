package store

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"skylarkdeal/internal/sleep"
)

// Faults are the switches. The zero Faults is a store that works.
type Faults struct {
	// Down refuses every call and ends every watch.
	Down bool `json:"down"`
	// Slow delays every call.
	Slow time.Duration `json:"slow"`
	// Pause lets calls in and answers none until it is taken off.
	Pause bool `json:"pause"`
	// LoseAnswers is how many of the next writes take effect and are answered
	// with an error.
	LoseAnswers int `json:"lose-answers"`
	// SilentWatch makes every watch that is open, or opened while it is on,
	// silent for good, without an error.
	SilentWatch bool `json:"silent-watch"`
	// Past answers reads from that revision, zero from the newest.
	Past int64 `json:"past"`
	// Skew is added to the store's clock.
	Skew time.Duration `json:"skew"`
}

type faults struct {
	mu      sync.Mutex
	now     Faults
	changed chan struct{}
	// silenced counts the changes that left SilentWatch on.
	silenced int
}

// silence returns a number that tells a watch whether it has been silenced since
// it last asked.
func (f *faults) silence() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.silenced
}

func (f *faults) init() {
	f.changed = make(chan struct{})
}

func (f *faults) get() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

func (f *faults) watch() (Faults, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now, f.changed
}

// loses reports whether the answer of a write is to be lost, and counts it off.
func (f *faults) loses() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.now.LoseAnswers == 0 {
		return false
	}
	f.now.LoseAnswers--
	return true
}

// before holds a call back, or refuses it, as the switches say.
func (f *faults) before(ctx context.Context) error {
	now, changed := f.watch()
	if now.Slow > 0 && !sleep.For(ctx, now.Slow) {
		return ctx.Err()
	}
	for now.Pause {
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
		now, changed = f.watch()
	}
	if now.Down {
		return errDown
	}
	return nil
}

// Set changes the switches.
func (s *Server) Set(change func(f *Faults)) {
	f := &s.faults
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.now)
	if f.now.SilentWatch {
		f.silenced++
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

// switches names the parameters of /fault.
var switches = map[string]func(f *Faults, v string) error{
	"down":         func(f *Faults, v string) (err error) { f.Down, err = strconv.ParseBool(v); return },
	"slow":         func(f *Faults, v string) (err error) { f.Slow, err = time.ParseDuration(v); return },
	"pause":        func(f *Faults, v string) (err error) { f.Pause, err = strconv.ParseBool(v); return },
	"lose-answers": func(f *Faults, v string) (err error) { f.LoseAnswers, err = strconv.Atoi(v); return },
	"silent-watch": func(f *Faults, v string) (err error) { f.SilentWatch, err = strconv.ParseBool(v); return },
	"past":         func(f *Faults, v string) (err error) { f.Past, err = strconv.ParseInt(v, 10, 64); return },
	"skew":         func(f *Faults, v string) (err error) { f.Skew, err = time.ParseDuration(v); return },
}

// serveFault sets the switches that stand in the query, such as
// /fault?slow=2s&lose-answers=3; compact=<revision> and rewind=<revision> act at
// once.
func (s *Server) serveFault(w http.ResponseWriter, r *http.Request) {
	var bad error
	for name, v := range r.URL.Query() {
		if err := s.setOne(name, v[0]); err != nil {
			bad = fmt.Errorf("%s: %w", name, err)
		}
	}
	if bad != nil {
		http.Error(w, bad.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, s.faults.get())
}

func (s *Server) setOne(name, v string) error {
	switch name {
	case "compact", "rewind":
		r, err := strconv.ParseInt(v, 10, 64)
		if err != nil {
			return err
		}
		if name == "compact" {
			s.Compact(r)
			return nil
		}
		s.Rewind(r)
		return nil
	}
	set, ok := switches[name]
	if !ok {
		return fmt.Errorf("no such switch")
	}
	var err error
	s.Set(func(f *Faults) { err = set(f, v) })
	return err
}

func (s *Server) serveCalls(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Calls())
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
