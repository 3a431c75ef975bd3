package proxy

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	pb "lovageslip/gen/lovageslip/v1"
)

// sharedUpstream is an upstream in virtual time that serves statements in the order of
// their arrival and accepts a number of connections.
type sharedUpstream struct {
	slots chan struct{}
	work  time.Duration // mean of a statement
	limit int

	mu            sync.Mutex
	open, refused int
	busy          time.Duration // of all slots
}

const (
	sharedOpeningWork = 12 * time.Millisecond
	sharedSlots       = 4
	nearRTT, farRTT   = time.Millisecond, 40 * time.Millisecond
)

func (u *sharedUpstream) run(work time.Duration) {
	u.slots <- struct{}{}
	time.Sleep(work)
	u.mu.Lock()
	u.busy += work
	u.mu.Unlock()
	<-u.slots
}

// link is the way from a relay to the upstream.
type link struct {
	u   *sharedUpstream
	rtt time.Duration
	rng *rand.Rand
	mu  sync.Mutex
}

func (l *link) Dial(context.Context, *pb.SiteUpstream, string) (Conn, error) {
	time.Sleep(l.rtt)
	l.u.mu.Lock()
	full := l.u.open >= l.u.limit
	if full {
		l.u.refused++
	} else {
		l.u.open++
	}
	l.u.mu.Unlock()
	if full {
		return nil, &DialRefused{Upstream: "u", Code: CodeTooManyConnections}
	}
	l.u.run(sharedOpeningWork)
	return &linkConn{l}, nil
}

type linkConn struct{ *link }

func (c *linkConn) Exchange(time.Time, ...Command) ([]Answer, error) {
	c.link.mu.Lock()
	work := time.Duration(c.rng.ExpFloat64() * float64(c.u.work))
	c.link.mu.Unlock()
	time.Sleep(c.rtt / 2)
	c.u.run(work)
	time.Sleep(c.rtt / 2)
	return []Answer{{State: StateIdle}}, nil
}

func (c *linkConn) Alive() bool { return true }

func (c *linkConn) Close() error {
	c.u.mu.Lock()
	defer c.u.mu.Unlock()
	c.u.open--
	return nil
}

// sharingRelay is the load of a relay. Its callers choose again after queueTimeout, as
// reads do, and give up after 4 s.
type sharingRelay struct {
	rtt       time.Duration
	perSecond float64
	share     int // of the connections
	// resting is how many transactions keep a connection without using it.
	resting int
	// startAt is when the relay opens its first connection.
	startAt time.Duration
}

// sharingResult is what the callers of a relay got.
type sharingResult struct {
	arrived, served, noTurn int
	waits                   []time.Duration
}

func (r *sharingResult) p99() time.Duration {
	slices.Sort(r.waits)
	return r.waits[len(r.waits)*99/100]
}

const (
	sharingPeriod = 10 * time.Second
	// sharingTarget is the time in which the callers' operations should end.
	sharingTarget = time.Second
	usualWork     = 8 * time.Millisecond
)

// playSharing plays relays that share an upstream, and returns what each got and which
// part of the slots' time was used, also for opening connections.
func playSharing(t *testing.T, u *sharedUpstream, relays []sharingRelay, borrow bool) (results []sharingResult, used float64) {
	t.Helper()
	boot := now
	defer func() { now = boot }()
	results = make([]sharingResult, len(relays))
	synctest.Test(t, func(*testing.T) {
		now = time.Now
		u.slots = make(chan struct{}, sharedSlots)
		start := now()
		var ended sync.WaitGroup
		for i, r := range relays {
			ended.Go(func() { results[i] = r.play(u, start, uint64(i), borrow) })
		}
		ended.Wait()
		time.Sleep(dialTimeout) // dials that are under way end
		used = u.busy.Seconds() / sharingPeriod.Seconds() / sharedSlots
	})
	return results, used
}

func (r *sharingRelay) play(u *sharedUpstream, start time.Time, seed uint64, borrow bool) sharingResult {
	time.Sleep(r.startAt)
	l := &link{u: u, rtt: r.rtt, rng: rand.New(rand.NewPCG(7, seed))}
	quota := connectionQuota{limit: r.share, idleTimeout: idleTimeout}
	if borrow {
		quota.borrowable = r.share
	}
	pl := newPool(l, &pb.SiteUpstream{Id: "u"}, quota)
	pl.pacer.createdAt = start.Add(-startPeriod)
	for range r.resting {
		if c, err := pl.acquire(context.Background(), highestUrgency(), "", time.Second); err == nil {
			pl.suspend(c)
		}
	}
	var mu sync.Mutex
	var result sharingResult
	var callers sync.WaitGroup
	arrivals := rand.New(rand.NewPCG(11, seed))
	for end := start.Add(sharingPeriod); now().Before(end); {
		time.Sleep(time.Duration(arrivals.ExpFloat64() / r.perSecond * float64(time.Second)))
		pl.closeIdle()
		result.arrived++
		callers.Go(func() {
			arrived := now()
			served, noTurn := callThrough(pl, arrived)
			waited := now().Sub(arrived)
			mu.Lock()
			defer mu.Unlock()
			result.noTurn += noTurn
			result.waits = append(result.waits, waited)
			if served {
				result.served++
			}
		})
	}
	callers.Wait()
	pl.close()
	return result
}

// callThrough runs one statement. It reports whether it ran within 4 s, and how often it
// got no connection in time.
func callThrough(pl *pool, arrived time.Time) (served bool, noTurn int) {
	u := urgency{arrivedAt: arrived, target: sharingTarget, expected: 10 * time.Millisecond}
	for now().Sub(arrived) < 4*time.Second {
		c, err := pl.acquire(context.Background(), u, "", queueTimeout)
		if err != nil {
			noTurn++
			time.Sleep(jitter(busyBackoff))
			continue
		}
		sentAt := now()
		_, _ = c.Exchange(time.Time{})
		pl.recordRun(workKind{}, now().Sub(sentAt))
		pl.release(c)
		return true, noTurn
	}
	return false, noTurn
}

