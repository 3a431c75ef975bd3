package standin

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovageslip/upstream"
)

// startGroup starts a primary and replicas that follow it, the primary first.
func startGroup(t *testing.T, replicas int, options Options) []*Server {
	t.Helper()
	servers := []*Server{start(t, options)}
	options.Primary = servers[0].Address()
	for range replicas {
		servers = append(servers, start(t, options))
	}
	return servers
}

func waitForPosition(t *testing.T, s *Server, p upstream.Position) {
	t.Helper()
	eventually(t, fmt.Sprintf("server includes %v", p), func() bool { return s.Status().Includes(p) })
}

func callServerFunction(t *testing.T, s *Server, sql string, args ...any) {
	t.Helper()
	run(t, dial(t, s), fmt.Sprintf("SELECT * FROM lovageslip_"+sql, args...))
}

// Guards against replicas that miss entries, apply them before the lag has
// passed, accept writes, or report a data age below the lag.
func TestReplicationWithLag(t *testing.T) {
	const lag = 50 * time.Millisecond
	servers := startGroup(t, 2, Options{Lag: lag})
	primary := dial(t, servers[0])
	began := time.Now()
	run(t, primary, "CREATE TABLE v (id INTEGER PRIMARY KEY, n TEXT)")
	run(t, primary, "INSERT INTO v VALUES ($1, $2)", 1, "a")
	for _, replica := range servers[1:] {
		waitForPosition(t, replica, servers[0].Status().Position())
		assert.Assert(t, time.Since(began) >= lag)
		conn := dial(t, replica)
		assert.Equal(t, value[string](t, conn, "SELECT n FROM v WHERE id = $1", 1), "a")
		expectSQLState(t, conn, "25006", "INSERT INTO v VALUES (2, 'b')")
		assert.Assert(t, replica.Status().DataAge >= lag)
	}
}

// Guards against a replaced primary that keeps entries which the new primary's log
// does not have.
func TestDivergedEntriesAreDiscarded(t *testing.T) {
	servers := startGroup(t, 2, Options{})
	old, chosen, other := servers[0], servers[1], servers[2]
	conn := dial(t, old)
	run(t, conn, "CREATE TABLE v (id INTEGER PRIMARY KEY, n TEXT)")
	kept := old.Status().Position()
	waitForPosition(t, chosen, kept)
	waitForPosition(t, other, kept)
	chosen.SetReplicationBroken(true)
	other.SetReplicationBroken(true)
	run(t, conn, "INSERT INTO v VALUES (1, 'forked')")
	forked := old.Status().Position()
	callServerFunction(t, chosen, "fence(2)")
	callServerFunction(t, chosen, "promote(2)")
	run(t, dial(t, chosen), "INSERT INTO v VALUES (1, 'kept'), (2, 'new')")
	for _, s := range []*Server{old, other} {
		s.SetReplicationBroken(false)
		callServerFunction(t, s, "follow(2, '%s')", chosen.Address())
		waitForPosition(t, s, chosen.Status().Position())
		assert.Equal(t, value[string](t, dial(t, s), "SELECT n FROM v WHERE id = 1"), "kept")
		assert.Assert(t, !s.Status().Includes(forked), "%+v", s.Status())
		assert.Assert(t, s.Status().Includes(kept))
	}
}

// Guards against a fenced server that still applies entries of a lower term,
// commits in it or follows its primary.
func TestFenceStopsLowerTerm(t *testing.T) {
	servers := startGroup(t, 2, Options{})
	conn := dial(t, servers[0])
	run(t, conn, "CREATE TABLE v (id INTEGER PRIMARY KEY)")
	waitForPosition(t, servers[1], servers[0].Status().Position())
	waitForPosition(t, servers[2], servers[0].Status().Position())
	callServerFunction(t, servers[1], "fence(2)")
	fenced := servers[1].Status().Offset
	run(t, conn, "INSERT INTO v VALUES (1)")
	waitForPosition(t, servers[2], servers[0].Status().Position())
	assert.Equal(t, servers[1].Status().Offset, fenced)
	expectSQLState(t, dial(t, servers[1]), "55L01", "SELECT * FROM lovageslip_follow(1, '"+servers[0].Address()+"')")
	expectSQLState(t, dial(t, servers[1]), "55L01", "SELECT * FROM lovageslip_fence(1)")
	run(t, conn, "BEGIN; INSERT INTO v VALUES (2)")
	callServerFunction(t, servers[0], "fence(2)")
	expectSQLState(t, conn, "25006", "COMMIT")
	expectSQLState(t, conn, "25006", "INSERT INTO v VALUES (3)")
	assert.Equal(t, value[int64](t, conn, "SELECT count(*) FROM v"), int64(1))
}

