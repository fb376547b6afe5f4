// Package ledger is a small stand-in for a database group: a few instances in
// one process, each with its own TCP port, that speak the PostgreSQL protocol
// over a ledger of keys and values. It has terms, log positions, lagging
// replication, the steps of a change of primary, and fault switches.
package ledger

import (
	"time"

	"go.uber.org/zap"

	"skylarkdeal/core/fleet"
)

// Auth is how an instance asks a connection for its password.
type Auth string

// The ways of authentication. AuthTrust asks for nothing.
const (
	AuthTrust    Auth = "trust"
	AuthPassword Auth = "password"
	AuthSCRAM    Auth = "scram-sha-256"
)

// Config is what a group starts with. The first instance is the primary of
// term 1.
type Config struct {
	Service   fleet.Service
	Instances []InstanceConfig
	// Lag is how long an entry takes to reach a replica.
	Lag time.Duration
	// Auth is AuthTrust when empty.
	Auth     Auth
	User     string
	Password string
	// Now is time.Now when nil.
	Now func() time.Time
	Log *zap.Logger
}

// InstanceConfig describes one instance. Zero limits stand for no limit.
type InstanceConfig struct {
	Name fleet.Instance
	// Address is an IP address and port, 127.0.0.1:0 when empty.
	Address string
	// Slots is how many statements run at a time; more wait inside.
	Slots int
	// Connections is the most connections open at a time; more are refused
	// with SQLSTATE 53300. Administrative connections count too.
	Connections int
	// ConnectDelay passes before a start-up is answered.
	ConnectDelay time.Duration
	// Work is how long each statement holds its slot.
	Work time.Duration
}
