package proxy

import (
	"testing"

	"gotest.tools/v3/assert"

	"lovageslip/site"
	"lovageslip/upstream"
)

// Guards against reads at a leaving upstream while the proxy backs off from the
// others after refusals: a read reached one 7 s after its leave had been
// acknowledged.
func TestLeavingUpstreamGetsNoReadsWhileOthersBackOff(t *testing.T) {
	f := newFixture(t)
	f.parts.Upstreams[1].Leaving = true
	f.proxy.SetView(site.NewView(f.parts))
	view, _ := f.proxy.View().Group("g")
	for _, u := range view.Upstreams {
		if pl, ok := f.proxy.pool(u); ok && !u.Leaving {
			pl.recordBusy(backoffMax)
		}
	}
	c, ok := f.proxy.chooseForRead(view, upstream.Position{}, map[string]bool{})
	assert.Assert(t, ok)
	assert.Assert(t, !c.upstream.Leaving, c.upstream.Id)

	_, ok = f.proxy.chooseForRead(view, upstream.Position{}, map[string]bool{"p1": true, "r2": true})
	assert.Assert(t, !ok, "the leaving upstream was chosen as the last one")
}

// Guards against a replica that gets no reads, not even those that it could
// serve, because one read needed a newer position than the replica holds.
func TestLaggingReplicaServesReadsOfOlderPositions(t *testing.T) {
	f := newFixture(t)
	view, _ := f.proxy.View().Group("g")
	at := func(offset upstream.Offset) upstream.Position { return upstream.Position{Term: 3, Offset: offset} }
	for _, u := range f.parts.Upstreams[1:] {
		pl, _ := f.proxy.pool(u)
		pl.recordLagging(at(90))
	}
	c, _ := f.proxy.chooseForRead(view, at(95), map[string]bool{})
	assert.Equal(t, c.upstream.Id, "p1")
	c, _ = f.proxy.chooseForRead(view, at(90), map[string]bool{})
	assert.Assert(t, c.upstream.Id != "p1")
}
