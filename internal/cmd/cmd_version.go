package cmd

import (
	"fmt"
	"runtime"

	"github.com/spf13/cobra"
)

// Version is the version of the program; a release build sets it.
var Version = "0.1.0-dev"

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version",
		Example: "  skylarkdeal version",
		Args:    usageArgs(cobra.NoArgs),
		Run: func(c *cobra.Command, _ []string) {
			fmt.Fprintf(c.OutOrStdout(), "skylarkdeal %s %s\n", Version, runtime.Version())
		},
	}
}
