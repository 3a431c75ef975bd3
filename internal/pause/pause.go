// Package pause waits for a time or the end of a context.
package pause

import (
	"context"
	"time"
)

// For waits for d and reports false if ctx ends first.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
