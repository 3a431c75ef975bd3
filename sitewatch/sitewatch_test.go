package sitewatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a proxy that alternates between two control hosts that are cut
// off from the others together, and never tries a third: it served an old
// configuration for 4 s (pll-sketchyard, two-cuts --vary --seed 125042892340).
func TestAllOtherControlHostsAreTriedBeforeOneThatFailed(t *testing.T) {
	now := time.Unix(100, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	addresses := []string{"a", "b", "c"}
	failedAt := map[string]time.Time{"a": ago(3 * time.Second), "b": ago(time.Second)}
	candidates, failed := splitByFailure(addresses, failedAt, now)
	assert.DeepEqual(t, candidates, []string{"c"})
	assert.DeepEqual(t, failed, []string{"a", "b"})

	failedAt["c"] = ago(0)
	candidates, failed = splitByFailure(addresses, failedAt, now)
	assert.Equal(t, len(candidates), 0)
	assert.DeepEqual(t, failed, []string{"a", "b", "c"})

	candidates, _ = splitByFailure(addresses, failedAt, now.Add(failedHostBackoff))
	assert.DeepEqual(t, candidates, addresses)
}

// Guards against hundreds of proxies that keep control hosts from recovering, because
// each tries again several times a second while none of them can serve it.
func TestRetriesBecomeRarer(t *testing.T) {
	assert.Check(t, retryPause(0) <= 2*retryDelay)
	var waited time.Duration
	attempts := 0
	for ; waited < 10*time.Second; attempts++ {
		waited += retryPause(attempts)
	}
	assert.Check(t, attempts <= 16, "%d attempts in 10 s", attempts)
}
