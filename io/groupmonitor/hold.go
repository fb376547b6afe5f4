package groupmonitor

import (
	"slices"
	"time"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
)

func (s *Monitor) applyDocument(now time.Time) {
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
	s.recordDecision(now, "configure", "a document is in effect")
}

// maxMembersAge is how long the list of holders is cached: ranking hundreds of
// hosts at each step would cost more than the rest of the step.
const maxMembersAge = 100 * time.Millisecond

func (s *Monitor) refreshMembers(now time.Time) {
	if s.cfg.Holders == nil || now.Sub(s.membersAt) < maxMembersAge {
		return
	}
	s.members, s.membersAt = s.cfg.Holders(), now
}

// idleTimeout is how long a host that no longer holds the group keeps its
// connections: its last transactions may still have a commit to confirm.
const idleTimeout = 2 * time.Second

// isIdle reports whether the host no longer needs its connections to the
// instances. In a fleet whose hosts come and go, every host would otherwise end
// up with a connection to every instance, and the holders would find none free.
func (s *Monitor) isIdle(now time.Time) bool {
	isHolder := s.cfg.Holders == nil || slices.ContainsFunc(s.members, func(m fleet.Member) bool {
		return m.Host == s.cfg.Host
	})
	if isHolder || len(s.waiting) > 0 || s.change.promotion != nil {
		s.lastNeededAt = now
	}
	return now.Sub(s.lastNeededAt) > idleTimeout
}

func (s *Monitor) disconnect(now time.Time) {
	if s.doc == nil {
		return
	}
	for _, l := range s.links {
		l.close()
	}
	clear(s.links)
	s.doc = nil
	s.group.Configure(now, nil)
	s.recordDecision(now, "rest", "this host no longer holds the group")
}
