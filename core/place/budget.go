package place

// RetryBudget limits how often declared reads are tried again. The zero RetryBudget has
// its full reserve.
//
// The load is a group that fails many reads, because it is overloaded or its
// primary changes: unlimited retries then multiply the load that caused the
// failures. A retry costs one token and a read earns budgetShare of one, so
// retries add at most a tenth to the reads; the reserve covers the few reads
// that were under way when an instance died.
type RetryBudget struct {
	spent float64
}

const (
	budgetShare   = 0.1
	budgetReserve = 10
)

// Earn counts a read that is sent for the first time.
func (b *RetryBudget) Earn() {
	b.spent = max(0, b.spent-budgetShare)
}

// Take reports whether a read may be tried again, and counts the retry.
func (b *RetryBudget) Take() bool {
	if b.spent+1 > budgetReserve {
		return false
	}
	b.spent++
	return true
}

// Left returns how many retries are left.
func (b *RetryBudget) Left() float64 {
	return budgetReserve - b.spent
}
