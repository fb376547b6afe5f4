package forward_test

import (
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
