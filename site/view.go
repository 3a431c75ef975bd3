package site

import (
	"cmp"
	"maps"
	"slices"
	"time"

	pb "lovageslip/gen/lovageslip/v1"
)

// View is the state of the site as a proxy uses it, indexed for look-ups. It is
// immutable.
type View struct {
	// Index is the log index up to which the view is complete.
	Index uint64
	// ConfigVersion is 0 before the first configuration.
	ConfigVersion uint64
	// TransactionIdle is how long a transaction may be idle; 0 for no limit.
	TransactionIdle time.Duration
	// Proxies is how many proxies share the upstreams, at least 1.
	Proxies int
	// TeamCount is how many teams the configuration has.
	TeamCount int
	// ControlHosts are the internal addresses of the control hosts.
	ControlHosts []string
	// Relays are the proxies of the proxy's own data centre, which relay
	// commands to upstreams for each other. It is empty while they are not
	// known.
	Relays []*pb.RelayHost

	leavingNotBefore map[string]time.Time

	teamsByName map[string]*Team

	routes map[string]*pb.SiteRoute
	groups map[string]*GroupView
	sorted []*GroupView // by name

	shortestTargets map[string]time.Duration // by group

	hasTeams  bool
	needsKeys bool
	teams     map[Digest]*Team // by the digests of their keys
}

// GroupView is one group in a view.
type GroupView struct {
	Name           string
	MaxConnections int
	// Primary is the id of the primary, or empty.
	Primary string
	// Upstreams are sorted by id.
	Upstreams []*pb.SiteUpstream
}

// Route returns the route of a database. If the database has several prefixes,
// that is the route with the shortest one, because a caller names only a
// database and no path.
func (v *View) Route(database string) (*pb.SiteRoute, bool) {
	r, ok := v.routes[database]
	return r, ok
}

// ShortestTarget returns the shortest target of a group's routes; 0 if none has one.
func (v *View) ShortestTarget(group string) time.Duration { return v.shortestTargets[group] }

// Group returns a group by name.
func (v *View) Group(name string) (*GroupView, bool) {
	g, ok := v.groups[name]
	return g, ok
}

// Groups returns all groups, sorted by name. The caller must not modify the slice.
func (v *View) Groups() []*GroupView { return v.sorted }

// HasTeams reports whether callers belong to teams. Otherwise nobody needs a key.
func (v *View) HasTeams() bool { return v.hasTeams }

// NeedsKeys reports whether callers of some route need the key of a team.
func (v *View) NeedsKeys() bool { return v.needsKeys }

// Team returns the team that holds the key with a digest. No team holds the empty
// key, which stands for a caller without one.
func (v *View) Team(key Digest) (*Team, bool) {
	t, ok := v.teams[key]
	return t, ok
}

// LeavingNotBefore returns a time on the boot clock after which an upstream that
// leaves has been acknowledged; the zero time if none is known.
func (v *View) LeavingNotBefore(id string) time.Time { return v.leavingNotBefore[id] }

// Upstream returns an upstream of the group, or nil.
func (g *GroupView) Upstream(id string) *pb.SiteUpstream { return findUpstream(g.Upstreams, id) }

// ViewParts are the parts from which a view is built. A proxy may receive them in
// different updates.
type ViewParts struct {
	Index        uint64
	Config       *pb.SiteConfig
	Upstreams    []*pb.SiteUpstream
	Groups       []*pb.SiteGroupState
	ControlHosts []string
	Proxies      int
	Relays       []*pb.RelayHost
	// LeavingNotBefore holds, by id of an upstream that leaves, the latest time
	// on the boot clock at which no control host can have acknowledged its
	// announcement yet. It lacks upstreams for which no such time is known.
	LeavingNotBefore map[string]time.Time
}

// NewView builds a view. The parts must not be modified afterwards.
func NewView(p ViewParts) *View {
	v := &View{
		Index:           p.Index,
		ConfigVersion:   p.Config.GetVersion(),
		TransactionIdle: time.Duration(p.Config.GetTransactionIdleMs()) * time.Millisecond,
		Proxies:         max(p.Proxies, 1),
		TeamCount:       len(p.Config.GetTeams()),
		ControlHosts:    p.ControlHosts,
		Relays:          p.Relays,

		leavingNotBefore: p.LeavingNotBefore,

		teamsByName: teamsByName(p.Config.GetTeams()),

		routes: make(map[string]*pb.SiteRoute),
		groups: make(map[string]*GroupView),

		shortestTargets: make(map[string]time.Duration),

		hasTeams: len(p.Config.GetTeams()) > 0,
		teams:    teamsByKey(p.Config.GetTeams()),
	}
	for _, r := range p.Config.GetRoutes() {
		v.needsKeys = v.needsKeys || (v.hasTeams && !r.Open)
		v.addTarget(r)
		if other, ok := v.routes[r.Database]; !ok || len(r.Prefix) < len(other.Prefix) {
			v.routes[r.Database] = r
		}
	}
	for _, g := range p.Config.GetGroups() {
		v.groups[g.Name] = &GroupView{Name: g.Name, MaxConnections: int(g.MaxConnections)}
	}
	v.addUpstreams(p)
	v.sorted = slices.SortedFunc(maps.Values(v.groups), func(a, b *GroupView) int { return cmp.Compare(a.Name, b.Name) })
	return v
}

func (v *View) addTarget(r *pb.SiteRoute) {
	target := time.Duration(r.TargetMs) * time.Millisecond
	if shortest, ok := v.shortestTargets[r.Group]; target > 0 && (!ok || target < shortest) {
		v.shortestTargets[r.Group] = target
	}
}

func (v *View) addUpstreams(p ViewParts) {
	for _, u := range p.Upstreams {
		if g, ok := v.groups[u.Group]; ok {
			g.Upstreams = append(g.Upstreams, u)
		}
	}
	for _, g := range v.groups {
		slices.SortFunc(g.Upstreams, func(a, b *pb.SiteUpstream) int { return cmp.Compare(a.Id, b.Id) })
	}
	for _, s := range p.Groups {
		if g, ok := v.groups[s.Group]; ok {
			g.Primary = s.Primary
		}
	}
}
