// Command scaling measures how the costs of a fleet grow with hosts, groups,
// sessions and documents, on one machine. script/capacity runs it.
//
//	go run ./internal/scaling hosts 8 16 32
//
// Each measurement prints a table with a row for each size, and under it the
// slope of each column by least squares.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"
)

// measurements are what can be measured, each at several sizes.
var measurements = map[string]struct {
	columns []string
	measure func(ctx context.Context, size int) (row, error)
}{
	"hosts":     {append([]string{"hosts"}, idleColumns...), measureHosts},
	"groups":    {append([]string{"groups"}, idleColumns...), measureGroups},
	"sessions":  {sessionColumns, measureSessions},
	"documents": {documentColumns, measureDocuments},
	"accounts":  {accountColumns, measureAccounts},
	"roster":    {rosterColumns, measureRoster},
}

// measureTimeout bounds a measurement at one size.
const measureTimeout = 2 * time.Minute

// benchTime is how long each operation of the measurement roster is repeated.
const benchTime = "300ms"

func main() {
	testing.Init()
	err := flag.Set("test.benchtime", benchTime)
	if err == nil {
		err = run(os.Args[1:])
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	if len(args) < 2 {
		return fmt.Errorf("want a measurement (hosts, groups, sessions, documents, accounts or roster) and its sizes")
	}
	m, ok := measurements[args[0]]
	if !ok {
		return fmt.Errorf("no measurement %q", args[0])
	}
	var rows []row
	for _, a := range args[1:] {
		n, err := strconv.Atoi(a)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(context.Background(), measureTimeout)
		r, err := m.measure(ctx, n)
		cancel()
		if err != nil {
			return fmt.Errorf("%s %d: %w", args[0], n, err)
		}
		rows = append(rows, r)
	}
	return write(os.Stdout, m.columns, rows)
}
