package proxy

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"lovageslip/fault"
	pb "lovageslip/gen/lovageslip/v1"
)

// teamUpstream is an upstream in virtual time that accepts connections of teams.
type teamUpstream struct {
	mu          sync.Mutex
	open, dials int
	cap         int // connections that it accepts
	unreachable bool
	slowTeam    string        // whose dials lose a packet
	closeDelay  time.Duration // until a closed connection no longer counts
}

type teamConn struct {
	u    *teamUpstream
	team string
	dead bool
}

const teamDialTime = 20 * time.Millisecond

func (u *teamUpstream) Dial(_ context.Context, _ *pb.SiteUpstream, team string) (Conn, error) {
	time.Sleep(teamDialTime)
	if team == u.slowTeam {
		time.Sleep(dialTimeout - 2*teamDialTime)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case u.unreachable:
		return nil, &fault.IO{Op: "dial", Err: context.DeadlineExceeded}
	case u.open >= u.cap:
		return nil, &DialRefused{Upstream: "u", Code: CodeTooManyConnections}
	}
	u.open++
	u.dials++
	return &teamConn{u: u, team: team}, nil
}

func (c *teamConn) Exchange(time.Time, ...Command) ([]Answer, error) { return nil, nil }
func (c *teamConn) Alive() bool                                      { return !c.dead }

func (c *teamConn) Close() error {
	time.AfterFunc(c.u.closeDelay, func() {
		c.u.mu.Lock()
		defer c.u.mu.Unlock()
		c.u.open--
	})
	return nil
}

// inVirtualTime runs a test with a pool in virtual time and checks afterwards that
// the pool's counts are those of its connections.
func inVirtualTime(t *testing.T, limit int, run func(p *pool, u *teamUpstream)) {
	t.Helper()
	boot := now
	defer func() { now = boot }()
	synctest.Test(t, func(t *testing.T) {
		now = time.Now
		u := &teamUpstream{cap: math.MaxInt}
		p := newPool(u, &pb.SiteUpstream{Id: "u"}, connectionQuota{limit: limit, idleTimeout: idleTimeout})
		p.concurrency = unlimitedConcurrency()
		run(p, u)
		p.close()
		time.Sleep(dialTimeout)
		synctest.Wait()
		for name, team := range p.teams {
			counts := *team
			counts.usage = usage{}
			assert.Check(t, team.open+team.idle+team.inFlight+team.dialing+team.waiting == 0, "%s: %+v", name, counts)
		}
		assert.Check(t, p.open+p.inFlight+p.dialing+len(p.waiters) == 0)
	})
}

func mustAcquire(t *testing.T, p *pool, team string) *conn {
	t.Helper()
	c, err := p.acquire(context.Background(), urgency{arrivedAt: now(), target: time.Second}, team, 10*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, c.team.name, team)
	assert.Equal(t, c.Conn.(*teamConn).team, team)
	return c
}

// Guards against a statement on a connection that was opened for another team, and
// against more connections than the quota allows, while connections get lost, dials
// are refused and callers give up.
func TestConnectionServesTheTeamItWasOpenedFor(t *testing.T) {
	for seed := range uint64(20) {
		inVirtualTime(t, 4, func(p *pool, u *teamUpstream) {
			p.concurrency = newConcurrencyLimit()
			u.cap, u.closeDelay = 5, 5*time.Millisecond
			var callers sync.WaitGroup
			for i := range 40 {
				rng := rand.New(rand.NewPCG(seed, uint64(i)))
				callers.Go(func() { sendAtRandom(t, p, rng, fmt.Sprintf("team-%d", i%9)) })
			}
			callers.Wait()
		})
	}
}

func sendAtRandom(t *testing.T, p *pool, rng *rand.Rand, team string) {
	for range 40 {
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
		u := urgency{arrivedAt: now(), target: time.Second}
		c, err := p.acquire(context.Background(), u, team, time.Duration(rng.IntN(400))*time.Millisecond)
		if err != nil {
			continue
		}
		assert.Check(t, c.Conn.(*teamConn).team == team && c.team.name == team)
		sentAt := now()
		time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
		p.mu.Lock()
		assert.Check(t, p.open <= p.quota.limit, "%d connections", p.open)
		p.mu.Unlock()
		switch rng.IntN(12) {
		case 0:
			p.discard(c, sentAt, nil)
		case 1:
			p.suspend(c)
			time.Sleep(50 * time.Millisecond)
			p.resume(c)
			p.discardUnclean(c)
		default:
			p.recordRun(workKind{}, now().Sub(sentAt))
			p.release(c)
		}
		p.closeIdle()
	}
}

