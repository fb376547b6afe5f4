package ledger

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"skylarkdeal/core/fleet"
)

// The names that stand for instances in place of one instance's name.
const (
	// TargetPrimary is the primary of the highest term.
	TargetPrimary fleet.Instance = "primary"
	// TargetAll is every instance.
	TargetAll fleet.Instance = "*"
)

// Record is the log of one instance, as /ledger tells it.
type Record struct {
	Service fleet.Service `json:"service"`
	Status  fleet.Status  `json:"status"`
	Entries []Entry       `json:"entries"`
}

// Primary returns the primary of the highest term. There is always one, dead or
// alive.
func (g *Group) Primary() fleet.Instance {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primaryLocked().cfg.Name
}

func (g *Group) primaryLocked() *instance {
	best := g.order[0]
	for _, i := range g.order {
		if i.term > best.term {
			best = i
		}
	}
	return best
}

// Record returns the log of the instance n, or of the primary when n is empty.
func (g *Group) Record(n fleet.Instance) Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	i, ok := g.instances[n]
	if !ok {
		i = g.primaryLocked()
	}
	return Record{Service: g.cfg.Service, Status: i.statusLocked(),
		Entries: append([]Entry(nil), i.history.entries...)}
}

// Targets returns the instances that n stands for.
func (g *Group) Targets(n fleet.Instance) []fleet.Instance {
	switch n {
	case TargetPrimary:
		return []fleet.Instance{g.Primary()}
	case TargetAll:
		return g.Names()
	default:
		return []fleet.Instance{n}
	}
}

// Handler serves the group's switches and record over HTTP:
//
//	POST /fault?instance=a&kind=cut&from=b,h1&delay=5ms&for=10s[&clear=true]
//	GET  /ledger[?instance=a]
//	GET  /status
func (g *Group) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fault", g.serveFault)
	mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, g.Record(fleet.Instance(r.FormValue("instance"))))
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		all := make([]fleet.Status, 0, len(g.order))
		for _, n := range g.Names() {
			all = append(all, g.Status(n))
		}
		writeJSON(w, all)
	})
	return mux
}

func (g *Group) serveFault(w http.ResponseWriter, r *http.Request) {
	f, err := parseFault(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	off, _ := strconv.ParseBool(r.FormValue("clear"))
	for _, n := range g.Targets(fleet.Instance(r.FormValue("instance"))) {
		if off {
			err = g.Clear(n, f.Kind)
		} else {
			err = g.Set(n, f)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		fmt.Fprintf(w, "instance=%s fault=%s clear=%t\n", n, f.Kind, off)
	}
}

func parseFault(r *http.Request) (Fault, error) {
	f := Fault{Kind: FaultKind(r.FormValue("kind"))}
	if s := r.FormValue("from"); s != "" {
		f.From = strings.Split(s, ",")
	}
	var err error
	for name, d := range map[string]*time.Duration{"delay": &f.Delay, "for": &f.For} {
		s := r.FormValue(name)
		if s == "" {
			continue
		}
		if *d, err = time.ParseDuration(s); err != nil {
			return f, fmt.Errorf("%s: %w", name, err)
		}
	}
	return f, nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
