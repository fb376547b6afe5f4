package localfleet

import (
	"fmt"
	"time"

	"skylarkdeal/core/fleet"
	"skylarkdeal/standin/ledger"
)

// The sizes of today's fleets, as the users gave them.
const (
	slots        = 2
	connectDelay = 10 * time.Millisecond
	instances    = 3
)

// Tokachi is the fleet of today's first user: three data centres, each with a
// primary of one of three order-and-stock groups.
func Tokachi(hosts int) Config {
	centres := []fleet.DataCentre{"obihiro", "sapporo", "asahikawa"}
	var c Config
	for n := range hosts {
		c.Hosts = append(c.Hosts, centres[n%len(centres)])
	}
	for n, d := range centres {
		c.Services = append(c.Services, Service{
			Name:        fleet.Service("orders-" + string(d)),
			Instances:   group(16),
			DataCentres: append(append([]fleet.DataCentre{}, centres[n:]...), centres[:n]...),
			Lag:         5 * time.Millisecond,
			Accounts:    accounts("hotel", "bakery", "patisserie"),
		})
	}
	return c
}

func group(connections int) []ledger.InstanceConfig {
	var out []ledger.InstanceConfig
	for n := range instances {
		out = append(out, ledger.InstanceConfig{
			Name:         fleet.Instance(string(rune('a' + n))),
			Slots:        slots,
			Connections:  connections,
			ConnectDelay: connectDelay,
			Work:         time.Millisecond,
		})
	}
	return out
}

func accounts(names ...string) []Account {
	var out []Account
	for _, n := range names {
		out = append(out, Account{
			Name: fleet.Account(n), Key: fmt.Sprintf("%s-stand-in-key", n), Rate: 200, Burst: 400,
		})
	}
	return out
}
