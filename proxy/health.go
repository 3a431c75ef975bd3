package proxy

import (
	"context"
	"errors"
	"math"
	"time"

	"lovageslip/upstream"
)

const (
	// firstServiceTime is assumed before an upstream has answered anything.
	firstServiceTime = 20 * time.Millisecond
	// serviceTimeWeight is the weight of one answer in the estimate.
	serviceTimeWeight = 0.15
	// leastDrift lets the least time of an answer grow by this part with
	// each answer, so that a path that has become longer is learned within
	// some hundred answers.
	leastDrift = 200
	// queueTolerance is how much longer than the least time statements may
	// take on average before fewer are sent; the model earned most with it
	// of 40, 60, 90 and 130 ms. An upstream's queue is served in the order
	// of arrival, so what waits there can't be passed by urgent work.
	queueTolerance = 40 * time.Millisecond
	// forgetHalfLife makes the proxy try an upstream again that was slow.
	forgetHalfLife = time.Second
	// backoffMin and backoffMax bound how long an upstream is left alone
	// after a failure. The first is a round trip between regions.
	backoffMin = 50 * time.Millisecond
	backoffMax = 500 * time.Millisecond
	// laggingMin and laggingMax bound how long an upstream that lacked a
	// position is left alone. The first is the lag of a replica on a good
	// day, the second a third of the ages that operators ask for.
	laggingMin = 50 * time.Millisecond
	laggingMax = 400 * time.Millisecond
	// openTime is the time that opening a connection adds to a statement.
	// Upstreams take 12 ms, and round trips of up to 40 ms come on top. It
	// counts where connections are scarce; elsewhere they stay open.
	openTime = 30 * time.Millisecond
)

func (p *pool) dialFailedLocked(err error) {
	var refused *DialRefused
	if errors.As(err, &refused) && refused.Code != CodeWrongUpstream {
		// It is alive, but has no connection or slot to spare.
		p.backoffTill = now().Add(backoffMin)
		return
	}
	p.failedLocked()
}

// failedLocked notes a failure that says nothing good about the upstream.
func (p *pool) failedLocked() {
	if p.failures == 0 {
		p.failedSince = now()
	}
	pause := min(backoffMin<<min(p.failures, 5), backoffMax)
	p.failures++
	p.backoffTill = now().Add(pause)
}

// crowded reports that even one statement of each proxy is too much for the
// upstream.
func (p *pool) crowded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.allowance.limit < 1
}

// answered notes an answer to something that needs no slot, or to a statement
// that did not run. Its time says nothing of how busy the upstream is.
func (p *pool) answered(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answeredLocked(now(), took)
}

func (p *pool) answeredLocked(at time.Time, took time.Duration) {
	p.failures, p.backoffTill = 0, time.Time{}
	p.answeredAt = at
	if p.least == 0 || took < p.least {
		p.least = took
	}
	p.least += p.least / leastDrift
}

// succeeded notes the answer to a statement that ran and its time.
func (p *pool) succeeded(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := now()
	p.answeredLocked(at, took)
	ms := float64(took) / float64(time.Millisecond)
	p.serviceTime += serviceTimeWeight * (ms - p.serviceTime)
	p.usedAt = at
	if queue := p.serviceTime - float64(p.least)/float64(time.Millisecond); queue > float64(queueTolerance)/float64(time.Millisecond) {
		p.allowance.delayed(at)
		return
	}
	p.allowance.succeeded(p.inFlight)
}

// noteAnswer notes the answer to a statement.
func (p *pool) noteAnswer(code Code, took time.Duration) {
	if code.NotRun() {
		p.answered(took)
		return
	}
	p.succeeded(took)
}

// busy notes that the upstream had no room for a statement.
func (p *pool) busy(pause time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := now()
	p.backoffTill = at.Add(pause)
	p.allowance.refused(at)
}

// lagging notes that the upstream lacked a position and what it held instead.
// The longer it lacks positions, the longer it is not asked for more than that.
func (p *pool) lagging(held upstream.Position) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held = held
	at := now()
	if at.Before(p.laggingTill) {
		return
	}
	p.laggingPause = min(max(2*p.laggingPause, laggingMin), laggingMax)
	p.laggingTill = at.Add(p.laggingPause)
}

// caughtUp notes that the upstream held a position that a read needed.
func (p *pool) caughtUp() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.laggingPause, p.laggingTill = 0, time.Time{}
}

// estimate is what the proxy expects of one more statement.
type estimate struct {
	// wait is the expected time until the answer.
	wait time.Duration
	// backsOff is set after a refusal, and from a failure until the next
	// answer; behind if the upstream is likely to lack the position that the
	// statement needs.
	backsOff, behind bool
}

// estimate is for a statement that needs a position; zero for none.
func (p *pool) estimate(after upstream.Position) estimate {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := now()
	forgotten := math.Exp2(-float64(at.Sub(p.usedAt)) / float64(forgetHalfLife))
	service := p.serviceTime * max(forgotten, 0.1)
	service *= 1 + float64(p.inFlight+len(p.waiters))/p.allowance.limit
	wait := time.Duration(service * float64(time.Millisecond))
	if len(p.idle) == 0 && p.share.scarce {
		wait += openTime
	}
	return estimate{
		wait:     wait,
		backsOff: p.failures > 0 || at.Before(p.backoffTill),
		behind:   at.Before(p.laggingTill) && p.held.Before(after),
	}
}

const (
	// stalledAfter is how long a primary that has work may answer nothing
	// before it is checked. Few statements take as long, and the check
	// costs the upstream no slot but that of the connection.
	stalledAfter = 300 * time.Millisecond
	checkTimeout = 300 * time.Millisecond
)

// checkDue reports whether the upstream should be checked now, and notes that it
// will be. A primary that has stalled is to be missed soon, and any upstream that
// failed gets no statement before it has answered a check: a statement would wait
// for as long as a connection to a dark host may take.
func (p *pool) checkDue(primary bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := now()
	stalled := primary && p.inFlight > 0 && at.Sub(p.answeredAt) >= stalledAfter
	failed := p.failures > 0 && !at.Before(p.backoffTill)
	if p.checking || p.closed || !(stalled || failed) {
		return false
	}
	p.checking = true
	return true
}

// check finds out whether the upstream answers on a new connection, which is kept
// if there is room for it.
func (p *pool) check(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	p.mu.Lock()
	u := p.record
	p.mu.Unlock()
	begunAt := now()
	opened, err := p.dialer.Dial(ctx, u)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.checking = false
	if err != nil {
		p.dialFailedLocked(err)
		return
	}
	p.answeredLocked(now(), since(begunAt))
	p.open++
	c := p.newConn(opened)
	if p.closed || p.open > p.share.limit {
		p.closeLocked(c)
		return
	}
	p.idleLocked(c)
	p.grantLocked()
}

// sinceAnswer returns the time since the upstream last answered.
func (p *pool) sinceAnswer() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return since(p.answeredAt)
}

// unreachableFor returns how long nothing but failures came from the upstream.
func (p *pool) unreachableFor() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failures == 0 {
		return 0
	}
	return since(p.failedSince)
}
