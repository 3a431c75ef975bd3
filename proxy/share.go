package proxy

import (
	"time"

	"github.com/cespare/xxhash/v2"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/site"
)

// share is a proxy's share of the connections of one upstream.
type share struct {
	// limit is how many it may have open.
	limit int
	// idle is how long an unused one stays open.
	idle time.Duration
	// scarce is set where opening a connection must be expected. It is not
	// at a home replica, so that reads begin to go there.
	scarce bool
}

const (
	// reservedConnections of an upstream are kept for the control hosts.
	reservedConnections = 4
	// idleLimit is below the time after which servers close idle
	// connections.
	idleLimit = 45 * time.Second
	// scarceLimit and scarceIdle apply where there are too few connections
	// for each proxy to keep its own. A proxy opens one when it needs it,
	// and gives it up soon after. A read and a transaction can then go on
	// side by side.
	scarceLimit = 2
	scarceIdle  = 800 * time.Millisecond
	// homeFraction of a replica's connections may be kept by the proxies
	// whose home it is. The rest is for those that come from elsewhere
	// while another upstream fails.
	homeFraction = 0.8
)

// connectionShare divides the connections of an upstream among the proxies.
func connectionShare(connections, proxies int) share {
	each := (connections - reservedConnections) / max(proxies, 1)
	if each < scarceLimit {
		return share{limit: scarceLimit, idle: scarceIdle, scarce: true}
	}
	return share{limit: each, idle: idleLimit}
}

// homeShare is a proxy's share at its home replica, where it keeps a connection
// if those of the other proxies at home there leave room for it.
func homeShare(g *site.GroupView, proxies int) share {
	part := connectionShare(g.MaxConnections, proxies)
	part.scarce = false
	atHome := float64(proxies) / float64(max(len(replicas(g)), 1))
	if atHome <= homeFraction*float64(g.MaxConnections-reservedConnections) {
		part.idle = idleLimit
	}
	return part
}

// homeReplica returns the replica of a group that the proxy prefers where
// connections are scarce; empty if there is none. It is one of the nearest. Each
// of these gets an equal part of the proxies, and the loss of one moves only
// those that were at home there.
func (p *Proxy) homeReplica(g *site.GroupView) string {
	var home *pb.SiteUpstream
	var nearest distance
	var highest uint64
	for _, u := range replicas(g) {
		d, weight := p.distanceTo(u), xxhash.Sum64String(p.o.Name+" "+u.Id)
		if home == nil || d < nearest || (d == nearest && weight > highest) {
			home, nearest, highest = u, d, weight
		}
	}
	return home.GetId()
}

// distance is how far away an upstream is.
type distance int

const (
	sameDataCentre distance = iota
	sameRegion
	otherRegion
)

func (p *Proxy) distanceTo(u *pb.SiteUpstream) distance {
	region, known := p.o.Regions[p.o.DataCentre]
	switch {
	case u.DataCentre == p.o.DataCentre:
		return sameDataCentre
	case known && p.o.Regions[u.DataCentre] == region:
		return sameRegion
	default:
		return otherRegion
	}
}

// replicas lists the upstreams of a group that stay and don't lead it.
func replicas(g *site.GroupView) []*pb.SiteUpstream {
	var list []*pb.SiteUpstream
	for _, u := range g.Upstreams {
		if u.Id != g.Primary && !u.Leaving {
			list = append(list, u)
		}
	}
	return list
}
