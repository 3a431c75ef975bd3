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
	at := time.Unix(100, 0)
	ago := func(d time.Duration) time.Time { return at.Add(-d) }
	addresses := []string{"a", "b", "c"}
	failedAt := map[string]time.Time{"a": ago(3 * time.Second), "b": ago(time.Second)}
	candidates, failed := byFailure(addresses, failedAt, at)
	assert.DeepEqual(t, candidates, []string{"c"})
	assert.DeepEqual(t, failed, []string{"a", "b"})

	failedAt["c"] = ago(0)
	candidates, failed = byFailure(addresses, failedAt, at)
	assert.Equal(t, len(candidates), 0)
	assert.DeepEqual(t, failed, []string{"a", "b", "c"})

	candidates, _ = byFailure(addresses, failedAt, at.Add(forgetFailureAfter))
	assert.DeepEqual(t, candidates, addresses)
}
