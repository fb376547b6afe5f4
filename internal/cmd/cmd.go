// Package cmd is the command line of skylarkdeal, one file per subcommand.
package cmd

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// The exit codes of the program.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// commands lists the subcommands in the order in which the help shows them.
var commands = []func() *cobra.Command{
	newServe,
	newDemo,
	newExperiment,
	newDocument,
	newKey,
	newLoad,
	newState,
	newStandin,
	newVersion,
}

// usageError is a mistake in how the program was called.
type usageError struct{ error }

// Main runs the command line args and returns the exit code.
func Main(args []string, in io.Reader, out, errOut io.Writer) int {
	root := newRoot()
	root.SetArgs(args)
	root.SetIn(in)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(context.Background())
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(errOut, "skylarkdeal:", err)
	return exitCode(err)
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "skylarkdeal",
		Short:         "A database proxy with session consistency",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return usageError{err}
	})
	for _, c := range commands {
		root.AddCommand(c())
	}
	refuseUnknown(root)
	return root
}

// refuseUnknown makes an unknown subcommand of c, or of one of its subcommands,
// wrong usage.
func refuseUnknown(c *cobra.Command) {
	for _, s := range c.Commands() {
		refuseUnknown(s)
	}
	if c.HasSubCommands() {
		c.Args = usageArgs(cobra.NoArgs)
		c.RunE = func(c *cobra.Command, _ []string) error { return c.Help() }
	}
}
