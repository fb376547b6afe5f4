package main

import (
	"context"
	"errors"
	"net"
	"os"

	"skylarkdeal/internal/localfleet"
)

var sessionColumns = []string{"sessions", "B/session", "cpu-ms/s"}

// measureSessions measures idle sessions that have run a prepared statement.
// The callers' ends are bare file descriptors, which take no memory.
func measureSessions(ctx context.Context, sessions int) (row, error) {
	c := fleetOf(1, 1, 1)
	f, err := localfleet.Start(ctx, c)
	if err != nil {
		return row{}, err
	}
	defer closeFleet(f)
	// The first sessions open what all share.
	first, err := openSessions(ctx, f, c, warmUp)
	defer closeAll(first)
	if err != nil {
		return row{}, err
	}
	before := memory()
	files, err := openSessions(ctx, f, c, sessions)
	defer closeAll(files)
	if err != nil {
		return row{}, err
	}
	each := (memory() - before) / float64(sessions)
	cpu, err := idleCPU()
	return row{values: []float64{float64(sessions), each, cpu}}, err
}

const warmUp = 20

func openSessions(ctx context.Context, f *localfleet.Fleet, c localfleet.Config, n int) ([]*os.File, error) {
	var files []*os.File
	for range n {
		e, err := openIdle(ctx, f, c)
		if err != nil {
			return files, err
		}
		files = append(files, e)
	}
	return files, nil
}

func openIdle(ctx context.Context, f *localfleet.Fleet, c localfleet.Config) (*os.File, error) {
	s := c.Services[0]
	p, err := localfleet.Connect(ctx, f.Hosts[0], s.Name, s.Accounts[0], "")
	if err != nil {
		return nil, err
	}
	if _, err := p.Prepare(ctx, "s", "get $1"); err != nil {
		return nil, err
	}
	if err := p.PgConn().SyncConn(ctx); err != nil {
		return nil, err
	}
	h, err := p.PgConn().Hijack()
	if err != nil {
		return nil, err
	}
	defer h.Conn.Close()
	t, ok := h.Conn.(*net.TCPConn)
	if !ok {
		return nil, errors.New("the session is not over TCP")
	}
	return t.File()
}

func closeAll(files []*os.File) {
	for _, e := range files {
		_ = e.Close()
	}
}
