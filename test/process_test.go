package test_test

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"skylarkdeal/test/launch"
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

func startProcess(dir, name string, args ...string) (*process, error) {
	p := &process{name: name, file: filepath.Join(dir, name+".log"), done: make(chan struct{})}
	out, err := os.OpenFile(p.file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }()
	p.cmd = exec.Command(program, args...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := launch.Start(p.cmd); err != nil {
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
