package proxy

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"lovageslip/site"
	"lovageslip/upstream"
)

// Guards against proxies that open a connection for each read and close it soon
// after, where an upstream has fewer connections than there are proxies. An
// upstream spends 12 ms of a slot on each connection, nearly half of the work
// of a read.
func TestScarceConnectionsAreKeptAtTheHomeReplica(t *testing.T) {
	f := newFixture(t)
	f.parts.Proxies = 60 // 36 connections of each upstream are to be shared
	f.parts.Config.Groups[0].MaxConnections = 44
	f.proxy.SetView(site.NewView(f.parts))
	f.proxy.group("g").positions.add(upstream.Position{Term: 3, Offset: 100}, now())
	for i := range 20 {
		reply := f.open("bounded").Do(context.Background(), read(fmt.Sprint(i)))
		assert.Assert(t, reply.Refusal == nil, "%v", reply.Refusal)
		for _, pl := range f.proxy.pools {
			for _, c := range pl.idle {
				c.idleSince = now().Add(-2 * scarceIdleTimeout)
			}
			pl.closeIdle()
		}
	}
	f.group.mu.Lock()
	defer f.group.mu.Unlock()
	dials := 0
	for _, u := range f.group.upstreams {
		dials += u.dials
	}
	assert.Equal(t, dials, 1, "connections for 20 reads")
}

// Guards against most proxies having the same home replica.
func TestHomeReplicasAreSpreadOverProxies(t *testing.T) {
	f := newFixture(t)
	g, _ := f.proxy.View().Group("g")
	counts := map[string]int{}
	for i := range 200 {
		f.proxy.options.Name = fmt.Sprintf("proxy-%d", i)
		counts[f.proxy.homeReplica(g)]++
	}
	assert.Equal(t, len(counts), 2)
	f.proxy.options.Regions = map[string]string{"here": "north", "there": "north", "far": "south"}
	g.Upstream("r1").DataCentre, g.Upstream("r2").DataCentre = "far", "there"
	assert.Equal(t, f.proxy.homeReplica(g), "r2", "the home must be the nearer replica")
	for id, n := range counts {
		assert.Assert(t, n > 70, "%s is the home of %d of 200 proxies", id, n)
	}
}

// Guards against a few proxies that watch another control host than their neighbours, and
// whose relay takes as many connections as that of all others of the data centre.
func TestRelayOfFewProxiesHasFewConnections(t *testing.T) {
	const proxies, dataCentres = 120, 6
	assert.Equal(t, listShare(20, proxies, dataCentres), 1.0)
	assert.Equal(t, listShare(40, proxies, dataCentres), 1.0)
	assert.Equal(t, listShare(2, proxies, dataCentres), 0.1)
	assert.Equal(t, listShare(0, 0, 0), 0.0)
}
