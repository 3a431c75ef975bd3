package site

import (
	"cmp"
	"fmt"
	"slices"

	pb "lovageslip/gen/lovageslip/v1"
)

const (
	// reservedConnections of an upstream are kept for the control hosts; package
	// proxy reserves as many.
	reservedConnections = 4
	// minProvenAgeMs is the age, in milliseconds, below which proxies rarely hold a
	// sample of the primary's position: they take one each 450 ms.
	minProvenAgeMs = 450
)

// Rule names what Lint or LintChange found.
type Rule string

// Rules of Lint and LintChange.
const (
	RuleRouteShadowed      Rule = "route_shadowed"
	RuleRouteWithoutCaller Rule = "route_without_caller"
	RuleGroupUnused        Rule = "group_unused"
	RuleTeamWithoutKey     Rule = "team_without_key"
	RuleTeamWithoutBurst   Rule = "team_without_burst"
	RuleTimeoutBelowTarget Rule = "timeout_below_target"
	RuleAgeNotProvable     Rule = "age_not_provable"
	RuleTooFewConnections  Rule = "too_few_connections"
	RuleVersionNotNewer    Rule = "version_not_newer"
)

// Finding is an entry of a valid configuration that has no effect, or that
// contradicts another one.
type Finding struct {
	Rule   Rule   `json:"rule"`
	Entry  string `json:"entry"`
	Detail string `json:"detail"`
}

// Lint returns what is likely to be a mistake in a configuration that CheckConfig
// accepts. Findings hold no keys of teams.
func Lint(c *pb.SiteConfig) []Finding {
	used := usedRoutes(c.Routes)
	return slices.Concat(lintRoutes(c, used), lintGroups(c.Groups, used), lintTeams(c.Teams))
}

// LintChange returns what keeps a configuration from replacing the one in force.
func LintChange(inForce, next *pb.SiteConfig) []Finding {
	if next.Version > inForce.Version {
		return nil
	}
	return []Finding{{Rule: RuleVersionNotNewer, Entry: "configuration",
		Detail: fmt.Sprintf("version %d doesn't replace version %d", next.Version, inForce.Version)}}
}

// usedRoutes returns the route that proxies use for each database, the one with the
// shortest prefix.
func usedRoutes(routes []*pb.SiteRoute) map[string]*pb.SiteRoute {
	used := make(map[string]*pb.SiteRoute)
	for _, r := range routes {
		if other, ok := used[r.Database]; !ok || len(r.Prefix) < len(other.Prefix) {
			used[r.Database] = r
		}
	}
	return used
}

func lintRoutes(c *pb.SiteConfig, used map[string]*pb.SiteRoute) []Finding {
	anyKey := slices.ContainsFunc(c.Teams, func(t *pb.SiteTeam) bool { return len(t.KeyDigests) > 0 })
	var found []Finding
	for _, r := range c.Routes {
		add := func(rule Rule, format string, args ...any) {
			found = append(found, Finding{Rule: rule, Entry: routeEntry(r), Detail: fmt.Sprintf(format, args...)})
		}
		if other := used[r.Database]; other != r {
			add(RuleRouteShadowed, "callers name no path, so proxies use the route with the shorter prefix %q", other.Prefix)
		}
		if len(c.Teams) > 0 && !anyKey && !r.Open {
			add(RuleRouteWithoutCaller, "the route needs a key, and no team has one")
		}
		if r.TargetMs > r.TimeoutMs {
			add(RuleTimeoutBelowTarget, "the timeout of %d ms ends statements before the target of %d ms", r.TimeoutMs, r.TargetMs)
		}
		if r.Freshness != pb.Freshness_FRESHNESS_LATEST && r.AgeMs < minProvenAgeMs {
			add(RuleAgeNotProvable, "an age of %d ms is below the %d ms between two positions of a primary, so most reads go there", r.AgeMs, minProvenAgeMs)
		}
	}
	return found
}

func lintGroups(groups []*pb.SiteGroup, used map[string]*pb.SiteRoute) []Finding {
	routed := make(map[string]bool)
	for _, r := range used {
		routed[r.Group] = true
	}
	var found []Finding
	for _, g := range groups {
		entry := "group " + g.Name
		if !routed[g.Name] {
			found = append(found, Finding{Rule: RuleGroupUnused, Entry: entry, Detail: "no route in use leads to the group"})
		}
		if g.MaxConnections <= reservedConnections {
			found = append(found, Finding{Rule: RuleTooFewConnections, Entry: entry,
				Detail: fmt.Sprintf("of %d connections to an upstream %d are kept for control hosts", g.MaxConnections, reservedConnections)})
		}
	}
	return found
}

func lintTeams(teams []*pb.SiteTeam) []Finding {
	var found []Finding
	for _, t := range teams {
		entry := "team " + t.Name
		if len(t.KeyDigests) == 0 {
			found = append(found, Finding{Rule: RuleTeamWithoutKey, Entry: entry, Detail: "without a key nobody can act for the team"})
		}
		if t.Burst != nil && t.GetBurst() == 0 && t.GetRatePerSecond() > 0 {
			found = append(found, Finding{Rule: RuleTeamWithoutBurst, Entry: entry,
				Detail: fmt.Sprintf("a rate of %g a second with a burst of 0 leaves no operation at once", t.GetRatePerSecond())})
		}
	}
	return found
}

func routeEntry(r *pb.SiteRoute) string {
	return "route " + cmp.Or(r.Name, "(no name)") + " " + r.Database + r.Prefix
}
