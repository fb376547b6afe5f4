package cmd

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/inifile"
)

func newKey() *cobra.Command {
	c := &cobra.Command{
		Use:     "key",
		Short:   "Make keys and verifiers of client accounts",
		Example: "  skylarkdeal key new\n  skylarkdeal key verifier --account orders/hotel spring <key.txt",
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
	var account, like string
	c := &cobra.Command{
		Use:   "verifier NAME",
		Short: "Read a key from standard input and print its line for a document",
		Long: "Read a key from standard input, one line, and print the key.<NAME> line for the\n" +
			"account's section of a document. The key itself goes nowhere else.\n\n" +
			"All keys of an account need the same salt, so that callers with either of two\n" +
			"can log in while one replaces the other: --account gives them that, and --like\n" +
			"the salt of a verifier that stands already.\n\n" +
			"Exit codes: 0 done, 1 the key is unfit, 2 wrong usage.",
		Example: "  skylarkdeal key verifier --account orders/hotel spring <key.txt",
		Args:    usageArgs(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			if !inifile.IsName(args[0]) {
				return usageError{fmt.Errorf("name %q: expected %s", args[0], inifile.NameFormat)}
			}
			key, err := bufio.NewReader(io.LimitReader(c.InOrStdin(), inifile.MaxSize)).ReadString('\n')
			if err != nil && !errors.Is(err, io.EOF) {
				return err
			}
			v, err := verifier(strings.TrimRight(key, "\r\n"), account, like)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "key.%s = %s\n", args[0], v)
			return err
		},
	}
	c.Flags().StringVar(&account, "account", "", "`SERVICE/ACCOUNT` whose keys share a salt; empty for a random one")
	c.Flags().StringVar(&like, "like", "", "`VERIFIER` of another key of the account, whose salt is taken")
	c.MarkFlagsMutuallyExclusive("account", "like")
	return c
}

func verifier(key, account, like string) (string, error) {
	if like != "" {
		o, err := document.ParseVerifier(like)
		if err != nil {
			return "", usageError{fmt.Errorf("--like: %w", err)}
		}
		return document.NewVerifierWithSalt(key, o.Salt)
	}
	if account == "" {
		return document.NewVerifier(key)
	}
	s, a, ok := strings.Cut(account, "/")
	if !ok || !inifile.IsName(s) || !inifile.IsName(a) {
		return "", usageError{fmt.Errorf("--account %q: expected SERVICE/ACCOUNT", account)}
	}
	return document.NewVerifierWithSalt(key, document.AccountSalt(fleet.Service(s), fleet.Account(a)))
}
