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
	lines    map[place]int
	mistakes Mistakes
}

// place is a section, or a key of one.
type place struct{ section, key string }

// MaxSize is the most bytes that a file may have: the platform's store holds
// values of up to a megabyte.
const MaxSize = 1 << 20

// Read starts reading text; name is what mistakes call the file. Values have
// the quotes around them taken off, and no escapes, continued lines or
// references to other keys.
func Read(name string, text []byte) *File {
	f := &File{name: name, lines: map[place]int{}}
	if len(text) > MaxSize {
		f.Missing("", "", fmt.Sprintf("at most %d bytes", MaxSize))
		text = nil
	}
	f.scan(string(text))
	g, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:       true,
		KeyValueDelimiters:       "=",
		SkipUnrecognizableLines:  true,
		SpaceBeforeInlineComment: true,
	}, text)
	if err != nil {
		f.Missing("", "", "INI text")
		g = ini.Empty()
	}
	f.ini = g
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
		f.add(n, "", "", "", "a section's name between [ and ]")
		return ""
	}
	s := strings.TrimSpace(line[1:end])
	f.place(n, s, "")
	return s
}

func (f *File) scanKey(n int, section, line string) {
	key, _, ok := strings.Cut(line, "=")
	if !ok {
		f.add(n, section, "", "", "key = value")
		return
	}
	f.place(n, section, strings.TrimSpace(key))
}

func (f *File) place(n int, section, key string) {
	p := place{section, key}
	if first, ok := f.lines[p]; ok {
		f.add(n, section, key, "it a second time", fmt.Sprintf("it once, at line %d", first))
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
	s := &Section{f: f, name: name, read: map[string]bool{}}
	if f.ini.HasSection(name) {
		s.ini = f.ini.Section(name)
	}
	return s
}

// Line returns the line of a key, or of a section if key is empty.
func (f *File) Line(section, key string) int {
	if n, ok := f.lines[place{section, key}]; ok {
		return n
	}
	return f.lines[place{section, ""}]
}

// Wrong records that found stands at a key in place of what was expected. Found
// stays empty where it may be a secret.
func (f *File) Wrong(section, key, found, expected string) {
	f.add(f.Line(section, key), section, key, found, expected)
}

// Missing records that something expected isn't there.
func (f *File) Missing(section, key, expected string) {
	f.Wrong(section, key, "nothing", expected)
}

// add records a mistake. The name of a key is left out where it doesn't look like
// one: on a line without its key, a secret that holds = would pass for a name.
func (f *File) add(line int, section, key, found, expected string) {
	if !isKey(key) {
		key = ""
	}
	f.mistakes = append(f.mistakes, Mistake{
		File: f.name, Line: line, Section: section, Key: key, Found: found, Expected: expected,
	})
}

// longestKey is longer than any key's name and shorter than a secret ought to
// be.
const longestKey = 32

func isKey(key string) bool {
	for p := range strings.SplitSeq(key, ".") {
		if !IsName(strings.ToLower(p)) {
			return false
		}
	}
	return len(key) <= longestKey
}

// Stray records the keys that stand before the first section.
func (f *File) Stray() {
	for _, k := range f.ini.Section(ini.DefaultSection).Keys() {
		f.Wrong("", k.Name(), "a key outside any section", "it in a section")
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
	o := slices.Clone(m)
	for n := range o {
		o[n].File = file
	}
	return o
}