// Guards against a team that waits in vain while all connections are idle for
// others, and against one that loses the connection that it uses most.
func TestFullPoolClosesTheLeastUsefulConnection(t *testing.T) {
	inVirtualTime(t, 3, func(p *pool, u *teamUpstream) {
		for _, team := range []string{"often", "often", "often", "seldom", "seldom", "rare"} {
			p.release(mustAcquire(t, p, team))
		}
		begun := now()
		p.release(mustAcquire(t, p, "new"))
		assert.Equal(t, now().Sub(begun), teamDialTime)
		assert.Equal(t, p.open, 3)
		assert.Equal(t, p.teams["rare"].open, 0)
		assert.Equal(t, u.dials, 4)
	})
}

// Guards against the loss of small teams' connections, and against connections of a
// burst that use up the upstream's limit, among idle ones.
func TestOneIdleConnectionOfEachTeamIsKept(t *testing.T) {
	inVirtualTime(t, 16, func(p *pool, _ *teamUpstream) {
		var used []*conn
		for _, team := range []string{"a", "b", "c"} {
			used = append(used, mustAcquire(t, p, team))
		}
		time.Sleep(startPeriod) // A new pool opens connections one by one.
		var burst sync.WaitGroup
		for range 3 {
			burst.Go(func() {
				c := mustAcquire(t, p, "a")
				time.Sleep(time.Millisecond)
				p.release(c)
			})
		}
		burst.Wait()
		for _, c := range used {
			p.release(c)
		}
		assert.Equal(t, len(p.idle), 5, "one of the burst waits for a connection in use")
		time.Sleep(surplusIdleTimeout)
		p.closeIdle()
		assert.Equal(t, len(p.idle), 3)
		time.Sleep(idleTimeout)
		p.closeIdle()
		assert.Equal(t, len(p.idle), 0)
	})
	inVirtualTime(t, 16, func(p *pool, _ *teamUpstream) {
		for i := range 16 {
			p.release(mustAcquire(t, p, fmt.Sprint(i)))
		}
		time.Sleep(surplusIdleTimeout)
		p.closeIdle()
		assert.Equal(t, len(p.idle), 14, "no room for connections that are opened after a loss of power")
	})
}

// Guards against a wait until the time-out when the upstream refuses the connection
// that replaces a closed one, because it still counts that one.
func TestDialThatIsRefusedAfterACloseIsRepeated(t *testing.T) {
	inVirtualTime(t, 2, func(p *pool, u *teamUpstream) {
		u.cap, u.closeDelay = 2, 100*time.Millisecond
		p.release(mustAcquire(t, p, "a"))
		p.release(mustAcquire(t, p, "b"))
		begun := now()
		p.release(mustAcquire(t, p, "c"))
		assert.Assert(t, now().Sub(begun) < 300*time.Millisecond, "waited %v", now().Sub(begun))
		assert.Equal(t, p.open, 2)
	})
}

// Guards against a team without connections that waits for those of other teams while
// the upstream can't be reached.
func TestUnreachableUpstreamFailsTheTeamThatDialed(t *testing.T) {
	inVirtualTime(t, 4, func(p *pool, u *teamUpstream) {
		c := mustAcquire(t, p, "a")
		u.unreachable = true
		_, err := p.acquire(context.Background(), highestUrgency(), "b", time.Second)
		var io *fault.IO
		assert.Assert(t, errors.As(err, &io), "%v", err)
		p.release(c)
	})
}

// Guards against a statement of a team without connections that waits until its time is
// over, because the dial that it had to wait for has failed and nothing else happens.
func TestFailedDialEndsTheWaitOfOtherTeams(t *testing.T) {
	inVirtualTime(t, 4, func(p *pool, u *teamUpstream) {
		p.release(mustAcquire(t, p, "a"))
		time.Sleep(startInterval)
		u.unreachable, u.slowTeam = true, "b"
		begun := now()
		var waiting sync.WaitGroup
		for _, team := range []string{"b", "c"} {
			synctest.Wait() // The first one dials.
			waiting.Go(func() {
				_, err := p.acquire(context.Background(), highestUrgency(), team, 5*time.Second)
				var io *fault.IO
				assert.Check(t, errors.As(err, &io), "%v", err)
			})
		}
		waiting.Wait()
		assert.Assert(t, now().Sub(begun) <= dialTimeout, "waited %v", now().Sub(begun))
	})
}

