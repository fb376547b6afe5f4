package caller_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/io/caller"
)

func ExampleLookAt() {
	fmt.Println(caller.LookAt("BEGIN ISOLATION LEVEL SERIALIZABLE READ ONLY"))
	fmt.Println(caller.LookAt("SET skylarkdeal.token = '3.40'"))
	// Output:
	// [begin   on]
	// [set skylarkdeal.token 3.40 ]
}

func TestLookAt(t *testing.T) {
	for sql, want := range map[string][4]string{
		"":                                 {"empty"},
		"-- ping":                          {"empty"},
		"get a; put b":                     {"other..."},
		"COMMIT AND CHAIN":                 {"other"},
		"END TRANSACTION;":                 {"commit"},
		"ROLLBACK TO SAVEPOINT a":          {"other"},
		"COMMIT PREPARED 'x'":              {"other"},
		"abort":                            {"rollback"},
		"set a=b":                          {"set", "a", "b"},
		"SET LOCAL a = b":                  {"other"},
		"set transaction read only":        {"other"},
		"SHOW all":                         {"other"},
		"show time zone":                   {"show", "timezone"},
		"reset all":                        {"reset", "all", "default"},
		"deallocate prepare s":             {"deallocate", "s"},
		"declare c cursor for select 1":    {"other"},
		"declare c cursor with hold for x": {"unsupported", "DECLARE"},
		"prepare transaction 'x'":          {"unsupported", "PREPARE TRANSACTION"},
		"begin;":                           {"begin"},
	} {
		qt.Check(t, caller.LookAt(sql), qt.Equals, want, qt.Commentf("%q", sql))
	}
}

func TestStatementNameTellsTypesApart(t *testing.T) {
	a := caller.StatementName("get $1", 25)
	qt.Assert(t, a, qt.Equals, caller.StatementName("get $1", 25))
	for _, b := range []string{
		caller.StatementName("get $1"), caller.StatementName("get $1", 23), caller.StatementName("get $2", 25),
	} {
		qt.Check(t, b, qt.Not(qt.Equals), a)
	}
}
