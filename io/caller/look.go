package caller

import (
	"strings"
)

// verb is what the first words of a statement show it to be, as far as the
// entry host has to know.
type verb string

const (
	// verbOther is left to the instance.
	verbOther    verb = "other"
	verbBegin    verb = "begin"
	verbCommit   verb = "commit"
	verbRollback verb = "rollback"
	// The statements below are answered by the entry host.
	verbEmpty       verb = "empty"
	verbSet         verb = "set"
	verbReset       verb = "reset"
	verbShow        verb = "show"
	verbDiscard     verb = "discard"
	verbDeallocate  verb = "deallocate"
	verbUnsupported verb = "unsupported"
)

// look is what the prefix of a statement shows. It is not a parse: what it
// doesn't recognise is left to the instance, as a write.
type look struct {
	verb verb
	// single is unset when more statements may follow the first, and the
	// declaration made by the first doesn't hold for them.
	single bool
	// readOnly is "on" or "off" when a BEGIN states its mode.
	readOnly string
	// name and value are those of a SET, SHOW or DEALLOCATE.
	name, value string
}

// local reports whether the entry host answers the statement by itself.
func (l look) local() bool {
	switch l.verb {
	case verbEmpty, verbSet, verbReset, verbShow, verbDiscard, verbDeallocate, verbUnsupported:
		return true
	default:
		return false
	}
}

// endsTx reports whether the statement can only end a transaction.
func (l look) endsTx() bool {
	return l.single && (l.verb == verbCommit || l.verb == verbRollback)
}

// lookAt looks at the first words of sql.
func lookAt(sql string) look {
	sql = trimLead(sql)
	body := strings.TrimRight(sql, "; \t\r\n")
	l := look{verb: verbOther, single: strings.IndexByte(body, ';') < 0}
	first, rest := cutWord(body)
	switch strings.ToLower(first) {
	case "":
		l.verb = verbEmpty
	case "begin", "start":
		l.verb, l.readOnly = verbBegin, modeIn(rest)
	case "commit", "end":
		l.verb = endVerb(verbCommit, rest)
	case "rollback", "abort":
		l.verb = endVerb(verbRollback, rest)
	case "set":
		l.set(rest)
	case "reset":
		l.verb, l.name, l.value = verbReset, settingName(rest), settingDefault
	case "show":
		l.show(rest)
	case "discard":
		l.verb = verbDiscard
	case "deallocate":
		l.deallocate(rest)
	case "prepare", "listen", "unlisten", "load", "declare":
		l.unsupported(first, rest)
	}
	return l
}

// endVerb returns v for a statement that can do nothing but end a transaction.
// ROLLBACK TO a savepoint, AND CHAIN and what belongs to prepared transactions
// are left to the instance.
func endVerb(v verb, rest string) verb {
	switch strings.ToLower(rest) {
	case "", "work", "transaction":
		return v
	}
	return verbOther
}

// unsupported marks statements whose effect would stay behind on an upstream
// connection that other sessions share, and be missing on the next one.
func (l *look) unsupported(first, rest string) {
	w := strings.ToLower(first)
	if w == "prepare" && strings.HasPrefix(strings.ToLower(rest), "transaction") {
		w = "prepare transaction"
	}
	if w == "declare" && !strings.Contains(strings.ToLower(rest), "with hold") {
		return
	}
	l.verb, l.name = verbUnsupported, strings.ToUpper(w)
}

func (l *look) deallocate(rest string) {
	w, more := cutWord(rest)
	if strings.EqualFold(w, "prepare") {
		w, _ = cutWord(more)
	}
	l.verb, l.name = verbDeallocate, unquote(w)
}

func (l *look) show(rest string) {
	w, more := cutWord(rest)
	name := settingName(w)
	if strings.EqualFold(w, "time") && strings.EqualFold(more, "zone") {
		name = "timezone"
	}
	if isSetting(name) {
		l.verb, l.name = verbShow, name
	}
}

// set takes apart SET. SET LOCAL and SET TRANSACTION end with the transaction
// and are left to the instance.
func (l *look) set(rest string) {
	w, more := cutWord(rest)
	switch strings.ToLower(w) {
	case "local", "transaction", "constraints":
		return
	case "session":
		next, after := cutWord(more)
		if strings.EqualFold(next, "characteristics") {
			l.verb, l.name, l.value = verbSet, settingReadOnly, modeIn(after)
			return
		}
		w, more = next, after
	}
	l.verb = verbSet
	if strings.EqualFold(w, "names") {
		l.name, l.value = settingEncoding, unquote(more)
		return
	}
	if z, v := cutWord(more); strings.EqualFold(w, "time") && strings.EqualFold(z, "zone") {
		l.name, l.value = "timezone", unquote(v)
		return
	}
	l.name = settingName(w)
	more = strings.TrimSpace(more)
	if v, ok := strings.CutPrefix(more, "="); ok {
		l.value = unquote(v)
	} else if to, v := cutWord(more); strings.EqualFold(to, "to") {
		l.value = unquote(v)
	}
}

// modeIn returns "on" or "off" when s names a transaction mode.
func modeIn(s string) string {
	s = strings.Join(strings.Fields(strings.ToLower(s)), " ")
	switch {
	case strings.Contains(s, "read only"):
		return "on"
	case strings.Contains(s, "read write"):
		return "off"
	}
	return ""
}

// trimLead drops white space, empty statements and comments ahead of the first
// word, which drivers and tracing tools put there.
func trimLead(s string) string {
	for {
		s = strings.TrimLeft(s, "; \t\r\n\f\v")
		switch {
		case strings.HasPrefix(s, "--"):
			_, s, _ = strings.Cut(s, "\n")
		case strings.HasPrefix(s, "/*"):
			s = afterComment(s)
		default:
			return s
		}
	}
}

// afterComment returns what follows the comment that s begins with. Comments
// nest.
func afterComment(s string) string {
	depth := 0
	for i := 0; i+1 < len(s); i++ {
		switch s[i : i+2] {
		case "/*":
			depth++
			i++
		case "*/":
			depth--
			i++
		}
		if depth == 0 {
			return s[i+1:]
		}
	}
	return ""
}

// cutWord returns the first word of s, which ends at white space or "=", and
// what follows it.
func cutWord(s string) (word, rest string) {
	s = strings.TrimLeft(s, " \t\r\n")
	i := strings.IndexAny(s, " \t\r\n=;")
	if i < 0 {
		return s, ""
	}
	return s[:i], strings.TrimLeft(s[i:], " \t\r\n")
}

func unquote(s string) string {
	s = strings.TrimSpace(s)
	if len(s) >= 2 && (s[0] == '\'' || s[0] == '"') && s[len(s)-1] == s[0] {
		q := s[:1]
		return strings.ReplaceAll(s[1:len(s)-1], q+q, q)
	}
	return s
}
