package admission

import (
	"container/list"
	"math"
	"time"
)

const (
	// serviceTimeHalfLife is the time after which the weight of an observed
	// service time has halved.
	serviceTimeHalfLife = 10 * time.Second
	// maxShapes bounds the memory that the estimates of one queue use.
	maxShapes = 4096
	// minWeight is the weight below which an estimate is too old to be used.
	minWeight = 0.01
	// priorWeight is the weight of the prior, in samples. It keeps the first
	// sample of a new shape from determining the estimate alone.
	priorWeight = 1.0
)

// kind is the class and shape of requests that are expected to take the same
// time.
type kind struct {
	class string
	shape uint64
}

func (w *waiter) kind() kind { return kind{class: w.Class, shape: w.Shape} }

// estimate is an average of service times, weighted by an exponential decay.
type estimate struct {
	weight    float64
	sum       float64 // seconds
	capped    float64 // seconds; each sample was limited when it was added
	logSum    float64 // natural logarithms of seconds
	updatedAt time.Time
}

func (e *estimate) decay(now time.Time) {
	dt := now.Sub(e.updatedAt)
	if dt <= 0 {
		return
	}
	f := math.Exp2(-float64(dt) / float64(serviceTimeHalfLife))
	e.weight *= f
	e.sum *= f
	e.capped *= f
	e.logSum *= f
	e.updatedAt = now
}

func (e *estimate) add(seconds, limit float64, now time.Time) {
	e.decay(now)
	e.weight++
	e.sum += seconds
	e.capped += min(seconds, limit)
	e.logSum += math.Log(seconds)
}

// serviceTime is the expected service time of one kind of request, in seconds.
// It is zero if nothing has been observed.
type serviceTime struct {
	// mean is the arithmetic mean. It predicts the work that a queue holds.
	mean float64
	// capped is the mean of service times limited to longFactor times the
	// median. Beyond it a request counts as long and occupies one of the
	// slots for long requests.
	capped float64
	// typical is the geometric mean. A few stragglers hardly change it, so it
	// tells short kinds from long kinds.
	typical float64
}

// meanFor returns the mean time that a request occupies a slot for long or for
// short requests.
func (s serviceTime) meanFor(long bool) float64 {
	if long {
		return s.mean
	}
	return s.capped
}

// withPrior returns the expected service time from e and from the prior of a
// wider group of requests. A zero prior has no weight.
func (e *estimate) withPrior(prior serviceTime, now time.Time) serviceTime {
	if e == nil {
		return prior
	}
	e.decay(now)
	if e.weight < minWeight {
		return prior
	}
	if prior.typical == 0 {
		return serviceTime{mean: e.sum / e.weight, capped: e.capped / e.weight, typical: math.Exp(e.logSum / e.weight)}
	}
	total := e.weight + priorWeight
	return serviceTime{
		mean:    (e.sum + priorWeight*prior.mean) / total,
		capped:  (e.capped + priorWeight*prior.capped) / total,
		typical: math.Exp((e.logSum + priorWeight*math.Log(prior.typical)) / total),
	}
}

// estimator estimates service times of one upstream, by shape, by class and
// overall.
type estimator struct {
	overall      estimate
	distribution histogram
	classes      map[string]*estimate
	shapes       map[kind]*list.Element
	// longest is the longest service time in seconds, decayed until longestAt.
	longest   float64
	longestAt time.Time
	// recent orders the shapes by last use, the latest first; the shape used
	// least recently is evicted at maxShapes.
	recent list.List
}

type shapeEstimate struct {
	kind kind
	estimate
}

func newEstimator() *estimator {
	return &estimator{classes: map[string]*estimate{}, shapes: map[kind]*list.Element{}}
}

// minSeconds is the shortest service time that is recorded; logarithms need a
// time above zero.
const minSeconds = 1e-6

func (est *estimator) observe(k kind, elapsed time.Duration, now time.Time) {
	seconds := max(elapsed.Seconds(), minSeconds)
	limit := math.Inf(1)
	if median := est.distribution.medianSeconds(now); median > 0 {
		limit = longFactor * median
	}
	est.observeLongest(seconds, now)
	est.overall.add(seconds, limit, now)
	est.distribution.add(seconds, now)
	est.class(k.class).add(seconds, limit, now)
	est.shape(k).add(seconds, limit, now)
}

func (est *estimator) class(name string) *estimate {
	e := est.classes[name]
	if e == nil {
		e = &estimate{}
		est.classes[name] = e
	}
	return e
}

