package proxy

import (
	"context"
	"errors"
	"math"
	"time"

	"lovageslip/balance"
	"lovageslip/upstream"
)

const (
	// initialServiceTime is the estimate for an upstream that has not
	// answered any statement yet.
	initialServiceTime = 20 * time.Millisecond
	// serviceTimeWeight is the weight of one answer in the moving average of
	// the service time.
	serviceTimeWeight = 0.15
	// maxAnswerTimeWeight keeps one long statement from looking like a slow
	// upstream.
	maxAnswerTimeWeight = 0.5
	// minRTTDrift makes the minimum round-trip time grow by 1/200 with each
	// answer, so that a path that has become longer is learned within some
	// hundred answers.
	minRTTDrift = 200
	// maxQueueDelay is how much longer than the minimum round-trip time
	// statements may take on average before the concurrency limit is lowered,
	// where the usual time of such work isn't known: a relay knows the commands
	// of others only. An upstream serves its queue in the order of arrival, so
	// urgent statements can't pass those that wait there. With 60, 90 and
	// 130 ms, the load model in the tests has a lower score: operations within
	// their target count in full, late ones in part.
	maxQueueDelay = 40 * time.Millisecond
	// serviceTimeHalfLife is the half-life of the service time of an unused
	// upstream, so that one that was slow is tried again.
	serviceTimeHalfLife = time.Second
	// backoffMin and backoffMax bound the backoff after a failure of an
	// upstream. The minimum is the round-trip time between regions.
	backoffMin = 50 * time.Millisecond
	backoffMax = 500 * time.Millisecond
	// connectTime is the time that opening a connection adds to a
	// statement: 12 ms at the upstream and round trips of up to 40 ms. It
	// is counted only where connections are scarce; elsewhere they stay
	// open.
	connectTime = 30 * time.Millisecond
)

// noRoom reports whether an upstream has answered a dial, but had no free connection or
// slot.
func noRoom(err error) bool {
	var refused *DialRefused
	return errors.As(err, &refused) && refused.Code != CodeWrongUpstream
}

// recordDialFailureLocked records a failed dial of a pool, or of a team in it, that has
// so many connections open.
func (p *pool) recordDialFailureLocked(err error, open int) {
	if noRoom(err) {
		// The upstream is reachable but has no free connection or slot.
		p.upstreamMetrics.countOutcome(CodeTooManyConnections)
		p.lastAnswerAt = now()
		p.backoffUntil = now().Add(backoffMin)
		p.pacer.onRefusal(now(), open)
		p.returnAllBorrowedLocked(now())
		return
	}
	p.recordFailureLocked()
}

// recordFailureLocked records that the upstream did not answer, or is not the
// expected one, and backs off from it.
func (p *pool) recordFailureLocked() {
	if p.failures == 0 {
		p.failedSince = now()
	}
	pause := min(backoffMin<<min(p.failures, 5), backoffMax)
	p.failures++
	// What was known before tells nothing of the upstream once it is back.
	p.relayLoad = relayLoad{}
	p.backoffUntil = now().Add(pause)
}

// saturated reports whether even one statement of each proxy is too much for the
// upstream.
func (p *pool) saturated() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.concurrency.limit < 1
}

// recordCommand records the answer to a command that needs no slot.
func (p *pool) recordCommand(code Code, took time.Duration) {
	if code != CodeNone {
		p.upstreamMetrics.countOutcome(code)
	}
	if code.fromUpstream() {
		p.recordAnswer(took)
	}
}

// recordUnreachable records that a relay could not connect to the upstream. Only
// checks extend a backoff, so that none is delayed by statements.
func (p *pool) recordUnreachable() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failures == 0 {
		p.recordFailureLocked()
	}
}

// recordNotGranted records that a statement has waited at the relay in vain for so
// long, so that other upstreams are chosen for the next reads.
func (p *pool) recordNotGranted(waited time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := now()
	p.addAnswerTimeLocked(at, p.answerTime+waited)
	p.lastRunAt = at
	ms := p.serviceTime + float64(waited)/float64(time.Millisecond)
	p.serviceTime += serviceTimeWeight * (ms - p.serviceTime)
}

// recordAnswer records the answer to a command that needs no slot, or to a
// statement that did not run. Its time does not depend on the upstream's load.
func (p *pool) recordAnswer(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordAnswerLocked(now(), took)
}

func (p *pool) recordAnswerLocked(at time.Time, took time.Duration) {
	p.failures, p.backoffUntil = 0, time.Time{}
	p.lastAnswerAt = at
	if p.minRTT == 0 || took < p.minRTT {
		p.minRTT = took
	}
	p.minRTT += p.minRTT / minRTTDrift
}

// recordRun records the answer to a statement of a kind that ran and how long it took.
func (p *pool) recordRun(kind workKind, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := now()
	p.recordAnswerLocked(at, took)
	ms := float64(took) / float64(time.Millisecond)
	p.serviceTime += serviceTimeWeight * (ms - p.serviceTime)
	p.addAnswerTimeLocked(at, took)
	p.lastRunAt = at
	switch p.judgeQueueLocked(kind, took) {
	case queueLong:
		p.concurrency.onQueueDelay(at)
		p.yielding.recordQueue(at)
	case queueEmpty:
		p.concurrency.onSuccess(p.inFlight)
	}
}

