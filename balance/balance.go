// Package balance decides which upstream gets a read that several could serve, while
// many proxies decide the same at once from figures that are a little old.
//
// If all proxies chose the upstream that looks best, they would overrun it until new
// figures arrive, and then the next one. So a proxy chooses at random: an upstream is
// the more likely the sooner it is expected to answer. A figure counts for less the
// older it is; what is not known of one upstream is taken to be as with the others. An
// upstream that has just started therefore gets its share and no more.
//
// Upstreams further away are chosen as far as the nearer ones have no room.
package balance

import (
	"math"
	"time"
)

const (
	// loadHalfTrust is the age at which the figure of an upstream's load counts
	// for as much as the mean of all upstreams. Queues of some ten statements
	// are worked off in that time.
	loadHalfTrust = 500 * time.Millisecond
	// answerHalfTrust is the same for the answer time, which changes when an
	// upstream becomes slow or recovers, so within seconds.
	answerHalfTrust = 5 * time.Second
	// preference is the power of the expected answer time by which an upstream
	// is less likely to be chosen. With 1, one that is six times slower would
	// get its share of the work by time; the square keeps callers away from it
	// but still learns when it has recovered.
	preference = 2
	// roomUntil and fullFrom are the loads, in statements for each that the
	// upstreams of the nearest distance can run, between which the choice
	// spreads to the next distance. The range is wide because the choice of
	// the others follows half a second later: a steep change would oscillate.
	roomUntil = 0.75
	fullFrom  = 1.75
	// slowFrom and slowUntil are the ratios of the answer time near to that
	// further away between which the choice spreads as well. The first covers
	// the noise of a mean of few answers.
	slowFrom  = 1.5
	slowUntil = 3
	// minFree keeps the primary in the choice, for when the others fail.
	minFree = 0.02
)

// Unknown is the age of a figure that was never received.
const Unknown = time.Duration(math.MaxInt64)

// Candidate is what a proxy knows of an upstream that could serve a read.
type Candidate struct {
	// Distance ranks the candidates, the nearest first.
	Distance int
	// AnswerTime is the mean time of recent answers, the last of which came
	// AnswerAge ago.
	AnswerTime, AnswerAge time.Duration
	// Overhead is added to the answer time of the next statement.
	Overhead time.Duration
	// Outstanding is how many statements were at the upstream or waited for it
	// LoadAge ago, and Capacity how many it can run at once.
	Outstanding, Capacity float64
	LoadAge               time.Duration
	// SentSince counts the statements that this proxy has sent there since.
	SentSince int
	// Free is the part of the capacity that is left for work with a choice.
	Free float64
}

// Reason says why an upstream was chosen.
type Reason string

// Reasons of choices.
const (
	// OnlyOne: there was no other.
	OnlyOne Reason = "only_one"
	// Nearest: it is one of the nearest.
	Nearest Reason = "nearest"
	// Spread: the nearer ones had too little room, or answered late.
	Spread Reason = "spread"
)

// expectation is what is expected of a candidate.
type expectation struct {
	load   float64 // statements for each that the upstream can run
	answer float64 // seconds, without a queue for the load
	free   float64
}

// Choose returns the index of a candidate, of which there must be at least one. random
// returns numbers from 0 to below 1.
func Choose(candidates []Candidate, random func() float64) (int, Reason) {
	if len(candidates) == 1 {
		return 0, OnlyOne
	}
	var room [usualCandidates]float64
	weights := weigh(candidates, room[:0])
	total := 0.0
	for _, w := range weights {
		total += w
	}
	chosen, rest := 0, random()*total
	for i, w := range weights {
		if w > 0 {
			chosen = i
		}
		if rest -= w; rest < 0 {
			break
		}
	}
	if candidates[chosen].Distance > nearest(candidates) {
		return chosen, Spread
	}
	return chosen, Nearest
}

// usualCandidates is how many candidates are weighed without an allocation.
const usualCandidates = 8

// weigh appends to weights how likely each candidate is chosen, in relation to the others.
func weigh(candidates []Candidate, weights []float64) []float64 {
	var room [usualCandidates]expectation
	expected := expect(candidates, room[:0])
	for range candidates {
		weights = append(weights, 0)
	}
	share := 1.0
	for distance := nearest(candidates); ; {
		next := math.MaxInt
		for i, c := range candidates {
			switch {
			case c.Distance == distance:
				e := expected[i]
				weights[i] = share * e.free / math.Pow(e.answer*(1+e.load), preference)
			case c.Distance > distance:
				next = min(next, c.Distance)
			}
		}
		if next == math.MaxInt {
			return weights
		}
		share *= spread(candidates, expected, distance)
		distance = next
	}
}

func nearest(candidates []Candidate) int {
	distance := math.MaxInt
	for _, c := range candidates {
		distance = min(distance, c.Distance)
	}
	return distance
}

// spread returns, from 0 to 1, how far the candidates beyond a distance share the work
// with those up to it.
func spread(candidates []Candidate, expected []expectation, distance int) float64 {
	load, near, far := math.Inf(1), math.Inf(1), math.Inf(1)
	for i, e := range expected {
		if candidates[i].Distance > distance {
			far = min(far, e.answer)
			continue
		}
		load = min(load, e.load/e.free)
		near = min(near, e.answer)
	}
	full := (load - roomUntil) / (fullFrom - roomUntil)
	slow := (near/far - slowFrom) / (slowUntil - slowFrom)
	return min(max(full, slow, 0), 1)
}

// expect weighs each figure by its age against the mean of all, and appends what follows
// to expected.
func expect(candidates []Candidate, expected []expectation) []expectation {
	var load, answer mean
	for _, c := range candidates {
		load.add(c.Outstanding/c.Capacity, trust(c.LoadAge, loadHalfTrust))
		answer.add(c.AnswerTime.Seconds(), trust(c.AnswerAge, answerHalfTrust))
	}
	for _, c := range candidates {
		expected = append(expected, expectation{
			load:   load.unless(c.Outstanding/c.Capacity, trust(c.LoadAge, loadHalfTrust)) + float64(c.SentSince)/c.Capacity,
			answer: answer.unless(c.AnswerTime.Seconds(), trust(c.AnswerAge, answerHalfTrust)) + c.Overhead.Seconds(),
			free:   max(c.Free, minFree),
		})
	}
	return expected
}

// trust returns the weight of a figure, from 0 to 1. It falls slowly in the end, because
// what has lasted for seconds, such as a slow upstream, often goes on.
func trust(age, half time.Duration) float64 { return float64(half) / (float64(half) + float64(age)) }

// mean is a weighted mean.
type mean struct{ sum, weights float64 }

func (m *mean) add(value, weight float64) {
	m.sum += value * weight
	m.weights += weight
}

// unless returns a value as far as it is trusted, and the mean for the rest.
func (m *mean) unless(value, trust float64) float64 {
	return trust*value + (1-trust)*m.sum/m.weights
}

// Free returns the part of a primary's capacity that is left for work with a choice of
// upstream, if forced is the work that only the primary can do and chosen the work that
// each of the upstreams could do, in any common unit. With that part, the primary and
// the replicas have equal loads.
func Free(forced, chosen float64, replicas int) float64 {
	if chosen <= 0 {
		return 1
	}
	ratio := forced / chosen
	return max((1-float64(replicas)*ratio)/(1+ratio), 0)
}
