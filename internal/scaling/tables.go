package main

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/place"
	"skylarkdeal/core/roster"
	"skylarkdeal/io/host/hostpb"
	"skylarkdeal/io/members"
)

// idleCPU returns the milliseconds of processor time a second of this process
// while nothing is asked of it.
func idleCPU() (float64, error) {
	a, err := readUsage()
	if err != nil {
		return 0, err
	}
	time.Sleep(window / 2)
	b, err := readUsage()
	return float64(b.cpu-a.cpu) / 1e6 / b.at.Sub(a.at).Seconds(), err
}

var documentColumns = []string{"documents", "text-B/document", "parsed-B/document", "parse-µs"}

// measureDocuments measures what documents of eight accounts take that every
// host keeps parsed, with their text.
func measureDocuments(_ context.Context, documents int) (row, error) {
	before := memory()
	var kept []*document.Document
	var texts [][]byte
	size := 0
	start := time.Now()
	for n := range documents {
		text := documentText(n, exampleVerifier)
		d, err := document.Parse(text, document.Version(n+1))
		if err != nil {
			return row{}, err
		}
		kept, texts, size = append(kept, d), append(texts, text), size+len(text)
	}
	took := time.Since(start)
	n := float64(documents)
	r := row{values: []float64{n, float64(size) / n, (memory() - before) / n, float64(took.Microseconds()) / n}}
	runtime.KeepAlive(kept)
	runtime.KeepAlive(texts)
	return r, nil
}

// exampleVerifier is one of the sample document.
const exampleVerifier = "SCRAM-SHA-256$4096:RMvVSJxPAQx6IPQFnaE9OQ==$" +
	"FKNP1hnsG2CP2XKv35F8QNK6uRneVv1Bwr+fjic9ueo=:" +
	"0IbU1BEjpygcaXGDMoK3JFcE7RW0hgdZ5eGkWGdLxmc="

// documentAccounts is about today's number of client accounts.
const documentAccounts = 8

func documentText(n int, verifier string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "[service]\nname = orders-%03d\ndata-centres = obihiro, sapporo, asahikawa\n", n)
	for k, c := range centres {
		fmt.Fprintf(&b, "\n[instance %q]\naddress = 10.%d.%d.%d:5432\ndata-centre = %s\nslots = 2\nconnections = 16\n",
			string(rune('a'+k)), k, n/250, n%250+1, c)
	}
	for k := range documentAccounts {
		fmt.Fprintf(&b, "\n[account \"account-%d\"]\nrate = 200/s\nburst = 400\nkey.one = %s\n", k, verifier)
	}
	return []byte(b.String())
}

var rosterColumns = []string{
	"hosts", "digest-B", "records-µs", "merge-µs", "KB", "holders-µs", "watcher-µs", "seats-ms",
}

// measureRoster measures one host's costs of a roster, at sizes that don't fit
// on one machine as fleets: a digest's size and its making and merging; where a
// group is held; who watches; and a look through the homes of all shards.
func measureRoster(_ context.Context, hosts int) (row, error) {
	const perCentre = 92
	centre := func(n int) fleet.DataCentre { return fleet.DataCentre(fmt.Sprintf("centre-%d", n/perCentre)) }
	self := fleet.Member{Host: "centre-0-000", DataCentre: centre(0), Peer: "10.0.0.1:6433"}
	before := memory()
	r := members.New(members.Config{Self: self, Epoch: 1})
	var all []*hostpb.Member
	for n := range hosts {
		all = append(all, &hostpb.Member{
			Host: fmt.Sprintf("%s-%03d", centre(n), n), DataCentre: string(centre(n)),
			Peer: fmt.Sprintf("10.%d.%d.1:6433", n/perCentre, n%perCentre), Epoch: 1764720000000000000, Beat: 100000,
		})
	}
	r.Merge(all)
	kept := memory() - before
	digest, err := proto.Marshal(&hostpb.DigestRequest{Members: r.Records()})
	if err != nil {
		return row{}, err
	}
	beat := uint64(100000)
	d := &document.Document{Service: "orders", Instances: []document.Instance{
		{Name: "a", DataCentre: centre(0)}, {Name: "b", DataCentre: centre(perCentre)}, {Name: "c", DataCentre: centre(0)},
	}}
	list := r.Members()
	here := roster.InDataCentre(list, self.DataCentre)
	return row{values: []float64{float64(hosts), float64(len(digest)),
		micros(func() { _, _ = proto.Marshal(&hostpb.DigestRequest{Members: r.Records()}) }),
		micros(func() {
			beat++
			for _, m := range all {
				m.Beat = beat
			}
			r.Merge(all)
		}),
		kept / 1e3,
		micros(func() { place.Holders(d, list, place.DefaultHolders) }),
		micros(func() { r.IsWatcher() }),
		micros(func() {
			for h := range roster.Shards {
				roster.DutyHolder(here, roster.Home(self.DataCentre, roster.Shard(h)))
			}
		}) / 1e3,
	}}, nil
}

// micros returns how long f takes, in microseconds.
func micros(f func()) float64 {
	b := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			f()
		}
	})
	return float64(b.NsPerOp()) / 1e3
}
