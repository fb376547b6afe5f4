package load

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"gopkg.in/ini.v1"

	"skylarkdeal/core/fleet"
	"skylarkdeal/internal/sleep"
	"skylarkdeal/standin/ledger"
)

// Fault is one step of a fault plan: a POST to a stand-in's switch.
type Fault struct {
	Name string
	At   time.Duration
	URL  string
}

// FaultResult is what became of a step.
type FaultResult struct {
	Name  string        `json:"name"`
	At    time.Duration `json:"at"`
	URL   string        `json:"url"`
	Error string        `json:"error,omitempty"`
}

// ParsePlan reads a fault plan: a section for each step, with the keys at (a
// time since the start), url, and, to repeat it, every and times.
func ParsePlan(b []byte) ([]Fault, error) {
	f, err := ini.Load(b)
	if err != nil {
		return nil, err
	}
	var plan []Fault
	for _, s := range f.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		steps, err := parseStep(s)
		if err != nil {
			return nil, fmt.Errorf("[%s] %w", s.Name(), err)
		}
		plan = append(plan, steps...)
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return plan, nil
}

func parseStep(s *ini.Section) ([]Fault, error) {
	for _, k := range s.KeyStrings() {
		if !slices.Contains([]string{"at", "url", "every", "times"}, k) {
			return nil, fmt.Errorf("%s: unknown; want at, url, every or times", k)
		}
	}
	at, err := time.ParseDuration(s.Key("at").String())
	if err != nil {
		return nil, fmt.Errorf("at: want a duration such as 10s: %w", err)
	}
	if s.Key("url").String() == "" {
		return nil, fmt.Errorf("url: missing; want a stand-in's switch")
	}
	times := s.Key("times").MustInt(1)
	every, err := time.ParseDuration(s.Key("every").MustString("0s"))
	if err != nil {
		return nil, fmt.Errorf("every: want a duration such as 10s: %w", err)
	}
	var steps []Fault
	for n := range times {
		steps = append(steps, Fault{Name: s.Name(), At: at + time.Duration(n)*every, URL: s.Key("url").String()})
	}
	return steps, nil
}

// inject carries out the plan.
func (r *runner) inject(ctx context.Context) []FaultResult {
	results := []FaultResult{}
	for _, f := range r.cfg.Plan {
		if !sleep.For(ctx, f.At-r.since()) {
			return results
		}
		x := FaultResult{Name: f.Name, At: r.since(), URL: f.URL}
		if err := post(ctx, f.URL); err != nil {
			x.Error = err.Error()
		}
		results = append(results, x)
	}
	return results
}

// httpTimeout bounds a call to a stand-in.
const httpTimeout = 10 * time.Second

func post(ctx context.Context, url string) error {
	ctx, cancel := context.WithTimeout(ctx, httpTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return err
	}
	return do(q, io.Discard)
}

func do(q *http.Request, to io.Writer) error {
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return err
	}
	defer a.Body.Close() //nolint:errcheck // nothing is left to lose
	if a.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answered %s", q.URL.Host, a.Status)
	}
	_, err = io.Copy(to, a.Body)
	return err
}

// applied reads the groups' records and counts the ids in them.
func applied(ctx context.Context, urls map[fleet.Service]string) (map[fleet.Service]map[string]int, error) {
	all := map[fleet.Service]map[string]int{}
	for s, u := range urls {
		rec, err := fetch(context.WithoutCancel(ctx), u)
		if err != nil {
			return all, fmt.Errorf("load: record of %s: %w", s, err)
		}
		all[s] = map[string]int{}
		for _, e := range rec.Entries {
			for _, o := range e.Ops {
				if o.Kind == ledger.OpOnce {
					all[s][o.ID]++
				}
			}
		}
	}
	return all, nil
}

func fetch(ctx context.Context, url string) (ledger.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, httpTimeout)
	defer cancel()
	var rec ledger.Record
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return rec, err
	}
	read, write := io.Pipe()
	go func() { write.CloseWithError(do(q, write)) }()
	err = json.NewDecoder(read).Decode(&rec)
	_ = read.Close()
	return rec, err
}
