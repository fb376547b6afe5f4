// Package times has small helpers for moments in time.
package times

import "time"

// Later returns the later of two times.
func Later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
