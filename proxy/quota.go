package proxy

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/site"
)

// connectionQuota is a proxy's part of the connections of one upstream.
type connectionQuota struct {
	// limit is how many connections the proxy may have open.
	limit int
	// borrowable is how many more it may borrow; see borrow.go.
	borrowable int
	// idleTimeout is how long an unused connection stays open.
	idleTimeout time.Duration
	// scarce is set if a proxy often has to open a connection first, so
	// that the time for it is added to the expected wait. It is not set at
	// the home replica, so that reads prefer it.
	scarce bool
}

// relayedQuota is for virtual connections, which cost the upstream nothing.
var relayedQuota = connectionQuota{limit: 64, idleTimeout: idleTimeout}

// relayQuota returns the quota of a proxy that relays commands to an upstream for
// its data centre. Each data centre has one such proxy for each upstream.
func relayQuota(connections, dataCentres int) connectionQuota {
	each := shareOf(connections, dataCentres)
	return connectionQuota{limit: max(each, scarceConnections), idleTimeout: idleTimeout}
}

// teamsRelayShare is the part of its connections that a relay uses on a site with more
// teams than that. Such a relay always has all of them open, while elsewhere most are
// unused. The rest is for proxies that relay in its place, and for checks.
const teamsRelayShare = 0.85

// ownRelayQuota returns this proxy's quota under a view as the relay of a group's
// upstreams.
func (p *Proxy) ownRelayQuota(v *site.View, g *site.GroupView) connectionQuota {
	quota := relayQuota(g.MaxConnections, len(p.options.Regions))
	share := listShare(len(v.Relays), v.Proxies, len(p.options.Regions)) * float64(quota.limit)
	if v.TeamCount > quota.limit {
		share *= teamsRelayShare
	} else {
		// Data centres that are a little smaller than the average keep a whole share.
		share = math.Ceil(share)
	}
	quota.limit = max(int(share), scarceConnections)
	if v.TeamCount <= quota.limit {
		quota.borrowable = quota.limit
	}
	return quota
}

// listShare returns which part of an average data centre's proxies a list holds, at most
// 1. Proxies that watch another control host than their neighbours are on a list of
// their own, and have relays of their own.
func listShare(listed, proxies, dataCentres int) float64 {
	return min(float64(listed*max(dataCentres, 1))/float64(max(proxies, 1)), 1)
}

const (
	// reservedConnections of an upstream are kept for the control hosts.
	reservedConnections = 4
	// idleTimeout is below the time after which servers close idle
	// connections.
	idleTimeout = 45 * time.Second
	// relayThreshold is the number of connections for each proxy below which the
	// proxies of a data centre relay for each other. With fewer, reads,
	// transactions and the connections that an upstream still counts after a
	// loss of power don't have room side by side.
	relayThreshold = 4
	// scarceConnections and scarceIdleTimeout apply where there are too few
	// connections for each proxy to keep its own. A proxy opens one when it
	// needs it and closes it soon after. Two connections let a read and a
	// transaction run side by side.
	scarceConnections = 2
	scarceIdleTimeout = 800 * time.Millisecond
	// homeFraction is the share of a replica's connections that the proxies
	// whose home it is may keep open. The rest is for proxies whose own home
	// replica fails.
	homeFraction = 0.8
)

// fallbackQuota is for a proxy's own connections to an upstream that it reaches
// through a relay. It uses them only until it knows the relays.
var fallbackQuota = connectionQuota{limit: scarceConnections, idleTimeout: 100 * time.Millisecond, scarce: true}

// shareOf divides the connections of an upstream, less those that are kept for the
// control hosts, among a number of users.
func shareOf(connections, users int) int {
	return (connections - reservedConnections) / max(users, 1)
}

// needRelays reports whether there are too few connections for each proxy to keep
// its own. With fewer connections than teams a proxy would close the connection of
// one team for another's all the time; a relay keeps one for more teams.
func needRelays(connections, proxies, teams int) bool {
	return shareOf(connections, proxies) < max(relayThreshold, teams)
}

// equalQuota divides the connections of an upstream equally among the proxies.
func equalQuota(connections, proxies int) connectionQuota {
	each := shareOf(connections, proxies)
	if each < scarceConnections {
		return connectionQuota{limit: scarceConnections, idleTimeout: scarceIdleTimeout, scarce: true}
	}
	return connectionQuota{limit: each, idleTimeout: idleTimeout}
}

// homeQuota returns a proxy's quota at its home replica. The proxy keeps a
// connection open there if there are enough for all proxies with the same home.
func homeQuota(g *site.GroupView, proxies int) connectionQuota {
	quota := equalQuota(g.MaxConnections, proxies)
	quota.scarce = false
	atHome := float64(proxies) / float64(max(len(replicas(g)), 1))
	if atHome <= homeFraction*float64(g.MaxConnections-reservedConnections) {
		quota.idleTimeout = idleTimeout
	}
	return quota
}

// homeReplica returns the id of the replica of a group that the proxy prefers
// where connections are scarce; empty if the group has no replica. It is chosen
// among the nearest by rendezvous hashing, which spreads the proxies evenly
// over them, and the loss of a replica moves only the proxies whose home it
// was.
func (p *Proxy) homeReplica(g *site.GroupView) string {
	var home *pb.SiteUpstream
	var nearest distance
	var highestScore uint64
	for _, u := range replicas(g) {
		d, score := p.distanceTo(u), xxhash.Sum64String(p.options.Name+" "+u.Id)
		if home == nil || d < nearest || (d == nearest && score > highestScore) {
			home, nearest, highestScore = u, d, score
		}
	}
	return home.GetId()
}

// distance ranks upstreams by how far away they are, the nearest first.
type distance int

const (
	sameDataCentre distance = iota
	sameRegion
	otherRegion
)

func (p *Proxy) distanceTo(u *pb.SiteUpstream) distance {
	region, known := p.options.Regions[p.options.DataCentre]
	switch {
	case u.DataCentre == p.options.DataCentre:
		return sameDataCentre
	case known && p.options.Regions[u.DataCentre] == region:
		return sameRegion
	default:
		return otherRegion
	}
}

// replicas returns the upstreams of a group that are neither its primary nor
// leaving.
func replicas(g *site.GroupView) []*pb.SiteUpstream {
	var list []*pb.SiteUpstream
	for _, u := range g.Upstreams {
		if u.Id != g.Primary && !u.Leaving {
			list = append(list, u)
		}
	}
	return list
}
