package site

import pb "lovageslip/gen/lovageslip/v1"

// Team is a customer of the site in a view. It is immutable. Two views hold
// different values for one team; its name identifies it.
type Team struct {
	Name string
	// Limited is false if the team's operations are not limited. The other two
	// fields are then 0.
	Limited bool
	// RatePerSecond is the limit of the team's operations over all proxies in
	// the long run, and Burst how many may come at once beyond that.
	RatePerSecond, Burst float64
}

func newTeam(t *pb.SiteTeam) *Team {
	if t.RatePerSecond == nil {
		return &Team{Name: t.Name}
	}
	return &Team{Name: t.Name, Limited: true, RatePerSecond: t.GetRatePerSecond(), Burst: t.GetBurst()}
}
