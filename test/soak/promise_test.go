package soak_test

import "strings"

// promise names what a violation breaks.
type promise string

// The promises that are checked.
const (
	promiseStale   promise = "STALE"
	promiseTwice   promise = "TWICE"
	promiseOne     promise = "ONE"
	promiseRefused promise = "NOT-RUN"
	promiseAccount promise = "ACCOUNT"
	promisePinned  promise = "PINNED"
	promiseMixed   promise = "MIXED"
	promiseUnasked promise = "UNASKED"
	promiseServes  promise = "SERVES"
	// promiseWithdrawn and promiseGiven are that a change is in force in time, promiseBack that no
	// host returns to an older catalog.
	promiseWithdrawn promise = "WITHDRAWN"
	promiseGiven     promise = "GIVEN"
	promiseBack      promise = "BACK"
	// promisePriority is that urgent routes aren't served worse than others, promisePrompt that callers
	// are refused at once for lack of capacity, promiseReads that reads are served while an instance is
	// healthy.
	promisePriority promise = "PRIORITY"
	promisePrompt   promise = "PROMPT"
	promiseReads    promise = "READS"
	// promiseLost is that an acknowledged commit is kept where replicas confirm commits.
	promiseLost promise = "LOST"
)

// maxListed bounds the violations that are printed.
const maxListed = 20

// promised are the errors that say that nothing of an attempt is kept.
var promised = map[string]bool{
	"BUSY": true, "ABORTED": true, "LAGGING": true, "READONLY": true, "MISROUTED": true, "TOOMANY": true,
}

// forwarded reports whether only an instance can answer a statement.
func forwarded(text string) bool {
	switch word, _, _ := strings.Cut(text, " "); word {
	case "READ", "WRITE", "EXECUTE", "COMMIT":
		return true
	}
	return false
}
