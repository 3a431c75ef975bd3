package failover_test

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"lovageslip/controlstate"
	"lovageslip/failover"
	"lovageslip/fault"
	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/upstream"
)

// fakeServer is a database server in memory. The mutex of its fakeNet guards it.
type fakeServer struct {
	name, address string
	down          bool
	role          upstream.Role
	term, fenced  upstream.Term
	offset        upstream.Offset
	history       upstream.History
	follows       string
	// loseAnswers makes the next calls of a kind take effect and fail.
	loseAnswers map[string]int
}

// fakeNet is a group of fake servers.
type fakeNet struct {
	mu      sync.Mutex
	servers map[string]*fakeServer
	// primariesByTerm records the names of the servers that were primary of
	// each term.
	primariesByTerm map[upstream.Term]map[string]bool
}

// crash makes a control leader fail at an interaction, a call to a server or a
// proposal. after counts down to that interaction; effect says whether it still
// takes effect.
type crash struct {
	mu     sync.Mutex
	after  int
	effect bool
	dead   bool
}

// step counts an interaction. It returns whether the interaction takes effect and
// whether the leader receives the answer.
func (c *crash) step() (effect, answered bool) {
	if c == nil {
		return true, true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead {
		return false, false
	}
	c.after--
	if c.after > 0 {
		return true, true
	}
	c.dead = true
	return c.effect, false
}

func (c *crash) alive() bool {
	if c == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.dead
}

// newNet returns a group whose first server is the primary of term 1.
func newNet(names ...string) *fakeNet {
	n := &fakeNet{servers: map[string]*fakeServer{}, primariesByTerm: map[upstream.Term]map[string]bool{}}
	for i, name := range names {
		s := &fakeServer{
			name: name, address: "127.0.0.1:" + name, role: upstream.RoleReplica, term: 1, fenced: 1,
			history: upstream.History{{Term: 1}}, loseAnswers: map[string]int{},
		}
		n.servers[name] = s
		if i == 0 {
			n.makePrimary(s)
		}
	}
	for _, s := range n.servers {
		s.follows = "127.0.0.1:" + names[0]
	}
	return n
}

func (n *fakeNet) makePrimary(s *fakeServer) {
	s.role = upstream.RolePrimary
	if n.primariesByTerm[s.term] == nil {
		n.primariesByTerm[s.term] = map[string]bool{}
	}
	n.primariesByTerm[s.term][s.name] = true
}

func (n *fakeNet) edit(name string, change func(*fakeServer)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(n.servers[name])
}

func (n *fakeNet) get(name string) fakeServer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return *n.servers[name]
}

// write adds entries at the primary and copies them to the named replicas.
func (n *fakeNet) write(primary string, count int, replicas ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.servers[primary]
	p.offset += upstream.Offset(count)
	for _, name := range replicas {
		n.pull(n.servers[name], p)
	}
}

// catchUp copies everything to all replicas that follow the primary.
func (n *fakeNet) catchUp() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, s := range n.servers {
		for _, p := range n.servers {
			if p.role == upstream.RolePrimary && p.address == s.follows && p.term == s.term && !p.down {
				n.pull(s, p)
			}
		}
	}
}

func (n *fakeNet) pull(s, p *fakeServer) {
	if s == p || s.role == upstream.RolePrimary || s.fenced > p.term {
		return
	}
	s.offset, s.history = p.offset, slices.Clone(p.history)
}

// fakeDialer is the Dialer of one leader, which may crash.
type fakeDialer struct {
	net   *fakeNet
	crash *crash
}

func (d *fakeDialer) Dial(_ context.Context, address, _ string) (upstream.Conn, error) {
	d.net.mu.Lock()
	defer d.net.mu.Unlock()
	for _, s := range d.net.servers {
		if s.address == address && !s.down {
			return &fakeConn{net: d.net, server: s, crash: d.crash}, nil
		}
	}
	return nil, &fault.NotRun{Reason: fault.ReasonUpstreamUnavailable}
}

type fakeConn struct {
	upstream.Conn // calls that a control leader never makes
	net           *fakeNet
	server        *fakeServer
	crash         *crash
}

func (c *fakeConn) Close() error { return nil }

