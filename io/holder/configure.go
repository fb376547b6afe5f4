package holder

import (
	"context"
	"slices"
	"time"

	"skylarkdeal/core/document"
	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/place"
	"skylarkdeal/io/control"
	"skylarkdeal/io/database"
	"skylarkdeal/io/groupmonitor"
	"skylarkdeal/io/host/hostpb"
)

func (g *groupRun) monitorConfig() groupmonitor.Config {
	c := g.h.c
	return groupmonitor.Config{
		Service:    g.service,
		Host:       c.Host,
		DataCentre: c.DataCentre,
		Epoch:      c.Epoch,
		Document:   g.document.Load,
		Dial: func(i document.Instance) control.Client {
			return c.Dial(g.document.Load(), i)
		},
		Holders: g.holders,
		RequestView: func(ctx context.Context, m fleet.Member) (*hostpb.ViewResponse, error) {
			return c.View(ctx, m.Host, &hostpb.ViewRequest{Service: string(g.service)})
		},
		Now:        c.Now,
		Logger:     c.Logger,
		Registerer: c.Registerer,
		Journal:    c.Journal,
		Seed:       c.Epoch,
	}
}

// holders returns the members that hold the group's connections, the preferred
// one first.
func (g *groupRun) holders() []fleet.Member {
	return g.h.ranking(g.document.Load()).members
}

// lookAgain takes up a change of the document or the roster, and sees to a group that
// this host no longer holds. It runs whenever a connection is free, where as a rule
// neither has changed.
func (g *groupRun) lookAgain() {
	if !g.holds || g.h.ranking(g.document.Load()) != g.ranked {
		g.configure()
	}
}

// configure gives each instance the connections and slots that are this host's
// share of it. A pool whose share is gone lets its transactions end and takes
// nothing new.
func (g *groupRun) configure() {
	d := g.document.Load()
	g.ranked = g.h.ranking(d)
	hosts := g.ranked.hosts
	g.holds = slices.Contains(hosts, g.h.c.Host)
	if g.holds {
		g.lostAt = time.Time{}
	} else {
		g.yield()
	}
	total, most := 0, 1
	for _, i := range d.Instances {
		s, ok := place.Shares(i, hosts, g.h.c.Host)
		if !ok {
			s = place.ConnectionShare{}
		}
		// An instance that leaves gets nothing new by the choice of instances, but for
		// a primary that nobody can take over from.
		g.slots[i.Name] = s.Slots
		total += s.Slots
		g.pool(d, i).SetLimit(s.StatementConnections())
		most = max(most, s.Slots)
	}
	// Any instance may come to be the primary.
	g.queue.Limits.WriteSlots = most
	g.queue.Limits.Slots = max(1, total)
	for n, p := range g.pools {
		if _, ok := d.Instance(n); !ok {
			p.SetLimit(0)
			g.slots[n] = 0
		}
	}
}

// retireAfter is how long a host keeps watching a group that it no longer holds:
// a roster that is still settling may give it back, and open transactions end.
const retireAfter = 2 * time.Second

// yield sends what waits back to its entry hosts, which ask the group's present
// holders. It guards against exchanges that wait for connections which this host
// has given up, and would be refused only at their deadlines. Once nothing is
// left the group is closed, whose administrative connections count too.
func (g *groupRun) yield() {
	for _, w := range g.works {
		if w.pin == nil && g.queue.Remove(w.key) {
			g.drop(w, g.refusal(failure.CodeNotReady, "this host no longer holds connections to the group", 0))
		}
	}
	if g.lostAt.IsZero() {
		g.lostAt = g.now
		time.AfterFunc(retireAfter, g.stir)
		return
	}
	if g.now.Sub(g.lostAt) < retireAfter {
		return
	}
	if len(g.works) > 0 || g.pins.len() > 0 {
		time.AfterFunc(retireAfter, g.stir)
		return
	}
	g.end()
}

func (g *groupRun) pool(d *document.Document, i document.Instance) *database.Pool {
	if p := g.pools[i.Name]; p != nil && g.addresses[i.Name] == i.Address {
		return p
	}
	if p := g.pools[i.Name]; p != nil {
		p.SetLimit(0)
		g.replaced = append(g.replaced, p)
	}
	p := database.NewPool(database.Config{
		Service:    d.Service,
		Instance:   i.Name,
		Address:    i.Address,
		Host:       g.h.c.Host,
		User:       g.h.c.User,
		Password:   g.h.c.Password,
		Now:        g.h.c.Now,
		Logger:     g.h.c.Logger,
		Registerer: g.h.c.Registerer,
		OnFree:     g.stir,
	})
	g.pools[i.Name] = p
	g.addresses[i.Name] = i.Address
	return p
}
