package mesh

import "skylarkdeal/core/fleet"

const (
	// minHomeHosts is the least number of hosts of a data centre that are homes of accounts, so that the loss of one
	// leaves half of them.
	minHomeHosts = 2
	// hostsPerHomeHost is how many hosts of a data centre ask one home host.
	hostsPerHomeHost = 16
)

// HomeHosts returns the hosts of data centre dc, among peers, that should be the homes of accounts: of those that are
// heard and aren't leaving, the ones with the highest capacity, as for gossip relays.
func HomeHosts(dc fleet.DataCentre, peers []Peer) []fleet.Host {
	n := max(minHomeHosts, (len(peers)+hostsPerHomeHost-1)/hostsPerHomeHost)
	var usable []Peer
	for _, p := range peers {
		if p.Heard && !p.Leaving {
			usable = append(usable, p)
		}
	}
	return firstRelays(dc, usable, n)
}
