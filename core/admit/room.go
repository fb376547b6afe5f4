package admit

import (
	"time"

	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
)

// makeRoom returns why a new item of a can't wait for want of room, or nil. In a
// full queue the newest item of the least urgent class leaves for one of a more
// urgent class.
//
// Designed for a queue that a burst of reports has filled: a payment that comes
// then would else be refused for work that can wait longer than it.
//
// A class keeps a tenth of the places, beyond the limit if others have them: with
// none of its items waiting its share of the slot time would be of no use to it.
func (q *Queue) makeRoom(now time.Time, a *account, p fleet.Priority) ([]Expired, *failure.Refusal) {
	own := q.waitingOf(a.name)
	switch limits := q.limits(); {
	case own >= limits.PerAccount:
		return q.displace(now, a, p, a.name, limits.PerAccount, "the account's queue is full")
	case q.waiting >= limits.Total+limits.PerAccount, q.waiting >= limits.Total && own > 0:
		return q.displace(now, a, p, "", limits.Total, "the queue of the service is full")
	}
	return nil, nil
}

// waitingOf counts the waiting items of an account in all classes.
func (q *Queue) waitingOf(n fleet.Account) int {
	sum := 0
	for _, c := range q.classes {
		if c != nil && c.waiting > 0 {
			sum += c.waitingOf(n)
		}
	}
	return sum
}

// waitingOf counts the waiting items of an account, of all if none is named.
func (c *class) waitingOf(n fleet.Account) int {
	if n == "" {
		return c.waiting
	}
	if a := c.accounts[n]; a != nil {
		return a.len()
	}
	return 0
}

// displace removes the newest item of the least urgent class below p, of one
// account if that is named. If there is none among the places that a class may
// lose, the new item is refused, unless its own class has less than that.
func (q *Queue) displace(
	now time.Time, a *account, p fleet.Priority, of fleet.Account, places int, reason string,
) ([]Expired, *failure.Refusal) {
	for least := fleet.MaxPriority; least > p; least-- {
		c := q.classes[least]
		if c == nil || c.waitingOf(of) <= places/guaranteedShareDivisor {
			continue
		}
		s := c.newest(of)
		w := c.take(s)
		q.backlog[s.lane] -= w.expected
		q.waiting--
		q.refused[least]++
		r := refusal("a more urgent operation took its place in the full queue", q.wait(now, s.account, s.lane))
		c.dropIdle(s.account)
		return []Expired{{Item: w.Item, Refusal: r}}, nil
	}
	if a.class.waitingOf(of) < places/guaranteedShareDivisor {
		return nil, nil
	}
	return nil, refusal(reason, max(q.wait(now, a, laneWrite), q.wait(now, a, laneRead)))
}

// newest returns the item that was added last, of one account if that is named.
func (c *class) newest(of fleet.Account) startable {
	var best startable
	var newest *waitingItem
	for _, a := range c.busy {
		if of != "" && a.name != of {
			continue
		}
		for l := range a.lanes {
			for n := range a.lanes[l] {
				if w := &a.lanes[l][n]; newest == nil || w.seq > newest.seq {
					best, newest = startable{a, l, n}, w
				}
			}
		}
	}
	return best
}
