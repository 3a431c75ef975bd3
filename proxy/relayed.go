package proxy

import (
	"context"
	"errors"
	"time"

	"github.com/sourcegraph/conc"

	pb "lovageslip/gen/lovageslip/v1"
)

// Relays leads to upstreams through other proxies of the same data centre. Where
// an upstream accepts too few connections for each proxy to keep its own, one
// proxy of each data centre relays the commands of the others. Package relay
// implements it. It is safe for concurrent use.
type Relays interface {
	// SetPeers replaces the list of proxies that may be relays.
	SetPeers(peers []*pb.RelayHost)
	// HasRelay reports whether another proxy is the relay for an upstream. If
	// not, this proxy is the relay.
	HasRelay(upstreamID string) bool
	// IsSubstitute reports whether this proxy is the relay for an upstream only as
	// long as others are avoided. These go on relaying for other proxies.
	IsSubstitute(upstreamID string) bool
	// Dial opens a virtual connection. The upstream's own errors follow with
	// the first Exchange, as CodeNoConnection and CodeUnreachable. The error
	// of a connection whose relay fails is *RelayLost.
	Dial(ctx context.Context, u *pb.SiteUpstream, team string) (Conn, error)
	// Check asks the relay whether it reaches an upstream. It fails if the
	// relay itself does not answer, which is then not used for a while. If the
	// upstream is unreachable, failedFor tells for how long.
	Check(ctx context.Context, u *pb.SiteUpstream) (r Reachability, failedFor time.Duration, err error)
	// Avoid makes another proxy the relay for an upstream for a while.
	Avoid(upstreamID string)
	// FindRelay asks some other proxies whether they reach an upstream that
	// neither the relay nor this proxy reaches. If one does, it becomes the relay
	// for a while.
	FindRelay(ctx context.Context, u *pb.SiteUpstream) bool
	// DialDirectly opens a connection to the upstream itself.
	DialDirectly(ctx context.Context, u *pb.SiteUpstream) (Conn, error)
}

// RelayLost reports that a relay failed or was cut off while it ran a command. It
// tells nothing about the upstream.
type RelayLost struct {
	Relay string
	Err   error
}

func (e *RelayLost) Error() string {
	return "relay " + e.Relay + " was lost: " + e.Err.Error()
}

func (e *RelayLost) Unwrap() error { return e.Err }

// Reachability is what a proxy knows of its connections to an upstream.
type Reachability int

// Values of Reachability.
const (
	ReachabilityUnknown Reachability = iota
	Reachable
	Unreachable
)

// Turn places the commands of an operation in the queue of a relay.
type Turn struct {
	// Waited is how long the caller's operation has waited so far, and Target
	// the time in which it should end.
	Waited, Target time.Duration
	// Priority is that of the route; 0 is the highest.
	Priority uint32
	// Expected is how long such operations take.
	Expected time.Duration
	// MaxWait is how long the commands may wait for a connection.
	MaxWait time.Duration
	// Team is the team whose connections may run the commands; empty for those
	// that are opened in the proxy's own name.
	Team string
}

// turnTaker is a Conn whose commands wait for a connection elsewhere.
type turnTaker interface {
	// TakeTurn sets the turn of the next commands.
	TakeTurn(Turn)
}

func (c *conn) takeTurn(u urgency, want wanted, maxWait time.Duration) {
	taker, ok := c.Conn.(turnTaker)
	if !ok {
		return
	}
	if !want.any {
		c.passToTeam(want.team)
	}
	turn := Turn{Target: u.target, Priority: u.priority, Expected: u.expected, MaxWait: maxWait, Team: want.team}
	if !u.arrivedAt.IsZero() {
		turn.Waited = now().Sub(u.arrivedAt)
	}
	taker.TakeTurn(turn)
}

// passToTeam prepares a virtual connection for a session of a team. What another
// team has set or prepared is reset.
func (c *conn) passToTeam(team string) {
	if c.sessionTeam == team {
		return
	}
	c.sessionTeam = team
	c.stale = c.stale || len(c.values) > 0 || len(c.prepared) > 0
}

func (t Turn) urgency() urgency {
	return urgency{arrivedAt: now().Add(-t.Waited), target: t.Target, priority: t.Priority, expected: t.Expected}
}

// checkThroughRelay finds out whether the upstream is reachable. A relay that says
// that it is not may itself be cut off, or not know the upstream's process yet, for
// which it has no time of a failure. The upstream counts as unreachable at once, but
// this proxy then tries to connect itself.
func (p *pool) checkThroughRelay(ctx context.Context, u *pb.SiteUpstream) {
	reachability, failedFor, err := p.relays.Check(ctx, u)
	reached := err == nil && reachability == Reachable
	if err == nil && reachability == Unreachable {
		p.recordFailedFor(failedFor)
	}
	if err == nil && reachability == Unreachable && max(failedFor, p.unreachableFor()) >= searchAfter {
		reached, err = p.lookAround(u)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.checking = false
	var lost *RelayLost
	switch {
	case reached:
		p.failures, p.backoffUntil = 0, time.Time{}
		p.lastAnswerAt = now()
	case err != nil && !errors.As(err, &lost):
		p.recordDialFailureLocked(err, p.open-p.dialing)
	}
}

// lookAround finds out whether this proxy or another one reaches an upstream that the
// relay does not reach. Both are tried at once, because a host that is cut off doesn't
// answer until the timeout.
func (p *pool) lookAround(u *pb.SiteUpstream) (reached bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	var others conc.WaitGroup
	found := false
	others.Go(func() { found = p.relays.FindRelay(ctx, u) })
	err = p.tryDirectly(ctx, u)
	others.Wait()
	switch {
	case found:
		return true, nil
	case err != nil:
		return false, err
	}
	p.relays.Avoid(u.Id)
	return true, nil
}

// recordFailedFor records a failure that began some time ago.
func (p *pool) recordFailedFor(failedFor time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := p.failures == 0
	p.recordFailureLocked()
	if first {
		p.failedSince = now().Add(-failedFor)
	}
}

// tryDirectly opens a connection to the upstream, to find out whether this proxy reaches
// it.
func (p *pool) tryDirectly(ctx context.Context, u *pb.SiteUpstream) error {
	c, err := p.relays.DialDirectly(ctx, u)
	if err == nil {
		// Nothing was sent on the connection, so an error of Close loses nothing.
		_ = c.Close()
	}
	if noRoom(err) {
		return nil
	}
	return err
}
