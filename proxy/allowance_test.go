package proxy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "lovageslip/gen/lovageslip/v1"
)

// Pattern: demand over capacity. Guards against an order in which the backlog
// makes everyone late: first come first served ends almost nothing in time.
func TestOverloadServesThoseThatCanEndInTime(t *testing.T) {
	inTime, fifo := overload(t, nextTicket), overload(t, func([]ticket, time.Time) int { return 0 })
	t.Logf("ended in time: %d of 2000, first come first served %d", inTime, fifo)
	// Half of what arrives can be served.
	assert.Assert(t, inTime >= 900, "only %d of 1000 possible", inTime)
	assert.Assert(t, inTime >= 2*fifo, "%d is not better than %d", inTime, fifo)
}

// overload sends 2000 operations at twice the rate that one place serves and
// counts those that end within their target.
func overload(t *testing.T, next func([]ticket, time.Time) int) int {
	t.Helper()
	const service, target = 20 * time.Millisecond, 500 * time.Millisecond
	start := time.Unix(0, 0)
	var waiting []ticket
	inTime, arrived := 0, 0
	at := start
	for arrived < 2000 || len(waiting) > 0 {
		for arrived < 2000 && !start.Add(time.Duration(arrived)*service/2).After(at) {
			waiting = append(waiting, ticket{arrivedAt: start.Add(time.Duration(arrived) * service / 2), target: target})
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

// Pattern: two classes with unequal priority and long work before short.
func TestOrderOfWaitingStatements(t *testing.T) {
	at := time.Unix(100, 0)
	ago := func(d time.Duration) time.Time { return at.Add(-d) }
	old := ticket{arrivedAt: ago(time.Second), target: time.Second, priority: 1}
	long := ticket{arrivedAt: ago(100 * time.Millisecond), target: time.Second, priority: 2, expected: 60 * time.Millisecond}
	short := ticket{arrivedAt: ago(50 * time.Millisecond), target: time.Second, priority: 2, expected: 10 * time.Millisecond}
	high := ticket{arrivedAt: at, target: time.Second, priority: 1, expected: 60 * time.Millisecond}
	assert.Equal(t, nextTicket([]ticket{old, long, short, high}, at), 3, "priority first")
	assert.Equal(t, nextTicket([]ticket{old, long, short}, at), 2, "short work before long work")
	assert.Equal(t, nextTicket([]ticket{old, long}, at), 1, "late work last")
	waited := long
	waited.arrivedAt = ago(550 * time.Millisecond)
	assert.Equal(t, nextTicket([]ticket{old, waited, short}, at), 1, "long work gains by waiting")
}

// Pattern: many proxies before one upstream. Guards against refusals that take
// the place of work.
func TestAllowanceSettlesBelowRefusals(t *testing.T) {
	a := newAllowance()
	at := time.Unix(0, 0)
	refused := 0
	const room = 2
	for range 1000 {
		at = at.Add(10 * time.Millisecond)
		sent := int(a.limit)
		if sent > room {
			refused += sent - room
			a.refused(at)
		}
		for range min(sent, room) {
			a.succeeded(sent - 1)
		}
	}
	assert.Assert(t, refused < 500, "%d refusals beside 2000 served", refused)
	assert.Assert(t, a.limit >= allowanceMin)
}

// Pattern: far more proxies than an upstream has room for, each with work that
// is late or less urgent. Guards against urgent work that loses to the mere
// number of the others: where the upstream picks at random, what asks more often
// is served more often.
func TestUrgentWorkAsksMoreOften(t *testing.T) {
	at := time.Unix(100, 0)
	urgent := ticket{arrivedAt: at, target: time.Second, priority: 1}
	plain := ticket{arrivedAt: at, target: time.Second, priority: 2}
	late := ticket{arrivedAt: at.Add(-time.Second), target: time.Second, priority: 1}
	assert.Assert(t, urgent.persistence(at) < plain.persistence(at))
	assert.Assert(t, 3*plain.persistence(at) <= late.persistence(at))
}

// Pattern: a hundred proxies before five slots.
func TestAllowanceBelowOneStretchesThePause(t *testing.T) {
	a := newAllowance()
	at := time.Unix(100, 0)
	for range 40 {
		at = at.Add(allowanceRest)
		a.refused(at)
	}
	assert.Equal(t, a.limit, float64(allowanceMin))
	assert.Assert(t, !a.allows(0, at.Add(allowanceRest)))
	assert.Assert(t, a.allows(0, at.Add(allowanceRest*4)))
	a.succeeded(0)
	assert.Assert(t, a.allows(0, at), "one answer shows that there is room")
}

// Pattern: a wave over capacity at an upstream with a long queue. Guards against
// a queue that is kept full at the upstream, where urgent work cannot pass: each
// statement of a transaction then waits for all of it.
func TestQueueAtTheUpstreamStaysShort(t *testing.T) {
	pl := newPool(nil, &pb.SiteUpstream{Id: "u"}, share{limit: 40, idle: idleLimit})
	pl.answered(2 * time.Millisecond)
	const slots, service = 3, 20 * time.Millisecond
	longest := 0
	for range 500 {
		pl.inFlight = int(pl.allowance.limit) // there is always more to send
		queued := max(pl.inFlight-slots, 0)
		longest = max(longest, queued)
		took := service + time.Duration(queued)*service/slots
		pl.succeeded(took)
		pl.allowance.cutAt = time.Time{} // answers come further apart than cuts may
	}
	// The tolerated wait is that of 40 ms / 20 ms * 3 slots = 6 statements.
	assert.Assert(t, longest <= 20, "%d statements in the queue", longest)
	assert.Assert(t, pl.allowance.limit >= slots, "a limit of %.1f leaves slots empty", pl.allowance.limit)
}

// Guards against an upstream that is slow and gets no work at all any more.
func TestSlowUpstreamStillGetsWork(t *testing.T) {
	a := newAllowance()
	at := time.Unix(100, 0)
	for range 40 {
		at = at.Add(allowanceRest)
		a.delayed(at)
	}
	assert.Equal(t, a.limit, 1.0)
}
