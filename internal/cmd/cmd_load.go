package cmd

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
	"skylarkdeal/internal/load"
)

// errBroken is the end of a run in which an invariant broke.
var errBroken = errors.New("an invariant broke")

// The forms of a report.
const (
	formatTable = "table"
	formatJSON  = "json"
)

// loadFlags are the flags of "load".
type loadFlags struct {
	hosts     []string
	profile   string
	services  []string
	duration  time.Duration
	scale     float64
	seed      uint64
	plan      string
	records   []string
	format    string
	timeout   time.Duration
	progress  bool
	documents string
	instances []string
}

func newLoad() *cobra.Command {
	var f loadFlags
	c := &cobra.Command{
		Use:   "load",
		Short: "Drive real sessions against hosts and check what they get",
		Long: `Drive real PostgreSQL sessions against hosts, with the mix of one user, and
report how well callers were served. Each invariant is checked from the record
of what was sent and received; the exit code is 1 when one broke.

With --documents the services' documents are written, and nothing is run.`,
		Example: `  skylarkdeal load --profile tokachi --documents dir \
    --instance orders-obihiro/a=127.0.0.1:7101/obihiro
  skylarkdeal load --profile tokachi --hosts 127.0.0.1:6001,127.0.0.1:6002 --duration 30s \
    --record orders-obihiro=http://127.0.0.1:7100/ledger --fault-plan cut.ini`,
		Args: usageArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			if f.documents != "" {
				return f.writeDocuments(c.OutOrStdout())
			}
			return f.run(c)
		},
	}
	p := c.Flags()
	p.StringSliceVar(&f.hosts, "hosts", nil, "ip:port of the hosts, with commas between")
	p.StringVar(&f.profile, "profile", "tokachi", "mix of sessions: tokachi or vinkambaris")
	p.StringSliceVar(&f.services, "services", nil, "services of the profile to use; empty for all")
	p.DurationVar(&f.duration, "duration", 30*time.Second, "length of the run")
	p.Float64Var(&f.scale, "rate-scale", 1, "factor on the accounts' rates, bursts and demand")
	p.Uint64Var(&f.seed, "seed", 1, "seed of arrivals and choices")
	p.StringVar(&f.plan, "fault-plan", "", "INI file of faults to switch on during the run")
	p.StringArrayVar(&f.records, "record", nil, "service=url of a group's record, to find lost and doubled writes; repeat")
	p.StringVar(&f.format, "format", formatTable, "form of the report: table or json")
	p.DurationVar(&f.timeout, "timeout", load.DefaultTimeout, "bound on one operation")
	p.BoolVar(&f.progress, "progress", isTerminal(os.Stderr), "show progress; on by default on a terminal")
	p.StringVar(&f.documents, "documents", "", "directory to write the profile's documents to, in place of a run")
	p.StringArrayVar(&f.instances, "instance", nil, "service/name=ip:port/data-centre for --documents; repeat")
	return c
}

func isTerminal(f *os.File) bool {
	s, err := f.Stat()
	return err == nil && s.Mode()&os.ModeCharDevice != 0
}

// chosen returns the profile that the flags ask for.
func (f loadFlags) chosen() (load.Profile, error) {
	p, err := load.ProfileOf(f.profile)
	if err != nil {
		return p, usageError{err}
	}
	if f.scale <= 0 {
		return p, usageError{errors.New("--rate-scale: want a number above 0")}
	}
	if len(f.services) > 0 {
		names := make([]fleet.Service, 0, len(f.services))
		for _, s := range f.services {
			names = append(names, fleet.Service(s))
		}
		p = p.Only(names...)
	}
	return p.Scale(f.scale), nil
}

func (f loadFlags) config() (load.Config, error) {
	cfg := load.Config{Hosts: f.hosts, Duration: f.duration, Seed: f.seed, Timeout: f.timeout,
		Records: map[fleet.Service]string{}}
	var err error
	if cfg.Profile, err = f.chosen(); err != nil {
		return cfg, err
	}
	if len(f.hosts) == 0 || len(cfg.Profile.Services) == 0 {
		return cfg, usageError{errors.New("want --hosts, and --services of the profile")}
	}
	if f.format != formatTable && f.format != formatJSON {
		return cfg, usageError{fmt.Errorf("--format %q: want table or json", f.format)}
	}
	for _, r := range f.records {
		s, url, ok := strings.Cut(r, "=")
		if !ok {
			return cfg, usageError{fmt.Errorf("--record %q: want service=url", r)}
		}
		cfg.Records[fleet.Service(s)] = url
	}
	if f.plan == "" {
		return cfg, nil
	}
	b, err := os.ReadFile(f.plan)
	if err != nil {
		return cfg, usageError{err}
	}
	if cfg.Plan, err = load.ParsePlan(b); err != nil {
		return cfg, usageError{fmt.Errorf("%s: %w", f.plan, err)}
	}
	return cfg, nil
}

func (f loadFlags) run(c *cobra.Command) error {
	cfg, err := f.config()
	if err != nil {
		return err
	}
	if f.progress {
		cfg.Progress = func(p load.Progress) { showProgress(c.ErrOrStderr(), p) }
	}
	ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	r, err := load.Run(ctx, cfg)
	if err != nil && r == nil {
		return err
	}
	if f.progress {
		fmt.Fprintln(c.ErrOrStderr())
	}
	if f.format == formatJSON {
		err = errors.Join(err, r.WriteJSON(c.OutOrStdout()))
	} else {
		err = errors.Join(err, r.WriteTable(c.OutOrStdout()))
	}
	if r.Broken() {
		err = errors.Join(err, errBroken)
	}
	return err
}

func showProgress(w io.Writer, p load.Progress) {
	fmt.Fprintf(w, "\r%s: %d ok, %d refused or failed, %d unknown, %d waiting   ",
		p.At.Round(time.Second), p.OK, p.Refused, p.Unknown, p.Waiting)
}

// writeDocuments writes one document for each service of the profile.
func (f loadFlags) writeDocuments(out io.Writer) error {
	p, err := f.chosen()
	if err != nil {
		return err
	}
	instances := map[fleet.Service][]document.Instance{}
	for _, s := range f.instances {
		service, i, err := parseInstance(s, p.Connections)
		if err != nil {
			return err
		}
		instances[service] = append(instances[service], i)
	}
	for _, s := range p.Services {
		d, err := p.Document(s, instances[s.Name])
		if err != nil {
			return err
		}
		if _, err := document.Parse(d.Format(), 1); err != nil {
			return usageError{fmt.Errorf("document of %s: %w", s.Name, err)}
		}
		file := filepath.Join(f.documents, string(s.Name)+".ini")
		if err := os.WriteFile(file, d.Format(), 0o600); err != nil {
			return err
		}
		fmt.Fprintln(out, file)
	}
	return nil
}

// parseInstance reads service/name=ip:port/data-centre.
func parseInstance(s string, connections int) (fleet.Service, document.Instance, error) {
	name, place, ok := strings.Cut(s, "=")
	service, instance, named := strings.Cut(name, "/")
	address, centre, placed := strings.Cut(place, "/")
	if !ok || !named || !placed {
		return "", document.Instance{}, usageError{
			fmt.Errorf("--instance %q: want service/name=ip:port/data-centre", s)}
	}
	return fleet.Service(service), document.Instance{
		Name: fleet.Instance(instance), Address: address, DataCentre: fleet.DataCentre(centre),
		Slots: document.DefaultSlots, Connections: connections,
	}, nil
}
