package fleet_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"skylarkdeal/core/fleet"
)

func ExamplePoint_Covers() {
	token := fleet.Point{Term: 3, Position: 40}
	lagging := fleet.Point{Term: 3, Position: 39}
	promoted := fleet.Point{Term: 4, Position: 41}
	fmt.Println(lagging.Covers(token), promoted.Covers(token))
	// Output: false true
}

func TestPointTextRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := fleet.Point{
			Term:     fleet.Term(rapid.Uint64().Draw(t, "term")),
			Position: fleet.Position(rapid.Uint64().Draw(t, "position")),
		}
		got, err := fleet.ParsePoint(p.String())
		if err != nil || got != p {
			t.Fatalf("ParsePoint(%q) = %v, %v", p, got, err)
		}
	})
}

func TestParsePointRefusesOtherText(t *testing.T) {
	c := qt.New(t)
	for _, s := range []string{"", "3", "a.1", "1.b", "-1.2", "1.2.3", "1. 2"} {
		_, err := fleet.ParsePoint(s)
		c.Check(err, qt.IsNotNil, qt.Commentf("%q", s))
	}
}
