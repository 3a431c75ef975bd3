package loadgen

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Rows is the number of rows that Setup creates and the profiles use.
const Rows = 1000

// Work is one kind of request in a profile.
type Work struct {
	// Name labels the results.
	Name string
	// Class is the lovageslip class of the sessions; empty for the default.
	Class string
	// Weight is the frequency of this work relative to the others.
	Weight float64
	// Wait is the target of the work's class. A request whose latency is at
	// most Wait plus Service counts as within its target.
	Wait time.Duration
	// Service is how long the server is made to work on a read, by pg_sleep;
	// zero adds no delay.
	Service time.Duration
	// Write is true for work that changes data.
	Write bool
	// SQL is the statement, with the id of a row as its only parameter, $1.
	SQL string
}

// Peak multiplies a profile's rate by Factor for Length, from Start after the
// start of the run.
type Peak struct {
	Start  time.Duration
	Length time.Duration
	Factor float64
}

// Profile describes the load of a run: the kinds of work and the request rate
// over time.
type Profile struct {
	Name string
	// Rate is the mean number of requests a second outside of peaks, all kinds
	// of work together.
	Rate     float64
	Duration time.Duration
	Work     []Work
	Peaks    []Peak
}

const (
	readSQL   = "SELECT id, name, balance FROM load_accounts WHERE id = $1"
	listSQL   = "SELECT id, name FROM load_accounts WHERE id >= $1 ORDER BY id LIMIT 20"
	writeSQL  = "UPDATE load_accounts SET balance = balance + 1 WHERE id = $1"
	shortWait = 100 * time.Millisecond
	longWait  = time.Second
)

// Tahimik returns a profile of one write to nine reads.
func Tahimik(rate float64, duration time.Duration) Profile {
	return Profile{
		Name:     "tahimik",
		Rate:     rate,
		Duration: duration,
		Work: []Work{
			{Name: "read", Weight: 9, Wait: shortWait, SQL: readSQL},
			{Name: "write", Weight: 1, Wait: longWait, Write: true, SQL: writeSQL},
		},
	}
}

// PendragonLloyd returns a profile of 80 % reads of one row, 15 % lists of 20
// rows and 5 % writes.
func PendragonLloyd(rate float64, duration time.Duration) Profile {
	return Profile{
		Name:     "pendragon-lloyd",
		Rate:     rate,
		Duration: duration,
		Work: []Work{
			{Name: "short", Weight: 16, Wait: shortWait, SQL: readSQL},
			{Name: "list", Weight: 3, Wait: longWait, SQL: listSQL},
			{Name: "write", Weight: 1, Wait: longWait, Write: true, SQL: writeSQL},
		},
	}
}

// WithClass returns the profile with the class of the named work changed; an
// empty name changes all work.
func (p Profile) WithClass(work, class string) Profile {
	return p.change(work, func(w *Work) { w.Class = class })
}

// WithWait returns the profile with the target of the named work changed; an
// empty name changes all work.
func (p Profile) WithWait(work string, wait time.Duration) Profile {
	return p.change(work, func(w *Work) { w.Wait = wait })
}

// WithService returns the profile with the service time of the named reads
// changed; an empty name changes all reads.
func (p Profile) WithService(work string, service time.Duration) Profile {
	return p.change(work, func(w *Work) {
		if !w.Write {
			w.Service = service
		}
	})
}

func (p Profile) change(work string, set func(*Work)) Profile {
	p.Work = append([]Work(nil), p.Work...)
	for i := range p.Work {
		if work == "" || p.Work[i].Name == work {
			set(&p.Work[i])
		}
	}
	return p
}

// WithPeak returns the profile with one more peak.
func (p Profile) WithPeak(start, length time.Duration, factor float64) Profile {
	p.Name += "+peak"
	p.Peaks = append(append([]Peak(nil), p.Peaks...), Peak{Start: start, Length: length, Factor: factor})
	return p
}

// WithStragglers returns the profile with one more kind of work, "straggler":
// reads that take factor times the service time and make up share of all
// requests, from 0 to below 1.
func (p Profile) WithStragglers(share, factor float64, service time.Duration) Profile {
	total := 0.0
	for _, w := range p.Work {
		total += w.Weight
	}
	straggler := Work{
		Name:    "straggler",
		Class:   p.Work[0].Class,
		Weight:  total * share / (1 - share),
		Wait:    longWait,
		Service: time.Duration(float64(service) * factor),
		SQL:     readSQL,
	}
	p.Name += "+stragglers"
	p.Work = append(append([]Work(nil), p.Work...), straggler)
	return p
}

// statement returns the SQL to execute, with the parameter $1 in it. For reads it
// adds a sleep of the service time.
func (w Work) statement() string {
	if w.Service == 0 || w.Write {
		return w.SQL
	}
	return fmt.Sprintf("SELECT pg_sleep(%g), load.* FROM (%s) AS load", w.Service.Seconds(), w.SQL)
}

// rateAt returns the request rate at a time of the run, and the time at which
// it changes next. Both times count from the start of the run.
func (p Profile) rateAt(elapsed time.Duration) (float64, time.Duration) {
	rate, until := p.Rate, p.Duration
	for _, peak := range p.Peaks {
		end := peak.Start + peak.Length
		switch {
		case elapsed < peak.Start:
			until = min(until, peak.Start)
		case elapsed < end:
			rate *= peak.Factor
			until = min(until, end)
		}
	}
	return rate, until
}

// arrival is one request of the schedule. due counts from the start of the run,
// work is an index into Profile.Work, and row is the statement's parameter.
type arrival struct {
	due  time.Duration
	work int
	row  int
}

// schedule generates the arrivals of a Poisson process whose rate follows the
// profile.
type schedule struct {
	profile Profile
	random  *rand.Rand
	// weights are the cumulative sums of the weights of the work.
	weights []float64
	elapsed time.Duration
}

func newSchedule(p Profile, seed uint64) *schedule {
	s := &schedule{profile: p, random: rand.New(rand.NewPCG(seed, seed))}
	total := 0.0
	for _, w := range p.Work {
		total += w.Weight
		s.weights = append(s.weights, total)
	}
	return s
}

// next returns the next arrival, or false after the profile's duration.
func (s *schedule) next() (arrival, bool) {
	if !s.advance() {
		return arrival{}, false
	}
	return arrival{due: s.elapsed, work: s.pick(), row: 1 + s.random.IntN(Rows)}, true
}

// advance moves elapsed to the next arrival and reports false after the
// profile's duration. It draws an exponentially distributed number and moves
// until the rate, integrated over time, has reached it, so that a change of the
// rate takes effect at once.
func (s *schedule) advance() bool {
	remaining := s.random.ExpFloat64()
	for s.elapsed < s.profile.Duration {
		rate, until := s.profile.rateAt(s.elapsed)
		expected := rate * (until - s.elapsed).Seconds()
		if remaining < expected {
			s.elapsed += time.Duration(remaining / rate * float64(time.Second))
			return true
		}
		remaining -= expected
		s.elapsed = until
	}
	return false
}

// pick draws a kind of work by weight.
func (s *schedule) pick() int {
	x := s.random.Float64() * s.weights[len(s.weights)-1]
	for i, limit := range s.weights {
		if x < limit {
			return i
		}
	}
	return len(s.weights) - 1
}
