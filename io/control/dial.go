package control

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/internal/address"
)

// DefaultConnectTimeout bounds the opening of a connection.
const DefaultConnectTimeout = 2 * time.Second

// Config says how to reach an instance.
type Config struct {
	Instance fleet.Instance
	// Address is an IP address and port.
	Address  string
	User     string
	Password string
	Database string
	// Host is the name of this host, which the instance gets to see.
	Host fleet.Host
	// ConnectTimeout is DefaultConnectTimeout when zero.
	ConnectTimeout time.Duration
}

// The steps that errors of a Client name.
const (
	stepConnect failure.Step = "connect"
	stepStatus  failure.Step = "status"
	stepFence   failure.Step = "fence"
	stepPromote failure.Step = "promote"
	stepFollow  failure.Step = "follow"
)

// ErrClosed is the cause of all errors after Close.
var ErrClosed = errors.New("closed")

// link is the one administrative connection to an instance. Calls take turns;
// after a failed one the connection is closed and the next call opens another.
type link struct {
	cfg  Config
	peer failure.Peer
	// turn holds one value, the right to use conn.
	turn   chan struct{}
	closed chan struct{}
	conn   *pgconn.PgConn
}

// Dial returns a Client of one instance. It connects when first needed, and
// again after a failure.
func Dial(cfg Config) Client {
	l := &link{
		cfg: cfg, peer: failure.Peer("instance " + string(cfg.Instance)),
		turn: make(chan struct{}, 1), closed: make(chan struct{}),
	}
	l.turn <- struct{}{}
	return Client{
		Status: func(ctx context.Context) (fleet.Status, error) {
			return l.call(ctx, stepStatus)
		},
		Fence: func(ctx context.Context, t fleet.Term, proposer fleet.Host) (fleet.Status, error) {
			return l.call(ctx, stepFence, termText(t), string(proposer))
		},
		Promote: func(ctx context.Context, t fleet.Term, proposer fleet.Host) (fleet.Status, error) {
			return l.call(ctx, stepPromote, termText(t), string(proposer))
		},
		Follow: func(ctx context.Context, t fleet.Term, p fleet.Instance, address string) (fleet.Status, error) {
			return l.call(ctx, stepFollow, termText(t), string(p), address)
		},
		Close: l.close,
	}
}

func termText(t fleet.Term) string {
	return strconv.FormatUint(uint64(t), 10)
}

// call runs one administrative statement. The context ends the wait, not the
// effect: a fence whose answer is lost may have been accepted.
func (l *link) call(ctx context.Context, step failure.Step, args ...string) (fleet.Status, error) {
	select {
	case <-l.turn:
	case <-l.closed:
		return fleet.Status{}, failure.At(ErrClosed, step, l.peer)
	case <-ctx.Done():
		return fleet.Status{}, failure.At(ctx.Err(), step, l.peer)
	}
	defer func() { l.turn <- struct{}{} }()
	if err := l.connect(ctx); err != nil {
		return fleet.Status{}, failure.At(err, stepConnect, l.peer)
	}
	s, err := l.run(ctx, step, args)
	return s, failure.At(err, step, l.peer)
}

func (l *link) connect(ctx context.Context) error {
	select {
	case <-l.closed:
		return ErrClosed
	default:
	}
	if l.conn != nil && !l.conn.IsClosed() {
		return nil
	}
	cfg, err := l.cfg.parsed()
	if err != nil {
		return err
	}
	l.conn, err = pgconn.ConnectConfig(ctx, cfg)
	return refusal(err)
}

func (c Config) parsed() (*pgconn.Config, error) {
	host, port, err := address.Split(c.Address)
	if err != nil {
		return nil, err
	}
	p, err := pgconn.ParseConfig("sslmode=disable target_session_attrs=any")
	if err != nil {
		return nil, err
	}
	p.Host, p.Port = host, port
	p.User, p.Password, p.Database = c.User, c.Password, c.Database
	p.Fallbacks = nil
	p.RuntimeParams = map[string]string{"application_name": string(c.Host)}
	p.ConnectTimeout = c.ConnectTimeout
	if p.ConnectTimeout == 0 {
		p.ConnectTimeout = DefaultConnectTimeout
	}
	return p, nil
}

func (l *link) run(ctx context.Context, step failure.Step, args []string) (fleet.Status, error) {
	var b strings.Builder
	b.WriteString("skylark " + string(step))
	for _, a := range args {
		b.WriteString(" '" + strings.ReplaceAll(a, "'", "''") + "'")
	}
	results, err := l.conn.Exec(ctx, b.String()).ReadAll()
	if err != nil {
		return fleet.Status{}, l.drop(refusal(err))
	}
	if len(results) != 1 || len(results[0].Rows) != 1 {
		return fleet.Status{}, l.drop(errors.New("want one row"))
	}
	s, err := parseStatus(results[0].Rows[0])
	if err != nil {
		return fleet.Status{}, l.drop(err)
	}
	if s.Instance != l.cfg.Instance {
		return fleet.Status{}, l.drop(fmt.Errorf("answered by instance %q", s.Instance))
	}
	return s, nil
}

// drop closes the connection unless err is an answer: an answer that is still
// owed would be taken for that of the next call.
func (l *link) drop(err error) error {
	var r *failure.Refusal
	if errors.As(err, &r) && !l.conn.IsClosed() {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = l.conn.Close(ctx)
	return err
}

// refusal turns an error that the instance answered into a Refusal.
func refusal(err error) error {
	var e *pgconn.PgError
	if !errors.As(err, &e) {
		return err
	}
	return &failure.Refusal{Code: failure.Code(e.Code), Message: e.Message}
}

// The columns of a status row.
const (
	columnInstance = iota
	columnPromised
	columnRole
	columnLastTerm
	columnLastPosition
	columnFollows
	columns
)

func parseStatus(row [][]byte) (fleet.Status, error) {
	if len(row) < columns {
		return fleet.Status{}, fmt.Errorf("status row has %d columns, want %d", len(row), columns)
	}
	promised, err := strconv.ParseUint(string(row[columnPromised]), 10, 64)
	if err != nil {
		return fleet.Status{}, fmt.Errorf("promised term: %w", err)
	}
	last, err := fleet.ParseLogPosition(string(row[columnLastTerm]) + "." + string(row[columnLastPosition]))
	if err != nil {
		return fleet.Status{}, err
	}
	return fleet.Status{
		Instance: fleet.Instance(row[columnInstance]), Promised: fleet.Term(promised),
		Role: fleet.Role(row[columnRole]), Last: last, Follows: fleet.Instance(row[columnFollows]),
	}, nil
}

// close ends the connection and makes later calls fail. A call in progress ends
// by its own context.
func (l *link) close() {
	select {
	case <-l.closed:
		return
	default:
		close(l.closed)
	}
	go func() {
		<-l.turn
		if l.conn != nil {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			_ = l.conn.Close(ctx)
		}
		l.turn <- struct{}{}
	}()
}
