package machines

import (
	"cmp"
	"encoding/json"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// StoreFault is how the store treats the calls of a host.
type StoreFault string

// The faults of the store.
const (
	StoreWell    StoreFault = ""
	StoreRefuses StoreFault = "refuses"
	StoreCrowded StoreFault = "crowded"
	// StoreSilent takes a call and doesn't carry it out.
	StoreSilent StoreFault = "silent"
	// StoreLoses carries a call out and ends its connection in place of an answer.
	StoreLoses StoreFault = "loses"
	StoreSlow  StoreFault = "slow"
	// StoreResets ends the connection of a call and doesn't carry it out.
	StoreResets StoreFault = "resets"
	// StoreLate holds answers to lists and watches back, each by another time: later ones overtake
	// earlier ones.
	StoreLate StoreFault = "late"
	// StoreDeaf never answers a watch, and carries all other calls out.
	StoreDeaf StoreFault = "deaf"
)

// endsWatches reports whether watches that wait are cut.
func (f StoreFault) endsWatches() bool {
	switch f {
	case StoreRefuses, StoreCrowded, StoreSilent, StoreResets:
		return true
	default:
		return false
	}
}

const (
	// slowBy is what a slow store adds to a call.
	slowBy = 300 * time.Millisecond
	// lateUpTo is how long answers are held back at most, some for longer than callers wait.
	lateUpTo = 1500 * time.Millisecond
	// pageItems is how many items a list returns at once unless another number is set.
	pageItems = 500
	// expireEvery is how late the end of a lease may show to a watch.
	expireEvery = 50 * time.Millisecond
)

// Item is one key of the store, or its deletion.
type Item struct {
	Key                      string
	Value                    []byte
	Revision, CreateRevision uint64
	Lease                    uint64
	Deleted                  bool `json:",omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// Store is the platform's metadata store. It has to be made by NewStore.
type Store struct {
	// PageItems is how many items a list returns at once, zero stands for the default. It has to
	// be set before the first call.
	PageItems int

	mu       sync.Mutex
	revision uint64
	// forgotten is the last revision whose change a watch can't be told any more.
	forgotten uint64
	items     map[string]Item
	history   []Item
	leases    map[uint64]*lease
	lastID    uint64
	changed   chan struct{}
	faults    map[string]StoreFault
	turned    turned
}

// turned is whom the store turns away of those that call it.
type turned struct {
	fault StoreFault
	most  int
	hosts []string
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		revision: 1, items: map[string]Item{}, leases: map[uint64]*lease{}, changed: make(chan struct{}),
		faults: map[string]StoreFault{},
	}
}

// TurnAway sets how the store treats each host from its next call on, up to a number of them. Calls
// that wait end like new ones.
func (s *Store) TurnAway(f StoreFault, most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turned = turned{fault: f, most: most}
}

// ServeAll ends TurnAway.
func (s *Store) ServeAll() { s.TurnAway(StoreWell, 0) }

// TurnedAway returns the hosts that TurnAway concerns so far.
func (s *Store) TurnedAway() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.turned.hosts)
}

// faultOf returns how a call of a host is treated. It has to be called with the store's lock held.
func (s *Store) faultOf(host string) StoreFault {
	t := &s.turned
	if len(t.hosts) < t.most && !slices.Contains(t.hosts, host) {
		t.hosts = append(t.hosts, host)
	}
	if slices.Contains(t.hosts, host) {
		return t.fault
	}
	return s.faults[host]
}

// SetFault sets how the store treats the calls of a host.
func (s *Store) SetFault(host string, f StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[host] = f
}

// Forget drops the history that watches are told of.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgotten, s.history = s.revision, nil
	s.wake()
}

// Put writes a key, as the operator and the instances do.
func (s *Store) Put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(key, []byte(value), 0)
}

// Delete removes a key, if it is there.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) note(i Item) {
	s.history = append(s.history, i)
	s.wake()
}

func (s *Store) set(key string, value []byte, lease uint64) {
	s.revision++
	created := s.items[key].CreateRevision
	if created == 0 {
		created = s.revision
	}
	i := Item{Key: key, Value: value, Revision: s.revision, CreateRevision: created, Lease: lease}
	s.items[key] = i
	s.note(i)
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.note(Item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.end) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	for k, i := range s.items {
		if i.Lease == id {
			s.remove(k)
		}
	}
}

// Handler returns the store as one host reaches it.
func (s *Store) Handler(host string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-range", s.list)
	mux.HandleFunc("GET /-/kv-watch", func(w http.ResponseWriter, r *http.Request) { s.watch(w, r, host) })
	mux.HandleFunc("POST /-/kv-txn", s.commit)
	mux.HandleFunc("POST /-/kv-lease", s.grant)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.end)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.faultOf(host)
		s.mu.Unlock()
		switch f {
		case StoreRefuses:
			w.WriteHeader(http.StatusServiceUnavailable)
		case StoreCrowded:
			w.WriteHeader(http.StatusTooManyRequests)
		case StoreSilent:
			// The end of a connection is only seen once the body is read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		case StoreLoses:
			mux.ServeHTTP(discard{http.Header{}}, r)
			panic(http.ErrAbortHandler)
		case StoreResets:
			panic(http.ErrAbortHandler)
		case StoreDeaf:
			if strings.HasSuffix(r.URL.Path, "kv-watch") {
				<-r.Context().Done()
				return
			}
			mux.ServeHTTP(w, r)
		case StoreLate:
			if r.Method == http.MethodGet {
				w = late{w}
			}
			mux.ServeHTTP(w, r)
		case StoreSlow:
			time.Sleep(slowBy)
			mux.ServeHTTP(w, r)
		default:
			mux.ServeHTTP(w, r)
		}
	})
}

// discard is where lost answers go.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}

// late holds an answer back that is complete.
type late struct{ http.ResponseWriter }

func (l late) Write(b []byte) (int, error) {
	time.Sleep(rand.N(lateUpTo))
	return l.ResponseWriter.Write(b)
}

func answer(w http.ResponseWriter, v any) { _ = json.NewEncoder(w).Encode(v) }

// list answers with one page. Pages are no snapshot: each is as of its own revision.
func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	found, more, at := s.page(r.FormValue("Prefix"), r.FormValue("after"))
	answer(w, map[string]any{"items": found, "HasMore": more, "CurrentRev": at})
}

func (s *Store) page(prefix, after string) (found []Item, more bool, at uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	found = []Item{}
	for _, k := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(k, prefix) || k <= after {
			continue
		}
		if len(found) == cmp.Or(s.PageItems, pageItems) {
			return found, true, s.revision
		}
		found = append(found, s.items[k])
	}
	return found, false, s.revision
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, host string) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("WaitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for ended := false; ; {
		s.mu.Lock()
		s.expire()
		forgotten, changed, at, fault := after < s.forgotten, s.changed, s.revision, s.faultOf(host)
		events := []Item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, r.FormValue("Prefix")) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		if fault.endsWatches() {
			// A call that is neither answered nor refused can be cut.
			panic(http.ErrAbortHandler)
		}
		if forgotten {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 || ended {
			answer(w, map[string]any{"events": events, "CurrentRev": at})
			return
		}
		select {
		case <-changed:
		case <-time.After(expireEvery):
		case <-r.Context().Done():
			return
		case <-end:
			ended = true
		}
	}
}

// change is the body of a transaction.
type change struct {
	Precondition []struct {
		Key      string
		Revision uint64
	}
	SetKeys []struct {
		Key   string
		Value []byte
		Lease uint64
	}
	DeleteKeys []string
}

func (s *Store) commit(w http.ResponseWriter, r *http.Request) {
	var t change
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, p := range t.Precondition {
		if s.items[p.Key].Revision != p.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			answer(w, map[string]any{"items": []Item{s.items[p.Key]}})
			return
		}
	}
	for _, p := range t.SetKeys {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range t.SetKeys {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, k := range t.DeleteKeys {
		s.remove(k)
	}
	answer(w, map[string]any{"Revision": s.revision})
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var b struct{ TtlMs int64 } //nolint:revive // the platform's name
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil || b.TtlMs <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	ttl := time.Duration(b.TtlMs) * time.Millisecond
	s.leases[s.lastID] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
	answer(w, map[string]any{"Lease": s.lastID, "TtlMs": b.TtlMs})
}

func (s *Store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.end = time.Now().Add(l.ttl)
	answer(w, map[string]any{"TtlMs": l.ttl.Milliseconds()})
}

func (s *Store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(id)
}
