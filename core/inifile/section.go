package inifile

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Section reads the keys of one section. It records which keys were requested, so
// that RejectUnknownKeys can reject the others. The methods that return a value
// record a mistake if the value in the file is invalid.
type Section struct {
	file          *File
	ini           *ini.Section
	name          string
	requested     map[string]bool
	requestedKeys []string
}

// Has reports whether the section has the key, possibly with an empty value.
func (s *Section) Has(key string) bool {
	return s.ini != nil && s.ini.HasKey(key)
}

// Keys returns all keys of the section, in the order of the file.
func (s *Section) Keys() []string {
	if s.ini == nil {
		return nil
	}
	return s.ini.KeyStrings()
}

// Value returns the value of key, and whether the section has the key with a value that
// isn't empty.
func (s *Section) Value(key string) (string, bool) {
	if !s.requested[key] {
		s.requested[key] = true
		s.requestedKeys = append(s.requestedKeys, key)
	}
	if !s.Has(key) {
		return "", false
	}
	v := s.ini.Key(key).Value()
	return v, v != ""
}

// AddInvalid records a mistake: key holds found instead of what was expected. found must
// not contain a value that may be a secret.
func (s *Section) AddInvalid(key, found, expected string) {
	s.file.AddInvalid(s.name, key, found, expected)
}

// AddMissing records a mistake: key is required, but not there.
func (s *Section) AddMissing(key, expected string) {
	s.file.AddMissing(s.name, key, expected)
}

// RejectUnknownKeys records a mistake for each key that was not requested before. It
// omits the values, because the value of a misspelt key may be a secret.
func (s *Section) RejectUnknownKeys() {
	for _, k := range s.Keys() {
		if !s.requested[k] {
			s.AddInvalid(k, "an unknown key", "one of "+strings.Join(s.requestedKeys, ", "))
		}
	}
}

// String returns the value of key, or def if key is not there or empty.
func (s *Section) String(key, def string) string {
	if v, ok := s.Value(key); ok {
		return v
	}
	return def
}

// Required returns the value of key. A missing or empty value is a mistake.
func (s *Section) Required(key, expected string) string {
	v, ok := s.Value(key)
	if !ok {
		s.AddMissing(key, expected)
	}
	return v
}

// Name returns the value of key. A value that is missing or not a name is a mistake.
func (s *Section) Name(key string) string {
	v := s.Required(key, NameFormat)
	if v != "" && !IsName(v) {
		s.AddInvalid(key, strconv.Quote(v), NameFormat)
	}
	return v
}

// Int returns the value of key as a whole number from low to high, or def if it is missing
// or invalid.
func (s *Section) Int(key string, def, low, high int) int {
	v, ok := s.Value(key)
	if !ok {
		return def
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < low || n > high {
		s.AddInvalid(key, strconv.Quote(v), fmt.Sprintf("a whole number from %d to %d", low, high))
		return def
	}
	return n
}

// Float returns the value of key as a number from low to high, or def if it is missing or
// invalid.
func (s *Section) Float(key string, def, low, high float64) float64 {
	v, ok := s.Value(key)
	if !ok {
		return def
	}
	n, err := strconv.ParseFloat(v, 64)
	// The negated condition rejects NaN too.
	if err != nil || !(n >= low && n <= high) {
		s.AddInvalid(key, strconv.Quote(v), fmt.Sprintf("a number from %g to %g", low, high))
		return def
	}
	return n
}

// Bool returns the value of key, true or false, or def if it is missing or invalid.
func (s *Section) Bool(key string, def bool) bool {
	v, ok := s.Value(key)
	if !ok {
		return def
	}
	if v != "true" && v != "false" {
		s.AddInvalid(key, strconv.Quote(v), "true or false")
		return def
	}
	return v == "true"
}

// Duration returns the value of key as a duration from low to high, or def if it is missing
// or invalid.
func (s *Section) Duration(key string, def, low, high time.Duration) time.Duration {
	v, ok := s.Value(key)
	if !ok {
		return def
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < low || d > high {
		s.AddInvalid(key, strconv.Quote(v), fmt.Sprintf("a duration with its unit from %s to %s, such as %s", low, high, def))
		return def
	}
	return d
}

// sizeUnits are the units that Size accepts, the longest first because KiB and MiB end in B.
var sizeUnits = []struct {
	unit  string
	bytes int
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"B", 1}}

// Size returns the value of key as a number of bytes from low to high, or def if it is
// missing or invalid.
func (s *Section) Size(key string, def, low, high int) int {
	v, ok := s.Value(key)
	if !ok {
		return def
	}
	if n, ok := parseSize(v); ok && n >= low && n <= high {
		return n
	}
	s.AddInvalid(key, strconv.Quote(v), fmt.Sprintf("a size in B, KiB or MiB from %d B to %d B, such as 64KiB", low, high))
	return def
}

func parseSize(v string) (int, bool) {
	for _, u := range sizeUnits {
		digits, ok := strings.CutSuffix(v, u.unit)
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(strings.TrimSpace(digits), 10, 31)
		return int(n) * u.bytes, err == nil
	}
	return 0, false
}

// OneOf returns the value of key, or def if it is missing or not one of values.
func (s *Section) OneOf(key, def string, values ...string) string {
	v, ok := s.Value(key)
	if !ok {
		return def
	}
	if !slices.Contains(values, v) {
		s.AddInvalid(key, strconv.Quote(v), "one of "+strings.Join(values, ", "))
		return def
	}
	return v
}

// Address returns the value of key. A value that is missing or not an IP address and port
// is a mistake.
func (s *Section) Address(key string) string {
	v := s.Required(key, AddressFormat)
	if v != "" && !IsAddress(v) {
		s.AddInvalid(key, strconv.Quote(v), AddressFormat)
	}
	return v
}

// Addresses returns the value of key as a list of addresses, nil if it is missing. Each
// item that is not an address is a mistake, and is returned too.
func (s *Section) Addresses(key string) []string {
	l := s.List(key)
	for _, a := range l {
		if !IsAddress(a) {
			s.AddInvalid(key, strconv.Quote(a), "a list of addresses, each "+AddressFormat)
		}
	}
	return l
}

// List returns the comma-separated items in the value of key, without the spaces around
// them, nil if it is missing.
func (s *Section) List(key string) []string {
	v, ok := s.Value(key)
	if !ok {
		return nil
	}
	l := strings.Split(v, ",")
	for n := range l {
		l[n] = strings.TrimSpace(l[n])
	}
	return l
}

// The formats of names and addresses, as shown in mistakes.
const (
	NameFormat    = "a name of lower-case letters, digits and single hyphens"
	AddressFormat = "an IP address and port, such as 10.0.0.1:6432"

	maxNameLength = 63
)

// IsName reports whether s is a name in kebab case. Names are used in store keys,
// metrics and strings of the protocol, so they contain nothing that needs escaping.
func IsName(s string) bool {
	if s == "" || len(s) > maxNameLength {
		return false
	}
	for _, p := range strings.Split(s, "-") {
		if p == "" || strings.Trim(p, "abcdefghijklmnopqrstuvwxyz0123456789") != "" {
			return false
		}
	}
	return true
}

// IsAddress reports whether s is an IP address and port. Host names are rejected,
// because every connection would then depend on name resolution, which can fail.
func IsAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0
}
