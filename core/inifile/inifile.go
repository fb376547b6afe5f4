// Package inifile reads INI text and tells of every mistake in it at once, each
// with its line. The settings of a host and the documents of services are both
// read by it.
package inifile

import (
	"fmt"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// Mistake is one thing that is wrong in a file.
type Mistake struct {
	File string `json:"file"`
	// Line counts from 1; zero stands for what is missing from the whole file.
	Line    int    `json:"line"`
	Section string `json:"section"`
	Key     string `json:"key"`
	// Found is what stands there. It is empty where that may be a secret.
	Found    string `json:"found"`
	Expected string `json:"expected"`
}

// String returns the mistake on one line.
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

// Mistakes are all the mistakes of one file, by line. They travel as an error.
type Mistakes []Mistake

// Error returns the mistakes, a line for each.
func (m Mistakes) Error() string {
	l := make([]string, len(m))
	for n, e := range m {
		l[n] = e.String()
	}
	return strings.Join(l, "\n")
}

// File is INI text that is being read. Mistakes are collected until Err.
type File struct {
	name     string
	ini      *ini.File
	lines    map[location]int
	mistakes Mistakes
}

// location is a section, or a key of one.
type location struct{ section, key string }

// MaxSize is the most bytes that a file may have: the platform's store holds
// values of up to a megabyte.
const MaxSize = 1 << 20

// Read starts reading text; name is what mistakes call the file. Values have
// the quotes around them taken off, and no escapes, continued lines or
// references to other keys.
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

// scan finds the lines of sections and keys, and the mistakes that the INI
// library passes over: a key stated twice would silently take its last value.
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

// Section returns the section of that name for reading; a section that isn't
// there reads as an empty one.
func (f *File) Section(name string) *Section {
	s := &Section{file: f, name: name, requested: map[string]bool{}}
	if f.ini.HasSection(name) {
		s.ini = f.ini.Section(name)
	}
	return s
}

// Line returns the line of a key, or of a section if key is empty.
func (f *File) Line(section, key string) int {
	if n, ok := f.lines[location{section, key}]; ok {
		return n
	}
	return f.lines[location{section, ""}]
}

// AddInvalid records that found stands at a key in place of what was expected. Found
// stays empty where it may be a secret.
func (f *File) AddInvalid(section, key, found, expected string) {
	f.addMistake(f.Line(section, key), section, key, found, expected)
}

// AddMissing records that something expected isn't there.
func (f *File) AddMissing(section, key, expected string) {
	f.AddInvalid(section, key, "nothing", expected)
}

// addMistake records a mistake. The name of a key is left out where it doesn't look like
// one: on a line without its key, a secret that holds = would pass for a name.
func (f *File) addMistake(line int, section, key, found, expected string) {
	if !looksLikeKey(key) {
		key = ""
	}
	f.mistakes = append(f.mistakes, Mistake{
		File: f.name, Line: line, Section: section, Key: key, Found: found, Expected: expected,
	})
}

// maxKeyLength is longer than any key's name and shorter than a secret ought to
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

// RejectKeysOutsideSections records the keys that stand before the first section.
func (f *File) RejectKeysOutsideSections() {
	for _, k := range f.ini.Section(ini.DefaultSection).Keys() {
		f.AddInvalid("", k.Name(), "a key outside any section", "it in a section")
	}
}

// Err returns all Mistakes in the order of their lines, or nil.
func (f *File) Err() error {
	if len(f.mistakes) == 0 {
		return nil
	}
	slices.SortStableFunc(f.mistakes, func(a, b Mistake) int { return a.Line - b.Line })
	return f.mistakes
}

// In returns the mistakes as those of another file name.
func (m Mistakes) In(file string) Mistakes {
	out := slices.Clone(m)
	for n := range out {
		out[n].File = file
	}
	return out
}
