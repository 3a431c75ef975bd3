package control_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"lovageslip/fault"
	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/member"
	"lovageslip/upstream"
)

// fakeDatabases holds fake database servers by address. It is their Dialer and
// the health source of their owners.
type fakeDatabases struct {
	mu               sync.Mutex
	servers          map[string]*upstream.Status
	unreachableSince time.Time
	unreachable      string
}

func (d *fakeDatabases) Dial(_ context.Context, address, _ string) (upstream.Conn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if address == d.unreachable {
		return nil, &fault.NotRun{Reason: fault.ReasonUpstreamUnavailable}
	}
	return &databaseConn{databases: d, address: address}, nil
}

// Health reports on all servers, as an owner of them would.
func (d *fakeDatabases) Health() []*pb.UpstreamHealth {
	d.mu.Lock()
	defer d.mu.Unlock()
	var health []*pb.UpstreamHealth
	for address, s := range d.servers {
		h := &pb.UpstreamHealth{Upstream: "u" + address[len(address)-1:], Reachable: address != d.unreachable, Primary: s.Role == upstream.RolePrimary, Term: uint64(s.Term)}
		if !h.Reachable {
			h.UnreachableMicros = time.Since(d.unreachableSince).Microseconds()
		}
		health = append(health, h)
	}
	return health
}

type databaseConn struct {
	upstream.Conn // nil; the control leader calls only the methods below
	databases     *fakeDatabases
	address       string
}

func (c *databaseConn) Close() error { return nil }

func (c *databaseConn) update(edit func(*upstream.Status)) (upstream.Status, error) {
	c.databases.mu.Lock()
	defer c.databases.mu.Unlock()
	edit(c.databases.servers[c.address])
	return *c.databases.servers[c.address], nil
}

func (c *databaseConn) Status(context.Context) (upstream.Status, error) {
	return c.update(func(*upstream.Status) {})
}

func (c *databaseConn) Fence(_ context.Context, term upstream.Term) (upstream.Status, error) {
	return c.update(func(s *upstream.Status) { s.FencedTerm = term })
}

func (c *databaseConn) Promote(_ context.Context, term upstream.Term) (upstream.Status, error) {
	return c.update(func(s *upstream.Status) { s.Role, s.Term = upstream.RolePrimary, term })
}

func (c *databaseConn) Follow(_ context.Context, term upstream.Term, _ string) (upstream.Status, error) {
	return c.update(func(s *upstream.Status) { s.Role, s.Term = upstream.RoleReplica, term })
}

// Guards the path from the loss of a primary to its replacement: the owner
// reports the primary as unreachable, the leader changes the primary, and every
// proxy's view names the new one.
func TestLostPrimaryIsReplacedInTheViewsOfProxies(t *testing.T) {
	databases := &fakeDatabases{servers: map[string]*upstream.Status{}}
	for _, address := range []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"} {
		databases.servers[address] = &upstream.Status{Term: 4, FencedTerm: 4, History: upstream.History{{Term: 4}}}
	}
	databases.servers["127.0.0.1:1"].Role = upstream.RolePrimary
	c := startCluster(t, 3, shortTiming, databases)
	awaitLeader(t, c.nodes[0])
	agents := []*member.Agent{
		startAgentWith(t, "p1", "luzon", databases, c.nodes[1].address),
		startAgentWith(t, "p2", "luzon", databases, c.nodes[2].address),
	}
	for address := range databases.servers {
		a := announcement("u"+address[len(address)-1:], "luzon")
		a.Address = address
		c.nodes[2].announce(t, a)
	}
	waitFor(t, "adoption and owners", func() bool {
		f := c.nodes[0].state.Frame()
		return f.Groups["shop"].GetPrimary() == "u1" && len(f.OwnedBy("p1"))+len(f.OwnedBy("p2")) == len(databases.servers)
	})
	databases.mu.Lock()
	databases.unreachable, databases.unreachableSince = "127.0.0.1:1", time.Now()
	databases.mu.Unlock()
	for _, agent := range agents {
		waitFor(t, "new primary", func() bool {
			g := agent.View().Groups["shop"]
			return g.Term == 5 && g.Primary != "" && g.Primary != "u1"
		})
	}
	t.Logf("new primary in all views after %s", time.Since(databases.unreachableSince))
}
