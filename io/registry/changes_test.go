package registry_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/follow"
	"skylarkdeal/io/registry"
)

func ExampleDiff() {
	from := []registry.Entry{{Key: "a", Revision: 1}, {Key: "b", Revision: 2}, {Key: "c", Revision: 3}}
	to := []registry.Entry{{Key: "a", Revision: 1}, {Key: "b", Revision: 7}, {Key: "e", Revision: 8}}
	changes, smaller := registry.Diff(from, to)
	for _, e := range changes {
		fmt.Println(e.Key, e.Deleted)
	}
	fmt.Println(smaller)
	// Output:
	// b false
	// c true
	// e false
	// false
}

// newParser returns a registry whose instances are named by the values of their entries.
func newParser() *registry.Registry {
	cfg := config(newMemStore(), &callbackLog{}, 0, 0, 0)
	cfg.ParseInstance = func(e registry.Entry) (catalog.Instance, error) {
		return catalog.Instance{Name: fleet.Instance(e.Value)}, errEmpty(e)
	}
	return registry.New(cfg)
}

// Guards against changes that give another list than the whole copy: a removed instance that stays, a changed one
// that keeps its former state, or a new one that is missing.
func TestChangesGiveTheWholeCopy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		byChanges, byCopies := newParser(), newParser()
		cache := follow.PartCache[[]registry.Entry]{Diff: registry.Diff}
		has := map[follow.Part]follow.Version{}
		entries := map[int]registry.Entry{}
		for step := range rapid.IntRange(1, 12).Draw(t, "steps") {
			revision := registry.Revision(100 * (step + 1))
			for range rapid.IntRange(1, 3).Draw(t, "changes") {
				n := rapid.IntRange(0, 19).Draw(t, "instance")
				revision++
				if _, ok := entries[n]; ok && rapid.Bool().Draw(t, "remove") {
					delete(entries, n)
					continue
				}
				value := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "state")
				entries[n] = registry.Entry{
					Key: fmt.Sprintf("instances/%02d", n), Value: []byte(fmt.Sprint(n, value)), Revision: revision,
				}
			}
			var body []registry.Entry
			for n := range 20 {
				if e, ok := entries[n]; ok {
					body = append(body, e)
				}
			}
			whole := follow.PartCopy[[]registry.Entry]{
				Version: follow.Version(revision), CompleteTo: revision, HasBody: true, Body: body,
			}
			cache.Put(follow.PartInstances, whole)
			update, ok := byChanges.Expand(follow.PartInstances, cache.ChangesFor(has)[follow.PartInstances])
			if !ok {
				t.Fatal("changes refused")
			}
			byChanges.ApplyPart(follow.PartInstances, update)
			byCopies.ApplyPart(follow.PartInstances, whole)
			got, _ := byChanges.InstancesDigest()
			want, _ := byCopies.InstancesDigest()
			if got != want || byChanges.MembersDigest() != byCopies.MembersDigest() {
				t.Fatalf("digest %d by changes, %d by copies", got, want)
			}
		}
	})
}

// Guards against changes that are applied to another version than the one that they start from.
func TestChangesOfAnotherVersionAreRefused(t *testing.T) {
	c := qt.New(t)
	r := newParser()
	changes := follow.PartCopy[[]registry.Entry]{
		Version: 9, CompleteTo: 9, HasBody: true, ChangesOnly: true, Base: 8,
		Body: []registry.Entry{{Key: "instances/1", Value: []byte("x"), Revision: 9}},
	}
	_, ok := r.Expand(follow.PartInstances, changes)
	c.Check(ok, qt.IsFalse)
	digest, _ := r.InstancesDigest()
	c.Check(digest, qt.Equals, uint64(0))
}

// Guards against an update for each follower that grows with the number of instances when one of them has changed,
// and against heartbeats of all others that count as changes.
func TestChangeOfOneInstanceSendsOneInstance(t *testing.T) {
	c := qt.New(t)
	for _, n := range []int{300, 3000} {
		s := newMemStore()
		cfg := config(s, &callbackLog{}, 0, 0, 0)
		cfg.ParseInstance = func(e registry.Entry) (catalog.Instance, error) {
			var name, state string
			_, err := fmt.Sscan(string(e.Value), &name, &state)
			return catalog.Instance{Name: fleet.Instance(name), Leaving: state == "leaving"}, err
		}
		got := &callbackLog{}
		cfg.Post = func(f func()) { got.locked(f) }
		cache := follow.PartCache[[]registry.Entry]{Diff: registry.Diff}
		cfg.PartRead = func(p follow.Part, o follow.PartCopy[[]registry.Entry]) { cache.Put(p, o) }
		for i := range n {
			s.put(fmt.Sprintf("instances/%04d", i), fmt.Sprint("i", i, " ready 1"))
		}
		r := start(c, cfg)
		until(c, got, "the list", func() bool {
			digest, _ := r.InstancesDigest()
			return digest != 0
		})
		has := map[follow.Part]follow.Version{}
		until(c, got, "the copy", func() bool { return cache.ChangesFor(has)[follow.PartInstances].HasBody })
		for i := range n {
			s.put(fmt.Sprintf("instances/%04d", i), fmt.Sprint("i", i, " ready 2"))
		}
		s.put("instances/0007", "i7 leaving 3")
		var update follow.PartCopy[[]registry.Entry]
		until(c, got, "the change", func() bool {
			update = cache.ChangesFor(has)[follow.PartInstances]
			return update.HasBody
		})
		c.Check(update.ChangesOnly, qt.IsTrue)
		c.Check(update.Body, qt.HasLen, 1, qt.Commentf("%d instances", n))
	}
}
