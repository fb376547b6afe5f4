package groupmonitor

import (
	"slices"
	"time"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
)

func (s *Steward) adopt(now time.Time) {
	d := s.cfg.Document()
	if d == nil || d == s.doc {
		return
	}
	s.doc = d
	s.group.Configure(now, d.Instances)
	s.policy.KeepStalled = d.Acknowledge == document.AcknowledgePrimary
	links := make(map[fleet.Instance]*link, len(d.Instances))
	for _, i := range d.Instances {
		l := s.links[i.Name]
		if l != nil && l.address == i.Address {
			links[i.Name] = l
			delete(s.links, i.Name)
			continue
		}
		links[i.Name] = s.connect(i)
	}
	for _, l := range s.links {
		l.close()
	}
	s.links = links
	s.note(now, "configure", "a document is in effect")
}

// memberLife is how long the holders are remembered: to rank hundreds of hosts
// at each step would cost more than all else a step does.
const memberLife = 100 * time.Millisecond

func (s *Steward) recall(now time.Time) {
	if s.cfg.Holders == nil || now.Sub(s.membersAt) < memberLife {
		return
	}
	s.members, s.membersAt = s.cfg.Holders(), now
}

// restAfter is how long a host that holds the group no more keeps its
// connections: its last transactions may still have a commit to confirm.
const restAfter = 2 * time.Second

// resting reports whether the host has no more use for the instances. In a fleet
// whose hosts come and go, every host would else end up with a connection to
// every instance, and the holders would find none left.
func (s *Steward) resting(now time.Time) bool {
	holds := s.cfg.Holders == nil || slices.ContainsFunc(s.members, func(m fleet.Member) bool {
		return m.Host == s.cfg.Host
	})
	if holds || len(s.waiting) > 0 || s.change.promotion != nil {
		s.needed = now
	}
	return now.Sub(s.needed) > restAfter
}

func (s *Steward) rest(now time.Time) {
	if s.doc == nil {
		return
	}
	for _, l := range s.links {
		l.close()
	}
	clear(s.links)
	s.doc = nil
	s.group.Configure(now, nil)
	s.note(now, "rest", "this host no longer holds the group")
}
