package sitecontrol

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a primary that is kept although most proxies cannot reach it,
// and against the replacement of one that only the control hosts cannot reach.
func TestPrimaryLostByEvidence(t *testing.T) {
	for _, c := range []struct {
		name string
		e    evidence
		lost bool
	}{
		{"only control misses it", evidence{unanswered: time.Minute, proxies: 18, announced: time.Minute}, false},
		{"control and half of the proxies miss it", evidence{unanswered: primaryLostAfter, missed: 1, proxies: 18}, true},
		{"one probe failed", evidence{unanswered: primaryLostAfter / 2, missed: 1, proxies: 18}, false},
		{"most proxies miss it for long", evidence{missed: missedAfter, proxies: 18}, true},
		{"most proxies miss it for a moment", evidence{missed: missedAfter / 2, proxies: 18}, false},
		{"no proxies, still announced", evidence{unanswered: time.Minute}, false},
		{"no proxies, no announcements", evidence{unanswered: time.Minute, announced: time.Minute}, true},
	} {
		assert.Equal(t, c.e.lost(), c.lost, c.name)
	}
}
