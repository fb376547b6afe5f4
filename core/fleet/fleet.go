// Package fleet defines the basic types of the whole system: the names of hosts,
// data centres, client accounts, services and database instances, and the terms
// and log positions of database groups.
package fleet

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
)

// Host is the name of an entry host, unique in the fleet.
type Host string

// Capacity is the processing capacity of a host in cores; zero if it isn't known.
type Capacity float64

// DataCentre is the name of a data centre.
type DataCentre string

// Region is the name of a group of data centres under the same law.
type Region string

// Account is the name of a client account, unique within its service.
type Account string

// Service is the name of a service. A service has one document and one database
// group, so the name identifies the group as well.
type Service string

// Instance is the name of a database instance, unique within its group.
type Instance string

// Priority is how urgent an operation is: 0 is the most urgent, MaxPriority the least.
type Priority int

const (
	// DefaultPriority applies where no priority is set.
	DefaultPriority Priority = 1
	// MaxPriority is the least urgent priority.
	MaxPriority Priority = 9
)

// Valid reports whether p is within the range of priorities.
func (p Priority) Valid() bool { return p >= 0 && p <= MaxPriority }

// Clamp returns the nearest priority within the range.
func (p Priority) Clamp() Priority { return min(max(p, 0), MaxPriority) }

// Term numbers the primaries of a group: each promotion increases it.
type Term uint64

// LogIndex is the index of an entry in a group's log.
type LogIndex uint64

// LogPosition is a position in the log of a group. Positions are ordered by term, then
// by index: a log that has an entry of a later term holds every acknowledged entry of
// the earlier terms.
//
// In the PostgreSQL groups of core/group, a promotion appends an entry in its own term.
// In the groups on the prepared machines (core/leader, core/relay, core/staleness) it
// writes none, and until its first commit the new primary reports a position of the
// former term.
type LogPosition struct {
	Term  Term     `json:"term"`
	Index LogIndex `json:"position"`
}

// Compare returns -1, 0 or +1 as p is before, at or after o.
func (p LogPosition) Compare(o LogPosition) int {
	if c := cmp.Compare(p.Term, o.Term); c != 0 {
		return c
	}
	return cmp.Compare(p.Index, o.Index)
}

// Covers reports whether a log that has reached p holds everything up to o.
func (p LogPosition) Covers(o LogPosition) bool {
	return p.Compare(o) >= 0
}

// IsZero reports whether p is before every entry.
func (p LogPosition) IsZero() bool {
	return p == LogPosition{}
}

// String returns p in the form that callers see, "term.position".
func (p LogPosition) String() string {
	return fmt.Sprintf("%d.%d", p.Term, p.Index)
}

// ParseLogPosition parses the form that String returns.
func ParseLogPosition(s string) (LogPosition, error) {
	term, position, ok := strings.Cut(s, ".")
	if !ok {
		return LogPosition{}, fmt.Errorf("point %q: want term.position", s)
	}
	t, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return LogPosition{}, fmt.Errorf("point %q: term: %w", s, err)
	}
	n, err := strconv.ParseUint(position, 10, 64)
	if err != nil {
		return LogPosition{}, fmt.Errorf("point %q: position: %w", s, err)
	}
	return LogPosition{Term: Term(t), Index: LogIndex(n)}, nil
}

// Role is what an instance does in its group.
type Role string

// The roles of an instance.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
)

// Member is what the fleet knows of one host.
type Member struct {
	Host       Host       `json:"host"`
	DataCentre DataCentre `json:"data-centre"`
	// Peer is the IP address and port for the protocol between hosts.
	Peer string `json:"peer"`
	// Leaving is set if the host has announced its shutdown or is on the platform's
	// list of leaving hosts.
	Leaving bool `json:"leaving"`
}
