package document

import (
	"fmt"
	"strings"
)

// maxLCSCells bounds the work of Diff; beyond it whole texts are shown.
const maxLCSCells = 4_000_000

// Diff returns the lines in which b differs from a, marked - and +, each with
// its section. What stands at a key of an account is left out.
func Diff(before, after []byte) string {
	oldLines, newLines := splitLines(before), splitLines(after)
	var out strings.Builder
	section := ""
	show := func(mark string, l line) {
		if l.section != section {
			section = l.section
			fmt.Fprintf(&out, "  %s\n", section)
		}
		fmt.Fprintf(&out, "%s %s\n", mark, l.redacted)
	}
	for len(oldLines) > 0 && len(newLines) > 0 && oldLines[0] == newLines[0] {
		oldLines, newLines = oldLines[1:], newLines[1:]
	}
	if len(oldLines)*len(newLines) > maxLCSCells {
		for _, l := range oldLines {
			show("-", l)
		}
		for _, l := range newLines {
			show("+", l)
		}
		return out.String()
	}
	writeEdits(oldLines, newLines, lcsLengths(oldLines, newLines), show)
	return out.String()
}

// line is one line of a text, with the line of the section that it is in.
type line struct {
	section  string
	text     string
	redacted string
}

func splitLines(text []byte) []line {
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
		l = append(l, line{section, s, redactVerifier(s)})
	}
	return l
}

func redactVerifier(s string) string {
	k, _, ok := strings.Cut(s, "=")
	if ok && strings.HasPrefix(s, keyPrefix) {
		return k + "= (not shown)"
	}
	return s
}

// lcsLengths returns the lengths of the longest common subsequences of all tails.
func lcsLengths(oldLines, newLines []line) [][]int32 {
	lengths := make([][]int32, len(oldLines)+1)
	for n := range lengths {
		lengths[n] = make([]int32, len(newLines)+1)
	}
	for i := len(oldLines) - 1; i >= 0; i-- {
		for j := len(newLines) - 1; j >= 0; j-- {
			if oldLines[i] == newLines[j] {
				lengths[i][j] = lengths[i+1][j+1] + 1
				continue
			}
			lengths[i][j] = max(lengths[i+1][j], lengths[i][j+1])
		}
	}
	return lengths
}

func writeEdits(oldLines, newLines []line, lengths [][]int32, show func(mark string, l line)) {
	i, j := 0, 0
	for i < len(oldLines) || j < len(newLines) {
		switch {
		case i < len(oldLines) && j < len(newLines) && oldLines[i] == newLines[j]:
			i, j = i+1, j+1
		case j == len(newLines) || i < len(oldLines) && lengths[i+1][j] >= lengths[i][j+1]:
			show("-", oldLines[i])
			i++
		default:
			show("+", newLines[j])
			j++
		}
	}
}
