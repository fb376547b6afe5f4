package load

import (
	"errors"
	"strings"

	"github.com/jackc/pgx/v5/pgconn"

	"skylarkdeal/core/failure"
	"skylarkdeal/internal/load/check"
)

// outcomeOf tells what an error says of a statement.
func outcomeOf(err error) check.Outcome {
	var e *pgconn.PgError
	switch {
	case err == nil:
		return check.OutcomeOK
	case errors.As(err, &e):
		return outcomeOfCode(failure.Code(e.Code), e.Message)
	case pgconn.SafeToRetry(err):
		return check.OutcomeUnsent
	default:
		return check.OutcomeUnknown
	}
}

// insufficientResources is the class of the SQLSTATEs that refuse.
const insufficientResources = "53"

func outcomeOfCode(c failure.Code, message string) check.Outcome {
	switch {
	case c == failure.CodeUnknownOutcome:
		return check.OutcomeUnknown
	case strings.HasPrefix(string(c), insufficientResources), strings.Contains(message, "not run"):
		return check.OutcomeNotRun
	case c == failure.CodeShuttingDown, c == failure.CodeCancelled, c == failure.CodeUnreachable,
		c == failure.CodeInternal:
		return check.OutcomeUnknown
	default:
		return check.OutcomeFailed
	}
}

func codeOf(err error) string {
	var e *pgconn.PgError
	switch {
	case err == nil:
		return ""
	case errors.As(err, &e):
		return e.Code
	default:
		return "connection"
	}
}
