package admission

import (
	"container/list"
	"math"
	"time"
)

const (
	halfLife = 10 * time.Second
	// maxShapes bounds the memory of one queue.
	maxShapes = 4096
	// forgotten is the weight below which an estimate no longer counts.
	forgotten = 0.01
	// priorWeight is the weight of the next wider estimate, so that one
	// sample of a new shape does not decide alone.
	priorWeight = 1.0
)

// kind is the key of learned service times.
type kind struct {
	class string
	shape uint64
}

func (w *waiter) key() kind { return kind{class: w.Class, shape: w.Shape} }

// estimate is a decaying average of service times.
type estimate struct {
	weight float64
	sum    float64 // seconds
	capped float64 // seconds, each sample at most the cap at its time
	logSum float64 // logarithm of seconds
	at     time.Time
}

func (e *estimate) decay(now time.Time) {
	dt := now.Sub(e.at)
	if dt <= 0 {
		return
	}
	f := math.Exp2(-float64(dt) / float64(halfLife))
	e.weight *= f
	e.sum *= f
	e.capped *= f
	e.logSum *= f
	e.at = now
}

func (e *estimate) add(seconds, limit float64, now time.Time) {
	e.decay(now)
	e.weight++
	e.sum += seconds
	e.capped += min(seconds, limit)
	e.logSum += math.Log(seconds)
}

// service is what is known of the service time of one kind of work, in
// seconds.
type service struct {
	// mean predicts how much work waits.
	mean float64
	// capped is the mean without the part of stragglers that runs in the
	// slots for long work.
	capped float64
	// typical is the geometric mean. One straggler among many short runs
	// hardly moves it, so that it tells short kinds from long kinds.
	typical float64
}

// of returns the mean that a queue of short or of long work moves by.
func (s service) of(long bool) float64 {
	if long {
		return s.mean
	}
	return s.capped
}

// refine narrows a wider estimate by e.
func (e *estimate) refine(wider service, now time.Time) service {
	if e == nil {
		return wider
	}
	e.decay(now)
	if e.weight < forgotten {
		return wider
	}
	if wider.typical == 0 {
		return service{mean: e.sum / e.weight, capped: e.capped / e.weight, typical: math.Exp(e.logSum / e.weight)}
	}
	total := e.weight + priorWeight
	return service{
		mean:    (e.sum + priorWeight*wider.mean) / total,
		capped:  (e.capped + priorWeight*wider.capped) / total,
		typical: math.Exp((e.logSum + priorWeight*math.Log(wider.typical)) / total),
	}
}

// learner holds the service times of one upstream.
type learner struct {
	all     estimate
	median  histogram
	classes map[string]*estimate
	shapes  map[kind]*list.Element
	// longest is the longest service time, decaying.
	longest   float64
	longestAt time.Time
	// recent orders the shapes by last use, the latest first.
	recent list.List
}

type shapeEstimate struct {
	kind kind
	estimate
}

func newLearner() *learner {
	return &learner{classes: map[string]*estimate{}, shapes: map[kind]*list.Element{}}
}

const minSeconds = 1e-6

func (l *learner) observe(k kind, elapsed time.Duration, now time.Time) {
	seconds := max(elapsed.Seconds(), minSeconds)
	limit := math.Inf(1)
	if median := l.median.seconds(now); median > 0 {
		limit = longFactor * median
	}
	l.sawLong(seconds, now)
	l.all.add(seconds, limit, now)
	l.median.add(seconds, now)
	l.class(k.class).add(seconds, limit, now)
	l.shape(k).add(seconds, limit, now)
}

func (l *learner) class(name string) *estimate {
	e := l.classes[name]
	if e == nil {
		e = &estimate{}
		l.classes[name] = e
	}
	return e
}