func (est *estimator) shape(k kind) *estimate {
	if e := est.shapes[k]; e != nil {
		est.recent.MoveToFront(e)
		return &e.Value.(*shapeEstimate).estimate
	}
	if len(est.shapes) >= maxShapes {
		last := est.recent.Back()
		delete(est.shapes, est.recent.Remove(last).(*shapeEstimate).kind)
	}
	s := &shapeEstimate{kind: k}
	est.shapes[k] = est.recent.PushFront(s)
	return &s.estimate
}

// expectedTime returns the expected service time of k. The upstream's average
// is the prior of the class, and the class is the prior of the shape.
func (est *estimator) expectedTime(k kind, now time.Time) serviceTime {
	expected := est.overall.withPrior(serviceTime{}, now)
	expected = est.classes[k.class].withPrior(expected, now)
	if e := est.shapes[k]; e != nil {
		expected = e.Value.(*shapeEstimate).withPrior(expected, now)
	}
	return expected
}

const (
	longestHalfLife = 5 * time.Minute
	// A request without any sign of activity is considered lost after
	// longestTimeFactor times the longest service time on the upstream, and
	// not before typicalTimeFactor times the typical one of its shape.
	longestTimeFactor        = 4
	typicalTimeFactor        = 200
	minInactivityTimeout     = 3 * time.Second
	unknownInactivityTimeout = 10 * time.Second
)

func (est *estimator) observeLongest(seconds float64, now time.Time) {
	est.longest = max(est.longest*decayFactor(now.Sub(est.longestAt), longestHalfLife), seconds)
	est.longestAt = now
}

func decayFactor(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(elapsed, 0)) / float64(halfLife))
}

func (est *estimator) inactivityTimeout(k kind, now time.Time) time.Duration {
	longest := est.longest * decayFactor(now.Sub(est.longestAt), longestHalfLife)
	bound := toDuration(longestTimeFactor * longest)
	e := est.shapes[k]
	if e == nil {
		return max(bound, unknownInactivityTimeout)
	}
	typical := e.Value.(*shapeEstimate).withPrior(serviceTime{}, now).typical
	if typical == 0 {
		return max(bound, unknownInactivityTimeout)
	}
	return max(bound, minInactivityTimeout, toDuration(typicalTimeFactor*typical))
}

const (
	histogramBuckets   = 128
	bucketsPerDoubling = 4
	histogramInterval  = 20 * time.Millisecond
)

// histogram counts service times in logarithmic buckets from minSeconds, with
// an exponential decay. It keeps their median.
type histogram struct {
	weights   [histogramBuckets]float64
	total     float64
	updatedAt time.Time
	median    float64
}

func (h *histogram) add(seconds float64, now time.Time) {
	h.decay(now)
	i := int(math.Log2(seconds/minSeconds) * bucketsPerDoubling)
	h.weights[min(max(i, 0), histogramBuckets-1)]++
	h.total++
	if h.median == 0 {
		h.median = h.computeMedian()
	}
}

// decay applies the decay and recomputes the median, at most once in every
// histogramInterval.
func (h *histogram) decay(now time.Time) {
	dt := now.Sub(h.updatedAt)
	if dt < histogramInterval {
		return
	}
	f := math.Exp2(-float64(dt) / float64(serviceTimeHalfLife))
	for i := range h.weights {
		h.weights[i] *= f
	}
	h.total *= f
	h.updatedAt = now
	h.median = h.computeMedian()
}

func (h *histogram) computeMedian() float64 {
	var sum float64
	for i, w := range h.weights {
		sum += w
		if w > 0 && sum >= h.total/2 {
			return minSeconds * math.Exp2((float64(i)+0.5)/bucketsPerDoubling)
		}
	}
	return 0
}

// medianSeconds returns the median; zero if nothing was added yet.
func (h *histogram) medianSeconds(now time.Time) float64 {
	h.decay(now)
	return h.median
}

const rateHalfLife = 2 * time.Second

// rate measures an amount per second over the last seconds, with an exponential
// decay.
type rate struct {
	amount    float64
	updatedAt time.Time
}

func (r *rate) decay(now time.Time) {
	dt := now.Sub(r.updatedAt)
	if dt <= 0 {
		return
	}
	r.amount *= math.Exp2(-float64(dt) / float64(rateHalfLife))
	r.updatedAt = now
}

func (r *rate) add(x float64, now time.Time) {
	r.decay(now)
	r.amount += x
}

func (r *rate) perSecond(now time.Time) float64 {
	r.decay(now)
	return r.amount * math.Ln2 / rateHalfLife.Seconds()
}
