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
	// Weight is this work's part of all requests, relative to the others.
	Weight float64
	// Wait is the class's target. A request that succeeds within Wait plus
	// its Service of its intended start counts as inside.
	Wait time.Duration
	// Service is how long the server is made to work on it; zero leaves it to
	// the server.
	Service time.Duration
	// Write is true for work that changes data.
	Write bool
	// SQL has one parameter, the number of a row.
	SQL string
}

// Peak multiplies the rate for some time.
type Peak struct {
	At     time.Duration
	Length time.Duration
	Factor float64
}

// Profile is a mix of work and its rate over time.
type Profile struct {
	Name string
	// Rate is the mean number of requests a second outside of peaks.
	Rate     float64
	Duration time.Duration
	Work     []Work
	Peaks    []Peak
}

const (
	readSQL     = "SELECT id, name, balance FROM load_accounts WHERE id = $1"
	listSQL     = "SELECT id, name FROM load_accounts WHERE id >= $1 ORDER BY id LIMIT 20"
	writeSQL    = "UPDATE load_accounts SET balance = balance + 1 WHERE id = $1"
	shortWait   = 100 * time.Millisecond
	relaxedWait = time.Second
)

// Tahimik is a mix of 1 write to 9 reads.
func Tahimik(rate float64, duration time.Duration) Profile {
	return Profile{
		Name:     "tahimik",
		Rate:     rate,
		Duration: duration,
		Work: []Work{
			{Name: "read", Weight: 9, Wait: shortWait, SQL: readSQL},
			{Name: "write", Weight: 1, Wait: relaxedWait, Write: true, SQL: writeSQL},
		},
	}
}

// PendragonLloyd is a mix of short reads, lists and a few writes.
func PendragonLloyd(rate float64, duration time.Duration) Profile {
	return Profile{
		Name:     "pendragon-lloyd",
		Rate:     rate,
		Duration: duration,
		Work: []Work{
			{Name: "short", Weight: 16, Wait: shortWait, SQL: readSQL},
			{Name: "list", Weight: 3, Wait: relaxedWait, SQL: listSQL},
			{Name: "write", Weight: 1, Wait: relaxedWait, Write: true, SQL: writeSQL},
		},
	}
}

// WithClass sets the class of the named work; an empty name sets them all.
func (p Profile) WithClass(work, class string) Profile {
	return p.change(work, func(w *Work) { w.Class = class })
}

// WithWait sets the target of the named work; an empty name sets them all.
func (p Profile) WithWait(work string, wait time.Duration) Profile {
	return p.change(work, func(w *Work) { w.Wait = wait })
}

// WithService makes the server work that long on the named reads; an empty name
// sets all reads.
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

// WithPeak multiplies the rate by factor from at on, for length.
func (p Profile) WithPeak(at, length time.Duration, factor float64) Profile {
	p.Name += "+peak"
	p.Peaks = append(append([]Peak(nil), p.Peaks...), Peak{At: at, Length: length, Factor: factor})
	return p
}

// WithStragglers makes a share of the requests reads that take factor times the
// service time.
func (p Profile) WithStragglers(share, factor float64, service time.Duration) Profile {
	total := 0.0
	for _, w := range p.Work {
		total += w.Weight
	}
	straggler := Work{
		Name:    "straggler",
		Class:   p.Work[0].Class,
		Weight:  total * share / (1 - share),
		Wait:    relaxedWait,
		Service: time.Duration(float64(service) * factor),
		SQL:     readSQL,
	}
	p.Name += "+stragglers"
	p.Work = append(append([]Work(nil), p.Work...), straggler)
	return p
}

// statement returns the text with its parameter left in place.
func (w Work) statement() string {
	if w.Service == 0 || w.Write {
		return w.SQL
	}
	return fmt.Sprintf("SELECT pg_sleep(%g), load.* FROM (%s) AS load", w.Service.Seconds(), w.SQL)
}

// rateAt returns the rate at a time since the start, and when it next changes.
func (p Profile) rateAt(at time.Duration) (float64, time.Duration) {
	rate, until := p.Rate, p.Duration
	for _, peak := range p.Peaks {
		end := peak.At + peak.Length
		switch {
		case at < peak.At:
			until = min(until, peak.At)
		case at < end:
			rate *= peak.Factor
			until = min(until, end)
		}
	}
	return rate, until
}

// arrival is one request of the schedule.
type arrival struct {
	at   time.Duration
	work int
	row  int
}

// schedule draws arrivals of a Poisson process whose rate follows the profile.
type schedule struct {
	profile Profile
	random  *rand.Rand
	weights []float64
	at      time.Duration
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

// next returns the next arrival, or false after the profile's end.
func (s *schedule) next() (arrival, bool) {
	if !s.advance() {
		return arrival{}, false
	}
	return arrival{at: s.at, work: s.pick(), row: 1 + s.random.IntN(Rows)}, true
}

// advance moves to the next arrival. An exponential draw is used up at the rate
// in force, across changes of the rate.
func (s *schedule) advance() bool {
	left := s.random.ExpFloat64()
	for s.at < s.profile.Duration {
		rate, until := s.profile.rateAt(s.at)
		available := rate * (until - s.at).Seconds()
		if left < available {
			s.at += time.Duration(left / rate * float64(time.Second))
			return true
		}
		left -= available
		s.at = until
	}
	return false
}

func (s *schedule) pick() int {
	x := s.random.Float64() * s.weights[len(s.weights)-1]
	for i, limit := range s.weights {
		if x < limit {
			return i
		}
	}
	return len(s.weights) - 1
}
