// Package load drives real PostgreSQL sessions against hosts, with the mixes of
// its two users, and reports what the callers got.
package load

import (
	"fmt"
	"math"
	"time"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
	"skylarkdeal/internal/load/check"
)

// Share is the weight of one activity in an account's mix.
type Share struct {
	Activity Activity
	Weight   int
}

// Activity is what a session does at one arrival.
type Activity string

// The activities. Those of writing are given with their number of statements
// that count against the rate.
const (
	// ActivityOrder is a transaction of three statements.
	ActivityOrder Activity = "order"
	// ActivityRush is a write of one statement.
	ActivityRush Activity = "rush"
	// ActivityOwn reads what the session has written.
	ActivityOwn Activity = "own"
	// ActivityOwnTx does so in a read-only transaction of two statements.
	ActivityOwnTx Activity = "own-tx"
	// ActivityBrowse reads at a stated age.
	ActivityBrowse Activity = "browse"
	// ActivityLookup reads at a stated age, and gets a nonce back.
	ActivityLookup Activity = "lookup"
	// ActivityList reads many rows at a stated age.
	ActivityList Activity = "list"
	// ActivityTick is the ticker's write.
	ActivityTick Activity = "tick"
)

// cost is how many statements of an activity count against the rate.
func (a Activity) cost() float64 {
	switch a {
	case ActivityOrder:
		return 3
	case ActivityOwnTx:
		return 2
	default:
		return 1
	}
}

// Account is one client account of a profile.
type Account struct {
	Name  fleet.Account
	Rate  float64
	Burst float64
	// Demand is how much of its rate the account asks for; Surge, when set,
	// takes its place for the second half of each SurgeEvery.
	Demand     float64
	Surge      float64
	SurgeEvery time.Duration
	Mix        []Share
}

// Service is one service of a profile.
type Service struct {
	Name     fleet.Service
	Accounts []Account
}

// Profile is the mix of one user.
type Profile struct {
	Name        string
	DataCentres []fleet.DataCentre
	Services    []Service
	// MaxAge is what browsing states.
	MaxAge time.Duration
	// Roam is the part of the operations before which a session moves to
	// another host.
	Roam float64
	// Connections is what each instance accepts.
	Connections int
}

// Ticker is the account whose steady writes show the age of reads.
const Ticker fleet.Account = "ticker"

// ticker writes 20 times a second, which is how finely a failover gap and the
// age of a read are seen at the least.
func ticker() Account {
	return Account{Name: Ticker, Rate: 40, Burst: 40, Demand: 0.5, Mix: []Share{{ActivityTick, 1}}}
}

// Tokachi returns the mix of Tokachi Dairy Science Trading: standing and rush
// orders, stock lookups, and a hotel chain that comes at four times its rate.
func Tokachi() Profile {
	orders := []Share{{ActivityOrder, 3}, {ActivityRush, 1}, {ActivityOwn, 2}, {ActivityOwnTx, 1},
		{ActivityBrowse, 4}, {ActivityLookup, 2}}
	partners := []Share{{ActivityBrowse, 6}, {ActivityLookup, 3}, {ActivityList, 1}}
	accounts := []Account{
		{Name: "hotel-chain", Rate: 60, Burst: 120, Demand: 0.7, Surge: 4, SurgeEvery: 10 * time.Second, Mix: orders},
		{Name: "confectioner-grand", Rate: 40, Burst: 80, Demand: 0.7, Mix: orders},
		{Name: "bakery-obihiro", Rate: 12, Burst: 24, Demand: 0.5, Mix: orders},
		{Name: "bakery-sapporo", Rate: 12, Burst: 24, Demand: 0.5, Mix: orders},
		{Name: "bakery-asahikawa", Rate: 12, Burst: 24, Demand: 0.5, Mix: orders},
		{Name: "hotel-onsen", Rate: 12, Burst: 24, Demand: 0.6, Mix: orders},
		{Name: "rush-desk", Rate: 20, Burst: 40, Demand: 0.4, Mix: []Share{{ActivityRush, 3}, {ActivityOwn, 1}}},
		{Name: "dairy-partner", Rate: 30, Burst: 60, Demand: 0.6, Mix: partners},
		ticker(),
	}
	return Profile{
		Name: "tokachi", DataCentres: []fleet.DataCentre{"obihiro", "sapporo", "asahikawa"},
		Services: services(accounts, "orders-obihiro", "orders-sapporo", "orders-asahikawa"),
		MaxAge:   5 * time.Second, Roam: 0.02, Connections: 16,
	}
}

