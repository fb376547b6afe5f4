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

// Section reads the keys of one section and notes which were asked for, so that
// RejectUnknownKeys can reject the rest.
type Section struct {
	file          *File
	ini           *ini.Section
	name          string
	requested     map[string]bool
	requestedKeys []string
}

// Has reports whether the section has the key.
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

// Value returns the value of key and whether it stands there and isn't empty.
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

// AddInvalid records a mistake at key.
func (s *Section) AddInvalid(key, found, expected string) {
	s.file.AddInvalid(s.name, key, found, expected)
}

// AddMissing records that key has to be there.
func (s *Section) AddMissing(key, expected string) {
	s.file.AddMissing(s.name, key, expected)
}

// RejectUnknownKeys records every key that wasn't asked for. What they hold is not shown:
// a key under a mistaken name may be a secret.
func (s *Section) RejectUnknownKeys() {
	for _, k := range s.Keys() {
		if !s.requested[k] {
			s.AddInvalid(k, "an unknown key", "one of "+strings.Join(s.requestedKeys, ", "))
		}
	}
}

// String returns the value of key, or def if there is none.
func (s *Section) String(key, def string) string {
	if v, ok := s.Value(key); ok {
		return v
	}
	return def
}

// Required returns the value of key, which has to be there.
func (s *Section) Required(key, expected string) string {
	v, ok := s.Value(key)
	if !ok {
		s.AddMissing(key, expected)
	}
	return v
}

// Name returns the value of key, which has to be there and be a name.
func (s *Section) Name(key string) string {
	v := s.Required(key, NameForm)
	if v != "" && !IsName(v) {
		s.AddInvalid(key, strconv.Quote(v), NameForm)
	}
	return v
}

// Int returns the whole number at key, from low to high, or def.
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

// Float returns a number from low to high, def if the key isn't stated.
func (s *Section) Float(key string, def, low, high float64) float64 {
	v, ok := s.Value(key)
	if !ok {
		return def
	}
	n, err := strconv.ParseFloat(v, 64)
	// Written this way round, NaN is refused too.
	if err != nil || !(n >= low && n <= high) {
		s.AddInvalid(key, strconv.Quote(v), fmt.Sprintf("a number from %g to %g", low, high))
		return def
	}
	return n
}

// Bool returns the true or false at key, or def.
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

// Duration returns the duration at key, from low to high, or def.
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

// sizeUnits are the units of Size, the longest first.
var sizeUnits = []struct {
	unit  string
	bytes int
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"B", 1}}

// Size returns the bytes at key, from low to high, or def.
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

// OneOf returns the value at key, which is one of values, or def.
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

// Address returns the IP address and port at key, which has to be there.
func (s *Section) Address(key string) string {
	v := s.Required(key, AddressForm)
	if v != "" && !IsAddress(v) {
		s.AddInvalid(key, strconv.Quote(v), AddressForm)
	}
	return v
}

// Addresses returns the list of addresses at key.
func (s *Section) Addresses(key string) []string {
	l := s.List(key)
	for _, a := range l {
		if !IsAddress(a) {
			s.AddInvalid(key, strconv.Quote(a), "a list of addresses, each "+AddressForm)
		}
	}
	return l
}

// List returns the values at key that commas part.
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

// What names and addresses look like.
const (
	NameForm    = "a name of lower-case letters, digits and single hyphens"
	AddressForm = "an IP address and port, such as 10.0.0.1:6432"

	maxNameLength = 63
)

// IsName reports whether s is a name in kebab case. Names go into store keys,
// metrics and the protocol's strings, so they have nothing to escape.
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

// IsAddress reports whether s is an IP address and port. A host name is refused:
// its lookup would add a service that can fail to every connection.
func IsAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0
}
