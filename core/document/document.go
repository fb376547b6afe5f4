// Package document parses and validates the configuration documents of services
// and decides when a host adopts a newer version of one.
package document

import (
	"time"

	"skylarkdeal/core/fleet"
)

// Acknowledge is the condition that a write has to meet before it is acknowledged.
type Acknowledge string

// The conditions for acknowledging a write.
const (
	// AcknowledgeReplicated waits until a majority of the instances has the
	// write, so that no promotion can lose it.
	AcknowledgeReplicated Acknowledge = "replicated"
	// AcknowledgePrimary waits only until the primary is confirmed to have still
	// been the primary after the commit. Losing the primary may lose the write.
	AcknowledgePrimary Acknowledge = "primary"
)

// CutOff is what a host does with a service whose document neither the store nor
// a peer has confirmed as the newest for CutOffAfter.
type CutOff string

// The behaviours of a host that is cut off.
const (
	// CutOffServe goes on serving by the last known document.
	CutOffServe CutOff = "serve"
	// CutOffStop stops serving the service until its document is confirmed again.
	CutOffStop CutOff = "stop"
)

// Version orders the versions of one document. It is the store's revision of the
// document's last change, plus the Base of its Stamp.
type Version uint64

// Document is the configuration of one service, written by the service's owners.
// It is immutable once parsed.
type Document struct {
	Service     fleet.Service
	Version     Version
	Acknowledge Acknowledge
	// Holders is how many hosts hold connections to the group.
	Holders int
	// StatementTimeout limits how long one statement may take.
	StatementTimeout time.Duration
	// CutOff applies once the document has not been confirmed for CutOffAfter.
	CutOff      CutOff
	CutOffAfter time.Duration
	// DataCentres are those among which the rate and burst of each account are divided.
	DataCentres []fleet.DataCentre
	// Evacuated are the data centres whose instances get no new work, whatever the leaving key of
	// each instance says.
	Evacuated []fleet.DataCentre
	Instances []Instance
	Accounts  []Account
}

// Instance is one database instance of the service's group.
type Instance struct {
	Name fleet.Instance
	// Address is an IP address and port.
	Address    string
	DataCentre fleet.DataCentre
	// Slots is how many statements the instance runs at a time.
	Slots int
	// Connections is the most connections that the instance accepts.
	Connections int
	// Leaving is set when the instance is to get no new work, because its own section says so or
	// because its data centre is evacuated.
	Leaving bool
}

// Account is one client account of the service.
type Account struct {
	Name fleet.Account
	// Rate is in requests per second over the whole fleet.
	Rate float64
	// Burst is how many requests may come at once over the whole fleet.
	Burst float64
	// MaxSessions limits the account's open sessions on one host. Zero means that
	// only the host's own limit applies.
	MaxSessions int
	// Priority is how urgent the account's requests are.
	Priority fleet.Priority
	Keys     []Key
}

// Key is the name and verifier of one of an account's keys. The key itself is not
// stored anywhere in the system.
type Key struct {
	Name string
	// Verifier is a SCRAM-SHA-256 secret in PostgreSQL's format.
	Verifier string
}

// Account returns the account named n, and whether there is one.
func (d *Document) Account(n fleet.Account) (Account, bool) {
	for _, a := range d.Accounts {
		if a.Name == n {
			return a, true
		}
	}
	return Account{}, false
}

// Instance returns the instance named n, and whether there is one.
func (d *Document) Instance(n fleet.Instance) (Instance, bool) {
	for _, i := range d.Instances {
		if i.Name == n {
			return i, true
		}
	}
	return Instance{}, false
}
