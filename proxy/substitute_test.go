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
	f.parts.Relays, f.parts.Proxies = []*pb.RelayHost{{Name: "other"}}, 60
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
