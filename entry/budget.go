package entry

import (
	"sync"
	"time"
)

const (
	// successesPerRetry gives retries a share of 10 % of the successes.
	successesPerRetry = 10
	// minRetries is what the budget holds at the start.
	minRetries = 10
	// maxRetries bounds the retries that a quiet time can save up.
	maxRetries = 200
	// budgetRefill is how often a budget without successes gains one retry,
	// so that service can be found again after a complete outage.
	budgetRefill = time.Second
)

// budget bounds retries to a share of successes. It is safe for concurrent use.
type budget struct {
	mu       sync.Mutex
	credit   int       // guarded by mu, in successes
	refilled time.Time // guarded by mu
}

func (b *budget) init(now time.Time) {
	b.credit = minRetries * successesPerRetry
	b.refilled = now
}

func (b *budget) succeeded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(b.credit+1, maxRetries*successesPerRetry)
}

// take uses one retry up and reports whether there was one.
func (b *budget) take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.credit < successesPerRetry && now.Sub(b.refilled) >= budgetRefill {
		b.credit += successesPerRetry
		b.refilled = now
	}
	if b.credit < successesPerRetry {
		return false
	}
	b.credit -= successesPerRetry
	return true
}
