package cmd

import (
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/inifile"
	"skylarkdeal/core/settings"
	"skylarkdeal/internal/edit"
)

func newDocument() *cobra.Command {
	f := &storeFlags{}
	c := &cobra.Command{
		Use:   "document",
		Short: "Read and change the services' documents",
		Long: "Read and change the services' documents in the platform's store.\n\n" +
			"Exit codes: 0 done, 1 failed, 2 wrong usage, 3 the document has mistakes,\n" +
			"4 another edit came first, 5 the outcome is unknown.",
		Example: "  skylarkdeal document get orders >orders.ini\n  skylarkdeal document put orders.ini",
	}
	p := c.PersistentFlags()
	p.StringSliceVar(&f.endpoints, "store", nil, "addresses of the store (default $"+storeVariable+")")
	p.StringVar(&f.prefix, "prefix", settings.DefaultPrefix, "what all keys in the store start with")
	p.StringVar(&f.settings, "settings", "", "settings file of a host whose [store] is to be used")
	p.DurationVar(&f.timeout, "timeout", 5*time.Second, "timeout of one call to the store")
	c.AddCommand(newDocumentEdit(f), newDocumentPut(f), newDocumentGet(f), newDocumentCheck(),
		newDocumentList(f), newDocumentHistory(f))
	return c
}

func newDocumentGet(f *storeFlags) *cobra.Command {
	return &cobra.Command{
		Use:     "get SERVICE",
		Short:   "Print a document, with its version on the first line",
		Example: "  skylarkdeal document get orders --store 10.0.0.9:2379 >orders.ini",
		Args:    usageArgs(cobra.ExactArgs(1)),
		RunE: withEditor(f, func(c *cobra.Command, e *edit.Editor, args []string) error {
			s, err := e.Get(c.Context(), fleet.Service(args[0]))
			if err != nil {
				return err
			}
			return writeStored(c.OutOrStdout(), s)
		}),
	}
}

// versionLine is the first line of a document that get prints and put reads: the
// version that an edit of the file is based on.
const versionLine = "; version = "

func writeStored(w io.Writer, s edit.Stored) error {
	_, err := fmt.Fprintf(w, "%s%d\n%s", versionLine, s.Version, s.Text)
	return err
}

var versionPattern = regexp.MustCompile(`^; version = ([0-9]+)[ \t]*\r?\n`)

// splitVersion takes the version line off a file; without one the version is 0.
func splitVersion(file []byte) (document.Version, []byte) {
	m := versionPattern.FindSubmatch(file)
	if m == nil {
		return 0, file
	}
	v, err := strconv.ParseUint(string(m[1]), 10, 64)
	if err != nil {
		return 0, file
	}
	return document.Version(v), file[len(m[0]):]
}

func newDocumentPut(f *storeFlags) *cobra.Command {
	var above, version uint64
	c := &cobra.Command{
		Use:   "put FILE",
		Short: "Write a document if it is still at the version on the file's first line",
		Long: "Write a document if the store still has the version that stands on the file's\n" +
			"first line, as `get` prints it. A file without that line makes a new document.\n" +
			"FILE may be - for standard input.",
		Example: "  skylarkdeal document put orders.ini --store 10.0.0.9:2379",
		Args:    usageArgs(cobra.ExactArgs(1)),
	}
	c.Flags().Uint64Var(&version, "version", 0, "the version that is expected, in place of the file's")
	c.Flags().Uint64Var(&above, "above", 0,
		"after a reset of the store: make a version above this one, which hosts have in effect")
	c.RunE = withEditor(f, func(c *cobra.Command, e *edit.Editor, args []string) error {
		b, err := readInput(c, args[0])
		if err != nil {
			return err
		}
		stated, text := splitVersion(b)
		if c.Flags().Changed("version") {
			stated = document.Version(version)
		}
		a, err := e.PutAbove(c.Context(), text, stated, document.Version(above))
		return reportEdit(c, a, err)
	})
	return c
}

func readInput(c *cobra.Command, file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(io.LimitReader(c.InOrStdin(), inifile.MaxSize+1))
	}
	return os.ReadFile(file) // #nosec G304 -- the operator names the file
}

// reportEdit tells the outcome of an edit, and the loser how the two differ.
func reportEdit(c *cobra.Command, a edit.Edited, err error) error {
	var lost *edit.Lost
	if errors.As(err, &lost) {
		fmt.Fprintf(c.ErrOrStderr(), "Yours (+) against version %d (-):\n%s", lost.Current.Version, lost.Diff())
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(c.OutOrStdout(), "version %d, edit %s\n", a.Version, a.Edit)
	if a.ReplacedBy != 0 {
		fmt.Fprintf(c.OutOrStdout(), "since replaced by version %d\n", a.ReplacedBy)
	}
	return nil
}

func newDocumentCheck() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE...",
		Short:   "Check documents without writing them",
		Example: "  skylarkdeal document check orders.ini",
		Args:    usageArgs(cobra.MinimumNArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			var all inifile.Mistakes
			for _, a := range args {
				b, err := readInput(c, a)
				if err != nil {
					return err
				}
				var m inifile.Mistakes
				_, err = document.Parse(b, 0)
				if errors.As(err, &m) {
					all = append(all, m.WithFile(a)...)
				}
			}
			if len(all) > 0 {
				return all
			}
			fmt.Fprintln(c.OutOrStdout(), "no mistakes")
			return nil
		},
	}
}

func newDocumentList(f *storeFlags) *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "List the documents with their versions and last edits",
		Example: "  skylarkdeal document list --store 10.0.0.9:2379",
		Args:    usageArgs(cobra.NoArgs),
		RunE: withEditor(f, func(c *cobra.Command, e *edit.Editor, _ []string) error {
			l, err := e.List(c.Context())
			if err != nil {
				return err
			}
			return writeTable(c.OutOrStdout(), l)
		}),
	}
}

func writeTable(w io.Writer, l []edit.Stored) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "SERVICE\tVERSION\tAT\tBY\tEDIT\tVALID")
	for _, s := range l {
		at, valid := "-", "yes"
		if !s.Stamp.At.IsZero() {
			at = s.Stamp.At.Format(time.RFC3339)
		}
		if _, err := document.Parse(s.Text, s.Version); err != nil {
			valid = "no"
		}
		fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%s\t%s\n", s.Service, s.Version, at, dash(s.Stamp.By), dash(s.Stamp.EditID), valid)
	}
	return t.Flush()
}

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func newDocumentHistory(f *storeFlags) *cobra.Command {
	var version uint64
	c := &cobra.Command{
		Use:   "history SERVICE",
		Short: "List the last versions of a document, or print one",
		Example: "  skylarkdeal document history orders\n" +
			"  skylarkdeal document history orders --version 17",
		Args: usageArgs(cobra.ExactArgs(1)),
	}
	c.Flags().Uint64Var(&version, "version", 0, "print this version")
	c.RunE = withEditor(f, func(c *cobra.Command, e *edit.Editor, args []string) error {
		n := fleet.Service(args[0])
		if version != 0 {
			s, err := e.At(c.Context(), n, document.Version(version))
			if err != nil {
				return err
			}
			_, err = c.OutOrStdout().Write(s.Text)
			return err
		}
		l, err := e.History(c.Context(), n)
		if err != nil {
			return err
		}
		return writeTable(c.OutOrStdout(), l)
	})
	return c
}

// usageArgs makes a wrong number of arguments a mistake of usage.
func usageArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if err := check(c, args); err != nil {
			return usageError{err}
		}
		return nil
	}
}
