package entry

import (
	"sync"
	"time"
)

const (
	// successesPerRetry limits retries to 10 % of the successful requests.
	successesPerRetry = 10
	// minRetries is the number of retries in the budget at the start.
	minRetries = 10
	// maxRetries bounds the retries that accumulate while few are needed.
	maxRetries = 200
	// budgetRefill is the interval at which an empty budget gains one retry,
	// so that requests are retried after a complete outage, when there are no
	// successes.
	budgetRefill = time.Second
)

// budget is the retry budget of an Entry. It limits retries to a share of the
// successful requests, so that they cannot amplify an overload. It is safe for
// concurrent use.
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

// takeRetry takes one retry from the budget. It returns false if there is none.
func (b *budget) takeRetry(now time.Time) bool {
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
