package load

import (
	"context"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5"

	"skylarkdeal/internal/load/check"
)

// tickKey is the key that the ticker counts in.
const tickKey = "tick"

// Rows of a list: from listLeast on, listSpread different counts, of listWidth
// bytes each.
const (
	listLeast  = 20
	listSpread = 40
	listWidth  = 100
)

// act does one activity and records it in o.
func (s *session) act(ctx context.Context, o *check.Op, a Activity) {
	var err error
	switch a {
	case ActivityOrder:
		err = s.order(ctx, o)
	case ActivityRush:
		err = s.rush(ctx, o)
	case ActivityTick:
		err = s.tick(ctx, o)
	case ActivityOwn, ActivityOwnTx:
		err = s.own(ctx, o, a == ActivityOwnTx)
	case ActivityBrowse:
		err = s.browse(ctx, o)
	case ActivityLookup:
		err = s.echo(ctx, o)
	case ActivityList:
		err = s.list(ctx, o)
	}
	if o.Outcome == "" {
		o.Outcome = outcomeOf(err)
	}
	o.Code = codeOf(err)
}

// statement runs one statement that counts against the rate, and returns the
// values of its rows.
func (s *session) statement(ctx context.Context, o *check.Op, q querier, sql string, args ...any) ([][]string, error) {
	t := check.Statement{Sent: s.run.since()}
	var all [][]string
	rows, err := q.Query(ctx, sql, args...)
	if err == nil {
		all, err = pgx.CollectRows(rows, func(r pgx.CollectableRow) ([]string, error) {
			var row []string
			for _, v := range r.RawValues() {
				row = append(row, string(v))
			}
			return row, nil
		})
	}
	t.Answered = s.run.since()
	if err != nil && outcomeOf(err) == check.OutcomeNotRun {
		t.Code = codeOf(err)
	}
	t.Unknown = err != nil && t.Code == ""
	o.Statements = append(o.Statements, t)
	return all, err
}

type querier interface {
	Query(ctx context.Context, sql string, args ...any) (pgx.Rows, error)
}

// nextID returns a new unique id, which the log shows at most once.
func (s *session) nextID() string {
	s.sequence++
	return s.run.name + "-" + strconv.Itoa(int(s.n)) + "-" + strconv.Itoa(s.sequence)
}

// rush is a write of one statement.
func (s *session) rush(ctx context.Context, o *check.Op) error {
	s.beginWrite(o)
	l, err := s.linkFor(ctx, o, useWrite)
	if err != nil {
		return err
	}
	if _, err = s.statement(ctx, o, l, "once $1 $2 $3", o.ID, o.Key, "1"); err == nil {
		s.number++
	}
	s.note(o, l)
	return err
}

func (s *session) beginWrite(o *check.Op) {
	o.Kind, o.ID, o.Key, o.Number = check.KindWrite, s.nextID(), s.key, s.number+1
}

// order is a transaction: a unique entry, and the stock that it takes.
func (s *session) order(ctx context.Context, o *check.Op) error {
	s.beginWrite(o)
	l, err := s.linkFor(ctx, o, useWrite)
	if err != nil {
		return err
	}
	o.Outcome = check.OutcomeFailed // until COMMIT is sent
	if _, err = s.statement(ctx, o, l, "begin", pgx.QueryExecModeSimpleProtocol); err == nil {
		_, err = s.statement(ctx, o, l, "once $1 $2 $3", o.ID, o.Key, "1")
	}
	if err == nil {
		_, err = s.statement(ctx, o, l, "add $1 $2", "stock-"+strconv.Itoa(s.rng.IntN(50)), "-1")
	}
	if err != nil {
		if x := outcomeOf(err); len(o.Statements) == 1 && x != check.OutcomeUnknown {
			o.Outcome = x
		}
		s.giveUp(ctx, l)
		return err
	}
	tag, err := l.Exec(ctx, "commit")
	o.Outcome = outcomeOf(err)
	switch {
	case err != nil:
		s.giveUp(ctx, l)
	case tag.String() != "COMMIT":
		o.Outcome = check.OutcomeFailed
	default:
		s.number++
	}
	s.note(o, l)
	return err
}

