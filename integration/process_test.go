package integration

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// binaries holds the daemons that TestMain builds.
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

// process is a daemon that a test started.
type process struct {
	t      testing.TB
	name   string
	binary string
	args   []string
	log    *syncBuffer
	cmd    *exec.Cmd
	exited chan struct{}
}

// syncBuffer collects the log of a process.
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

// newProcess prepares a daemon; its log is printed if the test fails.
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

// kill ends the process at once and waits until it has gone.
func (p *process) kill() {
	if !p.running() {
		return
	}
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// freeze stops the process from running; thaw lets it go on.
func (p *process) freeze() { p.signal(syscall.SIGSTOP) }

func (p *process) thaw() { p.signal(syscall.SIGCONT) }

func (p *process) restart() {
	p.kill()
	p.start()
}

// terminate asks for a graceful shutdown and returns the exit code.
func (p *process) terminate(within time.Duration) int {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	return p.exitCode(within)
}

// exitCode waits for the end of the process.
func (p *process) exitCode(within time.Duration) int {
	p.t.Helper()
	select {
	case <-p.exited:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(within):
		p.t.Fatalf("%s has not ended within %s", p.name, within)
		return -1
	}
}
