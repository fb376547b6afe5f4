// Package settings reads the settings of one host.
package settings

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"skylarkdeal/core/cold"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/inifile"
)

// Settings are what one host is told at its start. All else stands in the
// documents.
type Settings struct {
	Host     Host
	Caller   Caller
	Peer     Peer
	Operator Operator
	Store    Store
	Upstream Upstream
	Adapter  Adapter
	Log      Log
	// Regions are those of the data centres.
	Regions map[fleet.DataCentre]fleet.Region
}

// Host says who the host is.
type Host struct {
	Name       fleet.Host
	DataCentre fleet.DataCentre
}

// Caller is the side of the callers.
type Caller struct {
	Address string
	// MaxSessions bounds the open sessions.
	MaxSessions int
	// MaxMessage bounds one message of a caller, in bytes.
	MaxMessage int
	// StartupTimeout bounds the time until a caller has shown its key.
	StartupTimeout time.Duration
	// MaxUnread bounds the bytes of answers that wait for one caller.
	MaxUnread int
}

// Peer is the side of the other hosts.
type Peer struct {
	Address string
	// SecretFile holds what the hosts of one fleet show each other; empty when
	// their network is closed to all others.
	SecretFile string
	// Seeds are addresses of other hosts, asked first at the start.
	Seeds []string
}

// Operator is the side of the operators: metrics, state, health.
type Operator struct {
	Address string
	Pprof   bool
}

// Store is the platform's store.
type Store struct {
	Endpoints []string
	// Prefix starts every key and ends in a slash.
	Prefix string
	// Timeout bounds one call.
	Timeout time.Duration
	// HostList is the key of the platform's own list of hosts, empty when there is
	// none.
	HostList string
}

// Upstream is how the host shows itself to the database instances.
type Upstream struct {
	User string
	// PasswordFile is empty when the instances ask for none.
	PasswordFile string
}

// AdapterKind says in which way the host speaks to all around it.
type AdapterKind string

// The kinds of adapters.
const (
	// AdapterNone is the product's own interface: callers and instances speak PostgreSQL,
	// the store etcd v3.
	AdapterNone AdapterKind = "none"
	// AdapterPlatform is for the prepared machines.
	AdapterPlatform AdapterKind = "platform"
)

// Adapter is what a host needs to know of the machines that it was prepared for.
type Adapter struct {
	Kind AdapterKind
	// Balancer is where the balancer asks whether the host is ready.
	Balancer string
	// Promotions is where changes of primary are ordered.
	Promotions string
	// Grace is the time between the request to end and the end.
	Grace time.Duration
	// RateWindow is the span over which an account's rate and burst are counted.
	RateWindow time.Duration
	// PromotionLeast is the least time in which the platform carries out an order, whichever it
	// is, and PromotionDelay the time that it usually takes.
	PromotionLeast, PromotionDelay time.Duration
	// Memory is the most that the process may take, in bytes.
	Memory int
	// Capacity is the part of the processor that is the host's; zero if it isn't told.
	Capacity fleet.Capacity
	// Evacuate is the time in which an evacuation has to be over.
	Evacuate time.Duration
	// Cold is how much more than the rate that a cold instance bears it may be sent.
	Cold cold.Limit
}

// Level is the least severe level that is logged.
type Level string

// The levels.
const (
	LevelDebug Level = "debug"
	LevelInfo  Level = "info"
	LevelWarn  Level = "warn"
	LevelError Level = "error"
)

// Log is what is logged.
type Log struct {
	Level Level
}

// The defaults and the bounds of settings. The bounds keep a slip of a unit
// from passing as a choice. DefaultStoreTimeout lets calls to a store that is
// slow by two seconds succeed, and one that fails leaves time for another before
// the host's lease lapses.
const (
	DefaultMaxSessions    = 10000
	DefaultMaxMessage     = 1 << 20
	DefaultStartupTimeout = 5 * time.Second
	DefaultMaxUnread      = 256 << 10
	DefaultPrefix         = "/skylarkdeal/"
	DefaultStoreTimeout   = 3 * time.Second
	DefaultUser           = "skylarkdeal"

	maxSessions = 1 << 20
	minSize     = 1 << 10
	maxSize     = 1 << 30
)

// Parse reads the settings in text; file is what mistakes call it. The error
// holds all mistakes at once, as inifile.Mistakes.
func Parse(file string, text []byte) (*Settings, error) {
	f := inifile.Read(file, text)
	s := &Settings{
		Host:     parseHost(f.Section("host")),
		Caller:   parseCaller(f.Section("caller")),
		Peer:     parsePeer(f.Section("peer")),
		Operator: parseOperator(f.Section("operator")),
		Store:    parseStore(f.Section("store")),
		Upstream: parseUpstream(f.Section("upstream")),
		Adapter:  parseAdapter(f.Section("adapter")),
		Log:      parseLog(f.Section("log")),
		Regions:  parseRegions(f.Section("regions")),
	}
	f.RejectKeysOutsideSections()
	known := []string{"host", "caller", "peer", "operator", "store", "upstream", "adapter", "log", "regions"}
	for _, n := range f.Sections() {
		if !slices.Contains(known, n) {
			f.AddInvalid(n, "", "an unknown section", "one of "+strings.Join(known, ", "))
		}
	}
	return s, f.Err()
}

