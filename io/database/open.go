package database

import (
	"cmp"
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"go.uber.org/zap"

	"skylarkdeal/core/failure"
	"skylarkdeal/internal/address"
)

const (
	// parallelDials lets a pool of 16 fill within a few times 10 ms; more at a
	// time would make a restarted instance pay for all hosts at once.
	parallelDials = 4
	// The pauses between tries to open a connection: short at first, since a
	// failover must find connections soon, then a second, since many hosts ask
	// the same instance.
	retryFirst = 20 * time.Millisecond
	retryMost  = time.Second
	// A refused connection waits longer, as it takes another host's giving up
	// its surplus for there to be room.
	refusedFirst = 250 * time.Millisecond
	refusedMost  = 5 * time.Second
	// emptyMost is the longest pause of a pool that has no connection to make do with: what waits for one
	// would wait until its deadline although there has been room for seconds.
	emptyMost = 250 * time.Millisecond
	// checkIdle is how often idle connections are looked at, so that closed ones
	// are replaced before they are needed.
	checkIdle = 250 * time.Millisecond
)

// retry holds back the opening of connections after a failure. Its randomness
// keeps hosts from asking in step.
type retry struct {
	backoff *backoff.ExponentialBackOff
	refused *backoff.ExponentialBackOff
	at      time.Time
	trouble string
	// shrunk is set while the instance refuses connections: the pool makes do
	// with what it has until at.
	shrunk bool
	// emptySince is since when the instance has refused connections while the pool has none, zero while
	// that isn't so.
	emptySince time.Time
}

func (r *retry) init() {
	r.backoff = newBackOff(retryFirst, retryMost)
	r.refused = newBackOff(refusedFirst, refusedMost)
}

func newBackOff(first, most time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = first, most
	b.Reset()
	return b
}

// next returns how long to wait after a failure. empty is set if the pool has no connection.
func (r *retry) next(empty bool) time.Duration {
	switch {
	case r.shrunk && empty:
		return min(r.refused.NextBackOff(), emptyMost)
	case r.shrunk:
		return r.refused.NextBackOff()
	}
	return r.backoff.NextBackOff()
}

// succeeded forgets the failures.
func (r *retry) succeeded() {
	r.backoff.Reset()
	r.refused.Reset()
	r.at, r.trouble, r.shrunk, r.emptySince = time.Time{}, "", false, time.Time{}
}

// allowed is how many connections there may be at now; p.mu is held.
//
// A refused connection shows that the hosts together are above the instance's
// limit, as their shares come from rosters that may differ. The host that is
// refused makes do with what it has for a while: to insist would take
// connections from the hosts whose turn it is, and load the instance with
// start-ups.
func (p *Pool) allowed(now time.Time) int {
	if p.retry.shrunk && now.Before(p.retry.at) {
		return min(p.limit, p.open)
	}
	return p.limit
}

// signal wakes one opener.
func (p *Pool) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// keepOpen opens connections while there are fewer than allowed.
func (p *Pool) keepOpen() {
	defer p.openers.Done()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-p.wake:
		}
		for p.reserve() {
			p.openOne()
		}
	}
}

// watchIdle replaces idle connections that have gone, and wakes the openers
// when a pause after a failure is over.
func (p *Pool) watchIdle() {
	defer p.openers.Done()
	t := time.NewTimer(checkIdle)
	defer t.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-p.failure:
		case <-t.C:
			p.checkIdle()
			p.signal()
		}
		t.Reset(p.pause())
	}
}

// reserve takes a place for one more connection.
func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Now()
	if p.closed || now.Before(p.retry.at) || p.open+p.opening >= p.limit {
		return false
	}
	p.opening++
	if p.open+p.opening < p.limit {
		p.signal()
	}
	return true
}

// pause is how long an opener sleeps when nobody wakes it.
func (p *Pool) pause() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.retry.at.Sub(p.cfg.Now())
	if d <= 0 {
		return checkIdle
	}
	return min(d+time.Millisecond, checkIdle)
}

