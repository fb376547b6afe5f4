// Package roster tracks which hosts are live or leaving, and which host has which duty. It reads no
// clock and does no input or output.
package roster

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	rendezvous "github.com/dgryski/go-rendezvous"

	"skylarkdeal/core/fleet"
)

// Duty is a role that falls to one host by hashing, such as that of the watcher for data centre
// obihiro. Two hosts with different rosters may both take themselves for its holder, so the actions
// of a holder have to be fenced by other means.
type Duty string

// Watcher is the duty of watching the platform's store for a data centre.
func Watcher(d fleet.DataCentre) Duty {
	return Duty("watcher\x00" + string(d))
}

// Shard is a part of the client accounts of all services. In each data centre, one host owns all
// accounts of a shard.
type Shard int

// Shards is the number of shards. It is four times the number of hosts in a data centre of the
// usual size, so that ownership is spread evenly. In a data centre of 92 hosts at most 32 of them
// own a shard, with a thirty-second of the accounts each. Two versions with different numbers of
// shards would give one account two owners, so the number can't be changed in a rolling restart.
const Shards = 32

// ShardOf returns the shard of account a of service s.
func ShardOf(s fleet.Service, a fleet.Account) Shard {
	return Shard(xxhash.Sum64String(string(s)+"\x00"+string(a)) % Shards)
}

// Home is the duty of owning shard h in data centre d: its holder grants the data centre's share to
// the accounts of the shard.
func Home(d fleet.DataCentre, h Shard) Duty {
	return Duty("home\x00" + string(d) + "\x00" + strconv.Itoa(int(h)))
}

// DutyHolder returns the member that has the duty, and false if there are no members. A leaving
// host gets no duty while there is a member that isn't leaving. The order of members makes no
// difference, and a host that joins or leaves moves only its own duties.
func DutyHolder(members []fleet.Member, d Duty) (fleet.Member, bool) {
	candidates := eligible(members)
	if len(candidates) == 0 {
		return fleet.Member{}, false
	}
	names := make([]string, len(candidates))
	for i, e := range candidates {
		names[i] = string(e.Host)
	}
	winner := rendezvous.New(names, xxhash.Sum64String).Lookup(string(d))
	i := slices.IndexFunc(candidates, func(e fleet.Member) bool { return string(e.Host) == winner })
	return candidates[i], true
}

// RankForDuty returns the members in the order in which the duty falls to them: each is the holder
// once those before it are gone.
func RankForDuty(members []fleet.Member, d Duty) []fleet.Member {
	rest := slices.Clone(members)
	ranked := make([]fleet.Member, 0, len(members))
	for len(rest) > 0 {
		holder, _ := DutyHolder(rest, d)
		ranked = append(ranked, holder)
		rest = slices.DeleteFunc(rest, func(e fleet.Member) bool { return e.Host == holder.Host })
	}
	return ranked
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
