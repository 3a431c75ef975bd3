package proxy

import (
	"fmt"
	"testing"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"lovageslip/site"
	"lovageslip/upstream"
)

// Guards against operators who can't see which upstream refuses what, and how much of its
// load could have gone elsewhere.
func TestMetricsTellTheLoadOfEachUpstream(t *testing.T) {
	f := newFixture(t)
	scope := tally.NewTestScope("", nil)
	f.proxy = New(Options{DataCentre: "here", Dialer: f.group, Metrics: scope})
	f.proxy.SetView(site.NewView(f.parts))
	f.proxy.group("g").positions.add(upstream.Position{Term: 3, Offset: 101}, now())
	f.group.update("p1", func(u *fakeUpstream) { u.offset = 101 })
	for i := range 20 {
		mustServe(t, f.open("bounded"), read(fmt.Sprint("r", i)))
	}
	mustServe(t, f.open("latest"), write("w"))
	counters := map[string]int64{}
	for _, c := range scope.Snapshot().Counters() {
		if id := c.Tags()["upstream"]; id != "" {
			counters[id+" "+c.Tags()["outcome"]+c.Tags()["choice"]] += c.Value()
		}
	}
	assert.Equal(t, counters["p1 true"], int64(20), "%v", counters)
	assert.Equal(t, counters["p1 false"], int64(1), "%v", counters)
	assert.Equal(t, counters["r1 ran"]+counters["r2 ran"], int64(0))
	assert.Check(t, counters["r1 lagging"]+counters["r2 lagging"] > 0, "%v", counters)
}

// Guards against metrics that grow with each upstream that is replaced.
func TestMetricsOfUpstreamsAreBounded(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	p := New(Options{Metrics: scope})
	for i := range 3 * maxUpstreamSeries {
		p.upstreamMetricsLocked(fmt.Sprint("u", i), "direct").countServed(true)
	}
	ids := map[string]bool{}
	for _, c := range scope.Snapshot().Counters() {
		ids[c.Tags()["upstream"]] = true
	}
	delete(ids, "")
	assert.Equal(t, len(ids), maxUpstreamSeries+1)
}
