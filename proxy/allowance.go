package proxy

import (
	"math"
	"time"
)

const (
	// allowanceStart is how many statements a proxy sends to an upstream at
	// a time before it has learned how many the upstream takes.
	allowanceStart = 4
	// allowanceMin is below one: where very many proxies share an upstream,
	// one statement each is already too much.
	allowanceMin = 0.25
	// allowanceCut is the share that is left after a refusal. Proxies that
	// share an upstream get to equal shares by small steps up and large
	// ones down.
	allowanceCut = 0.7
	// allowanceRest is the least time between two cuts: refusals of
	// statements that were under way together count once. It is a round
	// trip between regions.
	allowanceRest = 50 * time.Millisecond
)

// allowance is how many statements a proxy may have at one upstream. The
// upstream refuses what exceeds its queue, so many proxies that each send all
// they have would spend their time on refusals; what waits at the proxy instead
// can be put in order.
type allowance struct {
	limit float64
	cutAt time.Time
}

func newAllowance() allowance { return allowance{limit: allowanceStart} }

// allows reports whether one more statement may be sent. Below one, the limit
// stretches the pause after a refusal.
func (a *allowance) allows(inFlight int, at time.Time) bool {
	if a.limit >= 1 || inFlight > 0 {
		return float64(inFlight+1) <= max(a.limit, 1)
	}
	return at.Sub(a.cutAt) >= a.pause()
}

// pause is how long after a refusal the next statement may be sent.
func (a *allowance) pause() time.Duration {
	return time.Duration(float64(allowanceRest) / a.limit)
}

// succeeded raises the limit by one for each limit's worth of answers, if the
// limit was reached.
func (a *allowance) succeeded(inFlight int) {
	if float64(inFlight+1) > a.limit {
		a.limit += 1 / max(a.limit, 1)
	}
}

// delayed lowers the limit because statements wait in the upstream's queue. One
// statement at a time is always sent: it may be the upstream that is slow.
func (a *allowance) delayed(at time.Time) {
	if a.limit <= 1 || at.Sub(a.cutAt) < allowanceRest {
		return
	}
	a.cutAt = at
	a.limit = max(a.limit*allowanceCut, 1)
}

// refused lowers the limit.
func (a *allowance) refused(at time.Time) {
	if at.Sub(a.cutAt) < allowanceRest {
		return
	}
	a.cutAt = at
	a.limit = max(a.limit*allowanceCut, allowanceMin)
}

// ticket says how urgent a statement is.
type ticket struct {
	// arrivedAt is when the caller's operation began.
	arrivedAt time.Time
	// target is how long the caller wants to wait for all of it.
	target time.Duration
	// priority 0 is the highest.
	priority uint32
	// expected is how long statements of its route take.
	expected time.Duration
}

// persistence multiplies the pause before a refused statement is sent again.
// Where refusals come from an upstream that many proxies share, this is what
// lets urgent statements of one proxy pass those of the others.
func (t ticket) persistence(at time.Time) time.Duration {
	if !t.fresh(at) {
		return latePersistence
	}
	return 1 + time.Duration(min(t.priority, maxPriority))
}

const (
	latePersistence = 10
	maxPriority     = 4
)

// freshShare of its target is how long an operation may have waited and still
// be expected to end in time. The rest is for its run and, in a transaction,
// for the statements that follow.
const freshShare = 0.6

func (t ticket) fresh(at time.Time) bool {
	return t.target == math.MaxInt64 || float64(at.Sub(t.arrivedAt)) < freshShare*float64(t.target)
}

// nextTicket returns the index of the statement that goes next. Statements that
// can still end in time go before late ones: serving late ones in their turn
// would make all others late as well, until the backlog is gone. Among equals
// the higher priority goes first, then what must end sooner, with an advantage
// for shorter work, which makes fewer others wait; long work gains with the time
// that it has waited.
func nextTicket(tickets []ticket, at time.Time) int {
	best := 0
	for i := 1; i < len(tickets); i++ {
		if tickets[i].before(tickets[best], at) {
			best = i
		}
	}
	return best
}

// lengthWeight is how long work may have waited less, per unit of its expected
// time, and still go first.
const lengthWeight = 8

func (t ticket) before(other ticket, at time.Time) bool {
	if t.fresh(at) != other.fresh(at) {
		return t.fresh(at)
	}
	if t.priority != other.priority {
		return t.priority < other.priority
	}
	return t.due().Before(other.due())
}

// due is when the statement should begin at the latest.
func (t ticket) due() time.Time { return t.arrivedAt.Add(t.target + lengthWeight*t.expected) }

// urgent is the ticket of what many statements wait for.
func urgent() ticket { return ticket{target: math.MaxInt64} }
