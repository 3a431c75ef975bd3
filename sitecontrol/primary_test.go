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
		{"only the control host cannot reach it", evidence{probesFailingFor: time.Minute, proxies: 18, sinceAnnouncement: time.Minute}, false},
		{"the control host and half of the proxies cannot reach it", evidence{probesFailingFor: primaryLossTimeout, cutOffFor: 1, proxies: 18}, true},
		{"one probe failed", evidence{probesFailingFor: primaryLossTimeout / 2, cutOffFor: 1, proxies: 18}, false},
		{"most proxies cannot reach it for long", evidence{cutOffFor: proxiesCutOffTimeout, proxies: 18}, true},
		{"most proxies cannot reach it for a moment", evidence{cutOffFor: proxiesCutOffTimeout / 2, proxies: 18}, false},
		{"no proxies, still announced", evidence{probesFailingFor: time.Minute}, false},
		{"no proxies, no announcements", evidence{probesFailingFor: time.Minute, sinceAnnouncement: time.Minute}, true},
	} {
		assert.Equal(t, c.e.lost(), c.lost, c.name)
	}
}
