// Package soak plays random faults on real hosts before a stand-in of the prepared machines
// and checks the promises from what callers and instances see.
package soak
