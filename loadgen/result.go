package loadgen

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	minLatencyMicros = 1
	maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)
	latencyDigits    = 3
	secondDigits     = 2
)

// Result is the outcome of a run.
type Result struct {
	Profile string
	Seed    uint64
	// Elapsed is the time from the start until the last answer.
	Elapsed time.Duration
	Work    []WorkResult
}

// WorkResult is the outcome of one kind of work.
type WorkResult struct {
	Name  string
	Write bool
	Wait  time.Duration
	// Sent counts the scheduled requests.
	Sent int64
	OK   int64
	// Outcomes counts requests by "ok", SQLSTATE, or the way the connection
	// failed.
	Outcomes map[string]int64
	// Inside counts the requests that succeeded within their wait and service
	// time, and Share is their part of all that were scheduled.
	Inside int64
	Share  float64
	// Latency of successful requests, counted from the scheduled start.
	Latency Percentiles
	// Response is the same, counted from when the request was sent.
	Response Percentiles
	// LongestGap is the longest time without a successful answer, and GapAt
	// its start.
	LongestGap time.Duration
	GapAt      time.Duration
	Seconds    []Second
}

// Second is one second of the schedule.
type Second struct {
	Sent   int64
	OK     int64
	Inside int64
	P50    time.Duration
	P99    time.Duration
	Max    time.Duration
}

// Percentiles of a latency.
type Percentiles struct {
	P50, P90, P99, P999, Max, Mean time.Duration
}

// recorder collects the outcomes of one kind of work. It is safe for concurrent
// use.
type recorder struct {
	work Work

	// mu guards the fields below.
	mu       sync.Mutex
	outcomes map[string]int64
	sent     int64
	inside   int64
	latency  *hdrhistogram.Histogram
	response *hdrhistogram.Histogram
	lastOK   time.Duration
	gap      time.Duration
	gapAt    time.Duration
	end      time.Duration
	seconds  []secondRecord
}

type secondRecord struct {
	sent, ok, inside int64
	latency          *hdrhistogram.Histogram
}

func newRecorder(work Work, duration time.Duration) *recorder {
	return &recorder{
		work:     work,
		outcomes: map[string]int64{},
		latency:  newHistogram(latencyDigits),
		response: newHistogram(latencyDigits),
		seconds:  make([]secondRecord, int(duration/time.Second)+1),
	}
}

func newHistogram(digits int) *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, digits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	micros := min(max(d.Microseconds(), minLatencyMicros), maxLatencyMicros)
	// The value lies within the histogram's range.
	_ = h.RecordValue(micros)
}

// dropped counts a request that found no place in the queue.
func (r *recorder) dropped(at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count(at, outcomeDropped)
}

func (r *recorder) count(at time.Duration, outcome string) *secondRecord {
	r.sent++
	r.outcomes[outcome]++
	second := &r.seconds[min(int(at/time.Second), len(r.seconds)-1)]
	second.sent++
	return second
}

// done records a request that was due at a time after the start.
func (r *recorder) done(at time.Duration, start, sent, answered time.Time, outcome string) {
	finished := answered.Sub(start)
	latency := finished - at
	r.mu.Lock()
	defer r.mu.Unlock()
	r.end = max(r.end, finished)
	second := r.count(at, outcome)
	if outcome != outcomeOK {
		return
	}
	r.noteGap(finished)
	second.ok++
	record(r.latency, latency)
	record(r.response, answered.Sub(sent))
	if second.latency == nil {
		second.latency = newHistogram(secondDigits)
	}
	record(second.latency, latency)
	if latency <= r.work.Wait+r.work.Service {
		r.inside++
		second.inside++
	}
}

// noteGap keeps the longest time between two successful answers.
func (r *recorder) noteGap(finished time.Duration) {
	if gap := finished - r.lastOK; gap > r.gap {
		r.gap = gap
		r.gapAt = r.lastOK
	}
	r.lastOK = max(r.lastOK, finished)
}

func (r *run) result() *Result {
	result := &Result{Profile: r.options.Profile.Name, Seed: r.options.Seed}
	for _, record := range r.records {
		result.Work = append(result.Work, record.result())
		result.Elapsed = max(result.Elapsed, record.end)
	}
	return result
}

func (r *recorder) result() WorkResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteGap(max(r.end, r.lastOK))
	result := WorkResult{
		Name:       r.work.Name,
		Write:      r.work.Write,
		Wait:       r.work.Wait,
		Sent:       r.sent,
		OK:         r.outcomes[outcomeOK],
		Outcomes:   r.outcomes,
		Inside:     r.inside,
		Latency:    percentiles(r.latency),
		Response:   percentiles(r.response),
		LongestGap: r.gap,
		GapAt:      r.gapAt,
	}
	if r.sent > 0 {
		result.Share = float64(r.inside) / float64(r.sent)
	}
	for _, second := range r.seconds {
		result.Seconds = append(result.Seconds, second.result())
	}
	return result
}

func (s secondRecord) result() Second {
	second := Second{Sent: s.sent, OK: s.ok, Inside: s.inside}
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
