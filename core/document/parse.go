package document

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/inifile"
)

// The values of keys that a document leaves out.
const (
	DefaultHolders          = 3
	DefaultStatementTimeout = 10 * time.Second
	DefaultCutOffAfter      = 10 * time.Minute
	DefaultSlots            = 2
	DefaultConnections      = 16
)

// The limits on the values of a document. They reject values that were written in
// the wrong unit by mistake.
const (
	maxHolders        = 64
	maxConnections    = 10000
	maxRate           = 1e6
	maxBurst          = 1e6
	maxSessions       = 1 << 20
	maxInstances      = 64
	maxAccounts       = 4096
	maxKeysPerAccount = 16
	// minCutOffAfter is the smallest CutOffAfter. It is longer than the confirmation
	// that a document is still the newest version takes from a host that watches the
	// store, through several peers, to the last host.
	minCutOffAfter = 30 * time.Second
	maxCutOffAfter = 30 * 24 * time.Hour
)

const (
	keyPrefix      = "key."
	rateFormat     = "a rate above 0, such as 50/s, 300/m or 0.5/s"
	sectionsFormat = `one of service, instance "<name>", account "<name>"`
)

// Parse parses the document in text as the given version. The error is an
// inifile.Mistakes that lists all mistakes. It never contains the key or verifier
// of an account.
func Parse(text []byte, version Version) (*Document, error) {
	f := inifile.Read("document", text)
	d := &Document{Version: version}
	parseService(f.Section("service"), d)
	for _, n := range f.Sections() {
		parseSection(f, n, d)
	}
	f.RejectKeysOutsideSections()
	checkWhole(f, d)
	if err := f.Err(); err != nil {
		return nil, err
	}
	return d, nil
}

func parseSection(f *inifile.File, name string, d *Document) {
	kind, quoted, _ := strings.Cut(name, " ")
	switch {
	case name == "service":
	case kind == "instance" && isQuotedName(quoted):
		d.Instances = append(d.Instances, parseInstance(f.Section(name), unquote(quoted)))
	case kind == "account" && isQuotedName(quoted):
		d.Accounts = append(d.Accounts, parseAccount(f.Section(name), unquote(quoted)))
	default:
		f.AddInvalid(name, "", "an unknown section", sectionsFormat+", with "+inifile.NameFormat)
	}
}

func isQuotedName(s string) bool {
	n := unquote(s)
	return s == strconv.Quote(n) && inifile.IsName(n)
}

func unquote(s string) string {
	return strings.Trim(s, `"`)
}

func parseService(s *inifile.Section, d *Document) {
	d.Service = fleet.Service(s.Name("name"))
	d.Acknowledge = Acknowledge(s.OneOf("acknowledge", string(AcknowledgeReplicated),
		string(AcknowledgeReplicated), string(AcknowledgePrimary)))
	d.Holders = s.Int("holders", DefaultHolders, 1, maxHolders)
	d.StatementTimeout = s.Duration("statement-timeout", DefaultStatementTimeout, 10*time.Millisecond, time.Hour)
	d.CutOff = CutOff(s.OneOf("cut-off", string(CutOffServe), string(CutOffServe), string(CutOffStop)))
	d.CutOffAfter = s.Duration("cut-off-after", DefaultCutOffAfter, minCutOffAfter, maxCutOffAfter)
	d.DataCentres = parseDataCentres(s, "data-centres")
	d.Evacuated = parseDataCentres(s, "evacuated")
	if len(d.DataCentres) == 0 {
		s.AddMissing("data-centres", "the data centres that share out the accounts' rates")
	}
	s.RejectUnknownKeys()
}

func parseDataCentres(s *inifile.Section, key string) []fleet.DataCentre {
	var out []fleet.DataCentre
	for _, n := range s.List(key) {
		c := fleet.DataCentre(n)
		if !inifile.IsName(n) || slices.Contains(out, c) {
			s.AddInvalid(key, strconv.Quote(n), "each data centre once, "+inifile.NameFormat)
			continue
		}
		out = append(out, c)
	}
	return out
}

func parseInstance(s *inifile.Section, name string) Instance {
	defer s.RejectUnknownKeys()
	i := Instance{
		Name:        fleet.Instance(name),
		Address:     s.Address("address"),
		DataCentre:  fleet.DataCentre(s.Name("data-centre")),
		Slots:       s.Int("slots", DefaultSlots, 1, maxConnections),
		Connections: s.Int("connections", DefaultConnections, 1, maxConnections),
		Leaving:     s.Bool("leaving", false),
	}
	if i.Connections < i.Slots {
		s.AddInvalid("connections", strconv.Itoa(i.Connections),
			fmt.Sprintf("at least one connection for each of %d slots", i.Slots))
	}
	return i
}

// sameSalt reports whether two verifiers have the same salt and iterations. It is
// true if one of them is invalid, which is reported as a mistake of its own.
func sameSalt(a, b string) bool {
	x, errX := ParseVerifier(a)
	y, errY := ParseVerifier(b)
	return errX != nil || errY != nil || x.Iterations == y.Iterations && bytes.Equal(x.Salt, y.Salt)
}

