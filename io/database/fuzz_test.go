package database_test

import (
	"context"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"

	"skylarkdeal/core/exchange"
	"skylarkdeal/io/database"
)

func said(m ...pgproto3.BackendMessage) []byte {
	var b []byte
	for _, e := range m {
		b, _ = e.Encode(b)
	}
	return b
}

// FuzzAnswer has an instance say anything. An exchange either ends with a whole
// answer, or its connection is broken; and what is passed on is whole messages.
func FuzzAnswer(f *testing.F) {
	ready := &pgproto3.ReadyForQuery{TxStatus: 'I'}
	done := &pgproto3.CommandComplete{CommandTag: []byte("GET 1")}
	f.Add(said(&pgproto3.ParseComplete{}, &pgproto3.BindComplete{}, done,
		&pgproto3.ParameterStatus{Name: "skylark_point", Value: "2.7/replica"}, ready))
	f.Add(said(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "42601"}, ready))
	f.Add(said(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "57P01"}))
	f.Add(said(&pgproto3.ParseComplete{}, ready, ready))
	f.Add([]byte{'Z', 0, 0, 0, 3})
	f.Add([]byte{'D', 0x7f, 0xff, 0xff, 0xff, 0})
	p := database.NoPool()
	q := &exchange.Request{
		Intent:     exchange.IntentWrite,
		Statements: []exchange.Statement{{Name: "x", SQL: "get a"}},
		Payload: payload(&pgproto3.Bind{PreparedStatement: "x"}, &pgproto3.Execute{},
			&pgproto3.Parse{Name: "x", Query: "get a"}, &pgproto3.Sync{}),
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		c := database.Scripted(p, b)
		var got []byte
		a := c.Exchange(context.Background(), q, func(m []byte) error {
			got = append(got, m...)
			return nil
		})
		if (a.Err != nil) != c.Broken() {
			t.Fatalf("error %v, broken %v", a.Err, c.Broken())
		}
		for len(got) > 0 {
			n := 1 + int(got[1])<<24 + int(got[2])<<16 + int(got[3])<<8 + int(got[4])
			if n < 5 || n > len(got) {
				t.Fatalf("not whole: %q", got)
			}
			if got[0] == 'Z' || got[0] == 'S' {
				t.Fatalf("passed on %q", got[:n])
			}
			got = got[n:]
		}
	})
}

// FuzzCompose sends payloads as another host might. None may make an exchange
// that waits for no answer.
func FuzzCompose(f *testing.F) {
	f.Add(payload(&pgproto3.Query{String: "get a"}))
	f.Add(payload(&pgproto3.Parse{Name: "x", Query: "get a"}, &pgproto3.Describe{ObjectType: 'S', Name: "x"},
		&pgproto3.Bind{PreparedStatement: "x"}, &pgproto3.Execute{}, &pgproto3.Close{ObjectType: 'P'}, &pgproto3.Sync{}))
	f.Add([]byte{'Q', 0, 0, 0, 2})
	f.Add([]byte{'S', 0xff, 0xff, 0xff, 0xff})
	p := database.NoPool()
	f.Fuzz(func(t *testing.T, b []byte) {
		c := database.Scripted(p, nil)
		n, err := database.Compose(c, &exchange.Request{Intent: exchange.IntentWrite, Payload: b})
		if err == nil && n == 0 {
			t.Fatalf("no answer due to %q", b)
		}
	})
}
