package site

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	pb "lovageslip/gen/lovageslip/v1"
)

// usefulConfig returns a configuration without findings.
func usefulConfig() *pb.SiteConfig {
	return &pb.SiteConfig{
		Version: 1,
		Routes: []*pb.SiteRoute{{
			Name: "r", Database: "d", Prefix: "/", Group: "g", TimeoutMs: 800, TargetMs: 600, AgeMs: 1500,
			Freshness: pb.Freshness_FRESHNESS_BOUNDED,
		}},
		Groups: []*pb.SiteGroup{{Name: "g", MaxConnections: 46}},
		Teams:  []*pb.SiteTeam{{Name: "t", KeyDigests: [][]byte{[]byte("0123456789abcdef")}, RatePerSecond: proto.Float64(10), Burst: proto.Float64(5)}},
	}
}

// Guards against entries that are accepted, acknowledged and never have an effect.
func TestEntriesWithoutEffectAreFound(t *testing.T) {
	for _, test := range []struct {
		rule   Rule
		entry  string
		change func(c *pb.SiteConfig)
	}{
		{RuleRouteShadowed, "route long d/a", func(c *pb.SiteConfig) {
			c.Routes = append(c.Routes, &pb.SiteRoute{Name: "long", Database: "d", Prefix: "/a", Group: "g", TimeoutMs: 1, Freshness: pb.Freshness_FRESHNESS_LATEST})
		}},
		{RuleGroupUnused, "group h", func(c *pb.SiteConfig) {
			c.Groups = append(c.Groups, &pb.SiteGroup{Name: "h", MaxConnections: 46})
		}},
		{RuleTeamWithoutKey, "team u", func(c *pb.SiteConfig) { c.Teams = append(c.Teams, &pb.SiteTeam{Name: "u"}) }},
		{RuleTeamWithoutBurst, "team t", func(c *pb.SiteConfig) { c.Teams[0].Burst = proto.Float64(0) }},
		{RuleTimeoutBelowTarget, "route r d/", func(c *pb.SiteConfig) { c.Routes[0].TargetMs = 801 }},
		{RuleAgeNotProvable, "route r d/", func(c *pb.SiteConfig) { c.Routes[0].AgeMs = 449 }},
		{RuleTooFewConnections, "group g", func(c *pb.SiteConfig) { c.Groups[0].MaxConnections = 4 }},
	} {
		c := usefulConfig()
		assert.Equal(t, len(Lint(c)), 0)
		test.change(c)
		found := Lint(c)
		assert.Equal(t, len(found), 1, "%s: %v", test.rule, found)
		assert.Equal(t, found[0].Rule, test.rule)
		assert.Equal(t, found[0].Entry, test.entry)
	}
	c := usefulConfig()
	c.Teams[0].KeyDigests = nil
	assert.Equal(t, Lint(c)[0].Rule, RuleRouteWithoutCaller)
	c.Routes[0].Open = true
	assert.Equal(t, Lint(c)[0].Rule, RuleTeamWithoutKey)
}

// Guards against a change that an operator did not mean, and against digests that
// are shown as a whole.
func TestDifferencesAreNamed(t *testing.T) {
	next := usefulConfig()
	next.Version = 2
	next.Routes[0].TimeoutMs, next.Routes[0].Freshness = 1200, pb.Freshness_FRESHNESS_LATEST
	next.Groups = []*pb.SiteGroup{{Name: "h"}}
	next.Teams[0].KeyDigests, next.Teams[0].Burst = [][]byte{[]byte("fedcba9876543210")}, nil
	assert.Equal(t, len(Differences(next, next)), 0)
	assert.Equal(t, len(LintChange(usefulConfig(), next)), 0)
	assert.Equal(t, LintChange(next, next)[0].Rule, RuleVersionNotNewer)
	assert.DeepEqual(t, Differences(usefulConfig(), next), []Difference{
		{Changed, "route d /", []string{"freshness: FRESHNESS_BOUNDED -> FRESHNESS_LATEST", "timeout_ms: 800 -> 1200"}},
		{Removed, "group g", nil},
		{Added, "group h", nil},
		{Changed, "team t", []string{"key_digests: added 66656463", "key_digests: removed 30313233", "burst: 5 -> none"}},
		{Changed, "configuration", []string{"version: 1 -> 2"}},
	})
}
