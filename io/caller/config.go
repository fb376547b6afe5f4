package caller

import (
	"runtime"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"skylarkdeal/core/document"
	"skylarkdeal/core/exchange"
	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/journal"
)

// Config is what a Server works with. Zero limits take the defaults.
type Config struct {
	// Address is the IP address and port to listen on.
	Address string
	Host    fleet.Host
	Epoch   uint64
	// MaxSessions bounds the open sessions of the host.
	MaxSessions int
	// MaxMessage bounds one message of a caller, and the bytes it may send
	// ahead while an answer is owed, in bytes.
	MaxMessage int
	// StartupTimeout bounds the time from connect to the proof of the key.
	StartupTimeout time.Duration
	// StallTimeout ends a session whose caller reads nothing for so long while
	// an answer waits for it.
	StallTimeout time.Duration
	// IdleInTransaction ends a session whose caller says nothing for so long
	// with a transaction open.
	IdleInTransaction time.Duration
	// MaxUnread bounds the bytes of answers that a caller has not read.
	MaxUnread int
	// EventLoops is how many event loops serve the sessions; zero takes a
	// quarter of the processors, and two at least.
	EventLoops int

	// Secret is the same on all hosts of the fleet. The salts shown for accounts
	// that don't exist come from it; they differ between hosts when it is empty.
	Secret []byte

	Runner exchange.Runner
	// Documents returns the document in effect for a service.
	Documents func(s fleet.Service) (*document.Document, bool)
	// Admit is asked before an exchange of n requests is run and answers by
	// done, at once or later, nil to go on. A nil Admit admits all.
	Admit func(s fleet.Service, a fleet.Account, n int, deadline time.Time, done func(*failure.Refusal))
	// AdmitOpen is asked in its place for an exchange of an open transaction; a
	// nil AdmitOpen leaves these to Admit.
	AdmitOpen func(s fleet.Service, a fleet.Account, n int, deadline time.Time, done func(*failure.Refusal))

	Now        func() time.Time
	Logger     *zap.Logger
	Registerer prometheus.Registerer
	Journal    *journal.Journal
}

// The limits that a zero Config takes.
const (
	// DefaultMaxSessions is above the 6,000 sessions that a host has to carry
	// when its neighbours restart.
	DefaultMaxSessions = 8192
	// DefaultMaxMessage keeps one caller from taking the memory of the rest.
	DefaultMaxMessage = 1 << 20
	// DefaultStartupTimeout covers three round trips of a slow handheld.
	DefaultStartupTimeout = 10 * time.Second
	// DefaultStallTimeout is how long a caller may stop reading: the upstream
	// connection that serves it is one of very few.
	DefaultStallTimeout = 5 * time.Second
	// DefaultMaxUnread keeps a fast instance busy between two looks at a caller
	// that reads slowly.
	DefaultMaxUnread = 256 << 10
	// DefaultStatementTimeout applies when a document states none.
	DefaultStatementTimeout = 10 * time.Second
)

func (c Config) withDefaults() Config {
	// More event loops each wake more often for less work: with 12 on 12
	// processors a host carried half the statements that it did with 2 to 4.
	setDefault(&c.EventLoops, max(2, runtime.GOMAXPROCS(0)/4))
	setDefault(&c.MaxSessions, DefaultMaxSessions)
	setDefault(&c.MaxMessage, DefaultMaxMessage)
	setDefault(&c.MaxUnread, DefaultMaxUnread)
	setDefault(&c.StartupTimeout, DefaultStartupTimeout)
	setDefault(&c.StallTimeout, DefaultStallTimeout)
	setDefault(&c.IdleInTransaction, DefaultIdleInTransaction)
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	if c.Admit == nil {
		c.Admit = func(_ fleet.Service, _ fleet.Account, _ int, _ time.Time, done func(*failure.Refusal)) {
			done(nil)
		}
	}
	if c.AdmitOpen == nil {
		c.AdmitOpen = c.Admit
	}
	return c
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}
