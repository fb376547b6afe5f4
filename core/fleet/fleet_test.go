package fleet_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"skylarkdeal/core/fleet"
)

func ExampleLogPosition_Covers() {
	token := fleet.LogPosition{Term: 3, Index: 40}
	lagging := fleet.LogPosition{Term: 3, Index: 39}
	promoted := fleet.LogPosition{Term: 4, Index: 41}
	fmt.Println(lagging.Covers(token), promoted.Covers(token))
	// Output: false true
}

func TestLogPositionTextRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := fleet.LogPosition{
			Term:  fleet.Term(rapid.Uint64().Draw(t, "term")),
			Index: fleet.LogIndex(rapid.Uint64().Draw(t, "position")),
		}
		got, err := fleet.ParseLogPosition(p.String())
		if err != nil || got != p {
			t.Fatalf("ParseLogPosition(%q) = %v, %v", p, got, err)
		}
	})
}

func TestParseLogPositionRejectsMalformedText(t *testing.T) {
	c := qt.New(t)
	for _, s := range []string{"", "3", "a.1", "1.b", "-1.2", "1.2.3", "1. 2"} {
		_, err := fleet.ParseLogPosition(s)
		c.Check(err, qt.IsNotNil, qt.Commentf("%q", s))
	}
}
