package follow

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarkdeal/core/fleet"
)

// Role is a host's part in reading the store.
type Role string

// The roles.
const (
	RoleReader   Role = "reader"
	RoleFollower Role = "follower"
)

const (
	// readers is how many hosts of a data centre read the store, so that the loss of one holds up
	// nobody for longer than it takes to follow the other.
	readers = 2
	// silentFor is how long no reader may have passed on a renewal before hosts that are no
	// readers step in, one after the other by stepIn: the store may be down for all.
	silentFor = time.Second
	stepIn    = 400 * time.Millisecond
	// mostTries is how many hosts of a data centre try a store that serves none of them.
	mostTries = 6
	// settleFor is how long a host waits to hear of others before it takes itself for one that is
	// to read.
	settleFor = 2 * time.Second
	// resignAfter is how long a host stays a reader at least, so that two that hear each other
	// late don't take turns.
	resignAfter = 5 * time.Second
)

// Candidate is a host of a data centre as a reader.
type Candidate struct {
	Host     fleet.Host
	Capacity fleet.Capacity
	// IsReader is set while it is a reader, StoreUnreachable while that can't reach the store.
	IsReader, StoreUnreachable bool
}

// RoleInput is what a host knows of the readers of its data centre.
type RoleInput struct {
	Self Candidate
	// Others are those that are heard and stay.
	Others []Candidate
	// Since is when the host took its role, Renewed when the last renewal of any reader was sent
	// that it knows of.
	Since, Renewed time.Time
}

// Choose returns the role that a host is to take.
//
// The strongest hosts read, and of alike ones those with the highest hash, so that all that hear
// each other choose alike. A reader that can't reach the store stays one and tries again, and the
// next in the order becomes one too: the store may turn some hosts away and serve others. If it
// serves nobody that goes on slowly, and ends with a few.
func Choose(now time.Time, s RoleInput) Role {
	able, better, tries, ahead := 0, 0, 0, 0
	for _, o := range s.Others {
		before := order(o, s.Self) < 0
		switch {
		case o.IsReader && o.StoreUnreachable:
			tries++
		case o.IsReader && before:
			able++
			better++
		case o.IsReader:
			able++
		case before:
			ahead++
		}
	}
	age := now.Sub(s.Since)
	switch {
	case s.Self.IsReader && better >= readers && age > resignAfter:
		return RoleFollower
	case s.Self.IsReader:
		return RoleReader
	case able+tries+ahead < readers && age > settleFor:
		return RoleReader
	case able < readers && tries < mostTries && silent(now, s) > silentFor+time.Duration(ahead)*stepIn:
		return RoleReader
	default:
		return RoleFollower
	}
}

// StrongestCandidates returns the candidates that go before all others, as many as read in a data centre.
func StrongestCandidates(cs []Candidate) []Candidate {
	sorted := slices.SortedFunc(slices.Values(cs), order)
	return sorted[:min(readers, len(sorted))]
}

func silent(now time.Time, s RoleInput) time.Duration {
	from := s.Renewed
	if s.Since.After(from) {
		from = s.Since
	}
	return now.Sub(from)
}

// order compares two hosts as readers: negative if a goes first.
func order(a, b Candidate) int {
	if c := cmp.Compare(b.Capacity, a.Capacity); c != 0 {
		return c
	}
	if c := cmp.Compare(xxhash.Sum64String(string(b.Host)), xxhash.Sum64String(string(a.Host))); c != 0 {
		return c
	}
	return cmp.Compare(a.Host, b.Host)
}

// ChooseReader returns the reader that a host follows, false if it hears none: any of those that reach
// the store, chosen by the hash of both, so that the followers of a data centre are spread.
func ChooseReader(self fleet.Host, others []Candidate) (fleet.Host, bool) {
	able := slices.DeleteFunc(slices.Clone(others), func(o Candidate) bool { return !o.IsReader || o.StoreUnreachable })
	if len(able) == 0 {
		return "", false
	}
	best := slices.MaxFunc(able, func(a, b Candidate) int {
		return cmp.Compare(bond(self, a.Host), bond(self, b.Host))
	})
	return best.Host, true
}

func bond(follower, reader fleet.Host) uint64 {
	return xxhash.Sum64String(string(follower) + "/" + string(reader))
}

const (
	// firstWait, divided by a host's capacity, is how long a host of a fleet whose size isn't known
	// waits for others to register first; usualCapacity stands for one that isn't known.
	firstWait     = 80 * time.Millisecond
	usualCapacity = 0.5
	// mostWait bounds that wait.
	mostWait = time.Second
)

// RegistrationDelay returns how long a host that finds no reader of its data centre in the store waits
// before it registers: strong hosts go first, and the others find them when they look again.
func RegistrationDelay(c fleet.Capacity) time.Duration {
	if c <= 0 {
		c = usualCapacity
	}
	return min(time.Duration(float64(firstWait)/float64(c)), mostWait)
}
