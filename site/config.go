package site

import (
	"math"
	"strconv"
	"strings"
	"unicode"

	"lovageslip/fault"
	pb "lovageslip/gen/lovageslip/v1"
)

// routeKey identifies a route: no two routes have the same database and prefix.
type routeKey struct{ database, prefix string }

// CheckConfig returns *fault.Invalid if a configuration has two groups of one
// name, two routes of one key, a route without a group or timeout, or teams that
// checkTeams refuses. The error's text holds no key of a team.
func CheckConfig(c *pb.SiteConfig) error {
	groups := make(map[string]bool, len(c.Groups))
	for _, g := range c.Groups {
		if groups[g.Name] {
			return &fault.Invalid{Field: "group", Value: g.Name, Allowed: "one group of each name"}
		}
		groups[g.Name] = true
	}
	seen := make(map[routeKey]bool, len(c.Routes))
	for _, r := range c.Routes {
		if err := checkRoute(r, groups); err != nil {
			return err
		}
		key := routeKey{r.Database, r.Prefix}
		if seen[key] {
			return &fault.Invalid{Field: "route " + r.Name, Value: r.Database + r.Prefix, Allowed: "one route for each database and prefix"}
		}
		seen[key] = true
	}
	return checkTeams(c.Teams)
}

// checkTeams refuses two teams of one name, two teams that share a key, and a team
// that checkTeam refuses.
func checkTeams(teams []*pb.SiteTeam) error {
	names := make(map[string]bool, len(teams))
	holders := make(map[string]string)
	for _, t := range teams {
		if err := checkTeam(t); err != nil {
			return err
		}
		if names[t.Name] {
			return &fault.Invalid{Field: "team", Value: t.Name, Allowed: "one team of each name"}
		}
		names[t.Name] = true
		for _, digest := range t.KeyDigests {
			if holder, ok := holders[string(digest)]; ok && holder != t.Name {
				return &fault.Invalid{Field: "team " + t.Name, Value: "a key of team " + holder, Allowed: "keys that no other team has"}
			}
			holders[string(digest)] = t.Name
		}
	}
	return nil
}

// checkTeam refuses a team whose name upstreams could not be told as one word, or
// whose limit is no number of operations. A limit of 0 is one.
func checkTeam(t *pb.SiteTeam) error {
	field := "team " + strconv.Quote(t.Name)
	if t.Name == "" || strings.ContainsFunc(t.Name, splitsWord) {
		return &fault.Invalid{Field: field + " name", Value: strconv.Quote(t.Name), Allowed: "one word of printable characters"}
	}
	for _, limit := range []float64{t.GetRatePerSecond(), t.GetBurst()} {
		if limit < 0 || math.IsNaN(limit) || math.IsInf(limit, 0) {
			return &fault.Invalid{Field: field + " limit", Value: strconv.FormatFloat(limit, 'g', -1, 64), Allowed: "a finite number, at least 0"}
		}
	}
	for _, digest := range t.KeyDigests {
		if len(digest) != KeyDigestBytes {
			return &fault.Invalid{Field: field + " key", Value: strconv.Itoa(len(digest)) + " bytes", Allowed: strconv.Itoa(KeyDigestBytes) + " bytes of a digest"}
		}
	}
	return nil
}

// splitsWord reports whether a character may not stand in a word of the line
// protocol.
func splitsWord(r rune) bool { return unicode.IsSpace(r) || !unicode.IsPrint(r) }

func checkRoute(r *pb.SiteRoute, groups map[string]bool) error {
	field := "route " + r.Name
	switch {
	case !groups[r.Group]:
		return &fault.Invalid{Field: field, Value: r.Group, Allowed: "a group of the same configuration"}
	case r.TimeoutMs == 0:
		return &fault.Invalid{Field: field + " timeout", Value: strconv.Itoa(int(r.TimeoutMs)), Allowed: "at least 1 ms"}
	default:
		return nil
	}
}
