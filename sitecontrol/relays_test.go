package sitecontrol

import (
	"context"
	"slices"
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/site"
	"lovageslip/tlsconf"
)

func relayReport(name, dataCentre string, startedMs int64) *connect.Request[pb.ReportRequest] {
	return connect.NewRequest(&pb.ReportRequest{Reporter: name, Proxies: 1, DataCentre: dataCentre,
		Relay: &pb.RelayHost{Name: name, Address: name + ":1", StartedMs: startedMs}})
}

func relayNames(hosts []*pb.RelayHost) []string {
	var names []string
	for _, h := range hosts {
		names = append(names, h.Name)
	}
	return names
}

// Guards against relays of other data centres, that have ended, that are leaving or
// that have not reported for long in the list that a proxy gets.
func TestRelaysOfADataCentre(t *testing.T) {
	s := New(Options{Name: "c1", State: site.NewState()})
	report := func(r *connect.Request[pb.ReportRequest]) { s.storeReport(r.Msg) }
	report(relayReport("b", "here", 1))
	report(relayReport("a", "here", 1))
	report(relayReport("c", "there", 1))
	assert.DeepEqual(t, relayNames(s.relaysOf("here")), []string{"a", "b"})
	sent := s.relaysOf("here")
	report(relayReport("a", "here", 1))
	assert.Check(t, slices.Equal(sent, s.relaysOf("here")), "an unchanged report changed the list")
	report(relayReport("a", "here", 2))
	assert.Equal(t, s.relaysOf("here")[0].StartedMs, int64(2))
	leaving := relayReport("b", "here", 1)
	leaving.Msg.Relay = nil
	report(leaving)
	assert.DeepEqual(t, relayNames(s.relaysOf("here")), []string{"a"})
	assert.Equal(t, len(sent), 2, "a list that was sent changed")

	s.mu.Lock()
	expired := s.reports["a"]
	expired.receivedAt = now().Add(-2 * reportLifetime)
	s.reports["a"] = expired
	s.mu.Unlock()
	s.gatherReports(true)
	assert.Equal(t, len(s.relaysOf("here")), 0)
}

// Guards against proxies that are never told which proxies relay for them, or that are
// told again with each keep-alive.
func TestWatchSendsRelays(t *testing.T) {
	hosts := startCluster(t, 1, newFakeUpstreams())
	storeConfig(t, hosts[0], 1, "one")
	client := NewClients(tlsconf.HTTPClient(nil)).ForAddress(hosts[0].address)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stream, err := client.Watch(ctx, connect.NewRequest(&pb.WatchSiteRequest{Proxy: "a", DataCentre: "here"}))
	assert.NilError(t, err)
	defer stream.Close()
	_, err = client.Report(ctx, relayReport("a", "here", 1))
	assert.NilError(t, err)
	var lists [][]string
	for range 5 {
		assert.Assert(t, stream.Receive(), "%v", stream.Err())
		if stream.Msg().RelaysChanged {
			lists = append(lists, relayNames(stream.Msg().Relays))
		}
	}
	assert.DeepEqual(t, lists, [][]string{{"a"}})
}

// Guards against proxies that count twice after they have turned to another control
// host, so that the share of those that miss a primary looks too small.
func TestProxyThatLeavesAControlHostIsNotCounted(t *testing.T) {
	s := New(Options{Name: "c1", State: site.NewState()})
	request := &pb.WatchSiteRequest{Proxy: "a", DataCentre: "here", Relay: &pb.RelayHost{Name: "a"}}
	first := s.beginWatch(request)
	assert.Equal(t, s.gatherReports(true).Proxies, uint32(1))
	second := s.beginWatch(request)
	s.endWatch("a", first)
	assert.Equal(t, s.gatherReports(true).Proxies, uint32(1), "the end of an earlier watch dropped the report")
	assert.Equal(t, len(s.relaysOf("here")), 1)
	s.endWatch("a", second)
	assert.Equal(t, s.gatherReports(true).Proxies, uint32(0))
	assert.Equal(t, len(s.relaysOf("here")), 0)
}