// relaysOfSixDataCentres returns the relays of data centres that share 42 connections. The
// first two are near the upstream.
func relaysOfSixDataCentres(perSecond float64) []sharingRelay {
	return relaysOf(6, 7, perSecond)
}

// relaysOf returns the relays of data centres, a third of which are near the upstream.
func relaysOf(dataCentres, share int, perSecond float64) []sharingRelay {
	list := make([]sharingRelay, dataCentres)
	for i := range list {
		list[i] = sharingRelay{rtt: farRTT, perSecond: perSecond, share: share}
		if i < dataCentres/3 {
			list[i].rtt = nearRTT
		}
	}
	return list
}

// sharingPatterns name the loads under which relays share the connections of an upstream
// of four slots. Together they are below its capacity, about 500 statements a second.
var sharingPatterns = []struct {
	name   string
	relays func() []sharingRelay
}{
	{name: "one of two at its peak", relays: func() []sharingRelay {
		return []sharingRelay{{rtt: nearRTT, perSecond: 20, share: 7}, {rtt: farRTT, perSecond: 200, share: 7}}
	}},
	{name: "one of six at its peak", relays: func() []sharingRelay {
		r := relaysOfSixDataCentres(25)
		r[2].perSecond = 200
		return r
	}},
	{name: "one of 24 at its peak", relays: func() []sharingRelay {
		r := relaysOf(24, 4, 8)
		r[20].perSecond = 110
		return r
	}},
	{name: "two at their peaks", relays: func() []sharingRelay {
		r := relaysOfSixDataCentres(20)
		r[2].perSecond, r[4].perSecond = 150, 150
		return r
	}},
	{name: "transactions rest on the whole share", relays: func() []sharingRelay {
		r := relaysOfSixDataCentres(60)
		r[0].resting = 7
		return r
	}},
	{name: "a host slowed five times", relays: func() []sharingRelay {
		r := relaysOfSixDataCentres(32)
		r[3].rtt = 5 * farRTT
		return r
	}},
	{name: "two start late", relays: func() []sharingRelay {
		r := relaysOfSixDataCentres(65)
		r[1].startAt, r[4].startAt = time.Second, time.Second
		return r
	}},
}

// Guards against a data centre whose callers wait for connections while those of the
// others are unused and the upstream has free slots: each relay kept to an equal share.
func TestRelayAtItsPeakUsesWhatOthersLeave(t *testing.T) {
	for _, p := range sharingPatterns {
		t.Run(p.name, func(t *testing.T) {
			playBelowCapacity(t, p.relays(), usualWork, false)
			notServed, slowest := playBelowCapacity(t, p.relays(), usualWork, true)
			assert.Check(t, notServed == 0, "%d statements were not served", notServed)
			assert.Check(t, slowest < sharingTarget, "p99 of a data centre is %v", slowest)
		})
	}
}

// Guards against an upstream whose slots idle because its statements take six times as
// long as usual, which looks like a queue, while a relay far away sends it one at a time.
func TestSlowUpstreamServesFarRelays(t *testing.T) {
	relays := relaysOfSixDataCentres(5)
	relays[2].perSecond = 25
	notServed, slowest := playBelowCapacity(t, relays, 6*usualWork, true)
	assert.Check(t, notServed == 0, "%d statements were not served", notServed)
	assert.Check(t, slowest < sharingTarget, "p99 of a data centre is %v", slowest)
}

// playBelowCapacity plays a load that an upstream can serve. It returns how many
// statements were not served, and the highest 99th percentile of the wait of a data centre.
func playBelowCapacity(t *testing.T, relays []sharingRelay, work time.Duration, borrow bool) (notServed int, slowest time.Duration) {
	t.Helper()
	u := &sharedUpstream{work: work, limit: reservedConnections}
	for _, r := range relays {
		u.limit += r.share
	}
	results, used := playSharing(t, u, relays, borrow)
	noTurn := 0
	for _, r := range results {
		notServed, noTurn = notServed+r.arrived-r.served, noTurn+r.noTurn
		slowest = max(slowest, r.p99())
	}
	t.Logf("borrowing %v: not served %d, no turn %d, highest p99 of a data centre %v, slots used %.2f, dials refused %d",
		borrow, notServed, noTurn, slowest.Round(time.Millisecond), used, u.refused)
	return notServed, slowest
}

// Guards against relays that take turns from each other when all demand more than the
// upstream can do.
func TestRelaysGetEqualPartsOfAnUpstreamThatIsFull(t *testing.T) {
	u := &sharedUpstream{work: usualWork, limit: 46}
	results, used := playSharing(t, u, relaysOfSixDataCentres(100), true)
	var sum, squares float64
	for _, r := range results {
		sum, squares = sum+float64(r.served), squares+float64(r.served)*float64(r.served)
	}
	jain := sum * sum / squares / float64(len(results))
	t.Logf("Jain's index %.3f, slots used %.2f, dials refused %d", jain, used, u.refused)
	assert.Check(t, jain > 0.95, "Jain's index is %.3f", jain)
	for i, r := range results {
		t.Logf("data centre %d: %d of %d, no turn %d, p99 %v", i, r.served, r.arrived, r.noTurn, r.p99().Round(time.Millisecond))
		assert.Check(t, float64(r.served) > 0.75*sum/float64(len(results)), "data centre %d got %d of %.0f", i, r.served, sum)
	}
}