func (p *Pool) openOne() {
	c, err := p.dial()
	p.mu.Lock()
	p.opening--
	if err != nil {
		p.failed(err)
		p.mu.Unlock()
		select {
		case p.failure <- struct{}{}:
		default:
		}
		return
	}
	p.retry.succeeded()
	if p.closed || p.open >= p.limit {
		p.mu.Unlock()
		c.close()
		return
	}
	p.generation++
	c.generation = p.generation
	p.open++
	p.all[c] = struct{}{}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
	p.metrics.opened.Inc()
	p.cfg.OnFree()
}

// failed notes a connection that could not be opened; p.mu is held.
func (p *Pool) failed(err error) {
	if p.closed {
		return
	}
	p.metrics.failures.Inc()
	p.retry.trouble = err.Error()
	p.retry.shrunk = isRefused(err)
	now := p.cfg.Now()
	empty := p.open == 0
	if !now.Before(p.retry.at) {
		// The tries of one round fail together, and are one failure.
		p.retry.at = now.Add(p.retry.next(empty))
	}
	switch {
	case !empty || !p.retry.shrunk:
		p.retry.emptySince = time.Time{}
	case p.retry.emptySince.IsZero():
		p.retry.emptySince = now
	}
	p.cfg.Logger.Warn("connection not opened", zap.Error(err), zap.Duration("retry-after", p.retry.at.Sub(now)),
		zap.Int("open", p.open), zap.Int("limit", p.limit))
}

// isRefused reports whether the instance has no connection left.
func isRefused(err error) bool {
	var e *pgconn.PgError
	return errors.As(err, &e) && e.Code == string(failure.CodeTooManySessions)
}

// dial opens one connection. pgconn proves the proxy's identity by whichever
// method the instance asks for; from then on the connection is ours.
func (p *Pool) dial() (*Conn, error) {
	cfg, err := p.cfg.pgconn()
	if err != nil {
		return nil, failure.At(err, "dial", p.cfg.peer())
	}
	ctx, cancel := context.WithTimeout(p.ctx, p.cfg.DialTimeout)
	defer cancel()
	g, err := pgconn.ConnectConfig(ctx, cfg)
	if err != nil {
		return nil, failure.At(err, "dial", p.cfg.peer())
	}
	h, err := takeOver(ctx, g)
	if err != nil {
		return nil, failure.At(err, "dial", p.cfg.peer())
	}
	return newConn(p, h), nil
}

// pgconn returns the settings for pgconn, none of which comes from the
// environment.
// takeOver takes a connection from the library that opened it.
//
// The guard is against a host that was out of processor time meanwhile: the library takes
// a write that returns late for one that the instance doesn't read, and begins to read on
// a goroutine of its own, which may still wait for bytes. It would take the first of the
// next answer; and whoever looks whether the connection lives, the group's dispatcher among
// them, would wait behind it for as long as the connection stands.
func takeOver(ctx context.Context, g *pgconn.PgConn) (*pgconn.HijackedConn, error) {
	if err := g.SyncConn(ctx); err != nil {
		return nil, errors.Join(err, g.Close(ctx))
	}
	return g.Hijack()
}

func (c Config) pgconn() (*pgconn.Config, error) {
	host, port, err := address.Split(c.Address)
	if err != nil {
		return nil, err
	}
	cfg, err := pgconn.ParseConfig("host=127.0.0.1 port=1 user=x dbname=x sslmode=disable")
	if err != nil {
		return nil, err
	}
	cfg.Host, cfg.Port, cfg.Database = host, port, c.Database
	cfg.User, cfg.Password = c.User, c.Password
	cfg.TLSConfig, cfg.Fallbacks = nil, nil
	cfg.RuntimeParams = map[string]string{"application_name": cmp.Or(string(c.Host), "skylarkdeal")}
	cfg.ConnectTimeout = c.DialTimeout
	if c.Dial != nil {
		cfg.DialFunc = c.Dial
	}
	return cfg, nil
}

// checkIdle closes idle connections that the instance has closed.
func (p *Pool) checkIdle() {
	p.mu.Lock()
	var dead []*Conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.alive() {
			kept = append(kept, c)
			continue
		}
		p.drop(c)
		dead = append(dead, c)
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range dead {
		c.close()
	}
}
