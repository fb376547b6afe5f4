package document

import (
	"fmt"
	"strings"
)

// maxDiffCells bounds the work of Diff; beyond it whole texts are shown.
const maxDiffCells = 4_000_000

// Diff returns the lines in which b differs from a, marked - and +, each with
// its section. What stands at a key of an account is left out.
func Diff(a, b []byte) string {
	x, y := lines(a), lines(b)
	var out strings.Builder
	section := ""
	show := func(mark string, l line) {
		if l.section != section {
			section = l.section
			fmt.Fprintf(&out, "  %s\n", section)
		}
		fmt.Fprintf(&out, "%s %s\n", mark, l.shown)
	}
	for len(x) > 0 && len(y) > 0 && x[0] == y[0] {
		x, y = x[1:], y[1:]
	}
	if len(x)*len(y) > maxDiffCells {
		for _, l := range x {
			show("-", l)
		}
		for _, l := range y {
			show("+", l)
		}
		return out.String()
	}
	walk(x, y, common(x, y), show)
	return out.String()
}

// line is one line of a text, with the line of the section that it is in.
type line struct {
	section string
	text    string
	shown   string
}

func lines(text []byte) []line {
	var l []line
	section := ""
	for s := range strings.Lines(string(text)) {
		s = strings.TrimSpace(s)
		if s == "" {
			continue
		}
		if s[0] == '[' {
			section = s
		}
		l = append(l, line{section, s, withoutVerifier(s)})
	}
	return l
}

func withoutVerifier(s string) string {
	k, _, ok := strings.Cut(s, "=")
	if ok && strings.HasPrefix(s, keyPrefix) {
		return k + "= (not shown)"
	}
	return s
}

// common returns the lengths of the longest common subsequences of all tails.
func common(x, y []line) [][]int32 {
	t := make([][]int32, len(x)+1)
	for n := range t {
		t[n] = make([]int32, len(y)+1)
	}
	for i := len(x) - 1; i >= 0; i-- {
		for j := len(y) - 1; j >= 0; j-- {
			if x[i] == y[j] {
				t[i][j] = t[i+1][j+1] + 1
				continue
			}
			t[i][j] = max(t[i+1][j], t[i][j+1])
		}
	}
	return t
}

func walk(x, y []line, t [][]int32, show func(mark string, l line)) {
	i, j := 0, 0
	for i < len(x) || j < len(y) {
		switch {
		case i < len(x) && j < len(y) && x[i] == y[j]:
			i, j = i+1, j+1
		case j == len(y) || i < len(x) && t[i+1][j] >= t[i][j+1]:
			show("-", x[i])
			i++
		default:
			show("+", y[j])
			j++
		}
	}
}
