package proxy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "lovageslip/gen/lovageslip/v1"
)

// Guards against an order in which, while demand exceeds capacity, the backlog
// makes all operations late: in the order of arrival, almost none would end
// within its target.
func TestOverloadPrefersOperationsThatCanMeetTheirTarget(t *testing.T) {
	inTime, fifo := overload(t, mostUrgent), overload(t, func([]urgency, time.Time) int { return 0 })
	t.Logf("ended within the target: %d of 2000, in the order of arrival %d", inTime, fifo)
	// Half of what arrives can be served.
	assert.Assert(t, inTime >= 900, "%d of 1000 possible operations ended within the target", inTime)
	assert.Assert(t, inTime >= 2*fifo, "%d operations ended within the target, %d in the order of arrival", inTime, fifo)
}

// overload sends 2000 operations at twice the rate that one slot can serve, in
// the order that next gives, and counts those that end within their target.
func overload(t *testing.T, next func([]urgency, time.Time) int) int {
	t.Helper()
	const service, target = 20 * time.Millisecond, 500 * time.Millisecond
	start := time.Unix(0, 0)
	var waiting []urgency
	inTime, arrived := 0, 0
	at := start
	for arrived < 2000 || len(waiting) > 0 {
		for arrived < 2000 && !start.Add(time.Duration(arrived)*service/2).After(at) {
			waiting = append(waiting, urgency{arrivedAt: start.Add(time.Duration(arrived) * service / 2), target: target})
			arrived++
		}
		if len(waiting) == 0 {
			at = at.Add(service / 2)
			continue
		}
		i := next(waiting, at)
		served := waiting[i]
		waiting = append(waiting[:i], waiting[i+1:]...)
		at = at.Add(service)
		if at.Sub(served.arrivedAt) <= target {
			inTime++
		}
	}
	return inTime
}

// Guards against a wrong order of waiting statements whose routes differ in
// priority, in the time that they have waited and in their expected time.
func TestOrderOfWaitingStatements(t *testing.T) {
	at := time.Unix(100, 0)
	ago := func(d time.Duration) time.Time { return at.Add(-d) }
	old := urgency{arrivedAt: ago(time.Second), target: time.Second, priority: 1}
	long := urgency{arrivedAt: ago(100 * time.Millisecond), target: time.Second, priority: 2, expected: 60 * time.Millisecond}
	short := urgency{arrivedAt: ago(50 * time.Millisecond), target: time.Second, priority: 2, expected: 10 * time.Millisecond}
	high := urgency{arrivedAt: at, target: time.Second, priority: 1, expected: 60 * time.Millisecond}
	assert.Equal(t, mostUrgent([]urgency{old, long, short, high}, at), 3, "priority first")
	assert.Equal(t, mostUrgent([]urgency{old, long, short}, at), 2, "short work before long work")
	assert.Equal(t, mostUrgent([]urgency{old, long}, at), 1, "late work last")
	waited := long
	waited.arrivedAt = ago(550 * time.Millisecond)
	assert.Equal(t, mostUrgent([]urgency{old, waited, short}, at), 1, "long work gains by waiting")
}

// Guards against many proxies at one upstream whose statements are mostly
// refused, because the concurrency limits do not fall to what the upstream can
// take.
func TestConcurrencyLimitFallsUntilFewAreRefused(t *testing.T) {
	concurrency := newConcurrencyLimit()
	at := time.Unix(0, 0)
	refused := 0
	const room = 2
	for range 1000 {
		at = at.Add(10 * time.Millisecond)
		sent := int(concurrency.limit)
		if sent > room {
			refused += sent - room
			concurrency.onRefusal(at)
		}
		for range min(sent, room) {
			concurrency.onSuccess(sent - 1)
		}
	}
	assert.Assert(t, refused < 500, "%d refusals for 2000 statements that ran", refused)
	assert.Assert(t, concurrency.limit >= minConcurrency)
}

