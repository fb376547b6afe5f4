package ledger

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"skylarkdeal/core/failure"
)

// execute runs one statement.
func (c *conn) execute(v verb, args []string) (answer, error) {
	if c.session.tx.failed && !endsTx(v) {
		return answer{}, &failure.Refusal{Code: failure.CodeInFailedTx,
			Message: "current transaction is aborted, commands ignored until end of transaction block"}
	}
	c.slow(v)
	switch v {
	case verbBegin, verbStart:
		c.session.tx.explicit = true
		c.session.tx.readOnly = readOnlyMode(args) || c.session.settings[defaultReadOnly] == "on"
		return answer{tag: "BEGIN"}, nil
	case verbCommit, verbEnd:
		return c.end(true)
	case verbRollback, verbAbort:
		return c.end(false)
	case verbSet, verbReset, verbDiscard, verbDeallocate, verbShow, verbNone:
		return c.setting(v, args)
	case verbSkylark:
		return c.control(args)
	default:
		return c.inSlot(v, args)
	}
}

func endsTx(v verb) bool {
	return v == verbCommit || v == verbEnd || v == verbRollback || v == verbAbort
}

// slow holds back what takes no slot while the instance is slow.
func (c *conn) slow(v verb) {
	if takesSlot(v) {
		return
	}
	if d := c.slowness(); d > 0 {
		c.sleep(d)
	}
}

func (c *conn) slowness() time.Duration {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	return c.instance.faults.slow
}

func takesSlot(v verb) bool {
	switch v {
	case verbPut, verbAdd, verbGet, verbSleep, verbRows, verbOnce, verbSelect:
		return true
	default:
		return false
	}
}

func (c *conn) end(commit bool) (answer, error) {
	if !commit || c.session.tx.failed {
		c.session.tx = tx{}
		return answer{tag: "ROLLBACK"}, nil
	}
	if err := c.commit(); err != nil {
		return answer{}, err
	}
	return answer{tag: "COMMIT"}, nil
}

func (c *conn) setting(v verb, args []string) (answer, error) {
	s := &c.session
	switch v {
	case verbSet:
		s.settings[strings.ToLower(args[0])] = strings.Join(args[1:], " ")
		return answer{tag: "SET"}, nil
	case verbReset:
		delete(s.settings, strings.ToLower(args[0]))
		return answer{tag: "RESET"}, nil
	case verbDiscard:
		clear(s.prepared)
		return answer{tag: "DISCARD ALL"}, nil
	case verbDeallocate:
		s.deallocate(args[len(args)-1])
		return answer{tag: "DEALLOCATE"}, nil
	case verbShow:
		return one("SHOW", []string{args[0]}, c.show(strings.ToLower(args[0]))), nil
	default:
		return answer{}, nil
	}
}

func (s *session) deallocate(name string) {
	if strings.EqualFold(name, "all") {
		clear(s.prepared)
		return
	}
	delete(s.prepared, name)
}

func (c *conn) show(name string) string {
	if name != "clock" {
		return c.session.settings[name]
	}
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	return c.group.now().Add(c.instance.faults.skew).UTC().Format(time.RFC3339Nano)
}

func one(tag string, columns []string, values ...string) answer {
	return answer{columns: columns, count: 1, row: func(int) []string { return values }, tag: tag}
}

// inSlot runs a statement that takes one of the instance's slots, waiting for a
// free one first.
func (c *conn) inSlot(v verb, args []string) (answer, error) {
	if c.instance.slots != nil {
		select {
		case c.instance.slots <- struct{}{}:
		case <-c.cancel:
			return answer{}, cancelled()
		case <-c.done:
			return answer{}, errStopped
		}
		defer func() { <-c.instance.slots }()
	}
	if d := c.instance.cfg.Work + c.slowness(); d > 0 && !c.sleep(d) {
		return answer{}, c.interrupted()
	}
	if err := c.unpaused(); err != nil {
		return answer{}, err
	}
	switch v {
	case verbSleep:
		return c.nap(args[0])
	case verbRows:
		return rows(args)
	case verbSelect:
		return one("SELECT 1", []string{"?column?"}, args[0]), nil
	case verbGet:
		return c.get(args[0]), nil
	default:
		return c.write(v, args)
	}
}

func cancelled() error {
	return &failure.Refusal{Code: failure.CodeCancelled, Message: "canceling statement due to user request"}
}

func (c *conn) isStopped() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// interrupted tells a cancelled statement from a stopped connection.
func (c *conn) interrupted() error {
	if c.isStopped() {
		return errStopped
	}
	return cancelled()
}

func (c *conn) nap(arg string) (answer, error) {
	ms, err := number(arg)
	if err != nil {
		return answer{}, err
	}
	if !c.sleep(time.Duration(ms) * time.Millisecond) {
		return answer{}, c.interrupted()
	}
	return answer{tag: "SLEEP 1"}, nil
}

func rows(args []string) (answer, error) {
	n, err := number(args[0])
	if err != nil {
		return answer{}, err
	}
	size := int64(0)
	if len(args) > 1 {
		if size, err = number(args[1]); err != nil {
			return answer{}, err
		}
	}
	data := strings.Repeat("x", int(size))
	return answer{
		columns: []string{"n", "data"}, count: int(n), tag: fmt.Sprintf("ROWS %d", n),
		row: func(k int) []string { return []string{strconv.Itoa(k), data} },
	}, nil
}

func number(s string) (int64, error) {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0, &failure.Refusal{Code: codeInvalidText, Message: fmt.Sprintf("not a number: %q", s)}
	}
	return n, nil
}

// get reads a key as the open transaction sees it.
func (c *conn) get(key string) answer {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	v, ok := c.session.tx.values[key]
	if !ok {
		v, ok = c.instance.history.values[key]
		c.session.point = c.instance.history.last()
	}
	if !ok {
		return answer{columns: []string{"key", "value"}, tag: "GET 0"}
	}
	return one("GET 1", []string{"key", "value"}, key, v)
}

// write adds an operation to the open transaction.
func (c *conn) write(v verb, args []string) (answer, error) {
	o, err := newOp(v, args)
	if err != nil {
		return answer{}, err
	}
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	t := &c.session.tx
	if t.readOnly || !t.explicit && c.session.settings[defaultReadOnly] == "on" {
		return answer{}, &failure.Refusal{Code: failure.CodeReadOnly,
			Message: fmt.Sprintf("cannot execute %s in a read-only transaction", v)}
	}
	if err := c.instance.writableLocked(); err != nil {
		return answer{}, err
	}
	if t.values == nil {
		t.values = map[string]string{}
	}
	if _, ok := t.values[o.Key]; !ok {
		t.values[o.Key] = c.instance.history.values[o.Key]
	}
	apply(t.values, o)
	t.ops = append(t.ops, o)
	return answer{tag: strings.ToUpper(string(v)) + " 1"}, nil
}

func newOp(v verb, args []string) (Op, error) {
	switch v {
	case verbPut:
		return Op{Kind: OpPut, Key: args[0], Value: args[1]}, nil
	case verbOnce:
		_, err := number(args[2])
		return Op{Kind: OpOnce, ID: args[0], Key: args[1], Value: args[2]}, err
	default:
		_, err := number(args[1])
		return Op{Kind: OpAdd, Key: args[0], Value: args[1]}, err
	}
}
