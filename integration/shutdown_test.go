package integration

import (
	"context"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"
)

const (
	shutdownCode = "57P01"
	// secondSignalExit is the exit code after a second signal.
	secondSignalExit = 130
)

// Guards against a shutdown that cuts off requests or transactions, leaves idle
// callers hanging, or disturbs callers of other proxies.
func TestShutdownUnderLoadInterruptsNothing(t *testing.T) {
	s := startSite(t, siteOptions{controls: 3, proxies: 3, service: 2 * time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), setUpTimeout)
	defer cancel()
	primary, _ := s.primary()
	victim := s.ownerOf(primary)
	writers, stop := s.runWriters(3, false)
	for _, r := range writers {
		s.awaitMore(r, 5)
	}
	idle := s.connect(victim, "filing")
	// A transaction that has not written does not stop the writers.
	inside := s.connect(victim, "filing")
	other := s.connect(s.otherProxy(victim), "filing")
	assert.NilError(t, run(ctx, inside, "BEGIN", "SELECT 1"))
	assert.NilError(t, run(ctx, other, "BEGIN", "SELECT 1"))
	s.proxies[victim].signal(syscall.SIGTERM)
	var ended error
	s.await("the end of the idle connection", func(ctx context.Context) error {
		if ended = run(ctx, idle, "SELECT 1"); ended == nil {
			return fmt.Errorf("still served")
		}
		return nil
	})
	assert.Equal(t, sqlState(ended), shutdownCode, "idle caller: %v", ended)
	for i := range 20 {
		// inside entered through the proxy, other uses an upstream that it owns.
		assert.NilError(t, run(ctx, inside, "SELECT 1"), "statement %d", i)
		assert.NilError(t, run(ctx, other, "SELECT 1"), "statement %d", i)
	}
	assert.Assert(t, s.proxies[victim].running(), "ended with transactions open")
	assert.NilError(t, run(ctx, inside, "INSERT INTO entries (note) VALUES ('inside')", "COMMIT"))
	assert.NilError(t, run(ctx, other, "INSERT INTO entries (note) VALUES ('other')", "COMMIT"))
	assert.Equal(t, s.proxies[victim].exitCode(setUpTimeout), 0, "exit code")
	for i, r := range writers {
		if i/3 != victim {
			s.awaitMore(r, 20)
		}
	}
	stop()
	s.assertOnlyRefused(victim, writers)
	found := s.entries(s.otherProxy(victim))
	assert.Equal(t, found["inside"]+found["other"], 2, "a transaction that was committed is missing")
	s.assertEachOnce(s.otherProxy(victim), writers...)
}

// assertOnlyRefused checks that callers saw no error but refusals. Callers of
// the proxy that has ended may see their idle connection end; what they had
// just sent must not have run.
func (s *site) assertOnlyRefused(victim int, writers []*record) {
	s.t.Helper()
	found := s.entries(s.otherProxy(victim))
	for i, r := range writers {
		if i/3 != victim {
			assert.Equal(s.t, len(r.unknown), 0, "caller of proxy-%d: %v", i/3+1, r.failures)
			continue
		}
		for _, err := range r.failures {
			code := sqlState(err)
			assert.Check(s.t, code == shutdownCode || code == "", "caller of the ended proxy: %v", err)
		}
		for id := range r.unknown {
			assert.Check(s.t, found[fmt.Sprintf("entry-%d", id)] == 0, "entry-%d ran but its answer was cut off: %v", id, r.failures)
		}
	}
}

// Guards against a shutdown that cannot be hurried.
func TestSecondSignalEndsShutdownAtOnce(t *testing.T) {
	s := startSite(t, siteOptions{controls: 1, proxies: 1})
	ctx := context.Background()
	conn := s.connect(0, "filing")
	assert.NilError(t, run(ctx, conn, "BEGIN", "SELECT 1"))
	p := s.proxies[0]
	p.signal(syscall.SIGTERM)
	s.await("the shutdown to start", func(context.Context) error {
		if !strings.Contains(p.log.String(), "shutdown started") {
			return fmt.Errorf("not logged yet")
		}
		return nil
	})
	assert.NilError(t, run(ctx, conn, "SELECT 1"))
	began := time.Now()
	// The deadline of the settings is 20 s.
	assert.Equal(t, p.terminate(10*time.Second), secondSignalExit, "exit code")
	t.Logf("ended %s after the second signal", time.Since(began))
}

// run executes statements one after the other.
func run(ctx context.Context, conn *pgx.Conn, statements ...string) error {
	for _, sql := range statements {
		if _, err := conn.Exec(ctx, sql); err != nil {
			return err
		}
	}
	return nil
}
