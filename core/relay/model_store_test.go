package relay_test

import (
	"time"

	"skylarkdeal/core/leader"
	"skylarkdeal/core/times"
)

// leaseState is the state of a registration in the store.
type leaseState struct {
	ended   bool
	renewed time.Time
	// registering is set from when the registration is found to have ended until the host has registered
	// again and read the records.
	registering bool
}

// storeView is how the host under test learns of the store: by a registration of its own, or by the news
// of one of two readers.
type storeView struct {
	m       *model
	readers []*storeReader
	// cutOff is set while nothing comes from the store.
	cutOff bool
	// follows is set for a host without a registration. It follows a reader since followedSince.
	follows       bool
	followed      int
	followedSince time.Time
}

// storeReader is a host with a registration.
type storeReader struct {
	v     *storeView
	n     int
	lease leaseState
	// own is when its last renewal was sent, zero once the registration has ended; known is the last record
	// that it has read.
	own   time.Time
	known *leader.Record
	// newsAt is when its last news reaches the follower.
	newsAt time.Time
}

func (m *model) startStoreView() {
	v := &m.store
	v.m, v.follows = m, m.r.IntN(3) == 0
	n := 1
	if v.follows {
		n = 2
	}
	for i := range n {
		r := &storeReader{v: v, n: i, own: m.now, lease: leaseState{renewed: m.now}}
		v.readers = append(v.readers, r)
		m.every(300, 300, r.renew)
		if v.follows {
			m.every(1000, 1000, r.tell)
		}
	}
	m.relay.LeaseRenewed(m.now)
}

// restart makes the host under test start anew: it registers again, or follows a reader.
func (v *storeView) restart() {
	if v.follows {
		v.follow(v.m.r.IntN(len(v.readers)))
		return
	}
	r := v.readers[0]
	r.lease, r.own, r.known = leaseState{ended: true, registering: true}, time.Time{}, nil
	v.after(v.m.randomMillis(0, 100), r.register)
}

// follow makes the host follow another reader, whose news count from its answer to a request on.
func (v *storeView) follow(n int) {
	v.followed, v.followedSince = n, v.m.now.Add(v.m.randomMillis(0, 30))
	v.m.at(v.followedSince, v.readers[n].tell)
}

// after runs f after a time, unless the host under test has started anew and reads the store itself.
func (v *storeView) after(d time.Duration, f func()) {
	r := v.m.relay
	v.m.after(d, func() {
		if v.follows || v.m.relay == r {
			f()
		}
	})
}

// renew renews the registration, or registers again if that has ended.
func (r *storeReader) renew() {
	m, sent := r.v.m, r.v.m.now
	r.v.after(m.randomMillis(0, 30), func() {
		if r.v.cutOff || r.lease.registering {
			return
		}
		if r.lease.ended || m.now.Sub(r.lease.renewed) > registrationLifetime {
			r.lease.registering = true
			r.v.after(m.randomMillis(0, 30), func() {
				r.lost()
				r.v.after(m.randomMillis(5, 250), r.register)
			})
			return
		}
		r.lease.renewed = m.now
		r.v.after(m.randomMillis(0, 30), func() { r.renewed(sent) })
	})
}

// register registers the host and then makes it read the records.
func (r *storeReader) register() {
	m := r.v.m
	if r.v.cutOff {
		r.v.after(m.randomMillis(100, 250), r.register)
		return
	}
	r.lease = leaseState{renewed: m.now, registering: true}
	sent := m.now
	r.v.after(m.randomMillis(0, 20), func() {
		o := m.record
		r.v.after(m.randomMillis(0, 20), func() {
			r.lease.registering = false
			r.read(o)
			r.renewed(sent)
		})
	})
}

// read takes in a record.
func (r *storeReader) read(o *leader.Record) {
	if o == nil || r.known != nil && o.Revision <= r.known.Revision {
		return
	}
	r.known = o
	if !r.v.follows {
		r.v.m.relay.AddRecord(*o)
		return
	}
	r.tell()
}

func (r *storeReader) renewed(sent time.Time) {
	r.own = times.Later(r.own, sent)
	if !r.v.follows {
		r.v.m.relay.LeaseRenewed(sent)
		return
	}
	r.tell()
}

func (r *storeReader) lost() {
	r.own = time.Time{}
	if !r.v.follows {
		r.v.m.relay.LeaseLost()
		return
	}
	r.tell()
}

// tell passes on what the reader knows. The follower translates the time of the renewal into an earlier
// one.
func (r *storeReader) tell() {
	v, m := r.v, r.v.m
	host, told, known, own := m.relay, m.now, r.known, r.own
	r.newsAt = times.Later(r.newsAt, m.now.Add(m.randomMillis(0, 100)))
	m.at(r.newsAt, func() {
		if m.relay != host || v.followed != r.n || told.Before(v.followedSince) {
			return
		}
		if known != nil {
			host.AddRecord(*known)
		}
		if own.IsZero() {
			host.LeaseLost()
			return
		}
		host.LeaseRenewed(own.Add(-m.randomMillis(0, 200)))
	})
}

// readRecords makes a host with a registration read the records, unless it is cut off from the store.
func (m *model) readRecords() {
	v := &m.store
	if v.follows {
		return
	}
	v.after(m.randomMillis(1, 60), func() {
		o := m.record
		if !v.cutOff {
			v.after(m.randomMillis(0, 30), func() { v.readers[0].read(o) })
		}
	})
}

// endRegistrations ends all registrations, as the failover coordinator does before it requests a
// promotion.
func (m *model) endRegistrations() {
	for _, r := range m.store.readers {
		r.lease.ended = true
	}
}
