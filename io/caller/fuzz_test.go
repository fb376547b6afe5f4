package caller_test

import (
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"

	"skylarkdeal/io/caller"
)

func FuzzDecodeStartup(f *testing.F) {
	m := &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{
		"user": "hotel", "options": "-c skylarkdeal.max-age=5s --x=y",
	}}
	f.Add(must(m.Encode(nil))[4:])
	f.Add([]byte("\x00\x03\x00\x00user\x00x\x00\x00"))
	f.Add([]byte("\x00\x03\x00\x00\x00"))
	f.Fuzz(func(t *testing.T, b []byte) {
		p, err := caller.DecodeStartup(b)
		if err == nil && p["options"] != "" {
			t.Fatalf("options left whole: %q", p)
		}
	})
}

// FuzzDecodeMessages holds the decoders of a caller's messages against those of
// pgproto3: what ours accept, an instance has to be able to read.
func FuzzDecodeMessages(f *testing.F) {
	for _, m := range []pgproto3.FrontendMessage{
		&pgproto3.Bind{DestinationPortal: "p", PreparedStatement: "s", ParameterFormatCodes: []int16{1},
			Parameters: [][]byte{nil, []byte("7")}, ResultFormatCodes: []int16{0}},
		&pgproto3.Parse{Name: "s", Query: "get $1", ParameterOIDs: []uint32{25}},
		&pgproto3.Describe{ObjectType: 'S', Name: "s"},
		&pgproto3.Execute{Portal: "p", MaxRows: 3},
		&pgproto3.Query{String: "get a"},
	} {
		f.Add(must(m.Encode(nil))[5:])
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if _, ok := caller.DecodeBind(b); ok {
			checkDecodes(t, &pgproto3.Bind{}, b)
		}
		if n, ok := caller.DecodeParse(b); ok {
			m := &pgproto3.Parse{}
			checkDecodes(t, m, b)
			if len(m.ParameterOIDs) != n {
				t.Fatalf("%d types, want %d", n, len(m.ParameterOIDs))
			}
		}
		if _, ok := caller.DecodeTarget(b); ok {
			checkDecodes(t, &pgproto3.Describe{}, b)
		}
		if _, ok := caller.DecodeExecute(b); ok {
			checkDecodes(t, &pgproto3.Execute{}, b)
		}
		if q, ok := caller.DecodeQuery(b); ok {
			m := &pgproto3.Query{}
			checkDecodes(t, m, b)
			if m.String != string(q) {
				t.Fatalf("query %q, want %q", q, m.String)
			}
		}
	})
}

func checkDecodes(t *testing.T, m pgproto3.FrontendMessage, b []byte) {
	t.Helper()
	if err := m.Decode(b); err != nil {
		t.Fatalf("%T accepted, but %v: %q", m, err, b)
	}
}

func FuzzLookAt(f *testing.F) {
	for _, s := range []string{
		"BEGIN READ ONLY", "/* a /* b */ c */ -- x\n set time zone 'UTC'", "SHOW skylarkdeal.max-age",
		"set session characteristics as transaction read only", "deallocate prepare \"s\"", "rollback to a", "/*", "'",
	} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		got := caller.LookAt(s)
		if again := caller.LookAt("; -- x\n /* y */" + s); again != got {
			t.Fatalf("%q: %q with a comment ahead, %q without", s, again, got)
		}
	})
}
