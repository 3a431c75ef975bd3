package integration

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// binaries is the directory of the daemons that TestMain builds.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	zerolog.SetGlobalLevel(zerolog.Disabled)
	dir, err := os.MkdirTemp("", "lovageslip-integration-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir, "../cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build of the daemons failed:", err)
		return 1
	}
	binaries = dir
	return m.Run()
}

// process is a daemon that a test runs.
type process struct {
	t      testing.TB
	name   string
	binary string
	args   []string
	log    *syncBuffer
	cmd    *exec.Cmd
	exited chan struct{}
}

// syncBuffer collects the log of a process while the test reads it.
type syncBuffer struct {
	mu  sync.Mutex // guards buf
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// newProcess returns a daemon that is not started yet. It is killed at the end of
// the test, and the end of its log is printed if the test failed.
func newProcess(t testing.TB, name, binary string, args ...string) *process {
	p := &process{t: t, name: name, binary: binary, args: args, log: &syncBuffer{}}
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("log of %s:\n%s", name, tail(p.log.String(), 6000))
		}
	})
	return p
}

// tail returns the last n bytes of a text.
func tail(text string, n int) string {
	if len(text) <= n {
		return text
	}
	return "...\n" + text[len(text)-n:]
}

func (p *process) start() {
	p.t.Helper()
	p.cmd = exec.Command(filepath.Join(binaries, p.binary), p.args...)
	p.cmd.Stderr = p.log
	p.cmd.Stdout = p.log
	assert.NilError(p.t, p.cmd.Start())
	p.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(p.cmd, p.exited)
}

func (p *process) running() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

func (p *process) signal(s syscall.Signal) {
	if p.running() {
		_ = p.cmd.Process.Signal(s)
	}
}

// kill sends SIGKILL and waits until the process has exited.
func (p *process) kill() {
	if !p.running() {
		return
	}
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// freeze suspends the process with SIGSTOP until unfreeze is called. It returns
// once all threads have stopped: kill(2) returns as soon as the signal is queued,
// and on a busy machine the process goes on until its thread is scheduled.
func (p *process) freeze() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	poll.WaitOn(p.t, func(poll.LogT) poll.Result {
		if p.stopped() {
			return poll.Success()
		}
		return poll.Continue("%s to stop", p.name)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
}

// stopped reports whether each thread of the process is in the state T, stopped
// by a signal (proc(5)).
func (p *process) stopped() bool {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	assert.NilError(p.t, err)
	for _, thread := range threads {
		stat, err := os.ReadFile(thread)
		if err != nil || !strings.Contains(string(stat), ") T ") {
			return false
		}
	}
	return len(threads) > 0
}

func (p *process) unfreeze() { p.signal(syscall.SIGCONT) }

func (p *process) restart() {
	p.kill()
	p.start()
}

// terminate asks for a graceful shutdown with SIGTERM and returns the exit code.
func (p *process) terminate(within time.Duration) int {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	return p.exitCode(within)
}

// exitCode waits for the exit of the process and returns its code. The test fails
// if the process runs for longer than within.
func (p *process) exitCode(within time.Duration) int {
	p.t.Helper()
	select {
	case <-p.exited:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(within):
		p.t.Fatalf("%s has not exited within %s", p.name, within)
		return -1
	}
}