func (l *learner) shape(k kind) *estimate {
	if e := l.shapes[k]; e != nil {
		l.recent.MoveToFront(e)
		return &e.Value.(*shapeEstimate).estimate
	}
	if len(l.shapes) >= maxShapes {
		last := l.recent.Back()
		delete(l.shapes, l.recent.Remove(last).(*shapeEstimate).kind)
	}
	s := &shapeEstimate{kind: k}
	l.shapes[k] = l.recent.PushFront(s)
	return &s.estimate
}

// expect returns what is known of k, from the shape, the class and the whole
// upstream. It is zero if nothing has run yet.
func (l *learner) expect(k kind, now time.Time) service {
	known := l.all.refine(service{}, now)
	known = l.classes[k.class].refine(known, now)
	if e := l.shapes[k]; e != nil {
		known = e.Value.(*shapeEstimate).refine(known, now)
	}
	return known
}

const (
	longestHalfLife = 5 * time.Minute
	// Work is taken for lost only after several times the longest time seen
	// on the upstream, and after many times the usual time of its shape.
	lostAfterLongest = 4
	lostAfterTypical = 200
	minPatience      = 3 * time.Second
	unknownPatience  = 10 * time.Second
)

func (l *learner) sawLong(seconds float64, now time.Time) {
	l.longest = max(l.longest*decayed(now.Sub(l.longestAt), longestHalfLife), seconds)
	l.longestAt = now
}

func decayed(dt, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(dt, 0)) / float64(halfLife))
}

func (l *learner) patience(k kind, now time.Time) time.Duration {
	longest := l.longest * decayed(now.Sub(l.longestAt), longestHalfLife)
	bound := seconds(lostAfterLongest * longest)
	e := l.shapes[k]
	if e == nil {
		return max(bound, unknownPatience)
	}
	typical := e.Value.(*shapeEstimate).refine(service{}, now).typical
	if typical == 0 {
		return max(bound, unknownPatience)
	}
	return max(bound, minPatience, seconds(lostAfterTypical*typical))
}

const (
	histogramBuckets  = 128
	bucketsPerDoubled = 4
	histogramInterval = 20 * time.Millisecond
)

// histogram is a decaying histogram with logarithmic buckets from minSeconds.
type histogram struct {
	weights [histogramBuckets]float64
	total   float64
	at      time.Time
	value   float64
}

func (h *histogram) add(seconds float64, now time.Time) {
	h.decay(now)
	i := int(math.Log2(seconds/minSeconds) * bucketsPerDoubled)
	h.weights[min(max(i, 0), histogramBuckets-1)]++
	h.total++
	if h.value == 0 {
		h.value = h.compute()
	}
}

// decay also recomputes the median, at most once per interval.
func (h *histogram) decay(now time.Time) {
	dt := now.Sub(h.at)
	if dt < histogramInterval {
		return
	}
	f := math.Exp2(-float64(dt) / float64(halfLife))
	for i := range h.weights {
		h.weights[i] *= f
	}
	h.total *= f
	h.at = now
	h.value = h.compute()
}

func (h *histogram) compute() float64 {
	var sum float64
	for i, w := range h.weights {
		sum += w
		if w > 0 && sum >= h.total/2 {
			return minSeconds * math.Exp2((float64(i)+0.5)/bucketsPerDoubled)
		}
	}
	return 0
}

// seconds returns the median, zero if nothing is known.
func (h *histogram) seconds(now time.Time) float64 {
	h.decay(now)
	return h.value
}

const rateHalfLife = 2 * time.Second

// rate is a decaying amount per second.
type rate struct {
	amount float64
	at     time.Time
}

func (r *rate) decay(now time.Time) {
	dt := now.Sub(r.at)
	if dt <= 0 {
		return
	}
	r.amount *= math.Exp2(-float64(dt) / float64(rateHalfLife))
	r.at = now
}

func (r *rate) add(x float64, now time.Time) {
	r.decay(now)
	r.amount += x
}

func (r *rate) perSecond(now time.Time) float64 {
	r.decay(now)
	return r.amount * math.Ln2 / rateHalfLife.Seconds()
}
