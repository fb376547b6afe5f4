package database

import (
	"context"
	"errors"
	"fmt"
	"time"

	"skylarkdeal/core/exchange"
	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
)

// Answer is how an exchange on a connection has ended.
type Answer struct {
	// Status is the transaction's state.
	Status exchange.TxStatus
	// Point and Role are what the instance told last.
	Point fleet.LogPosition
	Role  fleet.Role
	// Sent is set when the instance may have seen any of the exchange. While it
	// is unset, nothing has run or will run.
	Sent bool
	// Err is set when the answer is not whole; the connection is then broken.
	Err error
}

// chunk is how many bytes of an answer are passed on together, at most.
const chunk = 16 << 10

// Exchange runs q and passes its answer to send in whole messages. It waits for
// the end of the answer, or until ctx ends: then the instance is asked to cancel
// and given a short while to answer. An exchange whose answer is not whole
// leaves a broken connection, so that a late answer meets nobody.
func (c *Conn) Exchange(ctx context.Context, q *exchange.Request, send func([]byte) error) Answer {
	if err := ctx.Err(); err != nil {
		return c.fail("send", err, false)
	}
	if c.Broken() {
		return c.fail("send", errors.New("connection is closed"), false)
	}
	if err := c.compose(q); err != nil {
		return c.fail("compose", err, false)
	}
	stop := c.watch(ctx)
	err := c.transfer(send)
	if w := c.unwatch(stop); w != nil && err == nil {
		// The answer came, but a cancel request may still be on its way to the
		// instance and would hit the next exchange.
		c.breakUp(w.Error())
	}
	if err != nil {
		if ctx.Err() != nil {
			err = errors.Join(ctx.Err(), err)
		} else {
			// The instance may still be at work for a caller that is gone.
			_ = c.cancelRequest()
		}
		return c.fail("exchange", err, true)
	}
	c.in.shrink()
	return Answer{Status: c.status, Point: c.point, Role: c.role, Sent: true}
}

func (c *Conn) fail(s failure.Step, err error, sent bool) Answer {
	if sent {
		c.breakUp(err.Error())
	}
	return Answer{
		Status: c.status, Point: c.point, Role: c.role, Sent: sent,
		Err: failure.At(err, s, c.pool.cfg.peer()),
	}
}

// watch has the exchange canceled when ctx ends, until unwatch.
func (c *Conn) watch(ctx context.Context) (stop func() bool) {
	if ctx.Done() == nil {
		return func() bool { return true }
	}
	return context.AfterFunc(ctx, c.onCancel)
}

// canceled asks the instance to cancel, on a goroutine of its own.
func (c *Conn) canceled() {
	_ = c.net.SetDeadline(time.Now().Add(c.pool.cfg.CancelGrace))
	c.cancelDone <- c.cancelRequest()
}

// unwatch ends a watch. When a cancel was asked for, it waits for the request to
// have been taken.
func (c *Conn) unwatch(stop func() bool) error {
	if stop() {
		return nil
	}
	err := <-c.cancelDone
	_ = c.net.SetDeadline(time.Time{})
	return err
}

// inlineWrite is how much is written before the answer is read. More could
// block for ever, with an instance that waits for its answer to be read.
const inlineWrite = 32 << 10

func (c *Conn) transfer(send func([]byte) error) error {
	if len(c.out) <= inlineWrite {
		if _, err := c.net.Write(c.out); err != nil {
			return err
		}
		return c.receive(send)
	}
	written := make(chan error, 1)
	go func() {
		_, err := c.net.Write(c.out)
		written <- err
	}()
	err := c.receive(send)
	if err != nil {
		_ = c.net.Close()
	}
	return errors.Join(err, <-written)
}

// receive reads the answer up to the last ReadyForQuery.
func (c *Conn) receive(send func([]byte) error) error {
	a := answer{c: c, send: send}
	c.gather = c.gather[:0]
	if err := a.skipDropped(); err != nil {
		return err
	}
	for {
		m, err := c.in.frame()
		if err != nil {
			return err
		}
		if m == nil {
			if err := a.flush(); err != nil {
				return err
			}
			if err := c.in.fill(); err != nil {
				return err
			}
			continue
		}
		c.in.skip(m)
		done, err := a.take(m)
		if err != nil {
			return err
		}
		if done {
			return a.flush()
		}
	}
}

// fatalError is an error after which the instance closes the connection. It is
// not passed on to the caller, whose own session goes on.
type fatalError struct {
	code, message string
}

func (e fatalError) Error() string {
	return fmt.Sprintf("instance closed the connection: %s (%s)", e.message, e.code)
}
