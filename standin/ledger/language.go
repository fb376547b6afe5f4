package ledger

import (
	"fmt"
	"strconv"
	"strings"

	"skylarkdeal/core/failure"
)

// verb is the first word of a statement, in lower case.
type verb string

// The statements.
const (
	verbNone       verb = ""
	verbPut        verb = "put"
	verbAdd        verb = "add"
	verbGet        verb = "get"
	verbSleep      verb = "sleep"
	verbRows       verb = "rows"
	verbOnce       verb = "once"
	verbBegin      verb = "begin"
	verbStart      verb = "start"
	verbCommit     verb = "commit"
	verbEnd        verb = "end"
	verbRollback   verb = "rollback"
	verbAbort      verb = "abort"
	verbSet        verb = "set"
	verbReset      verb = "reset"
	verbDiscard    verb = "discard"
	verbDeallocate verb = "deallocate"
	verbShow       verb = "show"
	verbSelect     verb = "select"
	verbSkylark    verb = "skylark"
)

// arity is the least and the most arguments of the statements that take some.
var arity = map[verb][2]int{
	verbNone: {0, 0}, verbPut: {2, 2}, verbAdd: {2, 2}, verbGet: {1, 1}, verbSleep: {1, 1},
	verbRows: {1, 2}, verbOnce: {3, 3}, verbBegin: {0, 9}, verbStart: {0, 9}, verbCommit: {0, 1},
	verbEnd: {0, 1}, verbRollback: {0, 1}, verbAbort: {0, 1}, verbSet: {2, 9}, verbReset: {1, 1},
	verbDiscard: {1, 1}, verbDeallocate: {1, 2}, verbShow: {1, 1}, verbSelect: {1, 1}, verbSkylark: {1, 4},
}

// word is one word of a statement. A quoted word is never a parameter.
type word struct {
	text   string
	quoted bool
}

// statement is a parsed statement whose parameters are not yet bound.
type statement struct {
	verb   verb
	args   []word
	params int
}

// split cuts a query into statements at the semicolons outside quotes. An empty
// query gives one empty statement.
func split(query string) ([]statement, error) {
	var all []statement
	for {
		words, rest, err := scan(query)
		if err != nil {
			return nil, err
		}
		if len(words) > 0 {
			s, err := newStatement(words)
			if err != nil {
				return nil, err
			}
			all = append(all, s)
		}
		if rest == "" {
			break
		}
		query = rest
	}
	if len(all) == 0 {
		all = append(all, statement{})
	}
	return all, nil
}

func newStatement(words []word) (statement, error) {
	s := statement{verb: verb(strings.ToLower(words[0].text)), args: words[1:]}
	if s.verb == verbSet {
		s.args = setArgs(s.args)
	}
	n, ok := arity[s.verb]
	if !ok {
		return s, syntaxError("unknown statement %q", words[0].text)
	}
	if len(s.args) < n[0] || len(s.args) > n[1] {
		return s, syntaxError("%s takes %d to %d arguments", s.verb, n[0], n[1])
	}
	for _, w := range s.args {
		if k, ok := w.param(); ok {
			s.params = max(s.params, k)
		}
	}
	return s, nil
}

// setArgs turns "x = y", "x TO y" and "SESSION x = y" into "x" and "y".
func setArgs(args []word) []word {
	if len(args) > 0 && !args[0].quoted && strings.EqualFold(args[0].text, "session") {
		args = args[1:]
	}
	if len(args) == 3 && (args[1].text == "=" || strings.EqualFold(args[1].text, "to")) {
		return []word{args[0], args[2]}
	}
	return args
}

func syntaxError(format string, args ...any) error {
	return &failure.Refusal{Code: codeSyntax, Message: fmt.Sprintf(format, args...)}
}

// param returns the number of the parameter that w stands for.
func (w word) param() (int, bool) {
	if w.quoted || len(w.text) < 2 || w.text[0] != '$' {
		return 0, false
	}
	n, err := strconv.Atoi(w.text[1:])
	return n, err == nil && n > 0
}

// bind returns the arguments with their parameters filled in.
func (s statement) bind(params []string) ([]string, error) {
	out := make([]string, 0, len(s.args))
	for _, w := range s.args {
		n, ok := w.param()
		switch {
		case !ok:
			out = append(out, w.text)
		case n > len(params):
			return nil, &failure.Refusal{Code: failure.CodeProtocol, Message: fmt.Sprintf("no parameter $%d", n)}
		default:
			out = append(out, params[n-1])
		}
	}
	return out, nil
}

// scan reads the words up to a semicolon and returns what follows it.
func scan(q string) (words []word, rest string, err error) {
	for q != "" {
		switch c := q[0]; {
		case c == ';':
			return words, q[1:], nil
		case c == ' ' || c == '\t' || c == '\n' || c == '\r':
			q = q[1:]
		case strings.HasPrefix(q, "--"):
			_, q, _ = strings.Cut(q, "\n")
		case c == '=':
			words, q = append(words, word{text: "="}), q[1:]
		case c == '\'' || c == '"':
			var w word
			if w, q, err = scanQuoted(q); err != nil {
				return nil, "", err
			}
			words = append(words, w)
		default:
			n := strings.IndexAny(q, " \t\n\r;='\"")
			if n < 0 {
				n = len(q)
			}
			words, q = append(words, word{text: q[:n]}), q[n:]
		}
	}
	return words, "", nil
}

// scanQuoted reads a quoted word; a doubled quote stands for one.
func scanQuoted(q string) (word, string, error) {
	mark := q[0]
	var b strings.Builder
	for n := 1; n < len(q); n++ {
		if q[n] != mark {
			b.WriteByte(q[n])
			continue
		}
		if n+1 < len(q) && q[n+1] == mark {
			b.WriteByte(mark)
			n++
			continue
		}
		return word{text: b.String(), quoted: true}, q[n+1:], nil
	}
	return word{}, "", syntaxError("unterminated quote")
}
