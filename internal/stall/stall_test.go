package stall_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"skylarkdeal/internal/stall"
)

// simulated is a watch whose sleeps take the given times.
type simulated struct {
	now    time.Time
	sleeps []time.Duration
	waited time.Duration
}

func (s *simulated) sleep(context.Context, time.Duration) bool {
	if len(s.sleeps) == 0 {
		return false
	}
	s.now = s.now.Add(s.sleeps[0])
	s.sleeps = s.sleeps[1:]
	return true
}

// run plays sleeps and returns what was logged.
func (s *simulated) run(duties map[string]func(func())) []observer.LoggedEntry {
	core, logs := observer.New(zap.InfoLevel)
	stall.Watch{
		Duties: duties, Logger: zap.New(core), Sleep: s.sleep,
		Now:   func() time.Time { return s.now },
		Usage: func() stall.Usage { return stall.Usage{Waiting: s.waited} },
	}.Run(context.Background())
	return logs.All()
}

const usual = 250 * time.Millisecond

// Guards against a stall that leaves no trace, and against one that is taken for a stuck duty.
func TestLateWatchIsLogged(t *testing.T) {
	c := qt.New(t)
	s := &simulated{now: time.Unix(1000, 0), sleeps: []time.Duration{usual, usual, 3 * time.Second, usual, usual}}
	logged := s.run(map[string]func(func()){"loop": func(answer func()) { answer() }})
	c.Assert(logged, qt.HasLen, 1)
	c.Assert(logged[0].Message, qt.Equals, "process stood still")
	c.Assert(logged[0].ContextMap()["for"], qt.Equals, 3*time.Second-usual)
}

// Guards against a duty that is stuck behind a lock while the rest of the process goes on.
func TestStuckDutyIsLoggedOnceWithTheGoroutines(t *testing.T) {
	c := qt.New(t)
	s := &simulated{now: time.Unix(1000, 0)}
	for range 40 {
		s.sleeps = append(s.sleeps, usual)
	}
	asked := 0
	var pending func()
	logged := s.run(map[string]func(func()){"loop": func(answer func()) {
		asked++
		if asked == 3 {
			pending = answer
			return
		}
		answer()
	}})
	c.Assert(logged, qt.HasLen, 1)
	c.Assert(logged[0].Message, qt.Equals, "duty doesn't answer")
	c.Assert(logged[0].ContextMap()["goroutines"], qt.Contains, "goroutine ")
	c.Assert(asked, qt.Equals, 3)
	c.Assert(pending, qt.IsNotNil)
}
