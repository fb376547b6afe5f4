package cmd

import (
	"context"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/spf13/cobra"

	"skylarkdeal/core/document"
	"skylarkdeal/internal/eventlog"
	"skylarkdeal/internal/localfleet"
	"skylarkdeal/standin/ledger"
)

const (
	demoHosts = 6
	// demoTimeout bounds the whole demonstration.
	demoTimeout = time.Minute
	// demoOrders is how many orders are placed while the primary fails.
	demoOrders = 40
)

func newDemo() *cobra.Command {
	level := "error"
	c := &cobra.Command{
		Use:   "demo",
		Short: "Run a whole fleet in this process and show what it does",
		Long: `Run a whole fleet in this process, on loopback: the stand-in store, three
database groups of three instances in three data centres, and six hosts. It
places orders on one host, reads them on another, kills a primary, changes a
document, and says what came of it.`,
		Example: "  skylarkdeal demo\n  skylarkdeal demo --log-level info",
		Args:    usageArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			log, err := eventlog.New(c.ErrOrStderr(), level)
			if err != nil {
				return usageError{err}
			}
			ctx, cancel := context.WithTimeout(c.Context(), demoTimeout)
			defer cancel()
			cfg := localfleet.Tokachi(demoHosts)
			cfg.Logger = log
			d := demo{c: c, cfg: cfg, service: cfg.Services[0]}
			return d.run(ctx)
		},
	}
	c.Flags().StringVar(&level, "log-level", level, "least level of the events shown: debug, info, warn or error")
	return c
}

// demo is one run of the demonstration.
type demo struct {
	c       *cobra.Command
	cfg     localfleet.Config
	service localfleet.Service
	fleet   *localfleet.Fleet
}

func (d *demo) say(format string, args ...any) {
	fmt.Fprintf(d.c.OutOrStdout(), format+"\n", args...)
}

func (d *demo) run(ctx context.Context) error {
	start := time.Now()
	f, err := localfleet.Start(ctx, d.cfg)
	if err != nil {
		return err
	}
	d.fleet = f
	defer func() { _ = f.Close() }() // all that the demonstration shows has been shown
	d.say("started   %d hosts, %d groups of %d instances, 1 store in %v",
		len(f.Hosts), len(f.Groups), len(d.service.Instances), time.Since(start).Round(time.Millisecond))
	for _, step := range []func(context.Context) error{d.ownWork, d.failover, d.revokeKey} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) connect(ctx context.Context, host int, token string) (*pgx.Conn, error) {
	return localfleet.Connect(ctx, d.fleet.Hosts[host], d.service.Name, d.service.Accounts[0], token)
}

// ownWork orders on one host and reads the order on another, from a replica.
func (d *demo) ownWork(ctx context.Context) error {
	a, err := d.connect(ctx, 0, "")
	if err != nil {
		return err
	}
	defer a.Close(ctx)
	if _, err := a.Exec(ctx, "put $1 $2", "order-1", "cream-12"); err != nil {
		return err
	}
	token := localfleet.Token(a)
	d.say("ordered   order-1 on %s, token %s", d.fleet.Hosts[0].CallerAddr(), token)

	b, err := d.connect(ctx, 1, token)
	if err != nil {
		return err
	}
	defer b.Close(ctx)
	if _, err := b.Exec(ctx, "SET default_transaction_read_only = on"); err != nil {
		return err
	}
	var key, value string
	if err := b.QueryRow(ctx, "get $1", "order-1").Scan(&key, &value); err != nil {
		return err
	}
	d.say("read      %s = %s on %s, served by %s",
		key, value, d.fleet.Hosts[1].CallerAddr(), b.PgConn().ParameterStatus("skylarkdeal.served-by"))
	return nil
}

// failover kills the primary while orders come in, each with an id of its own,
// and counts in the new primary's log what became of them.
func (d *demo) failover(ctx context.Context) error {
	g := d.fleet.Groups[d.service.Name]
	old := d.service.Instances[0].Name
	c, err := d.connect(ctx, 2, "")
	if err != nil {
		return err
	}
	defer c.Close(ctx)
	var last time.Time
	var gap time.Duration
	acked := map[string]bool{}
	unknown := 0
	for n := range demoOrders {
		if n == demoOrders/4 {
			if err := g.Set(old, ledger.Fault{Kind: ledger.FaultDie}); err != nil {
				return err
			}
			d.say("killed    primary %s of %s", old, d.service.Name)
		}
		id := fmt.Sprintf("order-%d", 100+n)
		_, err := c.Exec(ctx, "once $1 stock 1", id)
		if err != nil {
			unknown++
			continue
		}
		acked[id] = true
		if now := time.Now(); !last.IsZero() {
			gap = max(gap, now.Sub(last))
		}
		last = time.Now()
	}
	d.say("orders    %d acknowledged, %d not, longest gap between two %v",
		len(acked), unknown, gap.Round(time.Millisecond))
	return d.count(g, acked)
}

// count looks in the new primary's log for acknowledged orders that are lost
// and for orders that were run twice.
func (d *demo) count(g *ledger.Group, acked map[string]bool) error {
	for _, n := range g.Names() {
		s := g.Status(n)
		if s.Role != "primary" || s.Last.Term < 2 {
			continue
		}
		runs := map[string]int{}
		for _, e := range g.Entries(n) {
			for _, o := range e.Ops {
				if o.Kind == ledger.OpOnce {
					runs[o.ID]++
				}
			}
		}
		lost, doubled := 0, 0
		for id := range acked {
			if runs[id] == 0 {
				lost++
			}
		}
		for _, r := range runs {
			if r > 1 {
				doubled++
			}
		}
		d.say("promoted  %s in term %d: %d acknowledged orders lost, %d doubled", n, s.Last.Term, lost, doubled)
		if lost+doubled > 0 {
			return fmt.Errorf("%d orders lost, %d doubled", lost, doubled)
		}
		return nil
	}
	return fmt.Errorf("no instance of %s was promoted", d.service.Name)
}

// revokeKey takes the key of an account out of the document and waits until
// the session that was opened with it ends.
func (d *demo) revokeKey(ctx context.Context) error {
	a := d.service.Accounts[1]
	c, err := localfleet.Connect(ctx, d.fleet.Hosts[demoHosts-1], d.service.Name, a, "")
	if err != nil {
		return err
	}
	defer c.Close(ctx)
	if _, err := c.Exec(ctx, "get stock"); err != nil {
		return err
	}
	start := time.Now()
	err = d.fleet.Edit(ctx, d.service.Name, func(doc *document.Document) {
		doc.Accounts = append(doc.Accounts[:1:1], doc.Accounts[2:]...)
	})
	if err != nil {
		return err
	}
	for err == nil {
		_, err = c.Exec(ctx, "get stock")
	}
	d.say("revoked   the key of %s: its open session ended after %v (%v)",
		a.Name, time.Since(start).Round(time.Millisecond), err)
	return ctx.Err()
}