// Guards against a server that loses its log, role or fenced term when it restarts.
func TestRestartKeepsLogAndFencedTerm(t *testing.T) {
	servers := startGroup(t, 1, Options{})
	run(t, dial(t, servers[0]), "CREATE TABLE v (id INTEGER PRIMARY KEY)")
	waitForPosition(t, servers[1], servers[0].Status().Position())
	servers[0].Kill()
	assert.NilError(t, servers[0].Restart())
	conn := dial(t, servers[0])
	run(t, conn, "INSERT INTO v VALUES (1)")
	waitForPosition(t, servers[1], servers[0].Status().Position())
	callServerFunction(t, servers[1], "fence(5)")
	servers[1].Kill()
	assert.NilError(t, servers[1].Restart())
	assert.Equal(t, servers[1].Status().FencedTerm, upstream.Term(5))
}

// Guards against lovageslip_wait returning before the position is reached, or not
// at all.
func TestWaitForPosition(t *testing.T) {
	servers := startGroup(t, 1, Options{})
	conn := dial(t, servers[1])
	run(t, conn, "SELECT * FROM lovageslip_wait(1, 1, 1)")
	assert.Equal(t, servers[1].Status().Offset, upstream.Offset(0))
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = conn.Exec(t.Context(), "SELECT * FROM lovageslip_wait(1, 1, 60000)")
	}()
	run(t, dial(t, servers[0]), "CREATE TABLE v (id INTEGER PRIMARY KEY)")
	<-done
	assert.Equal(t, servers[1].Status().Offset, upstream.Offset(1))
}

// Guards against a data age that doesn't grow while the primary is unreachable.
func TestDataAgeGrowsWithoutPrimary(t *testing.T) {
	servers := startGroup(t, 1, Options{})
	replica := servers[1]
	eventually(t, "replica up to date", func() bool { return replica.Status().DataAge < time.Second })
	servers[0].Kill()
	lost := time.Now()
	eventually(t, "age grows", func() bool { return time.Since(lost) > 200*time.Millisecond })
	assert.Assert(t, replica.Status().DataAge >= 200*time.Millisecond)
	assert.Assert(t, replica.Status().PrimaryContactAge >= 200*time.Millisecond)
}

// Guards against frozen sessions that answer, and against new sessions that
// don't.
func TestFreeze(t *testing.T) {
	server := start(t, Options{})
	frozen := dial(t, server)
	server.Freeze()
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		_, _ = frozen.Exec(t.Context(), "SELECT 1")
	}()
	assert.Equal(t, value[int64](t, dial(t, server), "SELECT 1"), int64(1))
	select {
	case <-answered:
		t.Fatal("a frozen connection answered")
	default:
	}
	server.Unfreeze()
	<-answered
}

// Guards against SET standin.name having no effect: tests control servers in other
// processes by it.
func TestControlBySetting(t *testing.T) {
	servers := startGroup(t, 1, Options{})
	replica := dial(t, servers[1])
	run(t, replica, "SET standin.lag = '50ms'")
	run(t, replica, "SET standin.replication_broken = on")
	run(t, dial(t, servers[0]), "CREATE TABLE v (id INTEGER PRIMARY KEY)")
	run(t, replica, "SELECT * FROM lovageslip_wait(1, 1, 30)")
	assert.Equal(t, servers[1].Status().Offset, upstream.Offset(0))
	run(t, replica, "SET standin.replication_broken = off")
	waitForPosition(t, servers[1], servers[0].Status().Position())
	other := dial(t, servers[1])
	run(t, replica, "SET standin.frozen = on")
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := other.Exec(ctx, "SELECT 1")
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	run(t, replica, "SELECT 1")
	expectSQLState(t, replica, "22023", "SET standin.slots = 'many'")
}
