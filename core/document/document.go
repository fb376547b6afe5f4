// Package document holds the operators' documents: their form, their checks and
// the rule by which a host takes up a newer version.
package document

import (
	"time"

	"skylarkdeal/core/fleet"
)

// Acknowledge says what a write has to have reached before it is acknowledged.
type Acknowledge string

// The rules of acknowledgement.
const (
	// AcknowledgeReplicated waits until a majority of the instances has the
	// write, so that no promotion can lose it.
	AcknowledgeReplicated Acknowledge = "replicated"
	// AcknowledgePrimary waits only for proof that the primary was still the
	// primary after the commit. The loss of the primary may lose the write.
	AcknowledgePrimary Acknowledge = "primary"
)

// CutOff says what a host does with a document that it can no longer confirm
// with the store or any peer.
type CutOff string

// The ways to go on when cut off.
const (
	CutOffServe CutOff = "serve"
	CutOffStop  CutOff = "stop"
)

// Version orders the versions of one document: the store's revision of its last
// change.
type Version uint64

// Document is what a service's owners have laid down. It is never changed once
// it is parsed.
type Document struct {
	Service     fleet.Service
	Version     Version
	Acknowledge Acknowledge
	// Holders is how many hosts hold connections to the group.
	Holders int
	// StatementTimeout is the deadline of a statement.
	StatementTimeout time.Duration
	// CutOff applies once the document couldn't be confirmed for CutOffAfter.
	CutOff      CutOff
	CutOffAfter time.Duration
	// DataCentres share out the floors of the accounts' rates.
	DataCentres []fleet.DataCentre
	// Evacuated are the data centres whose instances are to get no new work, whatever each of them
	// says.
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
	// Slots is how many statements the instance works on at a time.
	Slots int
	// Connections is the most that the instance accepts.
	Connections int
	// Leaving is set when the instance is to get no new work, by itself or with its data centre.
	Leaving bool
}

// Account is one client account of the service.
type Account struct {
	Name fleet.Account
	// Rate is in requests a second over the whole fleet.
	Rate float64
	// Burst is how many requests may come at once over the whole fleet.
	Burst float64
	// MaxSessions bounds the account's open sessions on one host; zero leaves
	// only the host's own bound.
	MaxSessions int
	Keys        []Key
}

// Key is the verifier of one of an account's keys; the key itself is nowhere in
// the system.
type Key struct {
	Name string
	// Verifier has PostgreSQL's form of a SCRAM-SHA-256 secret.
	Verifier string
}

// Account returns the account of that name.
func (d *Document) Account(n fleet.Account) (Account, bool) {
	for _, a := range d.Accounts {
		if a.Name == n {
			return a, true
		}
	}
	return Account{}, false
}

// Instance returns the instance of that name.
func (d *Document) Instance(n fleet.Instance) (Instance, bool) {
	for _, i := range d.Instances {
		if i.Name == n {
			return i, true
		}
	}
	return Instance{}, false
}
