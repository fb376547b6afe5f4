// Package inifile reads INI text and reports all mistakes in it together, each
// with its line. It is used for the settings of a host and for the documents of
// services.
package inifile

import (
	"fmt"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// Mistake is one invalid, missing or unknown item in a file.
type Mistake struct {
	File string `json:"file"`
	// Line counts from 1. It is zero if the mistake has no line, such as a missing section.
	Line    int    `json:"line"`
	Section string `json:"section"`
	Key     string `json:"key"`
	// Found is the value in the file, or a description of what is there. It is empty
	// where the text may be a secret.
	Found string `json:"found"`
	// Expected describes what is valid there.
	Expected string `json:"expected"`
}

// String returns the mistake as one line, without a line break.
func (m Mistake) String() string {
	var b strings.Builder
	b.WriteString(m.File)
	if m.Line > 0 {
		fmt.Fprintf(&b, ":%d", m.Line)
	}
	b.WriteString(":")
	if m.Section != "" {
		fmt.Fprintf(&b, " [%s]", m.Section)
	}
	if m.Key != "" {
		fmt.Fprintf(&b, " %s:", m.Key)
	}
	if m.Found != "" {
		fmt.Fprintf(&b, " found %s,", m.Found)
	}
	fmt.Fprintf(&b, " expected %s", m.Expected)
	return b.String()
}

// Mistakes is an error that holds all mistakes of one file, sorted by line.
type Mistakes []Mistake

// Error returns one line for each mistake.
func (m Mistakes) Error() string {
	l := make([]string, len(m))
	for n, e := range m {
		l[n] = e.String()
	}
	return strings.Join(l, "\n")
}

// File is INI text that is being read. It collects the mistakes that Err returns.
type File struct {
	name     string
	ini      *ini.File
	lines    map[location]int
	mistakes Mistakes
}

// location is a key of a section, or the section itself if key is empty.
type location struct{ section, key string }

// MaxSize is the largest size of a file in bytes. The platform's store holds
// values of up to a megabyte.
const MaxSize = 1 << 20

// Read parses text as INI. name is the file name in the mistakes. Quotes around
// values are removed. Escapes, continued lines and references to other keys are not
// supported. Text above MaxSize is a mistake and reads as empty.
func Read(name string, text []byte) *File {
	f := &File{name: name, lines: map[location]int{}}
	if len(text) > MaxSize {
		f.AddMissing("", "", fmt.Sprintf("at most %d bytes", MaxSize))
		text = nil
	}
	f.scan(string(text))
	parsed, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:       true,
		KeyValueDelimiters:       "=",
		SkipUnrecognizableLines:  true,
		SpaceBeforeInlineComment: true,
	}, text)
	if err != nil {
		f.AddMissing("", "", "INI text")
		parsed = ini.Empty()
	}
	f.ini = parsed
	return f
}

// scan records the lines of sections and keys. It also finds mistakes that the INI
// library ignores, such as a duplicate key, of which the library uses the last value.
func (f *File) scan(text string) {
	section := ""
	n := 0
	for line := range strings.Lines(text) {
		n++
		line = strings.TrimSpace(line)
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			section = f.scanSection(n, line)
		default:
			f.scanKey(n, section, line)
		}
	}
}

// scanSection records the section whose header is line n and returns its name. A header
// without a closing bracket is a mistake, and its name is empty.
func (f *File) scanSection(n int, line string) string {
	end := strings.LastIndexByte(line, ']')
	if end < 0 {
		f.addMistake(n, "", "", "", "a section's name between [ and ]")
		return ""
	}
	s := strings.TrimSpace(line[1:end])
	f.recordLine(n, s, "")
	return s
}

func (f *File) scanKey(n int, section, line string) {
	key, _, ok := strings.Cut(line, "=")
	if !ok {
		f.addMistake(n, section, "", "", "key = value")
		return
	}
	f.recordLine(n, section, strings.TrimSpace(key))
}

// recordLine records the line of a section or key. A duplicate is a mistake.
func (f *File) recordLine(n int, section, key string) {
	p := location{section, key}
	if first, ok := f.lines[p]; ok {
		f.addMistake(n, section, key, "it a second time", fmt.Sprintf("it once, at line %d", first))
		return
	}
	f.lines[p] = n
}

// Sections returns the names of the sections in the order of the file.
func (f *File) Sections() []string {
	var s []string
	for _, n := range f.ini.SectionStrings() {
		if n != ini.DefaultSection {
			s = append(s, n)
		}
	}
	return s
}

// Section returns the section named name. A section that isn't in the file reads as
// an empty one.
func (f *File) Section(name string) *Section {
	s := &Section{file: f, name: name, requested: map[string]bool{}}
	if f.ini.HasSection(name) {
		s.ini = f.ini.Section(name)
	}
	return s
}

// Line returns the line of a key, or of its section if key is empty or not in the
// section, or zero if neither is in the file.
func (f *File) Line(section, key string) int {
	if n, ok := f.lines[location{section, key}]; ok {
		return n
	}
	return f.lines[location{section, ""}]
}

// AddInvalid records a mistake: the section or key holds found instead of what was
// expected. found must not contain a value that may be a secret.
func (f *File) AddInvalid(section, key, found, expected string) {
	f.addMistake(f.Line(section, key), section, key, found, expected)
}

// AddMissing records a mistake: what was expected is not there.
func (f *File) AddMissing(section, key, expected string) {
	f.AddInvalid(section, key, "nothing", expected)
}

// addMistake records a mistake. It omits a key that doesn't look like one, because on a
// line that lacks the key, a secret that contains = would be taken for one.
func (f *File) addMistake(line int, section, key, found, expected string) {
	if !looksLikeKey(key) {
		key = ""
	}
	f.mistakes = append(f.mistakes, Mistake{
		File: f.name, Line: line, Section: section, Key: key, Found: found, Expected: expected,
	})
}

// maxKeyLength is longer than the name of any key and shorter than a secret should
// be.
const maxKeyLength = 32

func looksLikeKey(key string) bool {
	for p := range strings.SplitSeq(key, ".") {
		if !IsName(strings.ToLower(p)) {
			return false
		}
	}
	return len(key) <= maxKeyLength
}

// RejectKeysOutsideSections records a mistake for each key before the first section.
func (f *File) RejectKeysOutsideSections() {
	for _, k := range f.ini.Section(ini.DefaultSection).Keys() {
		f.AddInvalid("", k.Name(), "a key outside any section", "it in a section")
	}
}

// Err returns all mistakes as a Mistakes, sorted by line, or nil if there are none.
func (f *File) Err() error {
	if len(f.mistakes) == 0 {
		return nil
	}
	slices.SortStableFunc(f.mistakes, func(a, b Mistake) int { return a.Line - b.Line })
	return f.mistakes
}

// WithFile returns a copy of m with file as the file name of each mistake.
func (m Mistakes) WithFile(file string) Mistakes {
	out := slices.Clone(m)
	for n := range out {
		out[n].File = file
	}
	return out
}