// Guards against urgent statements that lose to many less urgent or late ones
// of other proxies. An upstream that far too many proxies share picks by
// chance, so statements that are sent again sooner are served more often.
func TestUrgentStatementsAreRetriedSooner(t *testing.T) {
	at := time.Unix(100, 0)
	urgent := urgency{arrivedAt: at, target: time.Second, priority: 1}
	plain := urgency{arrivedAt: at, target: time.Second, priority: 2}
	late := urgency{arrivedAt: at.Add(-time.Second), target: time.Second, priority: 1}
	assert.Assert(t, urgent.backoffFactor(at) < plain.backoffFactor(at))
	assert.Assert(t, 3*plain.backoffFactor(at) <= late.backoffFactor(at))
}

// Guards against a hundred proxies that each keep one statement at an upstream
// with five slots: below one, the limit must lengthen the pause between
// statements.
func TestConcurrencyLimitBelowOneLengthensThePause(t *testing.T) {
	concurrency := newConcurrencyLimit()
	at := time.Unix(100, 0)
	for range 40 {
		at = at.Add(minDecreaseInterval)
		concurrency.onRefusal(at)
	}
	assert.Equal(t, concurrency.limit, float64(minConcurrency))
	assert.Assert(t, !concurrency.allows(0, at.Add(minDecreaseInterval)))
	assert.Assert(t, concurrency.allows(0, at.Add(minDecreaseInterval*4)))
	concurrency.onSuccess(0)
	assert.Assert(t, concurrency.allows(0, at), "one success must end the pause")
}

// Guards against a full queue at the upstream while demand exceeds capacity.
// Urgent statements can't pass others there, and each statement of a
// transaction would wait for the whole queue.
func TestQueueAtTheUpstreamStaysShort(t *testing.T) {
	pl := newPool(nil, &pb.SiteUpstream{Id: "u"}, connectionQuota{limit: 40, idleTimeout: idleTimeout})
	pl.recordAnswer(2 * time.Millisecond)
	const slots, service = 3, 20 * time.Millisecond
	longest := 0
	for range 500 {
		pl.inFlight = int(pl.concurrency.limit) // statements always wait to be sent
		queued := max(pl.inFlight-slots, 0)
		longest = max(longest, queued)
		took := service + time.Duration(queued)*service/slots
		pl.recordRun(workKind{}, took)
		pl.concurrency.decreasedAt = time.Time{} // answers come further apart than minDecreaseInterval
	}
	// A queue delay of 40 ms is that of 40 ms / 20 ms * 3 slots = 6
	// statements.
	assert.Assert(t, longest <= 20, "%d statements in the queue of the upstream", longest)
	assert.Assert(t, pl.concurrency.limit >= slots, "a limit of %.1f leaves slots empty", pl.concurrency.limit)
}

// Guards against a slow upstream that gets no statements any more because its
// answers look like those of one with a long queue.
func TestSlowUpstreamStillGetsWork(t *testing.T) {
	concurrency := newConcurrencyLimit()
	at := time.Unix(100, 0)
	for range 40 {
		at = at.Add(minDecreaseInterval)
		concurrency.onQueueDelay(at)
	}
	assert.Equal(t, concurrency.limit, 1.0)
}

// Guards against operations that count as late, and wait behind all others, although
// they have time left, and against ones that count as in time until it is too late for
// them to end.
func TestLateIsWhatCanNotEndWithinItsTarget(t *testing.T) {
	at := time.Unix(100, 0)
	waited := func(d, expected time.Duration) urgency {
		return urgency{arrivedAt: at.Add(-d), target: time.Second, expected: expected}
	}
	assert.Check(t, waited(700*time.Millisecond, 50*time.Millisecond).canMeetTarget(at))
	assert.Check(t, !waited(550*time.Millisecond, 400*time.Millisecond).canMeetTarget(at))
	assert.Check(t, !waited(950*time.Millisecond, 0).canMeetTarget(at))
}
