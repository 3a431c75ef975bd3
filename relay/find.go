package relay

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sourcegraph/conc/iter"

	"lovageslip/bootclock"
	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/proxy"
)

// maxProbedPeers bounds the proxies that are asked at the same time whether they reach
// an upstream. Where two fifths of the proxies are cut off from it, three others
// leave a chance of one in fifteen that none of them reaches it; the next search
// continues with others.
const maxProbedPeers = 3

// FindRelay implements proxy.Relays. It asks the peers that would be the relay next, and
// those behind them the next time. All proxies of the data centre ask in the same
// order, so that they find the same substitute.
func (c *Client) FindRelay(ctx context.Context, u *pb.SiteUpstream) bool {
	ranked := c.rankedPeers(u.Id)
	first := c.nextSearch(u.Id, len(ranked))
	asked := ranked[first:min(first+maxProbedPeers, len(ranked))]
	// The default is one goroutine for each core: a silent peer would hide the next.
	mapper := iter.Mapper[*peer, bool]{MaxGoroutines: maxProbedPeers}
	answers := mapper.Map(asked, func(p **peer) bool { return c.reaches(ctx, *p, u) })
	i := slices.Index(answers, true)
	if i < 0 {
		return false
	}
	c.setSubstitute(u.Id, ranked[:first+i], asked[i])
	return true
}

// rankedPeers returns the usable peers in the order in which they would be the relay
// of an upstream. The first one may be its relay.
func (c *Client) rankedPeers(upstreamID string) []*peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := bootclock.Now()
	var usable []*peer
	for _, p := range c.peers {
		if c.usableLocked(p, upstreamID, now) {
			usable = append(usable, p)
		}
	}
	slices.SortFunc(usable, func(a, b *peer) int {
		return cmp.Compare(score(b.host.Name, upstreamID), score(a.host.Name, upstreamID))
	})
	return usable
}

// search is one search for a substitute.
type search struct {
	// next is the rank of the peer with which the next search begins.
	next int
	at   time.Time
}

// searchMemory is for how long a search is continued by the next one. While an upstream
// is unreachable, searches follow each other within a second; after a longer time it has
// been reachable, and all proxies begin with the same peers again.
const searchMemory = 4 * time.Second

// nextSearch returns the rank of the first peer that is asked now, out of n.
func (c *Client) nextSearch(upstreamID string, n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := bootclock.Now()
	maps.DeleteFunc(c.searched, func(_ string, s search) bool { return now.Sub(s.at) >= searchMemory })
	first := c.searched[upstreamID].next
	if first >= n {
		first = 0
	}
	c.searched[upstreamID] = search{next: first + maxProbedPeers, at: now}
	return first
}

// setSubstitute makes a peer the relay of an upstream for a while, in place of this
// proxy and of the peers before it. These keep their place if nobody reaches the
// upstream: otherwise all proxies would dial it themselves once it is back.
func (c *Client) setSubstitute(upstreamID string, before []*peer, substitute *peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	until := bootclock.Now().Add(avoidMax)
	for _, p := range before {
		p.avoidUpstreams[upstreamID] = until
	}
	c.avoidSelf[upstreamID] = until
	delete(c.searched, upstreamID)
	clear(c.chosen)
	c.metrics.Counter("substitutes_total").Inc(1)
	c.log.Warn("relay does not reach an upstream; another proxy relays", "relay", substitute.host.Name, "upstream", upstreamID)
}

// reaches reports whether a peer says that it reaches an upstream.
func (c *Client) reaches(ctx context.Context, p *peer, u *pb.SiteUpstream) bool {
	r, _, err := p.check(ctx, u)
	return err == nil && r == proxy.Reachable
}
