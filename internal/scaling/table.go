package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// row is what was measured at one size; the first value is the size.
type row struct {
	values []float64
	// rates are counts a second by kind, printed under the table.
	rates map[string]float64
}

// write prints the rows, then the slope of each column over the first one.
func write(w io.Writer, columns []string, rows []row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, c := range columns {
		fmt.Fprintf(t, "%s\t", c)
	}
	fmt.Fprintln(t)
	for _, r := range rows {
		for _, v := range r.values {
			fmt.Fprintf(t, "%s\t", number(v))
		}
		fmt.Fprintln(t)
	}
	fmt.Fprint(t, "slope\t")
	for n := range columns[1:] {
		fmt.Fprintf(t, "%s\t", number(slope(rows, n+1)))
	}
	fmt.Fprintln(t)
	if err := t.Flush(); err != nil {
		return err
	}
	return writeRates(w, columns[0], rows)
}

func number(v float64) string {
	return fmt.Sprintf("%.5g", v)
}

// slope fits a line through the column by least squares.
func slope(rows []row, column int) float64 {
	var x, y, xx, xy float64
	for _, r := range rows {
		x += r.values[0]
		y += r.values[column]
		xx += r.values[0] * r.values[0]
		xy += r.values[0] * r.values[column]
	}
	n := float64(len(rows))
	d := n*xx - x*x
	if d == 0 {
		return 0
	}
	return (n*xy - x*y) / d
}

func writeRates(w io.Writer, size string, rows []row) error {
	names := map[string]bool{}
	for _, r := range rows {
		for n := range r.rates {
			names[n] = true
		}
	}
	if len(names) == 0 {
		return nil
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "\na second, whole fleet, %s\t", size)
	for _, r := range rows {
		fmt.Fprintf(t, "%g\t", r.values[0])
	}
	fmt.Fprintln(t)
	for _, n := range slices.Sorted(maps.Keys(names)) {
		fmt.Fprintf(t, "%s\t", n)
		for _, r := range rows {
			fmt.Fprintf(t, "%.3g\t", r.rates[n])
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}
