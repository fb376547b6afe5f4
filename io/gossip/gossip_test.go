package gossip_test

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/share"
	"skylarkdeal/io/gossip"
)

func start(c *qt.C, heard func(r gossip.Report)) (*gossip.Gossip, string) {
	l, err := net.ListenPacket("udp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	at := l.LocalAddr().String()
	c.Assert(l.Close(), qt.IsNil)
	g, err := gossip.Start(gossip.Config{Address: at, Heard: heard, Logger: zap.NewNop()})
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { c.Check(g.Close(), qt.IsNil) })
	return g, at
}

func TestReportsAreHeard(t *testing.T) {
	c := qt.New(t)
	got := make(chan gossip.Report, 8)
	_, to := start(c, func(r gossip.Report) { got <- r })
	from, _ := start(c, func(gossip.Report) {})
	want := gossip.Report{
		Host: "h1", Address: "10.0.0.1:7560", DataCentre: "obihiro", Epoch: 3, Seq: 9, Leaving: true,
		Usages:  []share.Usage{{Account: "hotel", Admitted: 4, Demand: 2.5}},
		Doubts:  []gossip.Doubt{{Instance: "i-1", Silent: 400 * time.Millisecond}},
		Reached: []fleet.Instance{"i-2"}, Catalog: 7, Record: 8, CatalogAge: time.Second,
		Instances: 1 << 63, InstancesAge: 2 * time.Second,
	}
	address, err := net.ResolveUDPAddr("udp4", to)
	c.Assert(err, qt.IsNil)
	// A datagram of somebody else's is dropped, and the next is heard.
	x, err := net.Dial("udp4", to)
	c.Assert(err, qt.IsNil)
	defer func() { _ = x.Close() }()
	for _, b := range []string{"", "\xff\xff", "rubbish"} {
		_, err := x.Write([]byte(b))
		c.Assert(err, qt.IsNil)
	}
	from.Send(want, []*net.UDPAddr{address})
	select {
	case r := <-got:
		c.Assert(r, qt.DeepEquals, want)
	case <-time.After(5 * time.Second):
		c.Fatal("nothing was heard")
	}
}
