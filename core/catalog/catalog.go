// Package catalog holds the operators' configuration of the whole fleet: the databases
// that callers name, the services behind them and the client accounts.
package catalog

import (
	"time"

	"skylarkdeal/core/fleet"
)

// Version orders the versions of the catalog. A later version replaces an earlier one completely.
type Version uint64

// Revision orders all changes of the operators' configuration, including evacuations.
type Revision uint64

// Database is the name that callers connect to. It selects a service and a
// consistency.
type Database string

// Key is the credential with which a caller authenticates as a client account.
type Key string

// Consistency says which commits a read has to reflect.
type Consistency string

// The kinds of consistency.
const (
	// ConsistencyPrimary reflects every acknowledged commit.
	ConsistencyPrimary Consistency = "primary"
	// ConsistencyBounded reflects every commit that was acknowledged at least MaxAge ago.
	ConsistencyBounded Consistency = "bounded"
	// ConsistencySession also reflects every commit of the same session.
	ConsistencySession Consistency = "session"
)

// Route says how the statements for one database are served.
type Route struct {
	Database    Database
	Service     fleet.Service
	Consistency Consistency
	// MaxAge is how old the data of a read may be, unless Consistency is ConsistencyPrimary.
	MaxAge time.Duration
	// Timeout limits the time of one statement.
	Timeout time.Duration
	// Target is the response time that the caller wants.
	Target time.Duration
	// Priority orders routes by urgency.
	Priority fleet.Priority
	// MaxAttempts is how often one statement may have run on an instance, zero for no limit.
	MaxAttempts int
	// Public admits callers without a key.
	Public bool
	// AllowedRegions are the regions in which the statements may be read and run.
	AllowedRegions AllowedRegions
}

// AllowedRegions are the regions in which statements may be read and run. An empty set allows all.
type AllowedRegions fleet.Set[fleet.Region]

// Allow reports whether statements may be read and run in region r.
func (a AllowedRegions) Allow(r fleet.Region) bool {
	return len(a) == 0 || fleet.Set[fleet.Region](a).Has(r)
}

// Service is the configuration of one group of instances.
type Service struct {
	Name fleet.Service
	// Connections is the maximum that one instance accepts, from all hosts together.
	Connections int
	// SyncReplicas is how many replicas have to receive a commit before it is
	// acknowledged.
	SyncReplicas int
	// ColdRate is how many statements a second a cold instance can take; zero sets no limit.
	ColdRate float64
}

// Account is the configuration of one client account.
type Account struct {
	Name fleet.Account
	// Rate is in operations a second and Burst in operations, over the whole fleet.
	// Zero sets no limit.
	Rate, Burst float64
	Keys        []Key
	// AllowedRegions limits the regions of the account's statements, in addition to those of the route.
	AllowedRegions AllowedRegions
}

// Catalog is one version of the configuration. It isn't modified once it is in use.
type Catalog struct {
	Version Version
	// Revision is that of the last change of the catalog, including Evacuated. Version counts only
	// the changes of the other fields.
	Revision Revision
	Routes   map[Database]Route
	Services map[fleet.Service]Service
	Accounts map[fleet.Account]Account
	// TxIdle is how long a transaction may be idle before the host ends it.
	TxIdle time.Duration
	// Evacuated are the data centres whose instances must get no statements.
	Evacuated fleet.Set[fleet.DataCentre]

	accountByKey map[Key]fleet.Account
}

// Newer reports whether c replaces other, which may be nil. Reads of the configuration may arrive out
// of order: an earlier version never replaces a later one, nor does an older state of the evacuations
// replace a newer one.
func (c *Catalog) Newer(other *Catalog) bool {
	switch {
	case other == nil:
		return true
	case c.Version != other.Version:
		return c.Version > other.Version
	default:
		return c.Revision > other.Revision
	}
}

// AccountOf returns the account that key k belongs to, and false if the key is unknown.
func (c *Catalog) AccountOf(k Key) (fleet.Account, bool) {
	if c.accountByKey == nil {
		c.indexKeys()
	}
	a, ok := c.accountByKey[k]
	return a, ok
}

func (c *Catalog) indexKeys() {
	c.accountByKey = make(map[Key]fleet.Account)
	for _, a := range c.Accounts {
		for _, k := range a.Keys {
			c.accountByKey[k] = a.Name
		}
	}
}

// Instance is one database instance as its registration describes it.
type Instance struct {
	Name fleet.Instance
	// Service is the service of the instance's group.
	Service    fleet.Service
	Address    string
	DataCentre fleet.DataCentre
	// Slots is how many statements the instance runs at a time.
	Slots int
	// Leaving is set if the instance must get no new statements.
	Leaving bool
	// Role is the role that the instance reports about itself.
	Role fleet.Role
	// Started is the Unix time in milliseconds at which the instance started, as it registers it. It
	// distinguishes an instance from the same instance after a restart.
	Started int64
	// Cold is how much longer the instance is slow after its start, zero once it is warm.
	Cold time.Duration
}
