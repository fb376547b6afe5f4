package ledger

import (
	"strconv"
	"strings"

	"skylarkdeal/core/fleet"
)

// control runs an administrative statement, which takes no slot.
func (c *conn) control(args []string) (answer, error) {
	i, g := c.instance, c.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := i.stepLocked(args); err != nil {
		return answer{}, err
	}
	s := i.statusLocked()
	c.session.point = s.Last
	return one("SKYLARK", columnsOf(statement{verb: verbSkylark}),
		string(s.Instance), strconv.FormatUint(uint64(s.Promised), 10), string(s.Role),
		strconv.FormatUint(uint64(s.Last.Term), 10), strconv.FormatUint(uint64(s.Last.Index), 10),
		string(s.Follows)), nil
}

// The words after "skylark".
const (
	stepStatus  = "status"
	stepFence   = "fence"
	stepPromote = "promote"
	stepFollow  = "follow"
)

func (i *instance) stepLocked(args []string) error {
	step := strings.ToLower(args[0])
	if step == stepStatus && len(args) == 1 {
		return nil
	}
	want := 3
	if step == stepFollow {
		want = 4
	}
	if len(args) != want {
		return syntaxError("skylark %s: wrong number of arguments", step)
	}
	t, err := strconv.ParseUint(args[1], 10, 64)
	if err != nil {
		return syntaxError("skylark %s: term: %v", step, err)
	}
	switch step {
	case stepFence:
		return i.fenceLocked(fleet.Term(t), fleet.Host(args[2]))
	case stepPromote:
		return i.promoteLocked(fleet.Term(t), fleet.Host(args[2]))
	case stepFollow:
		return i.followLocked(fleet.Term(t), fleet.Instance(args[2]))
	default:
		return syntaxError("skylark %s: unknown", step)
	}
}
