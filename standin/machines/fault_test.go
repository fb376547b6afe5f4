package machines_test

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/standin/machines"
)

// client is one connection to the primary of the group "ledger".
type client struct {
	c   *qt.C
	net net.Conn
	in  *bufio.Scanner
}

// startGroup starts the group "ledger", whose statements take work, and returns its primary.
func startGroup(c *qt.C, work time.Duration) (*machines.Machines, string) {
	m := &machines.Machines{Work: work, DataCentreOf: func(k machines.Conn) string { return k.Account }}
	c.Assert(m.Start("ledger"), qt.IsNil)
	c.Cleanup(m.Close)
	return m, m.Primary("ledger")
}

// connect connects from a data centre, which stands in place of the account.
func connect(c *qt.C, m *machines.Machines, dataCentre string) *client {
	n, err := net.Dial("tcp4", m.At(m.Primary("ledger")))
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = n.Close() })
	k := &client{c: c, net: n, in: bufio.NewScanner(n)}
	_, err = fmt.Fprintf(n, "START ledger %s\r\n", dataCentre)
	c.Assert(err, qt.IsNil)
	c.Assert(k.in.Scan(), qt.IsTrue)
	return k
}

// ask sends a statement and returns the first word and the code of its answer.
func (k *client) ask(text string) string {
	_, err := fmt.Fprintf(k.net, "QUERY id %s\r\n", text)
	k.c.Check(err, qt.IsNil)
	var out string
	for k.in.Scan() {
		f := strings.Fields(k.in.Text())
		switch f[0] {
		case "DONE":
			out = "DONE"
		case "ERR":
			out = f[0] + " " + f[1]
		case "READY":
			return out
		}
	}
	return ""
}

// count returns how often each answer came to so many reads.
func (k *client) count(reads int) map[string]int {
	out := map[string]int{}
	for range reads {
		out[k.ask("READ n1")]++
	}
	return out
}

// Guards against a fault that fails another share than it says, the health check, or statements after
// its end.
func TestInstanceFailsAShareOfItsStatements(t *testing.T) {
	for kind, code := range map[machines.StatementFaultKind]string{
		machines.StatementFails: "ERR FAILED", machines.StatementShed: "ERR BUSY",
	} {
		c := qt.New(t)
		m, primary := startGroup(c, 0)
		k := connect(c, m, "sapporo")
		end := m.FaultStatements(primary, machines.StatementFault{Kind: kind, Percent: 40})
		c.Check(k.count(10), qt.DeepEquals, map[string]int{"DONE": 6, code: 4})
		for range 5 {
			c.Check(k.ask("STATUS"), qt.Equals, "DONE")
		}
		end()
		c.Check(k.count(10), qt.DeepEquals, map[string]int{"DONE": 10})
	}
}

// Guards against a fault for the hosts of one data centre that concerns those of another.
func TestInstanceFailsForOneDataCentre(t *testing.T) {
	c := qt.New(t)
	m, primary := startGroup(c, 0)
	defer m.FaultStatements(primary, machines.StatementFault{
		Kind: machines.StatementFails, Percent: 100, DataCentre: "sapporo",
	})()
	c.Check(connect(c, m, "sapporo").count(5), qt.DeepEquals, map[string]int{"ERR FAILED": 5})
	c.Check(connect(c, m, "obihiro").count(5), qt.DeepEquals, map[string]int{"DONE": 5})
}

// Guards against statements that hang for others than the data centre concerned, in slots that these
// need, or for longer than the fault.
func TestInstanceHangs(t *testing.T) {
	c := qt.New(t)
	m, primary := startGroup(c, 0)
	end := m.FaultStatements(primary, machines.StatementFault{
		Kind: machines.StatementHangs, Percent: 100, DataCentre: "sapporo",
	})
	answers := make(chan string, 3)
	for range cap(answers) {
		k := connect(c, m, "sapporo")
		go func() { answers <- k.ask("READ n1") }()
	}
	c.Check(connect(c, m, "obihiro").count(5), qt.DeepEquals, map[string]int{"DONE": 5})
	select {
	case a := <-answers:
		c.Fatalf("%s while the instance hangs", a)
	case <-time.After(50 * time.Millisecond):
	}
	end()
	for range cap(answers) {
		c.Check(<-answers, qt.Equals, "DONE")
	}
}

// Guards against slow statements that take the usual time, or that are no longer slow at the slot.
func TestInstanceIsSlow(t *testing.T) {
	c := qt.New(t)
	const work, factor = 2 * time.Millisecond, 10
	m, primary := startGroup(c, work)
	k := connect(c, m, "sapporo")
	defer m.FaultStatements(primary, machines.StatementFault{
		Kind: machines.StatementSlow, Percent: 100, Factor: factor,
	})()
	began := time.Now()
	c.Check(k.ask("READ n1"), qt.Equals, "DONE")
	c.Check(time.Since(began) >= factor*work, qt.IsTrue)
	began = time.Now()
	c.Check(k.ask("STATUS"), qt.Equals, "DONE")
	c.Check(time.Since(began) < factor*work, qt.IsTrue)
}
