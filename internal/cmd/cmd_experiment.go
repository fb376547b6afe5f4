package cmd

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"skylarkdeal/internal/experiment"
	"skylarkdeal/internal/experiment/rates"
)

func newExperiment() *cobra.Command {
	c := &cobra.Command{
		Use:     "experiment",
		Short:   "Measure a fleet in this process under faults",
		Example: "  skylarkdeal experiment failover --runs 30",
	}
	c.AddCommand(newExperimentFailover(), newExperimentRates())
	return c
}

// maxRuns keeps a slip from running for hours.
const maxRuns = 1000

func newExperimentFailover() *cobra.Command {
	var faults []string
	runs := 10
	c := &cobra.Command{
		Use:   "failover",
		Short: "Fail primaries and measure the gap that callers see",
		Long: `Fail the primary of a group again and again while callers write over two hosts,
and print the median and worst time from the last acknowledged write before a
failure to the next one after it, with how many acknowledged writes were lost or
doubled. The exit code is 1 when any was.`,
		Example: "  skylarkdeal experiment failover --runs 30 --fault crash,cut",
		Args:    usageArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			if runs < 1 || runs > maxRuns {
				return usageError{fmt.Errorf("--runs %d: expected 1 to %d", runs, maxRuns)}
			}
			chosen, err := chosenFaults(faults)
			if err != nil {
				return err
			}
			return runFailover(c, chosen, runs)
		},
	}
	c.Flags().IntVar(&runs, "runs", runs, "failures of each kind")
	c.Flags().StringSliceVar(&faults, "fault", nil, "kinds of failure, with commas between; empty for all: "+allFaults())
	return c
}

func newExperimentRates() *cobra.Command {
	var seed uint64
	c := &cobra.Command{
		Use:   "rates",
		Short: "Compare ways to keep accounts to their rate over a fleet",
		Long: `Run a fleet of 8 hosts in memory, by its own clock, under loads and faults, with four
ways to keep one account to its rate, and print the wrongful refusals of each per 10,000
exchanges within the rate. The exit code is 1 when any admitted more than rate·w + burst
in a window w.`,
		Example: "  skylarkdeal experiment rates\n  skylarkdeal experiment rates --seed 3",
		Args:    usageArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			rows := rates.Measure(seed)
			return errors.Join(rates.Check(rows), rates.Write(c.OutOrStdout(), rows))
		},
	}
	c.Flags().Uint64Var(&seed, "seed", seed, "first of the three seeds that each figure is of")
	return c
}

func allFaults() string {
	var n []string
	for _, f := range experiment.Faults {
		n = append(n, string(f))
	}
	return strings.Join(n, ", ")
}

func chosenFaults(names []string) ([]experiment.Fault, error) {
	if len(names) == 0 {
		return experiment.Faults, nil
	}
	var out []experiment.Fault
	for _, n := range names {
		f := experiment.Fault(n)
		if !slices.Contains(experiment.Faults, f) {
			return nil, usageError{fmt.Errorf("--fault %q: expected %s", n, allFaults())}
		}
		out = append(out, f)
	}
	return out, nil
}

var errLostOrDoubled = errors.New("acknowledged writes were lost or doubled")

func runFailover(c *cobra.Command, faults []experiment.Fault, runs int) error {
	var all []experiment.Gaps
	var broken error
	for _, f := range faults {
		g, err := experiment.Failover(c.Context(), f, runs)
		if err != nil {
			return err
		}
		if g.Lost+g.Doubled > 0 {
			broken = errLostOrDoubled
		}
		all = append(all, g)
	}
	return errors.Join(broken, experiment.WriteFailover(c.OutOrStdout(), all))
}
