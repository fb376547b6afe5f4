package document

import (
	"fmt"
	"strings"
)

// maxLCSCells limits the size of the table that Diff computes. Where the table would be
// larger, Diff shows all lines after the common start as removed and added.
const maxLCSCells = 4_000_000

// Diff returns the lines removed from before, marked -, and those added in after,
// marked +, under their sections. Verifiers are redacted.
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

// line is one line of a document, without the spaces around it.
type line struct {
	// section is the header line of the section that the line is in.
	section string
	text    string
	// redacted is text without the verifier, if it has one.
	redacted string
}

// splitLines returns the lines of text that are not empty.
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

// lcsLengths returns a table whose entry [i][j] is the length of the longest common
// subsequence of oldLines[i:] and newLines[j:].
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

// writeEdits calls show for each line that is not in the longest common subsequence, in
// order. lengths is the result of lcsLengths.
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
