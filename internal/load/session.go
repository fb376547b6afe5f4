package load

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/ring"
	"skylarkdeal/internal/address"
	"skylarkdeal/internal/load/check"
	"skylarkdeal/internal/sleep"
)

// use is what one of a session's connections is for. A session that writes on
// one host and reads on another hands its token over.
type use string

const (
	useWrite use = "write"
	useOwn   use = "own"
	useAged  use = "aged"
)

// What sessions say to, and hear from, a host.
const (
	tokenParameter    = "skylarkdeal.token"
	maxAgeParameter   = "skylarkdeal.max-age"
	servedByParameter = "skylarkdeal.served-by"
	readOnlyParameter = "default_transaction_read_only"
)

// The pauses between attempts to connect.
const (
	firstPause = 20 * time.Millisecond
	lastPause  = time.Second
)

// session is one caller, who does one operation at a time.
type session struct {
	run     *runner
	service Service
	account Account
	queue   ring.Ring[time.Duration]
	n       check.Session
	rng     *rand.Rand
	mode    pgx.QueryExecMode

	conns map[use]*link
	token fleet.LogPosition
	pause time.Duration
	// key is the session's own key, number what was acknowledged under it.
	key      string
	keys     int
	number   uint64
	sequence int
}

// link is a connection and the host that it goes to.
type link struct {
	*pgx.Conn
	host string
}

var modes = []pgx.QueryExecMode{
	pgx.QueryExecModeCacheStatement, pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol,
}

func newSession(r *runner, s Service, a Account, q ring.Ring[time.Duration], n check.Session) *session {
	x := &session{run: r, service: s, account: a, queue: q, n: n, conns: map[use]*link{},
		rng: rand.New(rand.NewPCG(r.cfg.Seed, 1<<32+uint64(n))), mode: modes[int(n)%len(modes)]}
	x.rotate()
	return x
}

// rotate begins a new own key.
func (s *session) rotate() {
	s.keys++
	s.key = "own-" + s.run.name + "-" + strconv.Itoa(int(s.n)) + "-" + strconv.Itoa(s.keys)
	s.number = 0
}

// serve does what is due until ctx ends. An operation that has begun is let go
// to its end.
func (s *session) serve(ctx context.Context) {
	s.queue.Each(ctx, s.do)
}

func (s *session) do(due time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), s.run.cfg.Timeout)
	defer cancel()
	if s.rng.Float64() < s.run.cfg.Profile.Roam {
		s.close()
	}
	o := check.Op{Service: s.service.Name, Account: s.account.Name, Session: s.n, Intended: due,
		Sent: s.run.since()}
	s.act(ctx, &o, s.account.pick(s.rng.IntN(s.account.weights())))
	o.Answered = s.run.since()
	s.run.add(o)
	if o.Outcome == check.OutcomeUnknown && o.Kind == check.KindWrite {
		s.rotate()
	}
}

// warm opens the connection that the session uses first.
func (s *session) warm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.run.cfg.Timeout)
	defer cancel()
	u := useWrite
	if s.account.Mix[0].Activity == ActivityBrowse || s.account.Mix[0].Activity == ActivityList {
		u = useAged
	}
	for {
		_, err := s.link(ctx, u)
		if err == nil || ctx.Err() != nil {
			return err
		}
	}
}

// linkFor returns the connection for u, or marks o as not sent.
func (s *session) linkFor(ctx context.Context, o *check.Op, u use) (*link, error) {
	l, err := s.link(ctx, u)
	if err != nil {
		o.Outcome = check.OutcomeUnsent
	}
	return l, err
}

// link returns the connection for u. It opens one on any host when there is
// none, after a pause when the last attempt failed.
func (s *session) link(ctx context.Context, u use) (*link, error) {
	if l, ok := s.conns[u]; ok && !l.IsClosed() {
		return l, nil
	}
	if err := s.rest(ctx); err != nil {
		return nil, err
	}
	host := s.run.cfg.Hosts[s.rng.IntN(len(s.run.cfg.Hosts))]
	cfg, err := pgx.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, err
	}
	if cfg.Host, cfg.Port, err = address.Split(host); err != nil {
		return nil, err
	}
	cfg.Fallbacks = nil
	cfg.User, cfg.Database = string(s.account.Name), string(s.service.Name)
	cfg.Password = Key(s.service.Name, s.account.Name)
	cfg.DefaultQueryExecMode = s.mode
	cfg.RuntimeParams = s.parameters(u)
	c, err := pgx.ConnectConfig(ctx, cfg)
	if err != nil {
		s.pause = min(lastPause, max(firstPause, 2*s.pause))
		return nil, err
	}
	s.pause = 0
	s.conns[u] = &link{Conn: c, host: host}
	return s.conns[u], nil
}

// rest waits for a random part of the pause.
func (s *session) rest(ctx context.Context) error {
	if s.pause == 0 {
		return nil
	}
	if !sleep.For(ctx, time.Duration(s.rng.Int64N(int64(s.pause)))) {
		return ctx.Err()
	}
	return nil
}

func (s *session) parameters(u use) map[string]string {
	p := map[string]string{"application_name": "skylarkdeal-load"}
	if u != useWrite {
		p[readOnlyParameter] = "on"
	}
	if u == useAged {
		p[maxAgeParameter] = s.run.cfg.Profile.MaxAge.String()
	} else if !s.token.IsZero() {
		p[tokenParameter] = s.token.String()
	}
	return p
}

// shown returns the token that the host showed last on l.
func (l *link) shown() fleet.LogPosition {
	p, err := fleet.ParseLogPosition(l.PgConn().ParameterStatus(tokenParameter))
	if err != nil {
		return fleet.LogPosition{}
	}
	return p
}

// handOver makes sure that l reads all that the session has written.
func (s *session) handOver(ctx context.Context, l *link) error {
	if s.token.IsZero() || l.shown().Covers(s.token) {
		return nil
	}
	_, err := l.Exec(ctx, "SET "+tokenParameter+" = '"+s.token.String()+"'", pgx.QueryExecModeSimpleProtocol)
	return err
}

// note takes over what came with an answer on l.
func (s *session) note(o *check.Op, l *link) {
	o.Host = l.host
	t := l.shown()
	o.Term = t.Term
	if t.Compare(s.token) > 0 {
		s.token = t
	}
	if _, role, ok := strings.Cut(l.PgConn().ParameterStatus(servedByParameter), "/"); ok {
		o.Role = fleet.Role(role)
	}
}

// closeTimeout bounds the farewell to a host that may be gone.
const closeTimeout = 200 * time.Millisecond

func (s *session) close() {
	for u, l := range s.conns {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		_ = l.Close(ctx)
		cancel()
		delete(s.conns, u)
	}
}
