package bootclock

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a result with Go's monotonic clock reading, which would be used
// for differences in place of the boot clock.
func TestNowHasNoMonotonicReading(t *testing.T) {
	now := Now()
	assert.Equal(t, now, now.Round(0))
}

func TestSinceAdvances(t *testing.T) {
	start := Now()
	time.Sleep(time.Millisecond)
	assert.Assert(t, Since(start) >= time.Millisecond)
}
