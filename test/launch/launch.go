// Package launch starts programs for tests and finds addresses for them.
package launch

import (
	"errors"
	"fmt"
	"net"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
)

var (
	once     sync.Once
	mu       sync.Mutex
	commands = make(chan *exec.Cmd)
	started  = make(chan error)
)

// Start starts a program that the kernel ends with the tests, so that a panic or a timeout
// leaves none behind. The kernel looks at the thread that has started it: one thread that
// lives as long as the tests starts them all.
func Start(c *exec.Cmd) error {
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	once.Do(func() {
		go func() {
			runtime.LockOSThread()
			for c := range commands {
				started <- c.Start()
			}
		}()
	})
	mu.Lock()
	defer mu.Unlock()
	commands <- c
	return <-started
}

// The ports lie below those that the system gives to outgoing connections. Each
// run of the tests owns one block of them, claimed by listening on its first.
const (
	firstPort  = 28000
	lastPort   = 32700
	blockPorts = 340
)

type portBlock struct {
	mu    sync.Mutex
	claim net.Listener
	base  int
	next  int
}

var block portBlock

// Address returns an address of the run's block on which nobody listens.
func Address() (string, error) {
	block.mu.Lock()
	defer block.mu.Unlock()
	if err := block.claimLocked(); err != nil {
		return "", err
	}
	for range blockPorts {
		block.next = block.next%(blockPorts-1) + 1
		a := fmt.Sprintf("127.0.0.1:%d", block.base+block.next)
		if l, err := net.Listen("tcp", a); err == nil {
			return a, l.Close()
		}
	}
	return "", errors.New("no free port in the block")
}

func (b *portBlock) claimLocked() error {
	if b.claim != nil {
		return nil
	}
	for at := firstPort; at+blockPorts <= lastPort; at += blockPorts {
		if l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", at)); err == nil {
			b.claim, b.base = l, at
			return nil
		}
	}
	return errors.New("all blocks of ports are taken")
}