// addAnswerTimeLocked adds to the moving average by which upstreams are chosen. An answer
// weighs more if the last one came long ago: where many proxies share an upstream, each
// gets few answers.
func (p *pool) addAnswerTimeLocked(at time.Time, took time.Duration) {
	old := 1 - math.Exp2(-float64(ageOf(p.lastRunAt, at))/float64(serviceTimeHalfLife))
	weight := min(max(serviceTimeWeight, old), maxAnswerTimeWeight)
	p.answerTime += time.Duration(weight * float64(took-p.answerTime))
}

// recordStatement records the answer to a statement of a kind, whether it ran or not.
func (p *pool) recordStatement(kind workKind, code Code, took time.Duration) {
	p.upstreamMetrics.countOutcome(code)
	switch {
	case !code.fromUpstream():
	case code.NotRun():
		p.recordAnswer(took)
	default:
		p.recordRun(kind, took)
	}
}

// recordBusy records that the upstream had no room for a statement, and backs off
// from it for the given pause.
func (p *pool) recordBusy(pause time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := now()
	p.backoffUntil = at.Add(pause)
	p.concurrency.onRefusal(at)
}

// estimate is what the proxy expects of an upstream for one more statement.
type estimate struct {
	// wait is the expected time until the answer.
	wait time.Duration
	// backingOff is set for a while after a refusal, and from a failure until
	// the next answer. behind is set if the upstream is likely to lack the
	// position that the statement needs.
	backingOff, behind bool
	// known holds the figures for the choice among upstreams.
	known balance.Candidate
}

// estimate returns the estimate for a statement that needs minPosition; the zero
// position means none.
func (p *pool) estimate(minPosition upstream.Position) estimate {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := now()
	decay := math.Exp2(-float64(at.Sub(p.lastRunAt)) / float64(serviceTimeHalfLife))
	service := p.serviceTime * max(decay, 0.1)
	service *= 1 + float64(p.inFlight+len(p.waiters))/p.concurrency.limit
	wait := time.Duration(service * float64(time.Millisecond))
	known := p.knownLocked(at)
	return estimate{
		wait:       wait + known.Overhead,
		known:      known,
		backingOff: p.failures > 0 || at.Before(p.backoffUntil),
		behind:     p.lag.lacks(minPosition, at),
	}
}

// knownLocked returns what the pool knows of the upstream's load and answer times.
func (p *pool) knownLocked(at time.Time) balance.Candidate {
	c := balance.Candidate{
		AnswerTime:  p.answerTime,
		AnswerAge:   ageOf(p.lastRunAt, at),
		Outstanding: float64(p.inFlight + len(p.waiters)),
		Capacity:    p.concurrency.limit,
		Free:        1,
	}
	if len(p.idle) == 0 && p.quota.scarce {
		c.Overhead = connectTime
	}
	if p.relays != nil {
		p.relayLoad.describe(&c, p.inFlight, at)
	}
	return c
}

// backlogTime returns how long the upstream will be busy with what is known to be there
// or to wait for it.
func (p *pool) backlogTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.knownLocked(now())
	return time.Duration(known.Outstanding / known.Capacity * float64(known.AnswerTime))
}

// ageOf returns how old a figure of a time is; the zero time means that there is none.
func ageOf(t, at time.Time) time.Duration {
	if t.IsZero() {
		return balance.Unknown
	}
	return at.Sub(t)
}

const (
	// stalledAfter is how long a primary with statements in flight may answer
	// nothing before it is checked. Few statements take as long, and a check
	// needs a slot only to open its connection.
	stalledAfter = 300 * time.Millisecond
	checkTimeout = 300 * time.Millisecond
)

// claimCheck reports whether the upstream should be checked now; if so, the
// caller must call check, and no other caller is told to until it returns. A
// stalled primary is checked so that its loss is noticed soon. An upstream that
// failed is checked before it gets statements, which would otherwise wait until
// the dial of an unreachable host times out.
func (p *pool) claimCheck(primary bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := now()
	stalled := primary && p.inFlight > 0 && at.Sub(p.lastAnswerAt) >= stalledAfter
	failed := p.failures > 0 && !at.Before(p.backoffUntil)
	if p.checking || p.closed || !(stalled || failed) {
		return false
	}
	p.checking = true
	return true
}

// check opens a new connection to find out whether the upstream is reachable, and
// records the result. The connection is kept if the quota has room for it.
func (p *pool) check(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	u := p.record()
	if p.relays != nil {
		p.checkThroughRelay(ctx, u)
		return
	}
	begunAt := now()
	opened, err := p.dialer.Dial(ctx, u, "")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.checking = false
	if err != nil {
		p.recordDialFailureLocked(err, p.open-p.dialing)
		return
	}
	p.recordAnswerLocked(now(), since(begunAt))
	own := p.teamLocked("")
	p.open++
	own.open++
	c := p.newConn(opened, own)
	if p.closed || p.open > p.limitLocked() {
		p.closeLocked(c)
		return
	}
	p.putIdleLocked(c)
	p.grantLocked()
}

// sinceAnswer returns the time since the upstream last answered.
func (p *pool) sinceAnswer() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return since(p.lastAnswerAt)
}

// unreachableFor returns the time since the first failure after the upstream's
// last answer; 0 if there was none.
func (p *pool) unreachableFor() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failures == 0 {
		return 0
	}
	return since(p.failedSince)
}
