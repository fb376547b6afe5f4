package caller

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
)

// The settings that the entry host keeps for a session.
const (
	settingToken       = "skylarkdeal.token"
	settingServedBy    = "skylarkdeal.served-by"
	settingMaxAge      = "skylarkdeal.max-age"
	settingReadOnly    = "default_transaction_read_only"
	settingTimeout     = "statement_timeout"
	settingApplication = "application_name"
	settingEncoding    = "client_encoding"
)

// settingDefault stands for the value of SET x TO DEFAULT and RESET x.
const settingDefault = "default"

// parameter is a setting that has one value here, as the upstream connections
// are shared: it is accepted when stated as it is, and refused otherwise.
type parameter struct {
	name, value string
	// same are other ways to state the value.
	same []string
	// any is set when no value of it changes an answer.
	any bool
}

// reported are the parameters that a session is told of at its start.
var reported = []parameter{
	{name: "server_version", value: "16.0 (skylarkdeal)"},
	{name: "server_encoding", value: "UTF8"},
	{name: settingEncoding, value: "UTF8", same: []string{"utf8", "utf-8", "unicode"}},
	{name: settingApplication, any: true},
	{name: settingReadOnly, value: "off"},
	{name: "DateStyle", value: "ISO, MDY", same: []string{"iso", "iso,mdy"}},
	{name: "IntervalStyle", value: "postgres"},
	{name: "TimeZone", value: "UTC", same: []string{"utc", "gmt", "etc/utc"}},
	{name: "integer_datetimes", value: "on"},
	{name: "standard_conforming_strings", value: "on"},
}

// quiet are parameters that can be stated and shown, and are not reported.
var quiet = []parameter{
	{name: "extra_float_digits", value: "1", any: true},
	{name: "client_min_messages", value: "notice", any: true},
	{name: "bytea_output", value: "hex"},
	{name: settingToken},
	{name: settingMaxAge},
	{name: settingTimeout},
}

var parameters = func() map[string]parameter {
	m := make(map[string]parameter)
	for _, p := range append(append([]parameter{}, reported...), quiet...) {
		m[strings.ToLower(p.name)] = p
	}
	return m
}()

// settingName returns the form under which a setting is kept here. Drivers that
// take no "-" in a name write "_" for it.
func settingName(s string) string {
	s = strings.ToLower(unquote(s))
	if s == "skylarkdeal.max_age" {
		return settingMaxAge
	}
	return s
}

func isSetting(name string) bool {
	_, ok := parameters[name]
	return ok
}

// settings are what a session has stated; zero values are the defaults.
type settings struct {
	readOnly    bool
	maxAge      time.Duration
	timeout     time.Duration
	application string
}

// start takes the parameters of a start-up packet. A time zone is accepted
// whatever it is, since some drivers always send theirs; the greeting tells the
// one that holds.
func (g *settings) start(x *session, params map[string]string) *failure.Refusal {
	for name, value := range params {
		n := settingName(name)
		switch n {
		case "user", "database", "timezone":
			continue
		}
		if r := g.set(x, n, value); r != nil {
			return r
		}
	}
	return nil
}

func (g *settings) set(x *session, name, value string) *failure.Refusal {
	if value == settingDefault {
		value = defaultOf(name)
	}
	switch name {
	case settingToken:
		return setToken(x, value)
	case settingMaxAge:
		return setDuration(&g.maxAge, name, value)
	case settingTimeout:
		return setDuration(&g.timeout, name, value)
	case settingReadOnly:
		return g.setReadOnly(value)
	case settingApplication:
		g.application = value
		return nil
	}
	p, ok := parameters[name]
	if !ok {
		return notKept(name)
	}
	v := strings.ReplaceAll(strings.ToLower(value), ", ", ",")
	if p.any || strings.EqualFold(value, p.value) {
		return nil
	}
	for _, s := range p.same {
		if v == s {
			return nil
		}
	}
	return notKept(name)
}

func defaultOf(name string) string {
	switch name {
	case settingMaxAge, settingTimeout:
		return "0"
	case settingToken:
		return fleet.LogPosition{}.String()
	default:
		return parameters[name].value
	}
}

func notKept(name string) *failure.Refusal {
	return &failure.Refusal{
		Code: failure.CodeUnsupported, Step: "set",
		Message: fmt.Sprintf("%s can't be set for a session: it is not kept across pooled connections; "+
			"use SET LOCAL in a transaction", name),
	}
}

func setToken(x *session, value string) *failure.Refusal {
	if value == "" {
		return nil
	}
	p, err := fleet.ParseLogPosition(value)
	if err != nil {
		return invalid(settingToken, value, "term.position")
	}
	x.see(p)
	return nil
}

func (g *settings) setReadOnly(value string) *failure.Refusal {
	switch strings.ToLower(value) {
	case "on", "true", "yes", "1":
		g.readOnly = true
	case "off", "false", "no", "0":
		g.readOnly = false
	default:
		return invalid(settingReadOnly, value, "on or off")
	}
	return nil
}

// setDuration reads a duration such as 5s, or a number of milliseconds.
func setDuration(d *time.Duration, name, value string) *failure.Refusal {
	if n, err := strconv.ParseUint(value, 10, 31); err == nil {
		*d = time.Duration(n) * time.Millisecond
		return nil
	}
	v, err := time.ParseDuration(strings.Replace(value, "min", "m", 1))
	if err != nil || v < 0 {
		return invalid(name, value, "a duration such as 5s")
	}
	*d = v
	return nil
}

func invalid(name, value, want string) *failure.Refusal {
	return &failure.Refusal{
		Code: failure.CodeInvalidParameter, Step: "set",
		Message: fmt.Sprintf("%s: %q: want %s", name, value, want),
	}
}

// show returns the value of a setting; fixed is that of one which has only one.
func (g *settings) show(x *session, name, fixed string) string {
	switch name {
	case settingToken:
		return x.token.String()
	case settingMaxAge:
		return g.maxAge.String()
	case settingTimeout:
		return g.timeout.String()
	case settingReadOnly:
		if g.readOnly {
			return "on"
		}
		return "off"
	case settingApplication:
		return g.application
	}
	return fixed
}
