package proxy

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/site"
)

// otherRelay is a Relays for which another proxy is the relay of every upstream.
type otherRelay struct{ Relays }

func (otherRelay) SetPeers([]*pb.RelayHost) {}
func (otherRelay) HasRelay(string) bool     { return true }

// Guards against proxies that relay for those which cannot reach the relay, and do so
// over the two connections that they keep for themselves.
func TestSubstituteForARelayHasItsConnections(t *testing.T) {
	f := newFixture(t)
	f.proxy.options.Relays, f.proxy.options.Regions = otherRelay{}, map[string]string{"here": "r", "there": "r"}
	for i := range 30 {
		f.parts.Relays = append(f.parts.Relays, &pb.RelayHost{Name: fmt.Sprint("other", i)})
	}
	f.parts.Proxies = 60
	f.parts.Config.Groups[0].MaxConnections = 44
	f.proxy.SetView(site.NewView(f.parts))
	key := poolKey{id: "p1", address: "p1"}
	assert.Equal(t, f.proxy.pools[key].quota, fallbackQuota)
	r := f.proxy.OpenRelayed("p1", "p1", 0)
	_, err := r.Run(context.Background(), Turn{MaxWait: time.Second}, time.Second, []Command{{Kind: CommandForward, Statement: write("w")}})
	assert.NilError(t, err)
	f.proxy.refreshRelayQuotas()
	assert.Equal(t, f.proxy.pools[key].quota.limit, (44-reservedConnections)/2/2)
	f.proxy.pools[key].relayedAt = now().Add(-relayingWindow)
	f.proxy.refreshRelayQuotas()
	assert.Equal(t, f.proxy.pools[key].quota, fallbackQuota)
}

// Guards against data centres whose proxies watch different control hosts, so that each
// part has a relay of its own for an upstream: every relay took a whole share, the
// upstream was over its limit, and the relay that came last had no connection while
// others held idle ones.
func TestRelaysOfASplitDataCentreShareItsConnections(t *testing.T) {
	f := newFixture(t)
	f.proxy.options.Relays, f.proxy.options.Regions = ownRelay{}, map[string]string{"here": "r", "there": "r"}
	f.parts.Proxies, f.parts.Config.Groups[0].MaxConnections = 20, 24
	quotaWith := func(listed int) int {
		f.parts.Relays = nil
		for i := range listed {
			f.parts.Relays = append(f.parts.Relays, &pb.RelayHost{Name: fmt.Sprint(i)})
		}
		f.proxy.SetView(site.NewView(f.parts))
		return f.proxy.pools[poolKey{id: "p1", address: "p1"}].quota.limit
	}
	assert.Equal(t, quotaWith(10), 10, "the data centre is whole")
	assert.Equal(t, quotaWith(12), 10, "the data centre is larger than the average")
	assert.Equal(t, quotaWith(6)+quotaWith(4), 10, "the data centre is split")

	quotaWith(10)
	pl := f.proxy.pools[poolKey{id: "p1", address: "p1"}]
	pl.concurrency = unlimitedConcurrency()
	var conns []*conn
	for range 10 {
		c, err := pl.acquire(context.Background(), highestUrgency(), "", time.Second)
		assert.NilError(t, err)
		conns = append(conns, c)
	}
	for _, c := range conns[:8] {
		pl.release(c)
	}
	quotaWith(4)
	pl.closeIdle()
	assert.Equal(t, pl.open, 4, "idle connections beyond the share stayed open")
	pl.release(conns[8])
	pl.release(conns[9])
	assert.Equal(t, pl.open, 4)
}

// ownRelay is a Relays for which this proxy is the relay of every upstream.
type ownRelay struct{ Relays }

func (ownRelay) SetPeers([]*pb.RelayHost) {}
func (ownRelay) HasRelay(string) bool     { return false }
func (ownRelay) IsSubstitute(string) bool { return false }

// Guards against a relay that takes the connections of the view before: with the first
// view of a site with teams, it took all of its data centre for the list of few proxies.
func TestQuotaOfARelayFollowsTheViewAtOnce(t *testing.T) {
	f := newFixture(t)
	f.proxy.options.Relays, f.proxy.options.Regions = ownRelay{}, map[string]string{"here": "r", "there": "r"}
	f.parts.Relays, f.parts.Proxies = []*pb.RelayHost{{Name: "other"}}, 60
	for i := range 20 {
		f.parts.Config.Teams = append(f.parts.Config.Teams, &pb.SiteTeam{Name: fmt.Sprint(i)})
	}
	f.proxy.SetView(site.NewView(f.parts))
	for _, pl := range f.proxy.pools {
		assert.Equal(t, pl.quota.limit, scarceConnections)
	}
}
