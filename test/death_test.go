package test_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"

	"skylarkdeal/core/fleet"
)

// heldState is what a scenario reads of a host's view of a group.
type heldState struct {
	Service fleet.Service `json:"service"`
	Holds   bool          `json:"holds"`
	Pins    int           `json:"pins"`
}

func (g *group) heldBy(t testing.TB, h *host) heldState {
	t.Helper()
	var s struct {
		Groups []heldState `json:"groups"`
	}
	qt.Assert(t, json.Unmarshal([]byte(h.dump(t)), &s), qt.IsNil)
	for _, x := range s.Groups {
		if x.Service == g.Name {
			return x
		}
	}
	return heldState{}
}

// holderAndEntry returns a host that holds connections to the group and one that
// forwards to it.
func (g *group) holderAndEntry(t testing.TB) (holder, entry *host) {
	t.Helper()
	eventually(t, func() error {
		holder, entry = nil, nil
		for _, h := range g.fleet.hosts {
			if g.heldBy(t, h).Holds {
				holder = h
			} else {
				entry = h
			}
		}
		if holder == nil || entry == nil {
			return fmt.Errorf("no host holds %s, or all do", g.Name)
		}
		return nil
	})
	return holder, entry
}

// others returns the hosts without h.
func (f *runningFleet) others(h *host) []*host {
	return slices.DeleteFunc(slices.Clone(f.hosts), func(o *host) bool { return o == h })
}

// openWithdrawal begins a transaction that has written, over h.
func openWithdrawal(t testing.TB, g *group, h *host, key string) *pgx.Conn {
	t.Helper()
	ctx := testContext(t)
	c, err := g.connect(ctx, h, "")
	qt.Assert(t, err, qt.IsNil)
	for _, q := range []string{"begin", "put " + key + " revoked"} {
		_, err = c.Exec(ctx, q)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", q))
	}
	return c
}

// A host dies between a withdrawal and its COMMIT. It was the entry host, and its
// holder keeps a connection with the open transaction: the holder has to roll it
// back and use the connection no more, or the next caller's statements would
// join the withdrawal. All others go on, each write as before.
func TestDeathOfTheEntryHostRollsItsTransactionBack(t *testing.T) {
	f := startFleet(t, 4)
	g := f.addHeldGroup(t, "entry-dies", 1)
	holder, entry := g.holderAndEntry(t)
	// The session is closed after the death only: one that nobody refers to is closed by the garbage collector.
	c := openWithdrawal(t, g, entry, "bottle")
	defer closeSession(c)
	qt.Assert(t, g.heldBy(t, holder).Pins, qt.Equals, 1)
	w := g.write(f.others(entry), 3)
	w.more(t, 20)
	entry.kill()
	eventually(t, func() error {
		if n := g.heldBy(t, holder).Pins; n != 0 {
			return fmt.Errorf("%d transactions are open at the holder", n)
		}
		return nil
	})
	w.more(t, 20)
	all := w.end()
	t.Log(w.summary())
	judge(t, g.record(t, ""), all)
	g.assertNever(t, "bottle")
}

// assertNever checks that no entry of the log has changed key.
func (g *group) assertNever(t testing.TB, key string) {
	t.Helper()
	for _, e := range g.record(t, "").Entries {
		for _, o := range e.Ops {
			if o.Key == key {
				t.Errorf("entry %s has %v", e.Point, o)
			}
		}
	}
}

// The one holder of a group dies with a withdrawal open whose caller is connected
// to another host. The caller's COMMIT must not be acknowledged, and nothing of
// the withdrawal stays. Another host becomes the holder, and the group goes on.
func TestDeathOfTheHolderRollsItsTransactionBack(t *testing.T) {
	f := startFleet(t, 4)
	g := f.addHeldGroup(t, "holder-dies", 1)
	holder, entry := g.holderAndEntry(t)
	c := openWithdrawal(t, g, entry, "bottle")
	w := g.write(f.others(holder), 3)
	w.more(t, 20)
	holder.kill()
	tag, err := c.Exec(testContext(t), "commit")
	if err == nil && tag.String() == "COMMIT" {
		t.Error("COMMIT was acknowledged without its holder")
	}
	closeSession(c)
	w.more(t, 20)
	all := w.end()
	t.Log(w.summary())
	judge(t, g.record(t, ""), all)
	g.assertNever(t, "bottle")
}

