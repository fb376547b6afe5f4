package cmd

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"skylarkdeal/core/settings"
	"skylarkdeal/internal/entry"
	"skylarkdeal/internal/eventlog"
	"skylarkdeal/internal/serve"
)

// shutdownTimeout is how long requests and transactions in progress get at a
// shutdown when the command line names no other time.
const shutdownTimeout = 30 * time.Second

func newServe() *cobra.Command {
	var file string
	var check bool
	var grace time.Duration
	c := &cobra.Command{
		Use:   "serve",
		Short: "Run one host",
		Long: `Run one host of the fleet, with the settings in an INI file.

SIGTERM and SIGINT end it without cutting a request: it takes no new sessions,
lets requests and transactions in progress end, and gives back what it holds.`,
		Example: `  skylarkdeal serve --settings host.ini --check
  skylarkdeal serve --settings host.ini`,
		Args: usageArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := readSettings(file)
			if err != nil {
				return err
			}
			if check {
				fmt.Fprintln(c.OutOrStdout(), file+": ok")
				return nil
			}
			if s.Adapter.Kind == settings.AdapterPlatform {
				return runEntry(c, s)
			}
			return runHost(c, s, grace)
		},
	}
	c.Flags().StringVar(&file, "settings", "host.ini", "the host's settings, an INI `file`")
	c.Flags().BoolVar(&check, "check", false, "check the settings and exit")
	c.Flags().DurationVar(&grace, "grace", shutdownTimeout, "how long requests in progress get at a shutdown")
	return c
}

var errNoCallers = errors.New("the callers' address no longer serves")

func readSettings(file string) (*settings.Settings, error) {
	b, err := os.ReadFile(file) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, usageError{err}
	}
	s, err := settings.Parse(file, b)
	if err != nil {
		return nil, usageError{err}
	}
	return s, nil
}

func runHost(c *cobra.Command, s *settings.Settings, grace time.Duration) error {
	log, err := eventlog.New(c.ErrOrStderr(), string(s.Log.Level))
	if err != nil {
		return usageError{err}
	}
	ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	h, err := serve.Start(s, log)
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-h.Ended():
		// Without callers a host is of no use; the platform starts another.
		return errors.Join(errNoCallers, h.Close())
	}
	stop()
	end, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	return h.Shutdown(end)
}

// runEntry runs a host on the prepared machines until it is told to end. A changed
// settings file takes effect at the next start; the signal for it is only logged.
func runEntry(c *cobra.Command, s *settings.Settings) error {
	out := eventlog.NewAsync(c.OutOrStdout())
	defer out.Close()
	log, err := eventlog.New(out, string(s.Log.Level))
	if err != nil {
		return usageError{err}
	}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	h, err := entry.Start(s, log)
	if err != nil {
		return err
	}
	for {
		select {
		case <-reload:
			log.Info("settings may have changed; they take effect at the next start")
			continue
		case <-ctx.Done():
			return h.Shutdown()
		case <-h.Ended():
			return errors.Join(errNoCallers, h.Close())
		}
	}
}
