package follow

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarkdeal/core/fleet"
)

// Role is a host's role in reading the store.
type Role string

// The roles of a host.
const (
	RoleReader   Role = "reader"
	RoleFollower Role = "follower"
)

const (
	// readersPerDataCentre is how many hosts of a data centre read the store. If one of them is
	// lost, its followers only have to switch to the other.
	readersPerDataCentre = 2
	// takeoverAfter is how long no reader must have passed on a renewal before other hosts become
	// readers, one after the other at intervals of takeoverInterval, as the store may be down for
	// all hosts.
	takeoverAfter    = time.Second
	takeoverInterval = 400 * time.Millisecond
	// maxFailingReaders is how many hosts of a data centre keep trying a store that none of them
	// can reach.
	maxFailingReaders = 6
	// discoveryTime is how long a host waits for reports of other hosts before it may count itself
	// among the hosts with the highest capacity.
	discoveryTime = 2 * time.Second
	// minReaderTime is how long a host stays a reader at least, so that two hosts whose reports
	// reach each other late don't take turns.
	minReaderTime = 5 * time.Second
	// returnAfter is how long a host prefers other readers to one that it has left. By then that one has
	// reported if it can't reach the store.
	returnAfter = 3 * time.Second
)

// Candidate is a host of a data centre that may be a reader.
type Candidate struct {
	Host     fleet.Host
	Capacity fleet.Capacity
	// IsReader is set while the host is a reader, StoreUnreachable while it is one that can't reach
	// the store.
	IsReader, StoreUnreachable bool
	// LeftAt is when this host last left it because it passed on nothing new.
	LeftAt time.Time
}

// RoleInput is what a host knows about the readers of its data centre.
type RoleInput struct {
	Self Candidate
	// Others are the other hosts of the data centre whose reports arrive and that aren't leaving.
	Others []Candidate
	// RoleSince is when the host took its role. LastRenewal is when the last known renewal of any reader
	// was sent.
	RoleSince, LastRenewal time.Time
}

// Choose returns the role that a host is to take.
//
// The hosts with the highest capacity read. Among hosts of equal capacity the highest hash decides,
// so that all hosts that receive each other's reports choose alike. A reader that can't reach the
// store stays a reader and keeps trying, and the next host in the order becomes one too, as the
// store may refuse some hosts and serve others. If the store serves no host, readers are added
// slowly and only up to a few.
func Choose(now time.Time, input RoleInput) Role {
	working, workingAhead, failing, followersAhead := 0, 0, 0, 0
	for _, other := range input.Others {
		before := compareCandidates(other, input.Self) < 0
		switch {
		case other.IsReader && other.StoreUnreachable:
			failing++
		case other.IsReader && before:
			working++
			workingAhead++
		case other.IsReader:
			working++
		case before:
			followersAhead++
		}
	}
	roleAge := now.Sub(input.RoleSince)
	switch {
	case input.Self.IsReader && workingAhead >= readersPerDataCentre && roleAge > minReaderTime:
		return RoleFollower
	case input.Self.IsReader:
		return RoleReader
	case working+failing+followersAhead < readersPerDataCentre && roleAge > discoveryTime:
		return RoleReader
	case working < readersPerDataCentre && failing < maxFailingReaders &&
		sinceRenewal(now, input) > takeoverAfter+time.Duration(followersAhead)*takeoverInterval:
		return RoleReader
	default:
		return RoleFollower
	}
}

// StrongestCandidates returns the first candidates in the order, as many as there are readers in a
// data centre.
func StrongestCandidates(cs []Candidate) []Candidate {
	sorted := slices.SortedFunc(slices.Values(cs), compareCandidates)
	return sorted[:min(readersPerDataCentre, len(sorted))]
}

func sinceRenewal(now time.Time, input RoleInput) time.Duration {
	since := input.LastRenewal
	if input.RoleSince.After(since) {
		since = input.RoleSince
	}
	return now.Sub(since)
}

// compareCandidates orders two candidates: it is negative if a is preferred as a reader.
func compareCandidates(a, b Candidate) int {
	if c := cmp.Compare(b.Capacity, a.Capacity); c != 0 {
		return c
	}
	if c := cmp.Compare(xxhash.Sum64String(string(b.Host)), xxhash.Sum64String(string(a.Host))); c != 0 {
		return c
	}
	return cmp.Compare(a.Host, b.Host)
}

// ChooseReader returns the reader that a host is to follow, and false if there is none. It chooses
// among the readers that reach the store, by a hash of both hosts, so that the followers of a data
// centre are spread over its readers. One elsewhere is chosen if all that are local were left lately.
//
// Guards against a data centre whose readers the store leaves unanswered one after the other: its
// other hosts would get nothing new until one of them has become a reader that is served.
func ChooseReader(now time.Time, self fleet.Host, local, elsewhere []Candidate) (fleet.Host, bool) {
	for _, cs := range [][]Candidate{notLeftLately(now, local), notLeftLately(now, elsewhere), local, elsewhere} {
		if reader, ok := chooseWorking(self, cs); ok {
			return reader, true
		}
	}
	return "", false
}

// ChooseLocalReader returns the reader of its own data centre to which a host that follows one elsewhere
// is to return, and false if there is none.
func ChooseLocalReader(now time.Time, self fleet.Host, local []Candidate) (fleet.Host, bool) {
	return chooseWorking(self, notLeftLately(now, local))
}

func notLeftLately(now time.Time, cs []Candidate) []Candidate {
	return slices.DeleteFunc(slices.Clone(cs), func(c Candidate) bool { return now.Sub(c.LeftAt) < returnAfter })
}

func chooseWorking(self fleet.Host, cs []Candidate) (fleet.Host, bool) {
	working := slices.DeleteFunc(slices.Clone(cs), func(o Candidate) bool { return !o.IsReader || o.StoreUnreachable })
	if len(working) == 0 {
		return "", false
	}
	best := slices.MaxFunc(working, func(a, b Candidate) int {
		return cmp.Compare(hashWeight(self, a.Host), hashWeight(self, b.Host))
	})
	return best.Host, true
}

func hashWeight(follower, reader fleet.Host) uint64 {
	return xxhash.Sum64String(string(follower) + "/" + string(reader))
}

const (
	// baseRegistrationDelay, divided by a host's capacity, is how long a host waits for other hosts
	// to register first while the size of its fleet is unknown. defaultCapacity replaces an unknown
	// capacity.
	baseRegistrationDelay = 80 * time.Millisecond
	defaultCapacity       = 0.5
	// maxRegistrationDelay bounds that wait.
	maxRegistrationDelay = time.Second
)

// RegistrationDelay returns how long a host that finds no reader of its data centre in the store
// waits before it registers. Strong hosts register first, and the others find them when they check
// again.
func RegistrationDelay(c fleet.Capacity) time.Duration {
	if c <= 0 {
		c = defaultCapacity
	}
	return min(time.Duration(float64(baseRegistrationDelay)/float64(c)), maxRegistrationDelay)
}