// Vinkambaris returns the mix of Vīnkambaris Sistēmas: intake and withdrawals
// from handhelds, heavy browsing of the owners' portal, and one busy storage
// house at three times its rate.
func Vinkambaris() Profile {
	house := []Share{{ActivityOrder, 2}, {ActivityRush, 2}, {ActivityOwn, 3}, {ActivityOwnTx, 1},
		{ActivityBrowse, 2}, {ActivityList, 1}}
	portal := []Share{{ActivityBrowse, 7}, {ActivityLookup, 2}, {ActivityList, 1}}
	accounts := []Account{
		{Name: "house-busy", Rate: 50, Burst: 100, Demand: 0.7, Surge: 3, SurgeEvery: 10 * time.Second, Mix: house},
		{Name: "portal", Rate: 120, Burst: 240, Demand: 0.7, Mix: portal},
		{Name: "portal-partners", Rate: 40, Burst: 80, Demand: 0.6, Mix: portal},
		{Name: "house-agenskalns", Rate: 15, Burst: 30, Demand: 0.5, Mix: house},
		{Name: "house-centrs", Rate: 15, Burst: 30, Demand: 0.5, Mix: house},
		{Name: "house-mezaparks", Rate: 15, Burst: 30, Demand: 0.5, Mix: house},
		{Name: "house-purvciems", Rate: 10, Burst: 20, Demand: 0.5, Mix: house},
		{Name: "insurer", Rate: 10, Burst: 20, Demand: 0.5, Mix: []Share{{ActivityList, 3}, {ActivityBrowse, 1}}},
		ticker(),
	}
	return Profile{
		Name: "vinkambaris", DataCentres: []fleet.DataCentre{"riga-1", "riga-2", "riga-3", "riga-4"},
		Services: services(accounts, "cellar-north", "cellar-old-town", "cellar-left-bank"),
		MaxAge:   10 * time.Second, Roam: 0.05, Connections: 32,
	}
}

func services(a []Account, names ...fleet.Service) []Service {
	all := make([]Service, 0, len(names))
	for _, n := range names {
		all = append(all, Service{Name: n, Accounts: a})
	}
	return all
}

// ProfileOf returns the built-in profile of that name.
func ProfileOf(name string) (Profile, error) {
	switch name {
	case "tokachi":
		return Tokachi(), nil
	case "vinkambaris":
		return Vinkambaris(), nil
	default:
		return Profile{}, fmt.Errorf("no profile %q; want tokachi or vinkambaris", name)
	}
}

// Scale returns p with all rates, bursts and so demands multiplied by f; the
// ticker stays as it is.
func (p Profile) Scale(f float64) Profile {
	all := make([]Service, 0, len(p.Services))
	for _, s := range p.Services {
		accounts := make([]Account, 0, len(s.Accounts))
		for _, a := range s.Accounts {
			if a.Name != Ticker {
				a.Rate *= f
				a.Burst = max(1, math.Round(a.Burst*f))
			}
			accounts = append(accounts, a)
		}
		all = append(all, Service{Name: s.Name, Accounts: accounts})
	}
	p.Services = all
	return p
}

// Only returns p with no other services than those named.
func (p Profile) Only(names ...fleet.Service) Profile {
	want := fleet.NewSet(names...)
	var all []Service
	for _, s := range p.Services {
		if want.Has(s.Name) {
			all = append(all, s)
		}
	}
	p.Services = all
	return p
}

// Key returns the key of an account of the built-in profiles. It is no secret:
// the profiles are for tests against stand-ins.
func Key(s fleet.Service, a fleet.Account) string {
	return fmt.Sprintf("load-%s-%s-key", s, a)
}

// Document returns the document by which the service is served, but for its
// instances' addresses.
func (p Profile) Document(s Service, instances []document.Instance) (*document.Document, error) {
	d := &document.Document{
		Service: s.Name, Acknowledge: document.AcknowledgeReplicated, Holders: document.DefaultHolders,
		StatementTimeout: document.DefaultStatementTimeout, CutOff: document.CutOffServe,
		CutOffAfter: document.DefaultCutOffAfter, DataCentres: p.DataCentres, Instances: instances,
	}
	for _, a := range s.Accounts {
		v, err := document.NewVerifier(Key(s.Name, a.Name))
		if err != nil {
			return nil, err
		}
		d.Accounts = append(d.Accounts, document.Account{Name: a.Name, Rate: a.Rate, Burst: a.Burst,
			Priority: fleet.DefaultPriority,
			Keys:     []document.Key{{Name: "load", Verifier: v}}})
	}
	return d, nil
}

// Limits returns the rate and burst of each account.
func (p Profile) Limits() map[check.AccountID]check.Limit {
	all := map[check.AccountID]check.Limit{}
	for _, s := range p.Services {
		for _, a := range s.Accounts {
			all[check.AccountID{Service: s.Name, Account: a.Name}] = check.Limit{Rate: a.Rate, Burst: a.Burst}
		}
	}
	return all
}

// arrivals returns how many operations a second the account asks for at the
// time at since the start.
func (a Account) arrivals(at time.Duration) float64 {
	demand := a.Demand
	if a.Surge > 0 && a.SurgeEvery > 0 && at%a.SurgeEvery >= a.SurgeEvery/2 {
		demand = a.Surge
	}
	return demand * a.Rate / a.meanCost()
}

func (a Account) meanCost() float64 {
	sum, weights := 0.0, 0
	for _, s := range a.Mix {
		sum += float64(s.Weight) * s.Activity.cost()
		weights += s.Weight
	}
	return sum / float64(weights)
}

// pick returns the activity for n, which is drawn from [0, weights).
func (a Account) pick(n int) Activity {
	for _, s := range a.Mix {
		if n -= s.Weight; n < 0 {
			return s.Activity
		}
	}
	return a.Mix[0].Activity
}

func (a Account) weights() int {
	n := 0
	for _, s := range a.Mix {
		n += s.Weight
	}
	return n
}
