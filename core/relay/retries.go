package relay

import "skylarkdeal/core/statement"

// noRetryReason returns why an operation that has failed with code isn't to be retried, empty if it is. Only a failure
// after which the statement may have run counts; writes aren't retried then in any case.
//
// Guards against retries that multiply the load of a group that fails because of it.
func (o *operation) noRetryReason(code statement.Code) string {
	if !o.sent || code != statement.CodeFailed && code != statement.CodeTimeout {
		return ""
	}
	if o.isLastRun() {
		return "it may have run as often as its route allows"
	}
	if o.g.r.cfg.RetryBudget && !o.g.retryBudget.Take() {
		o.g.r.counters.RetriesDenied++
		return "the retry budget of the service is used up"
	}
	o.runs++
	return ""
}

// isLastRun reports whether the route doesn't allow the statement to run once more after the present attempt.
func (o *operation) isLastRun() bool {
	n := o.route.MaxAttempts
	return n > 0 && o.runs+1 >= n
}

// isRepeatable reports whether this host may run the operation again after it may have run: it is a read outside of
// a transaction, and not another host's, which repeats it itself.
func (o *operation) isRepeatable() bool {
	return !o.writes && !o.s.tx.open && o.s.boundInstance == ""
}

// earnRetry adds to the retry budget for a read that is sent for the first time and that this host would retry.
// Another host's read adds to the budget there.
func (o *operation) earnRetry() {
	if !o.everSent && o.isRepeatable() {
		o.g.retryBudget.Earn()
	}
}
