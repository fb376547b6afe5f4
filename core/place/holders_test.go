package place_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/place"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1202")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func orders(holders int) *document.Document {
	d := &document.Document{Service: "orders", Holders: holders}
	for i, n := range []fleet.Instance{"a", "b", "c"} {
		d.Instances = append(d.Instances, document.Instance{
			Name: n, DataCentre: fleet.DataCentre(fmt.Sprintf("dc%d", i)), Slots: 2, Connections: 16,
		})
	}
	return d
}

func hosts(n, centres int) []fleet.Member {
	var out []fleet.Member
	for i := range n {
		out = append(out, fleet.Member{
			Host:       fleet.Host(fmt.Sprintf("h%d", i)),
			DataCentre: fleet.DataCentre(fmt.Sprintf("dc%d", i%centres)),
		})
	}
	return out
}

func ExampleHolders() {
	d := &document.Document{Service: "orders", Instances: []document.Instance{
		{Name: "a", DataCentre: "obihiro"}, {Name: "b", DataCentre: "sapporo"},
	}}
	members := []fleet.Member{
		{Host: "obihiro-1", DataCentre: "obihiro"},
		{Host: "sapporo-1", DataCentre: "sapporo", Leaving: true},
		{Host: "sapporo-2", DataCentre: "sapporo"},
		{Host: "asahikawa-1", DataCentre: "asahikawa"},
	}
	fmt.Println(len(place.Holders(d, members, 2)), len(place.Holders(d, members, 9)))
	// Output: 2 3
}

func TestLeavingHostReplacesAtMostOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := rapid.IntRange(1, 6).Draw(t, "k")
		members := hosts(rapid.IntRange(1, 40).Draw(t, "hosts"), rapid.IntRange(1, 5).Draw(t, "centres"))
		d := orders(0)
		before := place.Holders(d, members, k)
		if len(before) != min(k, len(members)) {
			t.Fatalf("%d holders of %d hosts, want %d", len(before), len(members), k)
		}
		gone := rapid.IntRange(0, len(members)-1).Draw(t, "gone")
		// The result must not depend on the order of the members.
		shuffled := rapid.Permutation(members).Draw(t, "order")
		if !slices.Equal(before, place.Holders(d, shuffled, k)) {
			t.Fatal("the holders depend on the order of the members")
		}
		h := members[gone].Host
		members[gone].Leaving = true
		after := place.Holders(d, members, k)
		lost := 0
		for _, b := range before {
			if !slices.Contains(after, b) {
				lost++
			}
		}
		if slices.Contains(after, h) || lost > 1 {
			t.Fatalf("without %s: %v, before: %v", h, after, before)
		}
	})
}

func TestHoldersCoverEveryDataCentreOfTheGroup(t *testing.T) {
	c := qt.New(t)
	members := hosts(40, 4)
	seen := fleet.NewSet[fleet.DataCentre]()
	for _, h := range place.Holders(orders(0), members, 3) {
		i := slices.IndexFunc(members, func(m fleet.Member) bool { return m.Host == h })
		seen.Add(members[i].DataCentre)
	}
	c.Assert(seen.Sorted(), qt.DeepEquals, []fleet.DataCentre{"dc0", "dc1", "dc2"})
}

func TestHoldersAreSpreadOverServices(t *testing.T) {
	c := qt.New(t)
	count := make(map[fleet.Host]int)
	d := orders(3)
	for i := range 960 {
		d.Service = fleet.Service(fmt.Sprintf("service-%d", i))
		for _, h := range place.Holders(d, hosts(90, 3), 0) {
			count[h]++
		}
	}
	// 960 services × 3 holders over 90 hosts: 32 on average.
	for h, n := range count {
		c.Check(n > 10 && n < 60, qt.IsTrue, qt.Commentf("%s holds %d", h, n))
	}
	c.Assert(count, qt.HasLen, 90)
}

// Guards against shares that exceed an instance's connections while the hosts agree
// on the holders: the instance would refuse a connection, and a statement would go
// without one.
func TestSharesSumToTheInstanceLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		i := document.Instance{
			Connections: rapid.IntRange(0, 64).Draw(t, "connections"),
			Slots:       rapid.IntRange(1, 8).Draw(t, "slots"),
		}
		var holders []fleet.Host
		for n := range rapid.IntRange(1, 20).Draw(t, "holders") {
			holders = append(holders, fleet.Host(fmt.Sprint(n)))
		}
		total := 0
		for _, h := range holders {
			s, ok := place.Shares(i, holders, h)
			if !ok || s.Slots < 1 || s.StatementConnections() > s.Connections {
				t.Fatalf("%s: %+v", h, s)
			}
			total += s.Connections
		}
		if total != i.Connections {
			t.Fatalf("shares sum up to %d of %d", total, i.Connections)
		}
		if _, ok := place.Shares(i, holders, "another"); ok {
			t.Fatal("a host that isn't a holder has a share")
		}
	})
}
