package admission

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The benchmarks of this file run a Queue in virtual time. The simulated upstream
// has no limit but its slots: a request with a slot runs exactly for the service
// time that was drawn for it.

const (
	shortServiceTime = 5 * time.Millisecond // mean
	stragglerShare   = 0.01
	stragglerFactor  = 100 // service time of a straggler, in short ones
	cancelDelay      = time.Millisecond
)

// task is one simulated request.
type task struct {
	short          bool
	arrivedAt      time.Time
	service        time.Duration
	wait           time.Duration
	started, ended time.Time
	refused        bool
	runs           int
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(e[i].at.Compare(e[j].at), cmp.Compare(e[i].seq, e[j].seq)) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation is an event loop in virtual time, and the clock of its queue.
type simulation struct {
	now     time.Time
	seq     int
	events  events
	queue   *Queue
	random  *rand.Rand
	tasks   []*task
	running map[*Slot]func()
}

func newSimulation(p Policy, slots int, seed uint64) *simulation {
	s := &simulation{now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)), running: map[*Slot]func(){}}
	s.queue = New(Options{Slots: slots, Policy: p, clock: s, Bounds: Bounds{CallerEntries: 1 << 30, CallerBytes: 1 << 40}})
	return s
}

func (s *simulation) Now() time.Time { return s.now }

func (s *simulation) Arm(at time.Time) { s.schedule(at, s.queue.tick) }

func (s *simulation) schedule(when time.Time, do func()) {
	s.seq++
	heap.Push(&s.events, event{at: when, seq: s.seq, do: do})
}

func (s *simulation) run() {
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
		s.stopVictims()
	}
}

// stopVictims cancels the requests that the queue has preempted, as the owner
// does.
func (s *simulation) stopVictims() {
	for slot, stop := range s.running {
		if slot.preempted {
			delete(s.running, slot)
			s.schedule(s.now.Add(cancelDelay), stop)
		}
	}
}

func (s *simulation) submit(t *task, req Request) {
	w := &waiter{Request: req}
	w.grant = func(slot *Slot) {
		if t.started.IsZero() {
			t.started = s.now
		}
		t.runs++
		began := s.now
		finished := false
		s.running[slot] = func() {
			if finished {
				return
			}
			finished = true
			slot.Release(NotMeasured)
			again := req
			again.Preempted = true
			again.Continuation = false
			again.Waited += s.now.Sub(t.arrivedAt)
			again.WaitRemaining -= s.now.Sub(t.arrivedAt)
			s.submit(t, again)
		}
		s.schedule(s.now.Add(t.service), func() {
			if finished {
				return
			}
			finished = true
			delete(s.running, slot)
			t.ended = s.now
			slot.Release(s.now.Sub(began))
		})
	}
	if s.queue.enqueue(w) != nil {
		t.refused = true
		return
	}
	s.schedule(s.now.Add(max(req.WaitRemaining, 0)), func() {
		if !req.Preempted && s.queue.remove(w) {
			t.refused = true
		}
	})
}

// load describes the requests that arrive in one run.
type load struct {
	slots   int
	seconds int
	// rho returns the utilisation: the offered load as a share of the
	// capacity of the slots. More than 1 is an overload.
	rho func(second float64) float64
	// stragglerShare is the share of stragglers. With ownShape their shape
	// differs from that of short requests.
	stragglerShare float64
	ownShape       bool
	wait           time.Duration
	fixed          bool // all short requests take the same time
}

func (l load) simulate(p Policy, seed uint64) *simulation {
	s := newSimulation(p, l.slots, seed)
	mean := shortServiceTime.Seconds() * (1 - l.stragglerShare + l.stragglerShare*stragglerFactor)
	start := s.now
	var next func()
	next = func() {
		second := s.now.Sub(start).Seconds()
		if second > float64(l.seconds) {
			return
		}
		s.arrive(l)
		rate := l.rho(second) * float64(l.slots) / mean
		s.schedule(s.now.Add(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second))), next)
	}
	s.schedule(s.now, next)
	s.run()
	return s
}

func (s *simulation) arrive(l load) {
	t := &task{short: true, arrivedAt: s.now, service: shortServiceTime, wait: l.wait}
	if !l.fixed {
		t.service = time.Duration(float64(shortServiceTime) * s.random.ExpFloat64())
	}
	shape := uint64(1 + s.random.IntN(20))
	if s.random.Float64() < l.stragglerShare {
		t.short = false
		t.service = shortServiceTime * stragglerFactor
		if l.ownShape {
			shape = 100
		}
	}
	s.tasks = append(s.tasks, t)
	s.submit(t, Request{Class: "c", Caller: "x", Shape: shape, WaitRemaining: l.wait, Preemptible: true})
}

func quantile(d []float64, q float64) float64 {
	if len(d) == 0 {
		return math.NaN()
	}
	slices.Sort(d)
	return d[min(int(q*float64(len(d))), len(d)-1)]
}

// waitStats are the figures of one run, without its warm-up.
type waitStats struct {
	p99 float64 // ms, wait of short requests
	// slowdown is the mean and slowdown95 the 95th percentile of the time from
	// arrival to end of stragglers, divided by their service time.
	slowdown, slowdown95 float64
	refused              float64
}

