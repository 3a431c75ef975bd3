package relay

import (
	"sync"
	"time"

	"connectrpc.com/connect"

	"lovageslip/bootclock"
	"lovageslip/quota"
	"lovageslip/site"
)

const (
	// maxSiteCounters is how many control hosts are asked for a team.
	maxSiteCounters = 2
	// siteCounterAvoidance is how long a control host that did not answer is not
	// asked again. An election or a restart takes about as long.
	siteCounterAvoidance = 2 * time.Second
	// cutOffPart is the part of a data centre's share that its counter admits
	// while it reaches no control host, which go on granting the whole limit to
	// the others.
	cutOffPart = 0.6
	// lateCutOffPart is that part after cutOffPatience. With cutOffPart for as long as a
	// key may be used without a confirmation, a team that sends many times its
	// limit on both sides of a cut passes it by more than the tolerance. By then
	// most callers have turned to proxies that are not cut off.
	lateCutOffPart = 0.2
	cutOffPatience = 3 * time.Second
)

// AskSite asks the control host at an address to grant operations of a team.
type AskSite func(address, team string, operations int, substitute bool) (granted int, retryAfter time.Duration, err error)

// siteCounters are the control hosts as counters of the limits of teams. The counter of
// a team in a data centre gets operations from one of them, chosen by rendezvous
// hashing of the team's name. It is safe for concurrent use.
type siteCounters struct {
	ask AskSite

	// mu guards the fields below.
	mu         sync.Mutex
	avoidUntil map[string]time.Time // by address
	reserves   map[string]*teamReserve
	// cutOffSince is when the first request after the last answer had none; zero
	// while control hosts answer.
	cutOffSince time.Time
}

// teamReserve is the reserve of one team.
type teamReserve struct {
	// asking is held while a control host is asked.
	asking sync.Mutex

	// mu guards the fields below.
	mu      sync.Mutex
	reserve quota.Reserve
	// missing is how many operations wait for asking. The next request is for all of
	// them: one for each of many proxies would take longer than these wait.
	missing int
}

func newSiteCounters(ask AskSite) *siteCounters {
	return &siteCounters{ask: ask, avoidUntil: make(map[string]time.Time), reserves: make(map[string]*teamReserve)}
}

// admit takes operations of a team from its reserve, and fills that if they are missing.
// It reports false if no control host answers for those that the reserve did not hold.
func (c *siteCounters) admit(addresses []string, team string, n int) (v verdict, ok bool) {
	r := c.reserveOf(team)
	v, done := r.take(n)
	if done {
		return v, true
	}
	missing := n - v.admitted
	r.addMissing(missing)
	r.asking.Lock()
	defer r.asking.Unlock()
	defer r.addMissing(-missing)
	more, done := r.take(missing)
	v = verdict{v.admitted + more.admitted, more.retryAfter}
	if done {
		return v, true
	}
	more, ok = c.fill(r, addresses, team, n-v.admitted)
	return verdict{v.admitted + more.admitted, more.retryAfter}, ok
}

// addMissing counts operations that wait until a control host is asked.
func (r *teamReserve) addMissing(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.missing += n
}

// take takes up to n operations. It reports whether no more need to be asked for.
func (r *teamReserve) take(n int) (v verdict, done bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.takeLocked(n)
}

// grant adds what a control host granted and takes n operations of it. Both happen
// under one lock: operations that arrive meanwhile would otherwise use up what was
// asked for these, which would be refused below the team's limit.
func (r *teamReserve) grant(askedAt time.Time, wanted, granted int, retryAfter time.Duration, n int) (v verdict, done bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reserve.Grant(askedAt, bootclock.Now(), wanted, granted, retryAfter)
	return r.takeLocked(n)
}

// takeLocked is take for callers that hold r.mu.
func (r *teamReserve) takeLocked(n int) (v verdict, done bool) {
	taken, refused, retryAfter := r.reserve.Take(bootclock.Now(), n)
	return verdict{taken, retryAfter}, refused || taken == n
}

// fill asks for the operations that are missing and takes n of those that are granted. It
// reports false if no control host has answered.
func (c *siteCounters) fill(r *teamReserve, addresses []string, team string, n int) (v verdict, ok bool) {
	r.mu.Lock()
	want := r.reserve.Want(bootclock.Now(), r.missing)
	r.mu.Unlock()
	ranked := quota.RankCounters(addresses, team)
	for i, address := range ranked {
		askedAt := bootclock.Now()
		if i >= maxSiteCounters || !c.usable(address, askedAt) {
			continue
		}
		granted, retryAfter, err := c.ask(address, team, want, i > 0)
		if err != nil {
			c.recordFailure(address, err)
			continue
		}
		c.recordAnswers(true)
		v, _ = r.grant(askedAt, want, granted, retryAfter, n)
		return v, true
	}
	c.recordAnswers(false)
	return verdict{}, false
}

// recordAnswers records whether any control host has answered.
func (c *siteCounters) recordAnswers(answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case answered:
		c.cutOffSince = time.Time{}
	case c.cutOffSince.IsZero():
		c.cutOffSince = bootclock.Now()
	}
}

// partWithoutControl returns the part of the data centre's share that is admitted while no
// control host answers.
func (c *siteCounters) partWithoutControl() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.cutOffSince.IsZero() && bootclock.Since(c.cutOffSince) >= cutOffPatience {
		return lateCutOffPart
	}
	return cutOffPart
}

func (c *siteCounters) usable(address string, at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !at.Before(c.avoidUntil[address])
}

// recordFailure makes a control host not be asked for a while, unless it only lacks
// the team so far.
func (c *siteCounters) recordFailure(address string, err error) {
	if connect.CodeOf(err) == connect.CodeNotFound {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoidUntil[address] = bootclock.Now().Add(siteCounterAvoidance)
}

func (c *siteCounters) reserveOf(team string) *teamReserve {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.reserves[team]
	if !ok {
		r = &teamReserve{}
		c.reserves[team] = r
	}
	return r
}

// countForDataCentre counts operations of a team here for the data centre: out of the
// team's limit for the whole site or, while no control host answers, of the data
// centre's share.
func (l *Limits) countForDataCentre(team *site.Team, operations int) (admitted int, retryAfter time.Duration) {
	defer func() { l.recordCount(admitted, operations) }()
	if l.site == nil {
		return l.count(team, operations, 1)
	}
	v, ok := l.site.admit(l.options.View().ControlHosts, team.Name, operations)
	if ok {
		return v.admitted, v.retryAfter
	}
	l.metrics.Counter("decided_without_control_total").Inc(1)
	rest, retryAfter := l.count(team, operations-v.admitted, l.site.partWithoutControl())
	return v.admitted + rest, retryAfter
}