func parseRegions(s *inifile.Section) map[fleet.DataCentre]fleet.Region {
	out := map[fleet.DataCentre]fleet.Region{}
	for _, k := range s.Keys() {
		out[fleet.DataCentre(k)] = fleet.Region(s.Required(k, "the name of its region"))
	}
	return out
}

func parseHost(s *inifile.Section) Host {
	defer s.RejectUnknownKeys()
	return Host{
		Name:       fleet.Host(s.Name("name")),
		DataCentre: fleet.DataCentre(s.Name("data-centre")),
	}
}

func parseCaller(s *inifile.Section) Caller {
	defer s.RejectUnknownKeys()
	return Caller{
		Address:        s.Address("address"),
		MaxSessions:    s.Int("max-sessions", DefaultMaxSessions, 1, maxSessions),
		MaxMessage:     s.Size("max-message", DefaultMaxMessage, minSize, maxSize),
		StartupTimeout: s.Duration("startup-timeout", DefaultStartupTimeout, 100*time.Millisecond, time.Minute),
		MaxUnread:      s.Size("max-unread", DefaultMaxUnread, minSize, maxSize),
	}
}

func parsePeer(s *inifile.Section) Peer {
	defer s.RejectUnknownKeys()
	return Peer{
		Address:    s.Address("address"),
		SecretFile: s.String("secret-file", ""),
		Seeds:      s.Addresses("seeds"),
	}
}

func parseOperator(s *inifile.Section) Operator {
	defer s.RejectUnknownKeys()
	return Operator{Address: s.Address("address"), Pprof: s.Bool("pprof", false)}
}

func parseStore(s *inifile.Section) Store {
	defer s.RejectUnknownKeys()
	e := s.Addresses("endpoints")
	if len(e) == 0 {
		s.AddMissing("endpoints", "a list of addresses, each "+inifile.AddressForm)
	}
	return Store{
		Endpoints: e,
		Prefix:    parsePrefix(s),
		HostList:  parseHostList(s),
		Timeout:   s.Duration("timeout", DefaultStoreTimeout, 10*time.Millisecond, 30*time.Second),
	}
}

func parsePrefix(s *inifile.Section) string {
	p := s.String("prefix", DefaultPrefix)
	if len(p) < 2 || p[0] != '/' || p[len(p)-1] != '/' {
		s.AddInvalid("prefix", strconv.Quote(p), "a path between slashes, such as "+DefaultPrefix)
	}
	return p
}

func parseHostList(s *inifile.Section) string {
	k := s.String("host-list", "")
	if k != "" && k[0] != '/' {
		s.AddInvalid("host-list", strconv.Quote(k), "a key of the store, such as /platform/hosts")
	}
	return k
}

func parseUpstream(s *inifile.Section) Upstream {
	defer s.RejectUnknownKeys()
	return Upstream{User: s.String("user", DefaultUser), PasswordFile: s.String("password-file", "")}
}

// The bounds of an adapter's settings. DefaultPromotionLeast takes nothing for granted: an
// order then waits until nothing proved before it counts any more.
const (
	DefaultGrace          = 6 * time.Second
	DefaultRateWindow     = 5 * time.Second
	DefaultPromotionLeast = 0 * time.Second
	DefaultPromotionDelay = time.Second
	DefaultMemory         = 256 << 20

	DefaultEvacuate      = 5 * time.Second
	DefaultColdOvershoot = 1.0
	DefaultColdSlack     = 0

	maxColdOvershoot = 100
	maxColdSlack     = 10000

	// maxCapacity is more cores than any host has.
	maxCapacity = 1 << 10

	minMemory = 32 << 20
	maxMemory = 1 << 40
)

func parseAdapter(s *inifile.Section) Adapter {
	defer s.RejectUnknownKeys()
	a := Adapter{Kind: AdapterKind(s.OneOf("kind", string(AdapterNone), string(AdapterNone), string(AdapterPlatform)))}
	a.Grace = s.Duration("grace", DefaultGrace, time.Second, time.Hour)
	a.RateWindow = s.Duration("rate-window", DefaultRateWindow, time.Second, time.Hour)
	a.PromotionLeast = s.Duration("promotion-least", DefaultPromotionLeast, 0, time.Minute)
	a.PromotionDelay = s.Duration("promotion-delay", DefaultPromotionDelay, a.PromotionLeast, time.Minute)
	a.Memory = s.Size("memory", DefaultMemory, minMemory, maxMemory)
	a.Capacity = fleet.Capacity(s.Float("capacity", 0, 0, maxCapacity))
	a.Evacuate = s.Duration("evacuate", DefaultEvacuate, time.Second, time.Hour)
	a.Cold = cold.Limit{
		Overshoot: s.Float("cold-overshoot", DefaultColdOvershoot, 0, maxColdOvershoot),
		Slack:     s.Int("cold-slack", DefaultColdSlack, 0, maxColdSlack),
	}
	if a.Kind == AdapterPlatform || s.Has("balancer") {
		a.Balancer = s.Address("balancer")
	}
	if a.Kind == AdapterPlatform || s.Has("promotions") {
		a.Promotions = s.Address("promotions")
	}
	return a
}

func parseLog(s *inifile.Section) Log {
	defer s.RejectUnknownKeys()
	return Log{Level: Level(s.OneOf("level", string(LevelInfo),
		string(LevelDebug), string(LevelInfo), string(LevelWarn), string(LevelError)))}
}