func parseAccount(s *inifile.Section, name string) Account {
	a := Account{Name: fleet.Account(name), Rate: parseRate(s), MaxSessions: s.Int("max-sessions", 0, 0, maxSessions)}
	a.Priority = fleet.Priority(s.Int("priority", int(fleet.DefaultPriority), 0, int(fleet.MaxPriority)))
	a.Burst = float64(s.Int("burst", int(max(1, min(a.Rate, maxBurst))), 1, maxBurst))
	for _, k := range s.Keys() {
		n, ok := strings.CutPrefix(k, keyPrefix)
		if !ok {
			continue
		}
		if !inifile.IsName(n) {
			s.AddInvalid(k, "a key without a proper name", keyPrefix+"<name>, with "+inifile.NameFormat)
		}
		v, _ := s.Value(k)
		if err := CheckVerifier(v); err != nil {
			s.AddInvalid(k, "something else, not shown here", VerifierFormat+" ("+err.Error()+")")
		} else if len(a.Keys) > 0 && !sameSalt(a.Keys[0].Verifier, v) {
			s.AddInvalid(k, "a salt other than that of "+keyPrefix+a.Keys[0].Name,
				"one salt for all keys of an account, as `skylarkdeal key verifier --account` gives them")
		}
		a.Keys = append(a.Keys, Key{Name: n, Verifier: v})
	}
	if len(a.Keys) > maxKeysPerAccount {
		s.AddInvalid("", fmt.Sprintf("%d keys", len(a.Keys)), fmt.Sprintf("at most %d", maxKeysPerAccount))
	}
	s.RejectUnknownKeys()
	return a
}

// rateUnits maps each unit of a rate to its length in seconds.
var rateUnits = map[string]float64{"s": 1, "m": 60, "h": 3600}

func parseRate(s *inifile.Section) float64 {
	v := s.Required("rate", rateFormat)
	if v == "" {
		return 0
	}
	n, unit, _ := strings.Cut(v, "/")
	r, err := strconv.ParseFloat(n, 64)
	seconds, ok := rateUnits[unit]
	if err != nil || !ok || !(r > 0) || r/seconds > maxRate {
		s.AddInvalid("rate", strconv.Quote(v), rateFormat)
		return 0
	}
	return r / seconds
}

// checkWhole makes the checks that involve more than one section.
func checkWhole(f *inifile.File, d *Document) {
	if n := len(d.Instances); n == 0 || n > maxInstances {
		f.AddInvalid("", "", fmt.Sprintf("%d instances", n),
			fmt.Sprintf(`1 to %d sections [instance "<name>"]`, maxInstances))
	}
	if n := len(d.Accounts); n > maxAccounts {
		f.AddInvalid("", "", fmt.Sprintf("%d accounts", n), fmt.Sprintf("at most %d", maxAccounts))
	}
	markEvacuated(f, d)
	instanceAt := map[string]fleet.Instance{}
	for _, i := range d.Instances {
		if first, ok := instanceAt[i.Address]; ok && i.Address != "" {
			f.AddInvalid(fmt.Sprintf("instance %q", i.Name), "address", i.Address,
				fmt.Sprintf("another address than that of instance %q", first))
		}
		instanceAt[i.Address] = i.Name
	}
}

// markEvacuated sets Leaving on the instances of evacuated data centres. An evacuated
// data centre without an instance is a mistake.
func markEvacuated(f *inifile.File, d *Document) {
	for _, dc := range d.Evacuated {
		isIn := func(i Instance) bool { return i.DataCentre == dc }
		if !slices.ContainsFunc(d.Instances, isIn) {
			f.AddInvalid("service", "evacuated", strconv.Quote(string(dc)), "a data centre that has an instance")
		}
		for n := range d.Instances {
			d.Instances[n].Leaving = d.Instances[n].Leaving || isIn(d.Instances[n])
		}
	}
}

// Format returns d as text that Parse turns into an equal document.
func (d *Document) Format() []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "[service]\nname = %s\nacknowledge = %s\nholders = %d\nstatement-timeout = %s\n",
		d.Service, d.Acknowledge, d.Holders, d.StatementTimeout)
	fmt.Fprintf(&b, "cut-off = %s\ncut-off-after = %s\ndata-centres = %s\n",
		d.CutOff, d.CutOffAfter, joinDataCentres(d.DataCentres))
	if len(d.Evacuated) > 0 {
		fmt.Fprintf(&b, "evacuated = %s\n", joinDataCentres(d.Evacuated))
	}
	for _, i := range d.Instances {
		fmt.Fprintf(&b, "\n[instance %q]\naddress = %s\ndata-centre = %s\nslots = %d\nconnections = %d\nleaving = %t\n",
			i.Name, i.Address, i.DataCentre, i.Slots, i.Connections, i.Leaving)
	}
	for _, a := range d.Accounts {
		fmt.Fprintf(&b, "\n[account %q]\nrate = %s/s\nburst = %s\nmax-sessions = %d\n",
			a.Name, formatNumber(a.Rate), formatNumber(a.Burst), a.MaxSessions)
		if a.Priority != fleet.DefaultPriority {
			// A host of an earlier build rejects the key.
			fmt.Fprintf(&b, "priority = %d\n", a.Priority)
		}
		for _, k := range a.Keys {
			fmt.Fprintf(&b, "%s%s = %s\n", keyPrefix, k.Name, k.Verifier)
		}
	}
	return []byte(b.String())
}

func joinDataCentres(dcs []fleet.DataCentre) string {
	out := make([]string, len(dcs))
	for n, c := range dcs {
		out[n] = string(c)
	}
	return strings.Join(out, ", ")
}

func formatNumber(f float64) string {
	return strconv.FormatFloat(f, 'f', -1, 64)
}
