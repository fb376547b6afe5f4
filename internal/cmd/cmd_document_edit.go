package cmd

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"

	"github.com/spf13/cobra"

	"skylarkdeal/core/fleet"
	"skylarkdeal/internal/edit"
)

const (
	editorVariable = "EDITOR"
	defaultEditor  = "vi"
)

func newDocumentEdit(f *storeFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "edit SERVICE",
		Short: "Change a document in $EDITOR",
		Long: "Change a document in $EDITOR, then check and write it. When it has mistakes or\n" +
			"another edit came first, the changed file is kept and named.",
		Example: "  EDITOR=nano skylarkdeal document edit orders --store 10.0.0.9:2379",
		Args:    usageArgs(cobra.ExactArgs(1)),
		RunE: withEditor(f, func(c *cobra.Command, e *edit.Editor, args []string) error {
			s, err := e.Get(c.Context(), fleet.Service(args[0]))
			if err != nil && !errors.Is(err, edit.ErrNone) {
				return err
			}
			return editStored(c, e, s)
		}),
	}
}

// editStored opens a document in the operator's editor and writes the outcome.
func editStored(c *cobra.Command, e *edit.Editor, s edit.Stored) error {
	var old bytes.Buffer
	if err := writeStored(&old, s); err != nil {
		return err
	}
	file, err := tempFile(string(s.Service), old.Bytes())
	if err != nil {
		return err
	}
	changed, err := runEditor(c, file)
	if err != nil {
		return err
	}
	if bytes.Equal(changed, old.Bytes()) {
		fmt.Fprintln(c.OutOrStdout(), "nothing changed")
		return os.Remove(file)
	}
	stated, text := splitVersion(changed)
	a, err := e.Put(c.Context(), text, stated)
	if err = reportEdit(c, a, err); err != nil {
		return fmt.Errorf("%w\nyour text is kept in %s", err, file)
	}
	return os.Remove(file)
}

func tempFile(name string, text []byte) (string, error) {
	f, err := os.CreateTemp("", "skylarkdeal-"+name+"-*.ini")
	if err != nil {
		return "", err
	}
	_, err = f.Write(text)
	return f.Name(), errors.Join(err, f.Close())
}

func runEditor(c *cobra.Command, file string) ([]byte, error) {
	name := os.Getenv(editorVariable)
	if name == "" {
		name = defaultEditor
	}
	x := exec.CommandContext(c.Context(), "sh", "-c", name+` "$1"`, "sh", file) // #nosec -- the operator's own
	x.Stdin, x.Stdout, x.Stderr = c.InOrStdin(), c.OutOrStdout(), c.ErrOrStderr()
	if err := x.Run(); err != nil {
		return nil, fmt.Errorf("editor %s: %w", name, err)
	}
	return os.ReadFile(file) // #nosec G304 -- made above
}
