// Package settings parses and validates the settings file of one host.
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

// Settings are what one host reads at its start. What applies to a service on all
// hosts is in the documents.
type Settings struct {
	Host     Host
	Caller   Caller
	Peer     Peer
	Operator Operator
	Store    Store
	Upstream Upstream
	Adapter  Adapter
	Log      Log
	// Regions maps data centres to their regions.
	Regions map[fleet.DataCentre]fleet.Region
}

// Host identifies the host.
type Host struct {
	Name       fleet.Host
	DataCentre fleet.DataCentre
}

// Caller configures the listener for callers and the limits on their sessions.
type Caller struct {
	Address string
	// MaxSessions limits the open sessions on the host.
	MaxSessions int
	// MaxMessage limits the size of one message from a caller, in bytes.
	MaxMessage int
	// StartupTimeout limits the time from connecting until a caller has authenticated.
	StartupTimeout time.Duration
	// MaxUnread limits the bytes of responses that one caller has not read yet.
	MaxUnread int
}

// Peer configures the listener for other hosts and the connections to them.
type Peer struct {
	Address string
	// SecretFile is the file with the secret by which the hosts of one fleet authenticate
	// each other. It is empty if only these hosts can reach their network.
	SecretFile string
	// Seeds are addresses of other hosts, which the host contacts first at its start.
	Seeds []string
}

// Operator configures the listener for operators, which serves metrics, state and health.
type Operator struct {
	Address string
	Pprof   bool
}

// Store configures the access to the platform's store.
type Store struct {
	Endpoints []string
	// Prefix is the prefix of all keys of this system. It begins and ends with a slash.
	Prefix string
	// Timeout limits one call to the store.
	Timeout time.Duration
	// HostList is the key of the platform's own list of hosts, empty if there is none.
	HostList string
}

// Upstream holds the credentials of the host at the database instances.
type Upstream struct {
	User string
	// PasswordFile is the file with the password, empty if the instances ask for none.
	PasswordFile string
}

// AdapterKind selects the protocols between the host and its callers, instances and store.
type AdapterKind string

// The kinds of adapters.
const (
	// AdapterNone uses the product's own interfaces: callers and instances use the
	// PostgreSQL protocol, the store that of etcd v3.
	AdapterNone AdapterKind = "none"
	// AdapterPlatform uses the interfaces of the prepared machines.
	AdapterPlatform AdapterKind = "platform"
)

// Adapter describes the platform that the host runs on.
type Adapter struct {
	Kind AdapterKind
	// BalancerAddress is the address at which the load balancer asks whether the host is ready.
	BalancerAddress string
	// PromotionsAddress is the address to which the host sends promotion requests.
	PromotionsAddress string
	// ShutdownTimeout is how long a shutdown may take, from its request to the end of the process.
	ShutdownTimeout time.Duration
	// RateWindow is the interval over which an account's rate and burst are counted.
	RateWindow time.Duration
	// MinPromotionTime is the shortest time in which the platform carries out any promotion request,
	// and UsualPromotionTime the time that it usually takes.
	MinPromotionTime, UsualPromotionTime time.Duration
	// PromotionRate is how many promotion requests a second the platform takes, zero for no limit.
	PromotionRate float64
	// Memory is the most memory that the process may use, in bytes.
	Memory int
	// Capacity is how much of the processor the host may use, in cores; zero if it isn't known.
	Capacity fleet.Capacity
	// EvacuationTimeout is how long an evacuation of a data centre may take.
	EvacuationTimeout time.Duration
	// ColdLimit limits how far the fleet may exceed the rate that a cold instance can carry.
	ColdLimit cold.Limit
	// Overload turns on the control of overload between hosts: concurrency limits, load reports, spread
	// retry times and retry budgets.
	Overload bool
	// OutlierDetection enables the ejection of instances that respond but fail.
	OutlierDetection bool
}

// Level is the severity of a log line.
type Level string

// The levels, from the least to the most severe.
const (
	LevelDebug Level = "debug"
	LevelInfo  Level = "info"
	LevelWarn  Level = "warn"
	LevelError Level = "error"
)

