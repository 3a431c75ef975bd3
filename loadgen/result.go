package loadgen

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	minLatencyMicros = 1
	maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)
	// Significant decimal digits of the histograms of a run and of one second.
	runLatencyDigits    = 3
	secondLatencyDigits = 2
)

// Result holds the results of a run.
type Result struct {
	Profile string
	Seed    uint64
	// Elapsed is the time from the start until the last answer.
	Elapsed time.Duration
	Work    []WorkResult
}

// WorkResult holds the results of one kind of work.
type WorkResult struct {
	Name  string
	Write bool
	Wait  time.Duration
	// Sent counts the scheduled requests.
	Sent int64
	OK   int64
	// Outcomes counts requests by outcome: "ok", the SQLSTATE of an error, or
	// "timeout", "disconnected", "no_connection" or "dropped".
	Outcomes map[string]int64
	// WithinTarget counts the successful requests whose latency was at most
	// the Wait plus the Service of their work.
	WithinTarget int64
	// WithinTargetShare is the fraction of the scheduled requests that
	// WithinTarget counts, 0 to 1 (column "inside" of the table).
	WithinTargetShare float64
	// Latency is that of successful requests, counted from their scheduled
	// start.
	Latency Percentiles
	// Response is the time from the sending of a successful request until its
	// answer.
	Response Percentiles
	// LongestGap is the longest time without a successful answer, and GapStart
	// is when it began, counted from the start of the run.
	LongestGap time.Duration
	GapStart   time.Duration
	Seconds    []Second
}

// Second holds the results of the requests that were due in one second of the
// schedule. P50, P99 and Max are of the latency of successful requests.
type Second struct {
	Sent         int64
	OK           int64
	WithinTarget int64
	P50          time.Duration
	P99          time.Duration
	Max          time.Duration
}

// Percentiles summarizes a distribution of times.
type Percentiles struct {
	P50, P90, P99, P999, Max, Mean time.Duration
}

// recorder collects the results of one kind of work from all sessions. It is
// safe for concurrent use.
type recorder struct {
	work Work

	// mu guards the fields below.
	mu           sync.Mutex
	outcomes     map[string]int64
	sent         int64
	withinTarget int64
	latency      *hdrhistogram.Histogram
	response     *hdrhistogram.Histogram
	lastOK       time.Duration
	longestGap   time.Duration
	gapStart     time.Duration
	lastFinished time.Duration
	seconds      []secondRecord
}

type secondRecord struct {
	sent, ok, withinTarget int64
	latency                *hdrhistogram.Histogram
}

func newRecorder(work Work, duration time.Duration) *recorder {
	return &recorder{
		work:     work,
		outcomes: map[string]int64{},
		latency:  newHistogram(runLatencyDigits),
		response: newHistogram(runLatencyDigits),
		seconds:  make([]secondRecord, int(duration/time.Second)+1),
	}
}

func newHistogram(digits int) *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, digits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	micros := min(max(d.Microseconds(), minLatencyMicros), maxLatencyMicros)
	// RecordValue fails only for values outside of the histogram's range.
	_ = h.RecordValue(micros)
}

// recordDropped counts a request that was not sent because the queue of its
// class was full.
func (r *recorder) recordDropped(due time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count(due, outcomeDropped)
}

// count counts a request under its outcome and returns the second that it was due
// in. The caller holds mu.
func (r *recorder) count(due time.Duration, outcome string) *secondRecord {
	r.sent++
	r.outcomes[outcome]++
	second := &r.seconds[min(int(due/time.Second), len(r.seconds)-1)]
	second.sent++
	return second
}

// recordFinished records a request that ended at answered. due counts from start.
func (r *recorder) recordFinished(due time.Duration, start, sent, answered time.Time, outcome string) {
	finished := answered.Sub(start)
	latency := finished - due
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastFinished = max(r.lastFinished, finished)
	second := r.count(due, outcome)
	if outcome != outcomeOK {
		return
	}
	r.updateGap(finished)
	second.ok++
	record(r.latency, latency)
	record(r.response, answered.Sub(sent))
	if second.latency == nil {
		second.latency = newHistogram(secondLatencyDigits)
	}
	record(second.latency, latency)
	if latency <= r.work.Wait+r.work.Service {
		r.withinTarget++
		second.withinTarget++
	}
}

// updateGap updates the longest time between two successful answers with one
// that came at finished, counted from the start of the run.
func (r *recorder) updateGap(finished time.Duration) {
	if gap := finished - r.lastOK; gap > r.longestGap {
		r.longestGap = gap
		r.gapStart = r.lastOK
	}
	r.lastOK = max(r.lastOK, finished)
}

func (r *run) result() *Result {
	result := &Result{Profile: r.options.Profile.Name, Seed: r.options.Seed}
	for _, recorder := range r.recorders {
		result.Work = append(result.Work, recorder.result())
		result.Elapsed = max(result.Elapsed, recorder.lastFinished)
	}
	return result
}

func (r *recorder) result() WorkResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The time from the last success until the end of the last request is a
	// gap too.
	r.updateGap(max(r.lastFinished, r.lastOK))
	result := WorkResult{
		Name:         r.work.Name,
		Write:        r.work.Write,
		Wait:         r.work.Wait,
		Sent:         r.sent,
		OK:           r.outcomes[outcomeOK],
		Outcomes:     r.outcomes,
		WithinTarget: r.withinTarget,
		Latency:      percentiles(r.latency),
		Response:     percentiles(r.response),
		LongestGap:   r.longestGap,
		GapStart:     r.gapStart,
	}
	if r.sent > 0 {
		result.WithinTargetShare = float64(r.withinTarget) / float64(r.sent)
	}
	for _, second := range r.seconds {
		result.Seconds = append(result.Seconds, second.result())
	}
	return result
}

func (s secondRecord) result() Second {
	second := Second{Sent: s.sent, OK: s.ok, WithinTarget: s.withinTarget}
	if s.latency != nil {
		second.P50 = quantile(s.latency, 50)
		second.P99 = quantile(s.latency, 99)
		second.Max = time.Duration(s.latency.Max()) * time.Microsecond
	}
	return second
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	return Percentiles{
		P50:  quantile(h, 50),
		P90:  quantile(h, 90),
		P99:  quantile(h, 99),
		P999: quantile(h, 99.9),
		Max:  time.Duration(h.Max()) * time.Microsecond,
		Mean: time.Duration(h.Mean() * float64(time.Microsecond)),
	}
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}