// giveUp ends a transaction after an error. What can't be rolled back is closed.
func (s *session) giveUp(ctx context.Context, l *link) {
	if l.IsClosed() || l.PgConn().TxStatus() == 'I' {
		return
	}
	if _, err := l.Exec(ctx, "rollback"); err != nil {
		_ = l.Close(ctx)
	}
}

// tick counts up.
func (s *session) tick(ctx context.Context, o *check.Op) error {
	o.Kind = check.KindTick
	l, err := s.linkFor(ctx, o, useWrite)
	if err != nil {
		return err
	}
	_, err = s.statement(ctx, o, l, "once $1 $2 $3", s.nextID(), tickKey+"-"+s.run.name, "1")
	s.note(o, l)
	return err
}

// own reads the session's own number, on a connection of its own or in a
// read-only transaction on the one that writes.
func (s *session) own(ctx context.Context, o *check.Op, tx bool) error {
	o.Kind, o.Key = check.KindOwn, s.key
	u := useOwn
	if tx {
		u = useWrite
	}
	l, err := s.link(ctx, u)
	if err == nil && !tx {
		err = s.handOver(ctx, l)
	}
	if err != nil {
		o.Outcome = check.OutcomeUnsent
		return err
	}
	if tx {
		if _, err = s.statement(ctx, o, l, "begin read only", pgx.QueryExecModeSimpleProtocol); err != nil {
			s.giveUp(ctx, l)
			return err
		}
	}
	rows, err := s.statement(ctx, o, l, "get $1", s.key)
	if tx && err == nil {
		_, err = l.Exec(ctx, "commit")
	}
	if err != nil {
		s.giveUp(ctx, l)
		return err
	}
	s.note(o, l)
	return s.value(o, rows, s.key)
}

// value reads the number in the one row that get answers, if any.
func (s *session) value(o *check.Op, rows [][]string, key string) error {
	if len(rows) == 0 {
		return nil
	}
	o.Want = key
	if len(rows) > 1 || len(rows[0]) != 2 {
		o.Got = "an answer of another shape"
		return nil
	}
	o.Got = rows[0][0]
	var err error
	o.Number, err = strconv.ParseUint(rows[0][1], 10, 64)
	if err != nil {
		o.Got = rows[0][0] + "=" + rows[0][1]
	}
	return nil
}

// aged runs one read at the stated age.
func (s *session) aged(ctx context.Context, o *check.Op, sql string, args ...any) ([][]string, error) {
	o.MaxAge = s.run.cfg.Profile.MaxAge
	l, err := s.linkFor(ctx, o, useAged)
	if err != nil {
		return nil, err
	}
	rows, err := s.statement(ctx, o, l, sql, args...)
	s.note(o, l)
	return rows, err
}

func (s *session) browse(ctx context.Context, o *check.Op) error {
	o.Kind = check.KindAged
	key := tickKey + "-" + s.run.name
	rows, err := s.aged(ctx, o, "get $1", key)
	if err != nil {
		return err
	}
	return s.value(o, rows, key)
}

func (s *session) echo(ctx context.Context, o *check.Op) error {
	o.Kind, o.Want = check.KindEcho, s.nextID()
	rows, err := s.aged(ctx, o, "select $1", o.Want)
	if len(rows) == 1 {
		o.Got = strings.Join(rows[0], "|")
	}
	return err
}

func (s *session) list(ctx context.Context, o *check.Op) error {
	o.Kind = check.KindList
	n := listLeast + s.rng.IntN(listSpread)
	o.Want = strconv.Itoa(n)
	rows, err := s.aged(ctx, o, "rows $1 $2", o.Want, strconv.Itoa(listWidth))
	o.Got = strconv.Itoa(len(rows))
	return err
}
