package proxy

import (
	"sync"
	"time"

	"lovageslip/upstream"
)

// maxSamples bounds the memory of a group's samples. At one each 20 ms they reach
// back 5 s, further than any sensible maximum age of a read.
const (
	maxSamples        = 256
	minSampleInterval = 20 * time.Millisecond
)

// sample is a position that a leading primary reported. It includes every
// commit that was acknowledged before the request for it was sent at
// requestedAt.
type sample struct {
	position    upstream.Position
	requestedAt time.Time
}

// positions holds the samples of one group, oldest first. It is safe for
// concurrent use.
type positions struct {
	mu      sync.Mutex
	samples []sample
}

// add adds the position that a leading primary returned for a request sent at
// requestedAt. It ignores positions of earlier terms, and samples less than
// minSampleInterval apart.
func (p *positions) add(position upstream.Position, requestedAt time.Time) {
	if position == (upstream.Position{}) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.samples); n > 0 {
		last := p.samples[n-1]
		if position.Term < last.position.Term || requestedAt.Sub(last.requestedAt) < minSampleInterval {
			return
		}
		if position.Term > last.position.Term {
			// Positions of the earlier term may have been rolled
			// back, so that no upstream would ever hold them.
			p.samples = p.samples[:0]
		}
	}
	if len(p.samples) == maxSamples {
		p.samples = append(p.samples[:0], p.samples[maxSamples/4:]...)
	}
	p.samples = append(p.samples, sample{position, requestedAt})
}

// minPosition returns the earliest sampled position that includes every commit
// that was acknowledged longer ago than age. It reports false if all samples
// are older.
func (p *positions) minPosition(age time.Duration) (upstream.Position, bool) {
	cutoff := now().Add(-age)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.samples {
		if !s.requestedAt.Before(cutoff) {
			return s.position, true
		}
	}
	return upstream.Position{}, false
}

// newestAge returns the age of the newest sample; an hour if there is none.
func (p *positions) newestAge() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.samples) == 0 {
		return time.Hour
	}
	return since(p.samples[len(p.samples)-1].requestedAt)
}
