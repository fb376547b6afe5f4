package cmd

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"skylarkdeal/standin/store"
)

func newStandinStore() *cobra.Command {
	var address string
	c := &cobra.Command{
		Use:   "store",
		Short: "Run a store in this process, with fault switches",
		Long: `Run a small store that speaks the parts of the etcd v3 API which skylarkdeal
calls. It keeps all in memory. Over HTTP on the same address, /fault sets its
switches and /calls tells how many calls of each kind have come.`,
		Example: `  skylarkdeal standin store --address 127.0.0.1:2379
  curl -X POST '127.0.0.1:2379/fault?slow=2s&lose-answers=3'`,
		Args: usageArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			s, err := store.Start(store.Config{Address: address})
			if err != nil {
				return err
			}
			defer s.Close()
			fmt.Fprintf(c.OutOrStdout(), "address=%s\n", s.Addr())
			<-ctx.Done()
			return nil
		},
	}
	c.Flags().StringVar(&address, "address", "127.0.0.1:2379", "IP address and port to listen on")
	return c
}
