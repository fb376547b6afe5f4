package group_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/group"
)

func TestMain(m *testing.M) {
	// A fixed seed gives the same result in each run. The command line can set another.
	_ = flag.Set("rapid.seed", "1202")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", "5s")
	os.Exit(m.Run())
}

// Guards against a write that is acknowledged and then lost when the primary fails, and
// against a read through another host that misses it. Meanwhile links are cut, hosts
// restart during a promotion, answers are lost, late or out of order, and several hosts
// promote at the same time.
func TestModelKeepsAcknowledgedWrites(t *testing.T) {
	for _, n := range []int{3, 5} {
		for _, rule := range []document.Acknowledge{document.AcknowledgeReplicated, document.AcknowledgePrimary} {
			t.Run(fmt.Sprintf("%d instances %s", n, rule), func(t *testing.T) {
				t.Parallel()
				stats := make(map[string]int)
				rapid.Check(t, func(t *rapid.T) {
					m := newModel(n, 3)
					m.acknowledge = rule
					m.start()
					m.stats = stats
					pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
					for range 2000 {
						if err := m.step(pick); err != nil {
							t.Fatal(err)
						}
					}
				})
				t.Logf("%v", stats)
				for _, k := range []string{"acknowledged", "unknown", "promoted", "read by replica", "read by primary"} {
					if stats[k] < 300 {
						t.Errorf("%d × %s: too few to be conclusive", stats[k], k)
					}
				}
			})
		}
	}
}

func runSteps(m *model, seed uint64, steps int) error {
	r := rand.New(rand.NewPCG(seed, 1))
	for n := range steps {
		if err := m.step(r.IntN); err != nil {
			return fmt.Errorf("seed %d step %d: %w", seed, n, err)
		}
	}
	return nil
}

// TestModelFindsEveryMissingGuard removes one rule at a time and expects the model to
// report a fault. A model that reports none doesn't test that rule.
func TestModelFindsEveryMissingGuard(t *testing.T) {
	unfenced := func(f func(o group.Observation, n fleet.Term, since time.Time) bool) group.Rules {
		return group.Rules{Unfenced: f}
	}
	tests := []struct {
		guard string
		rules group.Rules
		set   func(m *model)
	}{
		{guard: "majority", rules: group.Rules{Majority: func(n int) int { return n / 2 }}},
		{guard: "promised term", rules: unfenced(func(o group.Observation, _ fleet.Term, since time.Time) bool {
			return o.Known() && !o.Sent.Before(since)
		})},
		{
			guard: "asked after the commit",
			rules: unfenced(func(o group.Observation, n fleet.Term, _ time.Time) bool {
				return o.Known() && o.Status.Promised == n
			}),
			set: func(m *model) { m.acknowledge = document.AcknowledgePrimary },
		},
		{guard: "holds the write", rules: group.Rules{HasEntry: func(group.Observation, fleet.LogPosition) bool {
			return true
		}}},
		{guard: "fence accepted", rules: group.Rules{
			Fenced: func(fleet.Status, error, fleet.Term) bool { return true },
		}},
		{guard: "highest", rules: group.Rules{
			MostAdvanced: func(f map[fleet.Instance]fleet.Status, members []fleet.Instance) fleet.Instance {
				for _, m := range members {
					if _, ok := f[m]; ok {
						return m
					}
				}
				return ""
			},
		}},
		{guard: "unique proposer", set: func(m *model) {
			m.proposer = func(h *host) fleet.Host { return fleet.Host(fmt.Sprint(h.index)) }
		}},
		{guard: "age from the status request", set: func(m *model) {
			m.askedAt = func(_, received time.Time) time.Time { return received }
		}},
	}
	for _, tt := range tests {
		t.Run(tt.guard, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(400) {
				m := newModel(3, 3)
				m.rules = tt.rules
				if tt.set != nil {
					tt.set(m)
				}
				m.start()
				if err := runSteps(m, seed, 2000); err != nil {
					t.Logf("found: %v", err)
					return
				}
			}
			t.Fatal("the model reports no fault without the guard")
		})
	}
}
