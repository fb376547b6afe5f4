// Package roster keeps which hosts are live or leaving, and which of them has
// which role. It reads no clock and does no input or output.
package roster

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	rendezvous "github.com/dgryski/go-rendezvous"

	"skylarkdeal/core/fleet"
)

// Duty is a role that falls to one host, such as "watcher obihiro". Two hosts
// with different rosters may both believe that they have it, so what a duty does
// has to be fenced by other means.
type Duty string

// Watcher is the duty of watching the platform's store for a data centre.
func Watcher(d fleet.DataCentre) Duty {
	return Duty("watcher\x00" + string(d))
}

// Shard is a part of the client accounts of all services. The accounts of one
// shard have their home in a data centre on the same host.
type Shard int

// Shards is how many shards there are. It is four times the hosts of a data
// centre of today's size, so that homes spread evenly; a data centre of 92 hosts
// has homes on half of them, each for a thirty-second of the accounts. Hosts of
// two versions with another number would both be homes of one account: it can't
// be changed in a rolling restart.
const Shards = 32

// ShardOf returns the shard of the account a of service s.
func ShardOf(s fleet.Service, a fleet.Account) Shard {
	return Shard(xxhash.Sum64String(string(s)+"\x00"+string(a)) % Shards)
}

// Home is the duty of granting the share of data centre d to the accounts of h.
func Home(d fleet.DataCentre, h Shard) Duty {
	return Duty("home\x00" + string(d) + "\x00" + strconv.Itoa(int(h)))
}

// DutyHolder returns the host among members that has the duty, or none. Leaving
// hosts get no duty as long as any other host is there. The order of members
// makes no difference, and a host that comes or goes moves only its own duties.
func DutyHolder(members []fleet.Member, d Duty) (fleet.Member, bool) {
	m := eligible(members)
	if len(m) == 0 {
		return fleet.Member{}, false
	}
	names := make([]string, len(m))
	for i, e := range m {
		names[i] = string(e.Host)
	}
	won := rendezvous.New(names, xxhash.Sum64String).Lookup(string(d))
	i := slices.IndexFunc(m, func(e fleet.Member) bool { return string(e.Host) == won })
	return m[i], true
}

// RankForDuty returns the members in the order in which the duty falls to them: each
// is the winner when those before it are gone.
func RankForDuty(members []fleet.Member, d Duty) []fleet.Member {
	rest := slices.Clone(members)
	out := make([]fleet.Member, 0, len(members))
	for len(rest) > 0 {
		w, _ := DutyHolder(rest, d)
		out = append(out, w)
		rest = slices.DeleteFunc(rest, func(e fleet.Member) bool { return e.Host == w.Host })
	}
	return out
}

// eligible returns the members that may get a duty, sorted by name.
func eligible(members []fleet.Member) []fleet.Member {
	m := slices.DeleteFunc(slices.Clone(members), func(e fleet.Member) bool { return e.Leaving })
	if len(m) == 0 {
		m = slices.Clone(members)
	}
	slices.SortFunc(m, func(a, b fleet.Member) int { return cmp.Compare(a.Host, b.Host) })
	return m
}

// InDataCentre returns the members in data centre d.
func InDataCentre(members []fleet.Member, d fleet.DataCentre) []fleet.Member {
	return slices.DeleteFunc(slices.Clone(members), func(e fleet.Member) bool { return e.DataCentre != d })
}