// Guards against a dial that takes long and keeps less urgent statements of all other
// teams waiting, because room is left for its statement.
func TestSlowDialOfOneTeamDoesNotStopTheOthers(t *testing.T) {
	inVirtualTime(t, 4, func(p *pool, u *teamUpstream) {
		p.release(mustAcquire(t, p, "a"))
		p.concurrency = concurrencyLimit{limit: 1, fixed: true}
		u.slowTeam = "slow"
		var slow sync.WaitGroup
		slow.Go(func() { p.release(mustAcquire(t, p, "slow")) })
		time.Sleep(2 * dialReserve)
		begun := now()
		lessUrgent := urgency{arrivedAt: begun, target: time.Second, priority: 1}
		c, err := p.acquire(context.Background(), lessUrgent, "a", 10*time.Second)
		assert.NilError(t, err)
		p.release(c)
		assert.Check(t, now().Sub(begun) <= dialReserve, "waited %v", now().Sub(begun))
		slow.Wait()
	})
}

// Guards against own commands that open connections, and so take those of teams.
func TestOwnCommandsUseTheConnectionOfAnyTeam(t *testing.T) {
	inVirtualTime(t, 1, func(p *pool, u *teamUpstream) {
		p.release(mustAcquire(t, p, "a"))
		c, err := p.acquireForOwnCommand(context.Background(), highestUrgency(), time.Second)
		assert.NilError(t, err)
		p.release(c)
		assert.Equal(t, u.dials, 1)
	})
}

// zipfLoad is what one pool gets of a site whose teams differ in size.
type zipfLoad struct {
	teams     int
	perSecond float64
	limit     int // connections
	// transactions is the share of operations with four statements.
	transactions float64
}

// manyTeams is the size at which connections are scarcest for teams: what a relay
// gets for one upstream.
var manyTeams = zipfLoad{teams: 78, perSecond: 5, limit: 21}

const zipfSkew = 1.2

// team picks a team, the first ones most often.
func (l zipfLoad) team(rng *rand.Rand) int {
	total := 0.0
	for k := 1; k <= l.teams; k++ {
		total += math.Pow(float64(k), -zipfSkew)
	}
	at := rng.Float64() * total
	for k := 1; ; k++ {
		if at -= math.Pow(float64(k), -zipfSkew); at < 0 || k == l.teams {
			return k - 1
		}
	}
}

// opened sends 20,000 operations at random times and returns how many connections
// were opened for 1,000 statements.
func (l zipfLoad) opened(t *testing.T) (perThousand float64) {
	inVirtualTime(t, l.limit, func(p *pool, u *teamUpstream) {
		rng := rand.New(rand.NewPCG(7, 7))
		var callers sync.WaitGroup
		statements := 0
		for range 20_000 {
			time.Sleep(time.Duration(rng.ExpFloat64() / l.perSecond * float64(time.Second)))
			p.closeIdle()
			team, n := fmt.Sprint(l.team(rng)), 1
			if rng.Float64() < l.transactions {
				n = 4
			}
			statements += n
			callers.Go(func() {
				c := mustAcquire(t, p, team)
				time.Sleep(time.Duration(n) * 30 * time.Millisecond)
				p.recordRun(workKind{}, 30*time.Millisecond)
				p.release(c)
			})
		}
		callers.Wait()
		perThousand = float64(u.dials) * 1000 / float64(statements)
	})
	return perThousand
}

// Guards against a new connection for each change of team, where an upstream has far
// fewer connections than teams. No choice of 21 of the 78 teams opens less than 176
// for 1,000 single statements, which is what the others send.
func TestFewConnectionsForManyTeams(t *testing.T) {
	single, mixed := manyTeams, manyTeams
	mixed.transactions = 0.25
	openedForSingle, openedForMixed := single.opened(t), mixed.opened(t)
	t.Logf("connections for 1,000 statements: %.0f, with a quarter transactions %.0f", openedForSingle, openedForMixed)
	assert.Check(t, openedForSingle <= 230)
	assert.Check(t, openedForMixed <= 150)
}

// Guards against proxies that dial for themselves and close the connection of one
// team for another's all the time, on a site with a handful of connections for each
// proxy, and against relays where they are not needed.
func TestSmallSiteWithTeamsUsesRelays(t *testing.T) {
	const proxies, dataCentres, connections, teams = 15, 3, 71, 20
	assert.Equal(t, needRelays(connections, proxies, teams), true)
	assert.Equal(t, needRelays(connections, proxies, 3), false)
	assert.Equal(t, needRelays(connections, proxies, 0), false)
	relay := zipfLoad{teams: teams, perSecond: 5, limit: relayQuota(connections, dataCentres).limit}
	alone := zipfLoad{teams: teams, perSecond: relay.perSecond * dataCentres / proxies, limit: equalQuota(connections, proxies).limit}
	throughRelay, direct := relay.opened(t), alone.opened(t)
	t.Logf("connections for 1,000 statements: %.0f through a relay, %.0f from each proxy", throughRelay, direct)
	assert.Check(t, throughRelay*4 < direct)
}
