// Package catalog holds what the operators have laid down for the whole fleet: the
// databases that callers name, the services behind them and the client accounts.
package catalog

import (
	"time"

	"skylarkdeal/core/fleet"
)

// Version orders the versions of the catalog; a later one replaces an earlier one whole.
type Version uint64

// Revision orders all that the operators have laid down, whichever part of it has changed last.
type Revision uint64

// Database is the name by which callers reach a service, with the consistency that
// they get.
type Database string

// Key is what a caller shows to prove its account.
type Key string

// Consistency says which commits a read has to show.
type Consistency string

// The kinds of consistency.
const (
	// ConsistencyPrimary shows every acknowledged commit.
	ConsistencyPrimary Consistency = "primary"
	// ConsistencyBounded shows every commit acknowledged MaxAge before.
	ConsistencyBounded Consistency = "bounded"
	// ConsistencySession shows in addition every commit of the same session.
	ConsistencySession Consistency = "session"
)

// Route says how the statements to one database are served.
type Route struct {
	Database    Database
	Service     fleet.Service
	Consistency Consistency
	// MaxAge is how old a read may be, unless Consistency is primary.
	MaxAge time.Duration
	// Timeout bounds one statement.
	Timeout time.Duration
	// Target is the time within which an operation is worth most to its caller.
	Target time.Duration
	// Priority orders routes by urgency, 0 before all others.
	Priority int
	// Public lets callers in who show no key.
	Public bool
	// AllowedRegions are the regions that the statements may enter.
	AllowedRegions AllowedRegions
}

// AllowedRegions are the regions in which statements may be read and run; none allow all.
type AllowedRegions fleet.Set[fleet.Region]

// Allow reports whether statements may enter a region.
func (h AllowedRegions) Allow(r fleet.Region) bool {
	return len(h) == 0 || fleet.Set[fleet.Region](h).Has(r)
}

// Service is one group of instances.
type Service struct {
	Name fleet.Service
	// Connections is the most that one instance accepts, from all hosts together.
	Connections int
	// SyncReplicas is how many replicas have received a commit when it is
	// acknowledged.
	SyncReplicas int
	// ColdRate is how many statements a second an instance bears while it is cold; zero sets no limit.
	ColdRate float64
}

// Account is one client account.
type Account struct {
	Name fleet.Account
	// Rate is in operations a second, Burst in operations, over the whole fleet.
	// Zero sets no limit.
	Rate, Burst float64
	Keys        []Key
	// AllowedRegions are the regions that its statements may enter, whatever the route allows besides.
	AllowedRegions AllowedRegions
}

// Catalog is one version of it all. It isn't changed once it is in use.
type Catalog struct {
	Version Version
	// Revision is that of the last change of anything here. Version counts the changes of all but
	// Evacuated.
	Revision Revision
	Routes   map[Database]Route
	Services map[fleet.Service]Service
	Accounts map[fleet.Account]Account
	// TxIdle is how long a transaction may rest before the host ends it.
	TxIdle time.Duration
	// Evacuated are the data centres whose instances are to be sent nothing.
	Evacuated fleet.Set[fleet.DataCentre]

	owners map[Key]fleet.Account
}

// Newer reports whether c replaces o, which may be nil. What was read earlier may come later: a
// version never gives way to one before it, nor an evacuation to what stood there before.
func (c *Catalog) Newer(o *Catalog) bool {
	switch {
	case o == nil:
		return true
	case c.Version != o.Version:
		return c.Version > o.Version
	default:
		return c.Revision > o.Revision
	}
}

// AccountOf returns the account that a key belongs to.
func (c *Catalog) AccountOf(k Key) (fleet.Account, bool) {
	if c.owners == nil {
		c.index()
	}
	a, ok := c.owners[k]
	return a, ok
}

func (c *Catalog) index() {
	c.owners = make(map[Key]fleet.Account)
	for _, a := range c.Accounts {
		for _, k := range a.Keys {
			c.owners[k] = a.Name
		}
	}
}

// Instance is one database instance as it announces itself.
type Instance struct {
	Name fleet.Instance
	// Service is whose group it belongs to.
	Service    fleet.Service
	Address    string
	DataCentre fleet.DataCentre
	// Slots is how many statements it works on at a time.
	Slots int
	// Leaving is set when it is to get no new work.
	Leaving bool
	// Role is how the instance sees itself.
	Role fleet.Role
	// Started tells two lives of one instance apart.
	Started int64
	// Cold is how much longer it is slow after its start, zero once it is warm.
	Cold time.Duration
}
