package cmd

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"skylarkdeal/core/document"
	"skylarkdeal/core/inifile"
)

func newKey() *cobra.Command {
	c := &cobra.Command{
		Use:     "key",
		Short:   "Make keys and verifiers of client accounts",
		Example: "  skylarkdeal key new\n  skylarkdeal key verifier spring <key.txt",
	}
	c.AddCommand(newKeyNew(), newKeyVerifier())
	return c
}

func newKeyNew() *cobra.Command {
	return &cobra.Command{
		Use:     "new",
		Short:   "Print a new random key",
		Example: "  skylarkdeal key new >key.txt",
		Args:    usageArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(c.OutOrStdout(), document.NewKey())
			return err
		},
	}
}

func newKeyVerifier() *cobra.Command {
	return &cobra.Command{
		Use:   "verifier NAME",
		Short: "Read a key from standard input and print its line for a document",
		Long: "Read a key from standard input, one line, and print the key.<NAME> line for the\n" +
			"account's section of a document. The key itself goes nowhere else.\n\n" +
			"Exit codes: 0 done, 1 the key is unfit, 2 wrong usage.",
		Example: "  skylarkdeal key verifier spring <key.txt",
		Args:    usageArgs(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			if !inifile.IsName(args[0]) {
				return usageError{fmt.Errorf("name %q: expected %s", args[0], inifile.NameForm)}
			}
			key, err := bufio.NewReader(io.LimitReader(c.InOrStdin(), inifile.MaxSize)).ReadString('\n')
			if err != nil && !errors.Is(err, io.EOF) {
				return err
			}
			v, err := document.NewVerifier(strings.TrimRight(key, "\r\n"))
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "key.%s = %s\n", args[0], v)
			return err
		},
	}
}
