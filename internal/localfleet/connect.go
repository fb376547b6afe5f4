package localfleet

import (
	"context"
	"fmt"

	"github.com/jackc/pgx/v5"

	"skylarkdeal/core/fleet"
	"skylarkdeal/internal/serve"
)

// TokenParameter is the name under which a session's token travels.
const TokenParameter = "skylarkdeal.token"

// Connect opens a PostgreSQL session on h. A token of an earlier session, if not
// empty, makes this one see that one's work.
func Connect(ctx context.Context, h *serve.Host, s fleet.Service, a Account, token string) (*pgx.Conn, error) {
	c, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", a.Name, a.Key, h.CallerAddr(), s))
	if err != nil {
		return nil, err
	}
	if token != "" {
		c.RuntimeParams[TokenParameter] = token
	}
	return pgx.ConnectConfig(ctx, c)
}

// Token returns the session's token, to be shown on another host.
func Token(c *pgx.Conn) string {
	return c.PgConn().ParameterStatus(TokenParameter)
}
