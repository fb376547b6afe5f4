package load

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"skylarkdeal/core/fleet"
	"skylarkdeal/internal/load/check"
)

// Report is the outcome of a run.
type Report struct {
	Profile  string          `json:"profile"`
	Seed     uint64          `json:"seed"`
	Hosts    []string        `json:"hosts"`
	Took     time.Duration   `json:"took"`
	Measures check.Measures  `json:"measures"`
	Outcomes map[string]int  `json:"outcomes"`
	Breaches []check.Breach  `json:"breaches"`
	Faults   []FaultResult   `json:"faults"`
	Checked  []fleet.Service `json:"checked-against-log"`
	// Slowest are the operations that took longest from the time they were due.
	Slowest []Slow `json:"slowest"`
}

// Slow is one operation that took long.
type Slow struct {
	Service fleet.Service `json:"service"`
	Account fleet.Account `json:"account"`
	Kind    check.Kind    `json:"kind"`
	Host    string        `json:"host"`
	// Due, Sent and Answered count from the start of the run.
	Due      time.Duration `json:"due"`
	Sent     time.Duration `json:"sent"`
	Answered time.Duration `json:"answered"`
	Outcome  check.Outcome `json:"outcome"`
	Code     string        `json:"code,omitempty"`
}

// shownSlowest is how many of the slowest operations a report lists.
const shownSlowest = 5

func slowest(ops []check.Op) []Slow {
	ops = slices.Clone(ops)
	slices.SortFunc(ops, func(a, b check.Op) int { return cmp.Compare(b.Answered-b.Intended, a.Answered-a.Intended) })
	all := []Slow{}
	for _, o := range ops[:min(shownSlowest, len(ops))] {
		all = append(all, Slow{Service: o.Service, Account: o.Account, Kind: o.Kind, Host: o.Host, Due: o.Intended,
			Sent: o.Sent, Answered: o.Answered, Outcome: o.Outcome, Code: o.Code})
	}
	return all
}

func newReport(cfg Config, took time.Duration, rec check.Record, faults []FaultResult) *Report {
	r := &Report{
		Profile: cfg.Profile.Name, Seed: cfg.Seed, Hosts: cfg.Hosts, Took: took,
		Measures: check.Measure(rec), Breaches: check.Check(rec), Faults: faults,
		Outcomes: map[string]int{}, Checked: []fleet.Service{}, Slowest: slowest(rec.Ops),
	}
	if r.Breaches == nil {
		r.Breaches = []check.Breach{}
	}
	for _, o := range rec.Ops {
		k := string(o.Outcome)
		if o.Code != "" {
			k += " " + o.Code
		}
		r.Outcomes[k]++
	}
	for s := range rec.Applied {
		r.Checked = append(r.Checked, s)
	}
	slices.Sort(r.Checked)
	return r
}

// Broken reports whether an invariant broke.
func (r *Report) Broken() bool {
	return len(r.Breaches) > 0
}

// WriteJSON writes the report for machines.
func (r *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// shownBreaches is how many breaches a table lists.
const shownBreaches = 20

// WriteTable writes the report for people.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	m := r.Measures
	fmt.Fprintf(t, "profile\t%s, seed %d, %s, %d hosts\n", r.Profile, r.Seed, round(r.Took), len(r.Hosts))
	fmt.Fprintf(t, "answered\t%d writes, %d reads; %d of unknown outcome\n", m.Writes, m.Reads, m.Unknown)
	if m.ReplicaShare >= 0 {
		fmt.Fprintf(t, "reads served by replicas\t%.1f%%\n", 100*m.ReplicaShare)
	} else {
		fmt.Fprintf(t, "reads served by replicas\tnot told by the hosts\n")
	}
	for _, g := range m.Failovers {
		fmt.Fprintf(t, "failover gap\t%s, %s to term %d at %s\n", round(g.Gap), g.Service, g.To, round(g.At))
	}
	if a, ok := m.Worst(); ok {
		fmt.Fprintf(t, "worst-served account\t%s of %s: %.1f%% of demand within rate, p99 %s\n",
			a.Account, a.Service, 100*a.Share, round(a.P99))
	}
	wrongful := 0
	for _, n := range m.WrongfulRefusals {
		wrongful += n
	}
	fmt.Fprintf(t, "refused within rate\t%d %v; %d beyond\n", wrongful, m.WrongfulRefusals, m.RightfulRefusals)
	for _, f := range r.Faults {
		fmt.Fprintf(t, "fault\t%s at %s %s\n", f.Name, round(f.At), f.Error)
	}
	fmt.Fprintf(t, "outcomes\t%v\n\n", r.Outcomes)
	fmt.Fprintf(t, "SERVICE\tACCOUNT\tDEMANDED\tWITHIN\tSERVED\tSHARE\tP50\tP99\n")
	for _, a := range m.Accounts {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%.1f%%\t%s\t%s\n", a.Service, a.Account, a.Demanded, a.Within,
			a.Served, 100*a.Share, round(a.P50), round(a.P99))
	}
	fmt.Fprintln(t)
	for _, o := range r.Slowest {
		fmt.Fprintf(t, "slowest\t%s/%s %s at %s: due %s, sent %s, %s %s at %s\n", o.Service, o.Account, o.Kind, o.Host,
			round(o.Due), round(o.Sent), o.Outcome, o.Code, round(o.Answered))
	}
	fmt.Fprintln(t)
	r.writeInvariants(t)
	return t.Flush()
}

func (r *Report) writeInvariants(w io.Writer) {
	for _, i := range check.Invariants {
		n := 0
		for _, b := range r.Breaches {
			if b.Invariant == i {
				n++
			}
		}
		verdict := "held"
		if n > 0 {
			verdict = fmt.Sprintf("BROKEN %d times", n)
		} else if len(r.Checked) == 0 && (i == check.NothingLost || i == check.NothingDoubled) {
			verdict = "not looked at: no --record"
		}
		fmt.Fprintf(w, "%s\t%s\n", i, verdict)
	}
	for n, b := range r.Breaches {
		if n == shownBreaches {
			fmt.Fprintf(w, "and %d more\n", len(r.Breaches)-n)
			break
		}
		fmt.Fprintf(w, "%s\t%s/%s at %s: %s\n", b.Invariant, b.Service, b.Account, round(b.At), b.Detail)
	}
}

func round(d time.Duration) time.Duration {
	return d.Round(10 * time.Microsecond)
}