func (c *fakeConn) do(kind string, act func(*fakeServer) error) (upstream.Status, error) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	lost := &fault.IO{Op: kind, Err: context.DeadlineExceeded}
	if c.server.down {
		return upstream.Status{}, lost
	}
	effect, answered := true, true
	if kind != "status" {
		effect, answered = c.crash.step()
	}
	if !effect {
		return upstream.Status{}, lost
	}
	if err := act(c.server); err != nil {
		return upstream.Status{}, err
	}
	if c.server.loseAnswers[kind] > 0 {
		c.server.loseAnswers[kind]--
		answered = false
	}
	if !answered {
		return upstream.Status{}, lost
	}
	s := c.server
	return upstream.Status{
		Role: s.role, Term: s.term, Offset: s.offset, FencedTerm: s.fenced, History: slices.Clone(s.history),
	}, nil
}

func (c *fakeConn) Status(context.Context) (upstream.Status, error) {
	return c.do("status", func(*fakeServer) error { return nil })
}

func refused() error { return &fault.Database{Code: "55L01", Message: "term too low"} }

func (c *fakeConn) Fence(_ context.Context, term upstream.Term) (upstream.Status, error) {
	return c.do("fence", func(s *fakeServer) error {
		if term < s.fenced {
			return refused()
		}
		s.fenced = term
		return nil
	})
}

func (c *fakeConn) Promote(_ context.Context, term upstream.Term) (upstream.Status, error) {
	return c.do("promote", func(s *fakeServer) error {
		if term < s.fenced {
			return refused()
		}
		if s.role == upstream.RolePrimary && s.term == term {
			return nil
		}
		s.term, s.fenced = term, term
		s.history = append(slices.Clone(s.history), upstream.TermStart{Term: term, Start: s.offset})
		c.net.makePrimary(s)
		return nil
	})
}

func (c *fakeConn) Follow(_ context.Context, term upstream.Term, address string) (upstream.Status, error) {
	return c.do("follow", func(s *fakeServer) error {
		if term < s.fenced || (s.role == upstream.RolePrimary && s.term == term) {
			return refused()
		}
		s.role, s.term, s.fenced, s.follows = upstream.RoleReplica, term, term, address
		return nil
	})
}

// fakeJournal is the Journal of one leader on a state that leaders share.
type fakeJournal struct {
	state *controlstate.State
	term  uint64
	crash *crash

	mu      sync.Mutex
	reports map[string]failover.Report
	logged  int
	dropped []string
}

func newJournal(state *controlstate.State, term uint64, c *crash) *fakeJournal {
	j := &fakeJournal{state: state, term: term, crash: c, reports: map[string]failover.Report{}}
	apply(state, &pb.Command{LeaderTerm: term, Command: &pb.Command_LeaderStarted{LeaderStarted: &pb.LeaderStarted{}}})
	return j
}

func apply(state *controlstate.State, cmd *pb.Command) *pb.CommandResult {
	data, _ := proto.Marshal(cmd)
	return controlstate.DecodeResult(state.Apply(0, data))
}

func (j *fakeJournal) Leading() bool { return j.crash.alive() }

func (j *fakeJournal) Frame() *controlstate.Frame { return j.state.Frame() }

func (j *fakeJournal) Propose(_ context.Context, cmd *pb.Command) (bool, error) {
	effect, answered := j.crash.step()
	lost := &fault.OutcomeUnknown{Reason: fault.ReasonOutcomeUnknown}
	if !effect {
		return false, lost
	}
	cmd.LeaderTerm = j.term
	result := apply(j.state, cmd)
	j.mu.Lock()
	j.logged++
	j.mu.Unlock()
	if !answered {
		return false, lost
	}
	return result.GetApplied(), nil
}

func (j *fakeJournal) Report(name string) (failover.Report, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r, ok := j.reports[name]
	return r, ok
}

// reportAll stores new reports on all servers in their present state.
func (j *fakeJournal) reportAll(n *fakeNet, contactAge time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	j.mu.Lock()
	defer j.mu.Unlock()
	for name, s := range n.servers {
		j.reports[name] = failover.Report{
			At: time.Now(), Reachable: !s.down, Unreachable: 2 * time.Second,
			Primary: s.role == upstream.RolePrimary, Term: s.term, Offset: s.offset, PrimaryContactAge: contactAge,
		}
	}
}

// DropOwner implements failover.Journal; it records the name.
func (j *fakeJournal) DropOwner(name string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.dropped = append(j.dropped, name)
}
