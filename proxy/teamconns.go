package proxy

import (
	"math"
	"time"
)

const (
	// usageHalfLife is the half-life of the count of a team's statements. It is
	// some times the interval at which a team of middle size sends one to an
	// upstream.
	usageHalfLife = 3 * time.Minute
	// freeShare is the part of a quota, one in so many, that idle connections
	// leave free if several teams share it. When a host loses power, an upstream
	// counts its connections for 3 s more, and the proxy that replaces it finds
	// room in what the other ones leave free.
	freeShare = 8
	// maxTrackedTeams bounds the memory for teams that use an upstream no more.
	maxTrackedTeams = 1024
)

// poolTeam is what a pool knows of one team. Teams share the connections of an
// upstream, but each connection serves the team for which it was opened. The
// empty name is the proxy's own: a site without teams uses no other.
type poolTeam struct {
	name string
	// open counts the team's connections and dials; idle and inFlight count the
	// connections in these states.
	open, idle, inFlight, dialing int
	waiting                       int
	// dialedAt is when the team's last dial began.
	dialedAt time.Time
	usage    usage
	// round is the round of grants to which claimedDials and claimedReleases
	// belong: the dials and the statements in flight that waiters count on.
	round                         uint64
	claimedDials, claimedReleases int
	// ranked is the last count of ranks in which a connection of the team was
	// found; see rankIdleLocked.
	ranked uint64
}

// usage counts uses, each for less the longer ago it was.
type usage struct {
	count   float64
	countAt time.Time
}

func (u *usage) add(at time.Time) { u.count, u.countAt = u.value(at)+1, at }

func (u *usage) value(at time.Time) float64 {
	return u.count * math.Exp2(-float64(at.Sub(u.countAt))/float64(usageHalfLife))
}

// recordUseLocked counts a statement of the connection's team.
func (c *conn) recordUseLocked(at time.Time) {
	c.usage.add(at)
	c.team.usage.add(at)
}

// teamLocked returns the pool's record of a team. Virtual connections serve all
// teams, so a pool of these knows one team only.
func (p *pool) teamLocked(name string) *poolTeam {
	if p.relays != nil {
		name = ""
	}
	t, ok := p.teams[name]
	if !ok {
		p.forgetTeamsLocked()
		t = &poolTeam{name: name}
		p.teams[name] = t
	}
	return t
}

func (p *pool) forgetTeamsLocked() {
	if len(p.teams) < maxTrackedTeams {
		return
	}
	for name, t := range p.teams {
		if t.open == 0 && t.waiting == 0 {
			delete(p.teams, name)
		}
	}
}

// idleRank is an idle connection and how much use of it is expected.
type idleRank struct {
	conn *conn
	// surplus is set if the team has another idle connection that is used first.
	surplus bool
	value   float64
}

// rankIdleLocked returns the idle connections, the most recently used first. The
// first one of a team is worth what the team sends, the others what was sent on
// them.
func (p *pool) rankIdleLocked(at time.Time) []idleRank {
	p.rankings++
	ranks := make([]idleRank, 0, len(p.idle))
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		r := idleRank{conn: c, surplus: c.team.ranked == p.rankings}
		c.team.ranked = p.rankings
		if r.surplus {
			r.value = c.usage.value(at)
		} else {
			r.value = c.team.usage.value(at)
		}
		ranks = append(ranks, r)
	}
	return ranks
}

// leastUsefulIdleLocked returns the idle connection to close for another team, or
// nil if none is idle: that of the least value, and one that no waiting statement
// could use before all others. The order of use alone would close the connections
// of large teams for a row of small ones.
func (p *pool) leastUsefulIdleLocked(at time.Time) *conn {
	var best idleRank
	for _, r := range p.rankIdleLocked(at) {
		if best.conn == nil || r.closesBefore(best) {
			best = r
		}
	}
	return best.conn
}

// closesBefore reports whether r, which was idle for longer, is to be closed
// before other.
func (r idleRank) closesBefore(other idleRank) bool {
	unwanted, otherUnwanted := r.conn.team.waiting == 0, other.conn.team.waiting == 0
	if unwanted != otherUnwanted {
		return unwanted
	}
	return r.value <= other.value
}

// makeRoomLocked closes idle connections until one more may be opened. It reports
// false if too few are idle.
func (p *pool) makeRoomLocked(at time.Time) bool {
	for p.open >= p.limitLocked() {
		c := p.leastUsefulIdleLocked(at)
		if c == nil {
			return false
		}
		p.removeIdleLocked(c)
		p.closeLocked(c)
		p.metrics.Counter("connections_reassigned_total").Inc(1)
	}
	return true
}

// closeIdle closes connections that were unused for a while. One connection of
// each team stays open for longer, as far as the quota has room. The others are
// closed early: when hosts lose power, an upstream goes on counting the
// connections of their proxies against its limit until it has noticed the loss.
func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return
	}
	at := now()
	p.returnBorrowedLocked(at)
	early := p.quota.surplusIdleTimeout()
	excess := -p.maxKeptIdle()
	for _, r := range p.rankIdleLocked(at) {
		maxIdle := p.quota.idleTimeout
		if r.surplus {
			maxIdle = early
		} else {
			excess++
		}
		if at.Sub(r.conn.idleSince) >= maxIdle {
			p.removeIdleLocked(r.conn)
			p.closeLocked(r.conn)
		}
	}
	for ; excess > 0; excess-- {
		c := p.leastUsefulIdleLocked(at)
		if c == nil || at.Sub(c.idleSince) < early {
			return
		}
		p.removeIdleLocked(c)
		p.closeLocked(c)
	}
}

// closeBeyondQuotaLocked closes idle connections that the pool may not have any more:
// other proxies are entitled to them, and an upstream refuses those that would
// exceed its limit.
func (p *pool) closeBeyondQuotaLocked(at time.Time) {
	for p.open > p.limitLocked() && len(p.idle) > 0 {
		c := p.leastUsefulIdleLocked(at)
		p.removeIdleLocked(c)
		p.closeLocked(c)
	}
}

// maxKeptIdle returns how many teams may keep an unused connection.
func (p *pool) maxKeptIdle() int {
	return max(p.quota.limit-max(p.quota.limit/freeShare, 1), 1)
}
