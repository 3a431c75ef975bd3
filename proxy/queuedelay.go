package proxy

import (
	"sync"
	"time"
)

// This file decides whether statements wait in the queue of an upstream that several
// proxies share. The loads that it answers: a burst, in which that queue must stay short
// because urgent statements can't pass others there, and long work before short work,
// whose answers come late without any queue. So each answer is compared with the time
// that such work usually takes; it tells what the other proxies send, and nothing is asked
// for.

const (
	// workTimeWeight is the weight of one answer in the moving average of a kind of
	// work. Times of single statements vary by as much as their mean.
	workTimeWeight = 0.05
	// minWorkAnswers is how many answers a mean needs before it is used.
	minWorkAnswers = 3
	// queueDelayWeight is the weight of an answer of average work in the estimate of
	// the delay. Answers of longer work vary more, so they weigh less.
	queueDelayWeight = 0.15
	// maxQueueShare is how long statements may wait in relation to the time that they
	// take: half as many as run.
	maxQueueShare = 0.5
	// waitsInTarget is how often the longest wait must fit into the shortest target of
	// the group. A transaction of twelve statements waits with each of them, and may
	// use half of its target for that.
	waitsInTarget = 20
	// minQueueLimit is above the variation of the network and of scheduling.
	minQueueLimit = 5 * time.Millisecond
)

// workKind is the work whose statements take about the same time. The zero value is for
// work of which that is not known.
type workKind struct {
	database string
	kind     Kind
}

func (s *Session) workKind(st *Statement) workKind {
	return workKind{database: s.database, kind: st.Kind}
}

// workTimes holds the mean time that statements of each kind take at upstreams, without
// the network and the wait for a slot. The upstreams of a proxy share it. It is safe for
// concurrent use.
type workTimes struct {
	mu    sync.Mutex
	means map[workKind]workMean
}

type workMean struct {
	mean    time.Duration
	answers int
}

// add records how long a statement took while none waited at the proxy, so that the
// upstream probably had a free slot for it.
func (t *workTimes) add(kind workKind, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.means == nil {
		t.means = make(map[workKind]workMean)
	}
	m := t.means[kind]
	m.answers++
	weight := max(workTimeWeight, 1/float64(m.answers))
	m.mean += time.Duration(weight * float64(took-m.mean))
	t.means[kind] = m
}

// expected returns the mean time of a kind. It reports false if too little is known.
func (t *workTimes) expected(kind workKind) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.means[kind]
	return m.mean, m.answers >= minWorkAnswers && m.mean > 0
}

// queueDelay estimates how long statements wait in the queue of an upstream.
type queueDelay struct {
	// expected is the mean expected time of recent statements, and delay by how much
	// recent answers came later than expected.
	expected, delay time.Duration
	// network is the round-trip time when last no statement waited at the proxy. Under
	// load the shortest time of recent answers contains a part of the queue.
	network time.Duration
}

// add records the answer to a statement. The shorter the expected time, the better does
// the answer tell the wait, since times vary by as much as their mean.
func (q *queueDelay) add(expected, took time.Duration) {
	if q.expected == 0 {
		q.expected = expected
	}
	q.expected += time.Duration(serviceTimeWeight * float64(expected-q.expected))
	usual, own := q.expected.Seconds(), expected.Seconds()
	weight := 2 * queueDelayWeight * usual * usual / (usual*usual + own*own)
	q.delay += time.Duration(weight * float64(took-expected-q.delay))
}

// queueState is what the answers tell of the queue of an upstream.
type queueState int

const (
	// queueEmpty: answers come as soon as usual.
	queueEmpty queueState = iota
	// queueShort: answers come later, but not too late.
	queueShort
	// queueLong: urgent statements wait too long behind others.
	queueLong
)

// state judges the delay, where the shortest target of a group's routes is given; 0 for
// none.
func (q *queueDelay) state(shortestTarget time.Duration) queueState {
	limit := time.Duration(maxQueueShare * float64(q.expected))
	if shortestTarget > 0 {
		limit = min(limit, shortestTarget/waitsInTarget)
	}
	switch {
	case q.delay > max(limit, minQueueLimit):
		return queueLong
	case q.delay > 0:
		return queueShort
	default:
		return queueEmpty
	}
}

// judgeQueueLocked records the answer to a statement and returns what the answers tell.
// Where the usual time of such work isn't known, the mean of all answers is compared with
// the round-trip time of the network: a relay knows the commands of others only.
func (p *pool) judgeQueueLocked(kind workKind, took time.Duration) queueState {
	if expected, ok := p.expectedWorkLocked(kind, took); ok {
		p.queueDelay.add(expected, took-p.queueDelay.network)
		p.upstreamMetrics.updateQueueDelay(p.queueDelay.delay)
		return p.queueDelay.state(p.yielding.shortestTarget)
	}
	if p.serviceTime-milliseconds(p.minRTT) > milliseconds(maxQueueDelay) {
		return queueLong
	}
	return queueEmpty
}

// expectedWorkLocked returns how long statements of a kind usually take at the upstream,
// and learns from one that took some time if no statement waits at the proxy. It reports
// false if that or the proxy's share of the upstream isn't known.
func (p *pool) expectedWorkLocked(kind workKind, took time.Duration) (time.Duration, bool) {
	if p.concurrency.share == 0 || kind == (workKind{}) {
		return 0, false
	}
	if len(p.waiters) == 0 {
		p.queueDelay.network = p.minRTT
		p.workTimes.add(kind, max(took-p.queueDelay.network, 0))
	}
	return p.workTimes.expected(kind)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
