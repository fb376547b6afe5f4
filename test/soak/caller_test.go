package soak_test

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"skylarkdeal/internal/sleep"
)

const (
	// patience is how long a caller waits for an answer.
	patience = 3 * time.Second
	// startPatience is how long it waits for the start of its session.
	startPatience = 2 * time.Second
	// items is how many items the callers read and write.
	items = 40
	// thinkMin and thinkMax bound the pauses between operations.
	thinkMin = 10 * time.Millisecond
	thinkMax = 60 * time.Millisecond
	// restAfterError spaces the connects of a caller that was turned away.
	restAfterError = 100 * time.Millisecond
)

// session is one connection of a caller.
type session struct {
	name     string
	host     hostName
	database database
	account  string
	conn     net.Conn
	in       *bufio.Scanner
	// values are those that were acknowledged, prepared the shapes by their names. The
	// judge reads them while the caller waits for an answer.
	values   map[string]string
	prepared map[string]string
}

// String names the session in the records.
func (s *session) String() string { return s.name + "/" + s.database.name + "@" + string(s.host) }

// expand returns the text of a statement without the name under which it was prepared.
func (s *session) expand(text string) string {
	f := strings.Fields(text)
	if f[0] != "EXECUTE" {
		return text
	}
	return "EXECUTE " + s.prepared[f[1]] + " " + strings.Join(f[2:], " ")
}

// caller works on one database, over whichever host takes it.
type caller struct {
	name     string
	database database
	account  string
	key      string
	hosts    []*host
	judge    *judge
	luck     *rand.Rand
	// rests is set if the caller rests in its transactions.
	rests    bool
	sessions int
	queries  int
}

// run works until ctx ends.
func (k *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		s := k.connect()
		if s == nil {
			sleep.For(ctx, restAfterError)
			continue
		}
		for ctx.Err() == nil && k.operate(s) {
			sleep.For(ctx, thinkMin+time.Duration(k.luck.Int64N(int64(thinkMax-thinkMin))))
		}
		_ = s.conn.Close()
	}
}

// connect starts a session with a host drawn at random; it returns nil if that fails.
func (k *caller) connect() *session {
	h := k.hosts[k.luck.IntN(len(k.hosts))]
	n, err := net.DialTimeout("tcp4", h.callers, startPatience)
	if err != nil {
		return nil
	}
	k.sessions++
	s := &session{
		name: fmt.Sprintf("%s.%d", k.name, k.sessions), host: h.name, database: k.database, account: k.account,
		conn: n, in: bufio.NewScanner(n), values: map[string]string{}, prepared: map[string]string{},
	}
	_ = n.SetDeadline(time.Now().Add(startPatience))
	_, err = fmt.Fprintf(n, "START %s %s\r\n", k.database.name, k.key)
	if err != nil || !s.in.Scan() || !strings.HasPrefix(s.in.Text(), "READY I") || !k.prepare(s) {
		k.judge.tell(s.String() + " wasn't taken: " + s.in.Text())
		_ = n.Close()
		return nil
	}
	return s
}

// prepare sets a value and prepares statements under names that all sessions share.
func (k *caller) prepare(s *session) bool {
	if k.luck.IntN(2) == 0 {
		return true
	}
	v := fmt.Sprintf("v%d", k.luck.IntN(3))
	if !k.do(s, k.judge.begin(s, false), "SET style "+v) {
		return false
	}
	shapes := []string{"READ r" + v, "WRITE w" + v}
	k.judge.mu.Lock()
	s.values["style"] = v
	k.judge.mu.Unlock()
	for n, shape := range shapes {
		name := fmt.Sprintf("s%d", n)
		if !k.do(s, k.judge.begin(s, false), "PREPARE "+name+" "+shape) {
			return false
		}
		k.judge.mu.Lock()
		s.prepared[name] = shape
		k.judge.mu.Unlock()
	}
	return true
}

// operate carries out one operation; it reports false if the session can't go on.
func (k *caller) operate(s *session) bool {
	if k.rests {
		return k.rest(s)
	}
	writes := s.database.kind != kindBounded
	switch d := k.luck.IntN(10); {
	case d < 2:
		return k.transact(s, writes && k.luck.IntN(3) > 0)
	case d < 6 && writes:
		return k.do(s, k.judge.begin(s, false), k.write(s))
	default:
		return k.do(s, k.judge.begin(s, false), k.read(s))
	}
}

func (k *caller) read(s *session) string {
	item := fmt.Sprintf("n%d", k.luck.IntN(items))
	if len(s.prepared) > 0 && k.luck.IntN(3) == 0 {
		return "EXECUTE s0 " + item
	}
	return "READ " + item
}

func (k *caller) write(s *session) string {
	what := fmt.Sprintf("n%d d-%s-%d", k.luck.IntN(items), s.name, k.queries)
	if len(s.prepared) > 0 && k.luck.IntN(3) == 0 {
		return "EXECUTE s1 " + what
	}
	return "WRITE " + what
}

// transact carries out a transaction; some roll back, some callers leave in the middle.
func (k *caller) transact(s *session, writes bool) bool {
	begin := "BEGIN READ"
	if writes {
		begin = "BEGIN"
	}
	a := k.judge.begin(s, true)
	if !k.do(s, a, begin) {
		return false
	}
	for range 1 + k.luck.IntN(4) {
		text := k.read(s)
		if writes && k.luck.IntN(2) == 0 {
			text = k.write(s)
		}
		if !k.do(s, a, text) {
			return false
		}
		time.Sleep(time.Duration(k.luck.IntN(20)) * time.Millisecond)
	}
	switch k.luck.IntN(10) {
	case 0:
		return false
	case 1:
		return k.do(s, a, "ROLLBACK")
	default:
		return k.do(s, a, "COMMIT")
	}
}

// do sends a statement and takes its answer; it reports false if the session can't go on.
// A single statement that was refused leaves the session as it was.
func (k *caller) do(s *session, a *attempt, text string) bool {
	k.queries++
	id := statementID(fmt.Sprintf("%s-%d", s.name, k.queries))
	k.judge.send(a, id, text)
	_ = s.conn.SetDeadline(time.Now().Add(patience))
	var r reply
	if _, err := fmt.Fprintf(s.conn, "QUERY %s %s\r\n", id, text); err == nil {
		r = s.reply()
	}
	if k.judge.mishears != nil {
		k.judge.mishears(s, text, &r)
	}
	k.judge.answered(id, r)
	if r.code != "" {
		return promised[r.code] && !a.tx && r.state == "I"
	}
	return r.digest != ""
}

// reply reads one answer; it is empty if none came whole.
func (s *session) reply() reply {
	var r reply
	for s.in.Scan() {
		word, rest, _ := strings.Cut(s.in.Text(), " ")
		switch word {
		case "ROW":
			r.rows = append(r.rows, rest)
		case "DONE":
			r.digest = rest
		case "ERR":
			r.code, r.text, _ = strings.Cut(rest, " ")
		case "READY":
			r.state, _, _ = strings.Cut(rest, " ")
			return r
		}
	}
	// An error may be the host's last word before it closes the session.
	return reply{code: r.code, text: r.text}
}
