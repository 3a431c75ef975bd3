package site

import pb "lovageslip/gen/lovageslip/v1"

// TeamByName returns a team by its name.
func (v *View) TeamByName(name string) (*Team, bool) {
	t, ok := v.teamsByName[name]
	return t, ok
}

func teamsByName(teams []*pb.SiteTeam) map[string]*Team {
	byName := make(map[string]*Team)
	for _, t := range teams {
		byName[t.Name] = newTeam(t)
	}
	return byName
}
