package caller_test

import (
	"errors"

	"github.com/jackc/pgx/v5/pgconn"
)

// pgError returns the server's error in err, or an empty one.
func pgError(err error) *pgconn.PgError {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e
	}
	return &pgconn.PgError{}
}
