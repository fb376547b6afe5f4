package soak_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"skylarkdeal/standin/machines"
)

// catalogVersion is the version that the operator gives to a catalog.
type catalogVersion int

// versionStep is by how much versions grow.
const versionStep = 3

// grant lets callers into a database by a key. It ends with the key or with the database, and is
// never given again.
type grant struct {
	name          string
	key, database string
	// endsWithKey is set if the key is withdrawn at its end, else the database is dropped.
	endsWithKey bool
	// given and withdrawn are the versions that did so, or zero. givenAt and withdrawnAt are when
	// the store had acknowledged them, or zero.
	given, withdrawn     catalogVersion
	givenAt, withdrawnAt time.Time
}

// change is what the next catalog changes beside a time-out.
type change struct{ gives, withdraws bool }

// operator writes the catalog and keeps account of what it grants.
type operator struct {
	store     *machines.Store
	databases []database
	// syncReplicas is the number of synchronous replicas of all services.
	syncReplicas int
	// misreports changes the grants that are written, but not those of the account. It may be nil.
	misreports func(gs []grant) []grant

	writing sync.Mutex
	mu      sync.Mutex
	version catalogVersion
	grants  []grant
}

// A catalog as the platform has it.
type (
	catalogRoute struct {
		Host, Kind, Service                        string
		TimeoutMs, TargetLatencyMs, MaxStalenessMs int64
		Priority                                   int
	}
	catalogService struct {
		Name                   string
		MaxConns, SyncReplicas int
	}
	catalogTenant struct {
		Name            string
		ApiKeys         []string //nolint:revive // the platform's name
		RatePerS, Burst int
	}
	catalogText struct {
		Version  catalogVersion
		Routes   []catalogRoute
		Services []catalogService
		Tenants  []catalogTenant
		Limits   struct{ TxIdleMs int }
	}
)

// unrelated is how many entries beside the catalog the operator has, so that a list has pages.
const unrelated = 5

// write writes the next catalog.
func (o *operator) write(x change) {
	o.writing.Lock()
	defer o.writing.Unlock()
	o.mu.Lock()
	o.version += versionStep
	v := o.version
	withdrawn := -1
	if x.withdraws {
		withdrawn = slices.IndexFunc(o.grants, func(g grant) bool { return g.withdrawn == 0 })
	}
	if withdrawn >= 0 {
		o.grants[withdrawn].withdrawn = v
	}
	if x.gives {
		o.grants = append(o.grants, newGrant(len(o.grants), v))
	}
	text := o.text(v)
	o.mu.Unlock()

	o.store.Put(fmt.Sprintf("op/%c-unrelated", 'a'+int(v/versionStep)%unrelated*2), fmt.Sprint(v))
	o.store.Put("op/config", text)

	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if withdrawn >= 0 {
		o.grants[withdrawn].withdrawnAt = now
	}
	if x.gives {
		o.grants[len(o.grants)-1].givenAt = now
	}
}

// newGrant returns a grant of a key of its own, or of a database of its own.
func newGrant(n int, v catalogVersion) grant {
	if n%2 == 0 {
		return grant{
			name: fmt.Sprintf("key %d", n), key: fmt.Sprintf("%s-%d", keys["hotel"], n), database: services[0] + "-view",
			endsWithKey: true, given: v,
		}
	}
	d := fmt.Sprintf("%s-side-%d", services[0], n)
	return grant{name: "database " + d, key: keys["hotel"], database: d, given: v}
}

func (o *operator) text(v catalogVersion) string {
	gs := slices.DeleteFunc(slices.Clone(o.grants), func(g grant) bool { return g.withdrawn != 0 })
	if o.misreports != nil {
		gs = o.misreports(o.grants)
	}
	c := catalogText{Version: v, Tenants: []catalogTenant{
		{Name: "hotel", ApiKeys: []string{keys["hotel"]}, RatePerS: 5000, Burst: 5000},
		{Name: "bakery", ApiKeys: []string{keys["bakery"]}, RatePerS: 5000, Burst: 5000},
		{Name: kiosk, ApiKeys: []string{keys[kiosk]}, RatePerS: kioskRate, Burst: kioskRate},
	}}
	c.Limits.TxIdleMs = 3000
	for _, s := range services {
		c.Services = append(c.Services, catalogService{Name: s, MaxConns: 32, SyncReplicas: o.syncReplicas})
	}
	for _, d := range o.databases {
		c.Routes = append(c.Routes, catalogRoute{
			Host: d.name, Kind: string(d.kind), TimeoutMs: 1500 + int64(v), TargetLatencyMs: 200, Service: d.service,
			MaxStalenessMs: d.maxAge.Milliseconds(), Priority: d.priority,
		})
	}
	for _, g := range gs {
		if g.endsWithKey {
			c.Tenants[0].ApiKeys = append(c.Tenants[0].ApiKeys, g.key)
			continue
		}
		c.Routes = append(c.Routes, catalogRoute{
			Host: g.database, Kind: string(kindBounded), TimeoutMs: 1500, TargetLatencyMs: 200, Service: services[0],
			MaxStalenessMs: probedAge.Milliseconds(), Priority: leastUrgentPriority,
		})
	}
	b, err := json.Marshal(c)
	if err != nil {
		panic(err) // it has no part that can't be written
	}
	return string(b)
}

// all returns the grants, the newest last.
func (o *operator) all() []grant {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.grants)
}
