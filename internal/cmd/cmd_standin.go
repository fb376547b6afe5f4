package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"skylarkdeal/core/fleet"
	"skylarkdeal/standin/ledger"
)

// standins lists the subcommands of standin.
var standins = []func() *cobra.Command{
	newStandinGroup,
	newStandinStore,
}

func newStandin() *cobra.Command {
	c := &cobra.Command{
		Use:     "standin",
		Short:   "Run a small stand-in for a database group or the platform's store",
		Example: "  skylarkdeal standin store --address 127.0.0.1:2379",
	}
	for _, s := range standins {
		c.AddCommand(s())
	}
	return c
}

// groupFlags are the flags of "standin group".
type groupFlags struct {
	service      string
	instances    []string
	slots        int
	connections  int
	connectDelay time.Duration
	work         time.Duration
	lag          time.Duration
	admin        string
	user         string
	passwordFile string
}

func newStandinGroup() *cobra.Command {
	var f groupFlags
	c := &cobra.Command{
		Use:   "group",
		Short: "Run a database group of a few instances in this process",
		Example: `  skylarkdeal standin group --service orders --lag 20ms --admin 127.0.0.1:7100 \
    --instance a=127.0.0.1:7101 --instance b=127.0.0.1:7102 --instance c=127.0.0.1:7103
  curl -X POST '127.0.0.1:7100/fault?instance=primary&kind=pause&for=5s'`,
		Args: usageArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return runGroup(ctx, c.OutOrStdout(), f)
		},
	}
	p := c.Flags()
	p.StringVar(&f.service, "service", "orders", "name of the service")
	p.StringArrayVar(&f.instances, "instance", nil, "name=ip:port of an instance, the primary first; repeat")
	p.IntVar(&f.slots, "slots", 2, "statements that run at a time on an instance")
	p.IntVar(&f.connections, "connections", 16, "connections that an instance accepts")
	p.DurationVar(&f.connectDelay, "connect-delay", 10*time.Millisecond, "time that a new connection takes")
	p.DurationVar(&f.work, "work", 0, "time that a statement holds its slot")
	p.DurationVar(&f.lag, "lag", 0, "time that an entry takes to reach a replica")
	p.StringVar(&f.admin, "admin", "", "ip:port of the fault switches and the record, over HTTP")
	p.StringVar(&f.user, "user", "", "only user that is let in; empty for any")
	p.StringVar(&f.passwordFile, "password-file", "", "file that holds the password, asked for by SCRAM")
	return c
}

func (f groupFlags) config() (ledger.Config, error) {
	cfg := ledger.Config{Service: fleet.Service(f.service), Lag: f.lag, User: f.user}
	for _, s := range f.instances {
		name, address, ok := strings.Cut(s, "=")
		if !ok {
			return cfg, usageError{fmt.Errorf("--instance %q: want name=ip:port", s)}
		}
		cfg.Instances = append(cfg.Instances, ledger.InstanceConfig{
			Name: fleet.Instance(name), Address: address, Slots: f.slots, Connections: f.connections,
			ConnectDelay: f.connectDelay, Work: f.work,
		})
	}
	if len(cfg.Instances) == 0 {
		return cfg, usageError{errors.New("no --instance given")}
	}
	if f.passwordFile != "" {
		b, err := os.ReadFile(f.passwordFile)
		if err != nil {
			return cfg, err
		}
		cfg.Auth, cfg.Password = ledger.AuthSCRAM, strings.TrimSpace(string(b))
	}
	return cfg, nil
}

// runGroup runs the group until ctx ends.
func runGroup(ctx context.Context, out io.Writer, f groupFlags) error {
	cfg, err := f.config()
	if err != nil {
		return err
	}
	g, err := ledger.Start(cfg)
	if err != nil {
		return err
	}
	defer g.Close()
	for _, n := range g.Names() {
		fmt.Fprintf(out, "service=%s instance=%s address=%s\n", f.service, n, g.Address(n))
	}
	if f.admin == "" {
		<-ctx.Done()
		return nil
	}
	return serveAdmin(ctx, out, f.admin, g.Handler())
}

// adminHeaderTimeout bounds how long a client may take over a request's head.
const adminHeaderTimeout = 5 * time.Second

// serveAdmin serves h until ctx ends.
func serveAdmin(ctx context.Context, out io.Writer, address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "admin=%s\n", l.Addr())
	s := &http.Server{Handler: h, ReadHeaderTimeout: adminHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