// Log configures the log.
type Log struct {
	// Level is the least severe level that is logged.
	Level Level
}

// The defaults and the limits of settings. The limits reject values that were
// written in the wrong unit by mistake.
const (
	DefaultMaxSessions    = 10000
	DefaultMaxMessage     = 1 << 20
	DefaultStartupTimeout = 5 * time.Second
	DefaultMaxUnread      = 256 << 10
	DefaultPrefix         = "/skylarkdeal/"
	// DefaultStoreTimeout lets a call succeed that takes the store two seconds longer
	// than usual. After a call that fails, there is time for another one before the
	// host's lease expires.
	DefaultStoreTimeout = 3 * time.Second
	DefaultUser         = "skylarkdeal"

	maxSessions = 1 << 20
	minSize     = 1 << 10
	maxSize     = 1 << 30
)

// Parse parses the settings in text. file is the file name in the mistakes. The
// error is an inifile.Mistakes that lists all mistakes.
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
		s.AddMissing("endpoints", "a list of addresses, each "+inifile.AddressFormat)
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

// The defaults and the limits of an adapter's settings.
const (
	DefaultShutdownTimeout = 6 * time.Second
	DefaultRateWindow      = 5 * time.Second
	// DefaultMinPromotionTime means that a promotion may take effect at once. The host then
	// delays a promotion request until leases that were renewed before it are no longer valid.
	DefaultMinPromotionTime = 0 * time.Second
	DefaultPromotionDelay   = time.Second
	DefaultMemory           = 256 << 20

	DefaultEvacuate      = 5 * time.Second
	DefaultColdOvershoot = 1.0
	DefaultColdSlack     = 0

	maxColdOvershoot = 100
	maxColdSlack     = 10000

	// maxPromotionRate is in requests a second.
	maxPromotionRate = 10000

	// maxCapacity is in cores, more than any host has.
	maxCapacity = 1 << 10

	minMemory = 32 << 20
	maxMemory = 1 << 40
)

func parseAdapter(s *inifile.Section) Adapter {
	defer s.RejectUnknownKeys()
	a := Adapter{Kind: AdapterKind(s.OneOf("kind", string(AdapterNone), string(AdapterNone), string(AdapterPlatform)))}
	a.ShutdownTimeout = s.Duration("grace", DefaultShutdownTimeout, time.Second, time.Hour)
	a.RateWindow = s.Duration("rate-window", DefaultRateWindow, time.Second, time.Hour)
	a.MinPromotionTime = s.Duration("promotion-least", DefaultMinPromotionTime, 0, time.Minute)
	a.UsualPromotionTime = s.Duration("promotion-delay", DefaultPromotionDelay, a.MinPromotionTime, time.Minute)
	a.PromotionRate = s.Float("promotion-rate", 0, 0, maxPromotionRate)
	a.Memory = s.Size("memory", DefaultMemory, minMemory, maxMemory)
	a.Capacity = fleet.Capacity(s.Float("capacity", 0, 0, maxCapacity))
	a.EvacuationTimeout = s.Duration("evacuate", DefaultEvacuate, time.Second, time.Hour)
	a.ColdLimit = cold.Limit{
		Overshoot: s.Float("cold-overshoot", DefaultColdOvershoot, 0, maxColdOvershoot),
		Slack:     s.Int("cold-slack", DefaultColdSlack, 0, maxColdSlack),
	}
	a.Overload = s.Bool("overload-control", false)
	a.OutlierDetection = s.Bool("outlier-detection", false)
	if a.Kind == AdapterPlatform || s.Has("balancer") {
		a.BalancerAddress = s.Address("balancer")
	}
	if a.Kind == AdapterPlatform || s.Has("promotions") {
		a.PromotionsAddress = s.Address("promotions")
	}
	return a
}

func parseLog(s *inifile.Section) Log {
	defer s.RejectUnknownKeys()
	return Log{Level: Level(s.OneOf("level", string(LevelInfo),
		string(LevelDebug), string(LevelInfo), string(LevelWarn), string(LevelError)))}
}
