// Package control is the administrative connection to a database instance: its
// status, and the steps of a change of primary. It is the one place that knows
// in which statements an instance is asked for its term and position.
package control

import (
	"context"

	"skylarkdeal/core/fleet"
)

// Client is the way to one instance. Its fields may be replaced where an
// instance tells its term and position otherwise. All are safe for concurrent
// use and connect when first needed.
type Client struct {
	// Status reads the instance's status.
	Status func(ctx context.Context) (fleet.Status, error)
	// Fence raises the instance's promised term to t, which it accepts once and
	// from one proposer; a second proposer of the same term is refused.
	Fence func(ctx context.Context, t fleet.Term, proposer fleet.Host) (fleet.Status, error)
	// Promote makes the instance the primary of term t, which it must have
	// promised to the same proposer. It appends an entry of term t.
	Promote func(ctx context.Context, t fleet.Term, proposer fleet.Host) (fleet.Status, error)
	// Follow makes the instance a replica of primary, which serves term t at
	// address. Entries that primary doesn't have are dropped.
	Follow func(ctx context.Context, t fleet.Term, primary fleet.Instance, address string) (fleet.Status, error)
	// Close ends the connection.
	Close func()
}
