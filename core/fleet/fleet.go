// Package fleet names the things that the whole system talks about: hosts,
// data centres, client accounts, services, database instances, and the terms
// and log positions of their groups.
package fleet

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
)

// Host is the name of one entry host of the system, unique in the fleet.
type Host string

// Capacity is what a host can carry, in processor cores; zero if it isn't known.
type Capacity float64

// DataCentre is the name of a data centre.
type DataCentre string

// Region is the name of a group of data centres under one law.
type Region string

// Account is the name of a client account, unique within its service.
type Account string

// Service is the name of a service. A service owns one document and one
// database group, so it names the group too.
type Service string

// Instance is the name of a database instance, unique within its group.
type Instance string

// Term counts the primaries of a group: each promotion raises it.
type Term uint64

// LogIndex is an offset in a group's log, in log entries.
type LogIndex uint64

// LogPosition is a place in the history of a group. Points are ordered by term, then
// by position: a promotion appends an entry in its own term, so a log that has
// an entry of a later term holds every acknowledged entry of the earlier ones.
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

// String returns the form that callers see, "term.position".
func (p LogPosition) String() string {
	return fmt.Sprintf("%d.%d", p.Term, p.Index)
}

// ParseLogPosition reads the form that String writes.
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
	// Peer is the IP address and port of the inner protocol.
	Peer string `json:"peer"`
	// Leaving is set when the host has announced its shutdown or stands on the
	// platform's list of leaving hosts.
	Leaving bool `json:"leaving"`
}
