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
	// applyWithin is how long a change of the catalog may take from the store's acknowledgement
	// on, for hosts that have been calm for calmFor.
	applyWithin = 5 * time.Second
	calmFor     = 5 * time.Second
	// probeEvery is the pause between the questions of one prober, recentGrants of how many of the
	// last grants it asks.
	probeEvery   = 150 * time.Millisecond
	recentGrants = 6
	// probedAge is how old a read of a prober may be.
	probedAge = 1500 * time.Millisecond
)

// outcome is what came of the use of a grant.
type outcome int

const (
	// outcomeOther says nothing of the catalog.
	outcomeOther outcome = iota
	outcomeAdmitted
	outcomeRefused
)

// prober asks one host again and again which grants it has in force, in new sessions and in those
// that it has kept.
type prober struct {
	host     *host
	operator *operator
	judge    *judge
	luck     *rand.Rand
	kept     map[string]*session
	// last is the grant that last worked. It is asked for again after it has left the recent ones.
	last     grant
	sessions int
	queries  int
}

func (f *fleet) newProber(h *host, seed uint64) *prober {
	return &prober{
		host: h, operator: &f.operator, judge: f.judge, luck: rand.New(rand.NewPCG(seed, uint64(portOfHost(h)))),
		kept: map[string]*session{},
	}
}

// run asks until ctx ends.
func (p *prober) run(ctx context.Context) {
	for sleep.For(ctx, probeEvery) {
		gs := p.operator.all()
		gs = gs[max(0, len(gs)-recentGrants):]
		n := p.luck.IntN(recentGrants + 1)
		if n >= len(gs) {
			p.probeLast()
			continue
		}
		p.probe(gs[n])
	}
	for _, s := range p.kept {
		_ = s.conn.Close()
	}
}

// probeLast probes the grant that last worked, as it is now.
func (p *prober) probeLast() {
	for _, g := range p.operator.all() {
		if g.name == p.last.name {
			p.probe(g)
		}
	}
}

// probe uses a grant once and has the judge look at what came of it.
func (p *prober) probe(g grant) {
	began, sent := p.host.condition(), time.Now()
	got := p.use(g)
	if got == outcomeAdmitted {
		p.last = g
	}
	ended := p.host.condition()
	if began.boot != ended.boot {
		return
	}
	for _, now := range p.operator.all() {
		if now.name == g.name {
			p.judge.probed(probe{
				host: p.host.name, boot: ended.boot, grant: g, withdrawn: now.withdrawn, sent: sent,
				calm: began.calm && ended.calm, outcome: got,
			})
		}
	}
}

// use reads once by a grant.
func (p *prober) use(g grant) outcome {
	s := p.kept[g.name]
	delete(p.kept, g.name)
	if s == nil {
		var code string
		if s, code = p.start(g); s == nil {
			return refusal(code)
		}
	}
	p.queries++
	id := statementID(fmt.Sprintf("%s-%d", s.name, p.queries))
	p.judge.send(p.judge.begin(s, false), id, "READ n1")
	_ = s.conn.SetDeadline(time.Now().Add(patience))
	var r reply
	if _, err := fmt.Fprintf(s.conn, "QUERY %s READ n1\r\n", id); err == nil {
		r = s.reply()
	}
	p.judge.answered(id, r)
	if r.digest == "" {
		_ = s.conn.Close()
		return refusal(r.code)
	}
	if p.luck.IntN(2) == 0 {
		_ = s.conn.Close()
		return outcomeAdmitted
	}
	p.kept[g.name] = s
	return outcomeAdmitted
}

// start starts a session by a grant. If that fails it returns nil and the error's code.
func (p *prober) start(g grant) (*session, string) {
	n, err := net.DialTimeout("tcp4", p.host.callers, startPatience)
	if err != nil {
		return nil, ""
	}
	p.sessions++
	s := &session{
		name: fmt.Sprintf("p-%s.%d", p.host.name, p.sessions), host: p.host.name, account: "hotel", conn: n,
		database: database{name: g.database, service: services[0], kind: kindBounded, maxAge: probedAge},
		in:       bufio.NewScanner(n), values: map[string]string{}, prepared: map[string]string{},
	}
	_ = n.SetDeadline(time.Now().Add(startPatience))
	if _, err = fmt.Fprintf(n, "START %s %s\r\n", g.database, g.key); err == nil && s.in.Scan() {
		if strings.HasPrefix(s.in.Text(), "READY I") {
			return s, ""
		}
	}
	_ = n.Close()
	word, rest, _ := strings.Cut(s.in.Text(), " ")
	if word != "ERR" {
		return nil, ""
	}
	code, _, _ := strings.Cut(rest, " ")
	return nil, code
}

// refusal returns what an error tells of the catalog.
func refusal(code string) outcome {
	if code == "NOAUTH" || code == "NODB" {
		return outcomeRefused
	}
	return outcomeOther
}

// condition is what a host is like at a moment.
type condition struct {
	boot int
	// calm is set if no fault has concerned the host for calmFor.
	calm bool
}

func (h *host) condition() condition {
	h.mu.Lock()
	defer h.mu.Unlock()
	return condition{boot: h.boots, calm: h.troubles == 0 && time.Since(h.calm) > calmFor}
}

// trouble takes in that a fault concerns the host, or that one ends.
func (h *host) trouble(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.troubles += n
	h.calm = time.Now()
}

func portOfHost(h *host) int {
	a, err := net.ResolveTCPAddr("tcp4", h.callers)
	if err != nil {
		return 0
	}
	return a.Port
}

// probe is one use of a grant on a host.
type probe struct {
	host hostName
	boot int
	// grant is as it was before, withdrawn the version that has withdrawn it by now.
	grant     grant
	withdrawn catalogVersion
	sent      time.Time
	// calm is set if the host was calm before and after.
	calm    bool
	outcome outcome
}

// bootID names one run of a host's process.
type bootID struct {
	host hostName
	boot int
}

// probed checks that a change is in force in time, and that a host never goes back.
func (j *judge) probed(p probe) {
	j.mu.Lock()
	defer j.mu.Unlock()
	b, g := bootID{p.host, p.boot}, p.grant
	seen := j.seen[b]
	switch p.outcome {
	case outcomeAdmitted:
		j.counts["grants used"]++
		if p.withdrawn != 0 && p.withdrawn <= seen {
			j.breach(promiseBack, "%s admits %s, withdrawn by %d, after it had %d in force", p.host, g.name, p.withdrawn, seen)
		}
		if due := g.withdrawnAt.Add(applyWithin); !g.withdrawnAt.IsZero() && p.calm && p.sent.After(due) {
			j.breach(promiseWithdrawn, "%s admits %s %v after the store acknowledged version %d",
				p.host, g.name, p.sent.Sub(g.withdrawnAt), g.withdrawn)
		}
		j.seen[b] = max(seen, g.given)
	case outcomeRefused:
		j.counts["grants refused"]++
		if p.withdrawn == 0 && g.given <= seen {
			j.breach(promiseBack, "%s refuses %s, given by %d, after it had %d in force", p.host, g.name, g.given, seen)
		}
		if due := g.givenAt.Add(applyWithin); !g.givenAt.IsZero() && p.withdrawn == 0 && p.calm && p.sent.After(due) {
			j.breach(promiseGiven, "%s refuses %s %v after the store acknowledged version %d",
				p.host, g.name, p.sent.Sub(g.givenAt), g.given)
		}
		if g.given <= seen {
			j.seen[b] = max(seen, p.withdrawn)
		}
	case outcomeOther:
	}
}