// pauseTime is how long a host is stopped: longer than suspicion needs.
const pauseTime = 2 * time.Second

// The one holder of a group is stopped for 2 s in the middle of answers and then
// wakes, as a host of an overcommitted machine does. Others may have taken its
// duties over, or promoted an instance. What it answers on waking must be true
// all the same: an acknowledged order is in the log, once.
func TestPausedHostAcknowledgesNothingThatIsLost(t *testing.T) {
	f := startFleet(t, 4)
	g := f.addHeldGroup(t, "pause", 1)
	holder, _ := g.holderAndEntry(t)
	w := g.write(f.hosts, 4)
	w.more(t, 20)
	_, before := g.primary(t)
	holder.signal(syscall.SIGSTOP)
	time.Sleep(pauseTime) // the fault's own duration
	holder.signal(syscall.SIGCONT)
	w.more(t, 40)
	all := w.end()
	_, after := g.primary(t)
	t.Logf("term %d before, %d after; %s", before, after, w.summary())
	judge(t, g.record(t, ""), all)
}

// besides returns a holder of the group in the data centre of a host that holds
// nothing, so that this one forwards there first.
func (g *group) besides(t testing.TB) *host {
	t.Helper()
	_, entry := g.holderAndEntry(t)
	for _, h := range g.fleet.others(entry) {
		if h.centre == entry.centre && g.heldBy(t, h).Holds {
			return h
		}
	}
	t.Fatalf("no holder beside %s", entry.name)
	return nil
}

// One of the hosts that hold connections to a group dies under load, with answers
// owed to callers of other hosts. What it had in progress ends with an unknown
// outcome; all else is sent to the other holders and accepted, also before the
// fleet knows that the host is gone, so that no later write is refused.
func TestDeathOfOneOfTheHoldersRefusesNoWrite(t *testing.T) {
	f := startFleet(t, 4)
	g := f.addGroup(t, "one-holder-dies")
	holder := g.besides(t)
	const callers = 4
	w := g.write(f.others(holder), callers)
	w.more(t, 40)
	holder.kill()
	w.more(t, 200)
	all := w.end()
	t.Log(w.summary())
	judge(t, g.record(t, ""), all)
	refused, inProgress := 0, 0
	for _, s := range all {
		switch {
		case s.cut || s.outcome == unknown:
			inProgress++
		case s.outcome == notRun:
			refused++
		}
	}
	if refused > 0 || inProgress > callers {
		t.Errorf("%d writes were refused and %d were cut off", refused, inProgress)
	}
}

// A holder is stopped with answers of the primary in its hands, the primary dies
// and the other hosts promote an instance. Then the holder wakes and still
// believes in the old primary. What it answers late must be true in the new
// term, and what it does next must not reach the old one.
func TestHostThatWakesAfterAPromotion(t *testing.T) {
	f := startFleet(t, 4)
	g := f.addGroup(t, "wakes-late")
	holder := g.besides(t)
	w := g.write(f.hosts, 6)
	w.more(t, 40)
	_, term := g.primary(t)
	holder.signal(syscall.SIGSTOP)
	g.fault(t, "instance=primary&kind=die")
	eventually(t, func() error {
		if _, now := g.primary(t); now <= term {
			return fmt.Errorf("no instance was promoted; %s", w.summary())
		}
		return nil
	})
	w.more(t, 20)
	holder.signal(syscall.SIGCONT)
	g.fault(t, "instance=a&kind=die&clear=true")
	w.more(t, 60)
	g.served(t, holder)
	all := w.end()
	t.Log(w.summary())
	judge(t, g.record(t, ""), all)
}
