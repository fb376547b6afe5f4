package forward_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/follow"
	"skylarkdeal/io/forward"
	"skylarkdeal/io/registry"
)

func TestStoreUpdatesArriveAsTheyWereSent(t *testing.T) {
	c := qt.New(t)
	at := time.Unix(0, 86707276482797)
	want := forward.StoreUpdate{
		RequestSentAt: at, RequestReceivedAt: at.Add(time.Hour), Renewed: at.Add(time.Second),
		Parts: forward.Parts{
			follow.PartCatalog: {Version: 7, CompleteTo: 9, ReadAt: at, HasBody: true, Body: []registry.Entry{
				{Key: "catalog", Value: []byte{0xff, 0}, Revision: 7},
			}},
			follow.PartInstances: {Version: 1 << 63, ReadAt: at},
		},
		Centres: []fleet.DataCentre{"obihiro", "sapporo"},
	}
	var got []forward.StoreUpdate
	var asked []forward.Follow
	r := forward.Reader{
		StoreUpdate: func(n forward.StoreUpdate) { got = append(got, n) },
		Follow:      func(f forward.Follow) { asked = append(asked, f) },
	}
	question := forward.Follow{Sent: at, Full: true}
	b := forward.AppendFollow(forward.AppendStoreUpdate(nil, want), question)
	b = forward.AppendStoreUpdate(b, forward.StoreUpdate{})
	for len(b) > 0 {
		// A frame that isn't complete isn't decoded.
		n, err := r.Decode(b[:len(b)-1])
		c.Assert(err, qt.IsNil)
		if n == 0 {
			n, err = r.Decode(b)
			c.Assert(err, qt.IsNil)
		}
		b = b[n:]
	}
	c.Assert(got, qt.HasLen, 2)
	c.Assert(got[0], qt.DeepEquals, want)
	c.Assert(got[1].Renewed.IsZero(), qt.IsTrue)
	c.Assert(asked, qt.DeepEquals, []forward.Follow{question})
}

// storeUpdateOf returns an update with a list of n instances.
func storeUpdateOf(n int, compressed bool) forward.StoreUpdate {
	var es []registry.Entry
	for i := range n {
		es = append(es, registry.Entry{
			Key:      fmt.Sprintf("servers/i-%06d", i),
			Value:    fmt.Appendf(nil, `{"Service":"s%d","Address":"10.0.%d.%d:8465","State":"ready"}`, i/3, i/250, i%250),
			Revision: registry.Revision(i + 1),
		})
	}
	es = append(es, registry.Entry{Key: "servers/j", Revision: registry.Revision(n + 1), Deleted: true})
	return forward.StoreUpdate{Compressed: compressed, Parts: forward.Parts{follow.PartInstances: {
		Version: 9, HasBody: true, ChangesOnly: true, Base: 8, Body: es, Encoded: &follow.Encoded{},
	}}}
}

// Guards against a large update that takes a second of a small host's link, with the renewals behind it, and against
// a compressed one that tells something else.
func TestLargeUpdatesAreCompressed(t *testing.T) {
	c := qt.New(t)
	for _, n := range []int{1, 300, 3000} {
		plain, packed := storeUpdateOf(n, false), storeUpdateOf(n, true)
		long, short := forward.AppendStoreUpdate(nil, plain), forward.AppendStoreUpdate(nil, packed)
		if n > 1 {
			c.Check(len(short) < len(long)/4, qt.IsTrue, qt.Commentf("%d of %d bytes", len(short), len(long)))
		}
		// The second follower gets the same bytes.
		c.Check(forward.AppendStoreUpdate(nil, packed), qt.DeepEquals, short)
		var got []forward.StoreUpdate
		r := forward.Reader{StoreUpdate: func(n forward.StoreUpdate) { got = append(got, n) }}
		for _, b := range [][]byte{long, short} {
			used, err := r.Decode(b)
			c.Assert(err, qt.IsNil)
			c.Assert(used, qt.Equals, len(b))
		}
		want := plain.Parts[follow.PartInstances].Body
		for _, u := range got {
			c.Check(u.Parts[follow.PartInstances].Body, qt.DeepEquals, want)
			c.Check(u.Parts[follow.PartInstances].Base, qt.Equals, follow.Version(8))
		}
	}
}

// Guards against an update of broken or endless compressed bytes that takes a host's memory: the link ends.
func TestBrokenCompressedUpdateEndsTheLink(t *testing.T) {
	c := qt.New(t)
	u := storeUpdateOf(300, true)
	part := u.Parts[follow.PartInstances]
	part.Encoded.Bytes = []byte("no gzip")
	u.Parts[follow.PartInstances] = part
	r := forward.Reader{StoreUpdate: func(forward.StoreUpdate) { t.Error("an update that can't be read") }}
	_, err := r.Decode(forward.AppendStoreUpdate(nil, u))
	c.Check(err, qt.IsNotNil)
}

func TestPings(t *testing.T) {
	c := qt.New(t)
	var got []bool
	r := forward.Reader{Ping: func(answer bool) { got = append(got, answer) }}
	b := forward.AppendPing(forward.AppendPing(nil, false), true)
	for len(b) > 0 {
		n, err := r.Decode(b)
		c.Assert(err, qt.IsNil)
		b = b[n:]
	}
	c.Assert(got, qt.DeepEquals, []bool{false, true})
}
