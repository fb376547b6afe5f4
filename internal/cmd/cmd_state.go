package cmd

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"skylarkdeal/core/failure"
)

// stateTimeout bounds the wait for a host's state dump, so that a paused host
// is told from a slow one within an operator's patience.
const stateTimeout = 10 * time.Second

func newState() *cobra.Command {
	var address string
	c := &cobra.Command{
		Use:   "state [section ...]",
		Short: "Print the state of a running host",
		Long: `Print the state of a running host as JSON: all of it, or the named sections.

The sections are host, documents, members, groups, holder, grants, callers,
peers, store and decisions. The last holds the recent decisions with reasons:
why a request was refused, who was promoted and why, which document was taken
up.`,
		Example: `  skylarkdeal state --address 127.0.0.1:6434
  skylarkdeal state --address 127.0.0.1:6434 groups decisions`,
		RunE: func(c *cobra.Command, args []string) error {
			return printState(c.Context(), c.OutOrStdout(), address, args)
		},
	}
	c.Flags().StringVar(&address, "address", "127.0.0.1:6434", "operators' `IP:PORT` of the host")
	return c
}

func printState(ctx context.Context, w io.Writer, address string, sections []string) error {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: address, Path: "/state"}
	if len(sections) > 0 {
		u.RawQuery = url.Values{"section": {strings.Join(sections, ",")}}.Encode()
	}
	peer := failure.Peer("operators' address " + address)
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return failure.At(err, "read state", peer)
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return failure.At(err, "read state", peer)
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(r.Body)
		return failure.At(fmt.Errorf("%s", strings.TrimSpace(string(b))), "read state", peer)
	}
	_, err = io.Copy(w, r.Body)
	return failure.At(err, "read state", peer)
}
