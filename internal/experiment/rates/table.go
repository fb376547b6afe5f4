package rates

import (
	"errors"
	"fmt"
	"io"
	"strings"
)

// ErrExceeded says that a design let more than rate·w + burst through in a window w.
var ErrExceeded = errors.New("more than rate·w + burst was admitted")

// Check returns ErrExceeded with each design and case of which a run exceeded the rate.
func Check(rows []Row) error {
	var all []error
	for _, r := range rows {
		for _, o := range r.Outcomes {
			if o.Over > 0 {
				all = append(all, fmt.Errorf("%s, %s: %w", o.Design, r.Case, ErrExceeded))
			}
		}
	}
	return errors.Join(all...)
}

// Write prints the wrongful refusals per 10,000 with one column for each design,
// and the calls a second of the chosen one.
func Write(w io.Writer, rows []Row) error {
	var b strings.Builder
	for i, r := range rows {
		if i == 0 {
			fmt.Fprintf(&b, "%-22s", "wrongful per 10,000")
			for _, o := range r.Outcomes {
				fmt.Fprintf(&b, "%14s", o.Design)
			}
			fmt.Fprintln(&b)
		}
		fmt.Fprintf(&b, "%-22s", r.Case)
		for _, o := range r.Outcomes {
			fmt.Fprintf(&b, "%14.1f", o.Per10000())
		}
		fmt.Fprintf(&b, "   %.0f calls/s\n", r.Chosen().Calls)
	}
	_, err := io.WriteString(w, b.String())
	return err
}
