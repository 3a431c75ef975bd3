package standin

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"

	"lovageslip/upstream"
)

// failoverGroup is a group of servers whose primary is replaced while writers run.
type failoverGroup struct {
	servers []*Server
	primary atomic.Pointer[Server]
	lastID  atomic.Int64
	stopped atomic.Bool
	mu      sync.Mutex
	// confirmed lists the ids of rows that a majority of the servers held
	// under one term. mu guards it.
	confirmed []int64
}

// write inserts rows into the current primary and records those that a second
// server has replicated as confirmed, as the owner of a primary does.
func (g *failoverGroup) write(ctx context.Context) {
	for !g.stopped.Load() {
		server := g.primary.Load()
		conn, err := pgconn.Connect(ctx, "postgres://u@"+server.Address()+"/db")
		if err != nil {
			continue
		}
		for g.writeRow(ctx, server, conn) && !g.stopped.Load() {
		}
		conn.Close(ctx)
	}
}

func (g *failoverGroup) writeRow(ctx context.Context, server *Server, conn *pgconn.PgConn) bool {
	id := g.lastID.Add(1)
	before := server.Status()
	_, err := conn.ExecParams(ctx, "INSERT INTO v VALUES ($1::int8)", [][]byte{appendText(nil, id, oidInt8)}, nil, nil, nil).Close()
	if err != nil {
		return false
	}
	after := server.Status()
	if before.Role != upstream.RolePrimary || after.Role != upstream.RolePrimary || before.Term != after.Term {
		// The position may belong to another primary's log.
		return false
	}
	position := after.Position()
	for range 50 {
		if g.isReplicated(server, position) {
			g.mu.Lock()
			g.confirmed = append(g.confirmed, id)
			g.mu.Unlock()
			return true
		}
		time.Sleep(time.Millisecond)
	}
	return false
}

func (g *failoverGroup) isReplicated(writer *Server, p upstream.Position) bool {
	for _, s := range g.servers {
		status := s.Status()
		if s != writer && status.Term == p.Term && status.FencedTerm == p.Term && status.Includes(p) {
			return true
		}
	}
	return false
}

// failOver makes another server the primary of term: it fences all servers but the
// old primary, promotes the one with the most recent log and makes the others
// follow it.
func (g *failoverGroup) failOver(t *testing.T, term int) {
	t.Helper()
	oldPrimary := g.primary.Load()
	var chosen *Server
	for _, s := range g.servers {
		if s == oldPrimary {
			continue
		}
		callServerFunction(t, s, "fence(%d)", term)
		if chosen == nil || logIsAhead(s.Status(), chosen.Status()) {
			chosen = s
		}
	}
	callServerFunction(t, chosen, "promote(%d)", term)
	g.primary.Store(chosen)
	for _, s := range g.servers {
		if s != chosen {
			callServerFunction(t, s, "follow(%d, '%s')", term, chosen.Address())
		}
	}
}

// logIsAhead reports whether a's log ends after b's, by the last term in its
// history, then by offset.
func logIsAhead(a, b upstream.Status) bool {
	last := func(s upstream.Status) upstream.Position {
		return upstream.Position{Term: s.History[len(s.History)-1].Term, Offset: s.Offset}
	}
	return last(b).Before(last(a))
}

// Guards against a failover that loses confirmed rows, and against servers whose
// logs differ after it.
func TestConfirmedRowsSurviveFailover(t *testing.T) {
	g := &failoverGroup{servers: startGroup(t, 2, Options{})}
	g.primary.Store(g.servers[0])
	run(t, dial(t, g.servers[0]), "CREATE TABLE v (id INTEGER PRIMARY KEY)")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var writers sync.WaitGroup
	for range 4 {
		writers.Go(func() { g.write(ctx) })
	}
	for term := 2; term < 12; term++ {
		before := g.confirmedCount()
		eventually(t, "rows confirmed", func() bool { return g.confirmedCount() > before+20 })
		g.failOver(t, term)
	}
	g.stopped.Store(true)
	writers.Wait()
	end := g.primary.Load().Status()
	for _, s := range g.servers {
		eventually(t, "server has the new primary's log", func() bool {
			status := s.Status()
			return status.Includes(end.Position()) && status.Offset == end.Offset
		})
		assert.DeepEqual(t, s.Status().History, end.History)
		conn := dial(t, s)
		for _, id := range g.confirmed {
			assert.Equal(t, value[int64](t, conn, "SELECT count(*) FROM v WHERE id = $1", id), int64(1), "row %d", id)
		}
	}
}

func (g *failoverGroup) confirmedCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.confirmed)
}
