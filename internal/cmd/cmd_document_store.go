package cmd

import (
	"errors"
	"fmt"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"skylarkdeal/core/inifile"
	"skylarkdeal/core/settings"
	"skylarkdeal/internal/edit"
	"skylarkdeal/io/etcd"
)

// storeFlags say where the platform's store is.
type storeFlags struct {
	endpoints []string
	prefix    string
	settings  string
	timeout   time.Duration
}

const storeVariable = "SKYLARKDEAL_STORE"

// editor returns an Editor of the store that the flags name, and what closes it.
func (f *storeFlags) editor() (*edit.Editor, func(), error) {
	ends, prefix := f.endpoints, f.prefix
	if len(ends) == 0 && os.Getenv(storeVariable) != "" {
		ends = strings.Split(os.Getenv(storeVariable), ",")
	}
	if f.settings != "" {
		s, err := loadSettings(f.settings)
		if err != nil {
			return nil, nil, err
		}
		ends, prefix = s.Store.Endpoints, s.Store.Prefix
	}
	if len(ends) == 0 {
		return nil, nil, usageError{errors.New("say where the store is by --store, --settings or $" + storeVariable)}
	}
	for _, a := range ends {
		if !inifile.IsAddress(a) {
			return nil, nil, usageError{fmt.Errorf("store %q: expected %s", a, inifile.AddressFormat)}
		}
	}
	s := etcd.Dial(etcd.Config{Endpoints: ends, Timeout: f.timeout, Patient: true})
	return &edit.Editor{Store: s, Root: prefix, By: userName()}, s.Close, nil
}

// loadSettings reads a settings file.
func loadSettings(file string) (*settings.Settings, error) {
	b, err := os.ReadFile(file) // #nosec G304 -- the operator names the file
	if err != nil {
		return nil, err
	}
	return settings.Parse(file, b)
}

func userName() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

// withEditor runs do with an Editor of the store that the flags name.
func withEditor(f *storeFlags, do func(c *cobra.Command, e *edit.Editor, args []string) error) func(
	*cobra.Command, []string) error {
	return func(c *cobra.Command, args []string) error {
		e, done, err := f.editor()
		if err != nil {
			return err
		}
		defer done()
		return do(c, e, args)
	}
}
