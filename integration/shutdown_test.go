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
	// secondSignalExitCode is the exit code of a daemon that got a second signal
	// during its shutdown.
	secondSignalExitCode = 130
)

// Guards against a shutdown that cuts off requests or transactions, doesn't close
// idle connections, or causes errors for callers of other proxies.
func TestShutdownUnderLoadInterruptsNothing(t *testing.T) {
	s := startSite(t, siteOptions{controls: 3, proxies: 3, serviceTime: 2 * time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), setUpTimeout)
	defer cancel()
	primary, _ := s.primary()
	stopping := s.ownerOf(primary)
	writers, stop := s.runWriters(3, false)
	for _, r := range writers {
		s.awaitMoreAcks(r, 5)
	}
	idle := s.connect(stopping, "filing")
	// The transactions only read, since one that has written would block the
	// writers.
	throughStopping := s.connect(stopping, "filing")
	throughOther := s.connect(s.otherProxy(stopping), "filing")
	assert.NilError(t, run(ctx, throughStopping, "BEGIN", "SELECT 1"))
	assert.NilError(t, run(ctx, throughOther, "BEGIN", "SELECT 1"))
	s.proxies[stopping].signal(syscall.SIGTERM)
	var ended error
	s.await("the end of the idle connection", func(ctx context.Context) error {
		if ended = run(ctx, idle, "SELECT 1"); ended == nil {
			return fmt.Errorf("the idle connection still answers")
		}
		return nil
	})
	assert.Equal(t, sqlState(ended), shutdownCode, "idle caller: %v", ended)
	for i := range 20 {
		// throughStopping is connected to the stopping proxy, throughOther
		// uses an upstream that this proxy owns.
		assert.NilError(t, run(ctx, throughStopping, "SELECT 1"), "statement %d", i)
		assert.NilError(t, run(ctx, throughOther, "SELECT 1"), "statement %d", i)
	}
	assert.Assert(t, s.proxies[stopping].running(), "the proxy exited although transactions were open")
	assert.NilError(t, run(ctx, throughStopping, "INSERT INTO entries (note) VALUES ('inside')", "COMMIT"))
	assert.NilError(t, run(ctx, throughOther, "INSERT INTO entries (note) VALUES ('other')", "COMMIT"))
	assert.Equal(t, s.proxies[stopping].exitCode(setUpTimeout), 0, "exit code")
	for i, r := range writers {
		if i/3 != stopping {
			s.awaitMoreAcks(r, 20)
		}
	}
	stop()
	s.assertOnlyRefused(stopping, writers)
	found := s.entryCounts(s.otherProxy(stopping))
	assert.Equal(t, found["inside"]+found["other"], 2, "a transaction that was committed is missing")
	s.assertExactlyOnce(s.otherProxy(stopping), writers...)
}

// assertOnlyRefused checks that callers of other proxies saw no errors except
// refusals. Callers of the stopped proxy may also have seen their connection
// close; a write that they sent then must not have run.
func (s *site) assertOnlyRefused(stopping int, writers []*record) {
	s.t.Helper()
	found := s.entryCounts(s.otherProxy(stopping))
	for i, r := range writers {
		if i/3 != stopping {
			assert.Equal(s.t, len(r.unknown), 0, "caller of proxy-%d: %v", i/3+1, r.failures)
			continue
		}
		for _, err := range r.failures {
			code := sqlState(err)
			assert.Check(s.t, code == shutdownCode || code == "", "caller of the stopped proxy: %v", err)
		}
		for id := range r.unknown {
			assert.Check(s.t, found[fmt.Sprintf("entry-%d", id)] == 0, "entry-%d ran but its caller got no answer: %v", id, r.failures)
		}
	}
}

// Guards against a shutdown that goes on waiting for open transactions after a
// second signal.
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
	signalled := time.Now()
	// The limit of 10 s is shorter than the shutdown deadline of 20 s in the
	// settings.
	assert.Equal(t, p.terminate(10*time.Second), secondSignalExitCode, "exit code")
	t.Logf("ended %s after the second signal", time.Since(signalled))
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