func (s *simulation) waitStats(skip time.Duration) (r waitStats) {
	var short, slow []float64
	n := 0
	first := s.tasks[0].arrivedAt.Add(skip)
	for _, t := range s.tasks {
		if t.arrivedAt.Before(first) {
			continue
		}
		n++
		switch {
		case t.refused:
			r.refused++
		case t.short:
			short = append(short, float64(t.ended.Sub(t.arrivedAt)-t.service)/1e6)
		default:
			slow = append(slow, float64(t.ended.Sub(t.arrivedAt))/float64(t.service))
		}
	}
	for _, x := range slow {
		r.slowdown += x / float64(len(slow))
	}
	r.p99 = quantile(short, 0.99)
	r.slowdown95 = quantile(slow, 0.95)
	r.refused /= float64(n)
	return r
}

var policies = []struct {
	name string
	make func() Policy
}{
	{"fifo", func() Policy { return NewFIFO() }},
	{"shortest", func() Policy { return NewShortestJobFirst() }},
}

// Prints the figures of docs/notes/admission.md: the waits of short requests
// behind stragglers, and the slowdown of the stragglers. Guards against a policy
// under which short requests wait longer than under FIFO.
func TestStragglerBenchmark(t *testing.T) {
	for _, slots := range []int{3, 5} {
		for _, ownShape := range []bool{true, false} {
			for _, rho := range []float64{0.5, 0.7} {
				for _, fixed := range []bool{true, false} {
					t.Run(fmt.Sprintf("slots=%d/known=%v/load=%.1f/fixed=%v", slots, ownShape, rho, fixed), func(t *testing.T) {
						l := load{slots: slots, seconds: 100, stragglerShare: stragglerShare, ownShape: ownShape, wait: 10 * time.Second, fixed: fixed}
						l.rho = func(float64) float64 { return rho }
						l.compareWaits(t)
					})
				}
			}
		}
	}
}

func (l load) compareWaits(t *testing.T) {
	var p99 []float64
	for _, p := range policies {
		w := l.simulate(p.make(), 7).waitStats(20 * time.Second)
		p99 = append(p99, w.p99)
		t.Logf("%-8s p99 wait of short work %6.1f ms, stragglers' slowdown mean %.2f p95 %.2f, refused %.2f %%", p.name, w.p99, w.slowdown, w.slowdown95, 100*w.refused)
	}
	t.Logf("ratio %.2f", p99[1]/p99[0])
	assert.Assert(t, p99[1] < p99[0])
}

// Prints the figures for a peak of ten times the usual load. Guards against waits
// that stay long after the peak, and against slots that run requests in vain,
// because their wait has already ended.
func TestPeakBenchmark(t *testing.T) {
	for _, slots := range []int{3, 5} {
		for _, share := range []float64{0, stragglerShare} {
			for _, wait := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second} {
				t.Run(fmt.Sprintf("slots=%d/stragglers=%.2f/wait=%v", slots, share, wait), func(t *testing.T) {
					l := load{slots: slots, seconds: 60, stragglerShare: share, ownShape: true, wait: wait}
					l.rho = func(second float64) float64 {
						if second >= peakStart && second < peakEnd {
							return 5
						}
						return 0.5
					}
					l.comparePeak(t)
				})
			}
		}
	}
}

const (
	peakStart = 30.0
	peakEnd   = 35.0
)

func (l load) comparePeak(t *testing.T) {
	for _, p := range policies {
		s := l.simulate(p.make(), 7)
		share, recovery := s.peak(l)
		t.Logf("%-8s short work inside its wait %5.1f %% of the capacity, recovery %.2f s", p.name, 100*share, recovery)
		if p.name != "shortest" {
			continue
		}
		assert.Assert(t, recovery < 1)
		assert.Assert(t, share > 0.95 || l.stragglerShare > 0)
	}
}

// peak returns the share of the slots' capacity during the peak that went to short
// requests which arrived in the peak and were answered within their wait. It also
// returns the recovery time in seconds after the peak: from then on, no tenth of
// a second has a median wait above ten times the service time of short requests.
func (s *simulation) peak(l load) (share, recovery float64) {
	start := s.tasks[0].arrivedAt
	windows := map[int][]float64{}
	for _, t := range s.tasks {
		second := t.arrivedAt.Sub(start).Seconds()
		if !t.short || t.refused || second < peakStart {
			continue
		}
		if second < peakEnd {
			if t.ended.Sub(t.arrivedAt) <= t.wait {
				share += t.service.Seconds()
			}
			continue
		}
		n := int((second - peakEnd) * 10)
		windows[n] = append(windows[n], t.started.Sub(t.arrivedAt).Seconds())
	}
	for n, waits := range windows {
		if quantile(waits, 0.5) > 10*shortServiceTime.Seconds() {
			recovery = max(recovery, float64(n+1)/10)
		}
	}
	return share / ((peakEnd - peakStart) * float64(l.slots)), recovery
}
