package site

import (
	"strconv"

	"lovageslip/fault"
	pb "lovageslip/gen/lovageslip/v1"
)

// routeKey identifies a route: no two routes have the same database and prefix.
type routeKey struct{ database, prefix string }

// CheckConfig returns *fault.Invalid if a configuration has two groups of one
// name, two routes of one key, or a route without a group or timeout.
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
	return nil
}

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
