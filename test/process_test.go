package test_test

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"
)

// program is the binary that TestMain has built.
var program string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "skylarkdeal-test")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program = filepath.Join(dir, "skylarkdeal")
	if out, err := exec.Command("go", "build", "-o", program, "skylarkdeal").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	defer endShared()
	return m.Run()
}

// process is a running program whose output goes to a file.
type process struct {
	name string
	cmd  *exec.Cmd
	file string
	done chan struct{}
}

// starter starts all processes. The kernel ends them when the thread that has
// started them ends, so that a panic or a timeout of the tests leaves none
// behind; for that the thread has to live as long as the tests.
var starter = threadStarter{commands: make(chan *exec.Cmd), started: make(chan error)}

type threadStarter struct {
	once     sync.Once
	mu       sync.Mutex
	commands chan *exec.Cmd
	started  chan error
}

func (s *threadStarter) start(c *exec.Cmd) error {
	s.once.Do(func() {
		go func() {
			runtime.LockOSThread()
			for c := range s.commands {
				s.started <- c.Start()
			}
		}()
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commands <- c
	return <-s.started
}

func startProcess(dir, name string, args ...string) (*process, error) {
	p := &process{name: name, file: filepath.Join(dir, name+".log"), done: make(chan struct{})}
	out, err := os.OpenFile(p.file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }()
	p.cmd = exec.Command(program, args...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := starter.start(p.cmd); err != nil {
		return nil, err
	}
	go func() {
		defer close(p.done)
		_ = p.cmd.Wait() // the exit code stays in ProcessState
	}()
	return p, nil
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process by its id, also a stopped one, and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// exit waits for the process to end by itself and returns its exit code.
func (p *process) exit(bound time.Duration) (int, error) {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-time.After(bound):
		return 0, fmt.Errorf("%s still runs after %v", p.name, bound)
	}
}

// command runs the program to its end and returns its exit code and outputs.
func command(t testing.TB, in string, args ...string) (code int, out, errOut string) {
	t.Helper()
	var o, e bytes.Buffer
	c := exec.Command(program, args...)
	c.Stdin, c.Stdout, c.Stderr = bytes.NewBufferString(in), &o, &e
	err := c.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return c.ProcessState.ExitCode(), o.String(), e.String()
}

// The ports lie below those that the system gives to outgoing connections. Each
// run of the tests owns one block of them, claimed by listening on its first.
const (
	firstPort  = 31000
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

// address returns an address of the run's block on which nobody listens.
func (b *portBlock) address() (string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err := b.claimLocked(); err != nil {
		return "", err
	}
	for range blockPorts {
		b.next = b.next%(blockPorts-1) + 1
		a := fmt.Sprintf("127.0.0.1:%d", b.base+b.next)
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
