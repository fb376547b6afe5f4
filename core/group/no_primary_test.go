package group_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/group"
)

// A host restarts while the primary has no connection left for it. Both replicas report
// that term 1 is promised, and the host knows no primary of that term. If it promoted a
// replica, callers' writes in progress would end as unknown although nothing has failed.
// The view of another host, or SoleObserverAfter, has to prevent that.
func TestHostThatHasNotReachedThePrimaryDoesNotPromote(t *testing.T) {
	c := qt.New(t)
	p := newPoller()
	p.unreachable["a"] = true
	p.run(time.Second)
	c.Assert(p.assess().Cause, qt.Equals, group.CauseNone)

	other := group.View{Host: "h1", DataCentre: "dc-b", Instances: []group.InstanceView{{
		Instance: "a", Reachable: true, Term: 1, Role: fleet.RolePrimary, Last: fleet.LogPosition{Term: 1, Index: 9},
	}}}
	p.run(9 * time.Second)
	c.Assert(p.assess(other).Cause, qt.Equals, group.CauseNone)
	// No host reaches the primary: the group must not stay without one for ever.
	c.Assert(p.assess().Cause, qt.Equals, group.CauseSoleObserver)
	other.Instances[0].Last.Term = 0 // fenced: its last entry is of an earlier term
	c.Assert(p.assess(other).Cause, qt.Equals, group.CauseSilent)
}
