package ledger

import (
	"github.com/jackc/pgx/v5/pgproto3"
)

// textOID is the type of all values and parameters.
const textOID = 25

// flushEvery is how many bytes of rows are sent at a time.
const flushEvery = 32 << 10

// answer is what a statement gives: columns, a number of rows and a tag.
type answer struct {
	columns []string
	count   int
	row     func(n int) []string
	tag     string
}

// columnsOf returns the columns of a statement's rows, nil when it has none.
func columnsOf(s statement) []string {
	switch s.verb {
	case verbGet:
		return []string{"key", "value"}
	case verbRows:
		return []string{"n", "data"}
	case verbSelect:
		return []string{"?column?"}
	case verbShow:
		return []string{s.args[0].text}
	case verbSkylark:
		return []string{"instance", "promised", "role", "last-term", "last-position", "follows"}
	default:
		return nil
	}
}

// send gives a statement's answer; withColumns is for the simple protocol.
func (c *conn) send(a answer, withColumns bool) error {
	if a.tag == "" {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if withColumns && a.columns != nil {
		c.backend.Send(rowDescription(a.columns))
	}
	waiting := 0
	for n := range a.count {
		var row pgproto3.DataRow
		for _, v := range a.row(n) {
			row.Values = append(row.Values, []byte(v))
			waiting += len(v)
		}
		c.backend.Send(&row)
		if waiting < flushEvery {
			continue
		}
		waiting = 0
		if err := c.flush(); err != nil {
			return err
		}
		select {
		case <-c.cancel:
			return cancelled()
		default:
		}
	}
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(a.tag)})
	return nil
}

func rowDescription(columns []string) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{}
	for _, n := range columns {
		d.Fields = append(d.Fields, pgproto3.FieldDescription{
			Name: []byte(n), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1,
		})
	}
	return d
}
