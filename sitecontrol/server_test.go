package sitecontrol

import (
	"context"
	"fmt"
	"hash/crc32"
	"slices"
	"strings"
	"sync"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/site"
)

// Guards against an acknowledged configuration that is replaced by an older one
// which arrives late or is sent again.
func TestHighestVersionStaysInForce(t *testing.T) {
	hosts := startCluster(t, 3, newFakeUpstreams())
	storeConfig(t, hosts[0], 7, "seven")
	storeConfig(t, hosts[1], 5, "five")
	storeConfig(t, hosts[2], 7, "other seven")
	for _, h := range hosts {
		waitFor(t, "the newest document", func() bool { return readDocument(h) == "seven" })
	}
	storeConfig(t, hosts[2], 9, "nine")
	for _, h := range hosts {
		waitFor(t, "the newest document", func() bool { return readDocument(h) == "nine" })
	}
}

// Guards against a host without a quorum that returns the last document that it
// has applied.
func TestDocumentNeedsAQuorum(t *testing.T) {
	hosts := startCluster(t, 3, newFakeUpstreams())
	storeConfig(t, hosts[0], 7, "seven")
	for _, h := range hosts[1:] {
		h.stop()
		h.stop = func() {}
	}
	waitFor(t, "no answer without a quorum", func() bool { return readDocument(hosts[0]) == "" })
}

// Guards against a host that returns with an empty disk and is not added again,
// so that the loss of one more host takes the quorum.
func TestHostThatLostItsDiskJoinsAgain(t *testing.T) {
	hosts := startCluster(t, 3, newFakeUpstreams())
	storeConfig(t, hosts[0], 7, "seven")
	wiped := hosts[2]
	loseDisks(t, wiped)
	// Until it is removed and added again, it is listed as a voter with the
	// incarnation of the lost folder, and its votes don't count.
	waitFor(t, "three voters, the wiped one with its new folder", func() bool {
		return votersOf(hosts[0]) == 3 && isVoter(hosts[0], wiped) && readDocument(wiped) == "seven"
	})
	hosts[1].stop()
	hosts[1].stop = func() {}
	waitFor(t, "a quorum with the wiped host", func() bool { return readDocument(wiped) == "seven" })
}

// Guards against replaced hosts that stay members. With ended hosts among the
// voters, the next loss takes the quorum.
func TestReplacedHostIsRemoved(t *testing.T) {
	hosts := startCluster(t, 3, newFakeUpstreams())
	storeConfig(t, hosts[0], 7, "seven")
	// The host that ends is the leader, because its successor has never heard
	// from it and must count it as silent, too.
	for i, h := range hosts {
		if _, leads := h.node.Leadership(); leads {
			hosts[i], hosts[2] = hosts[2], hosts[i]
		}
	}
	hosts[2].stop()
	hosts[2].stop = func() {}
	l := listenOnFreePort(t)
	successor := &testHost{t: t, address: l.Addr().String(), dir: t.TempDir(), seeds: hosts[0].seeds, fake: hosts[0].fake}
	successor.start(l, nil)
	t.Cleanup(func() { successor.stop() })
	waitFor(t, "three voters without the replaced one", func() bool {
		for _, m := range hosts[0].node.Members() {
			if m.Address == hosts[2].address {
				return false
			}
		}
		return votersOf(hosts[0]) == 3 && readDocument(successor) == "seven"
	})
}

// Guards against a configuration of a large site that is refused because it does
// not fit into a log entry. A site serves nothing without a configuration.
func TestLargeConfigurationIsStored(t *testing.T) {
	hosts := startCluster(t, 3, newFakeUpstreams())
	var large strings.Builder
	for i := 0; large.Len() < 2<<20; i++ {
		fmt.Fprintf(&large, `{"name":"r-%d","host":"db%x","freshness":"bounded","timeout":1000},`, i, i*7919)
	}
	storeConfig(t, hosts[0], 7, large.String())
	assert.Equal(t, readDocument(hosts[1]), large.String())
}

// isVoter reports whether h lists the host voter as a voter with the incarnation
// of its present data folder.
func isVoter(h, voter *testHost) bool {
	for _, m := range h.node.Members() {
		if m.Address == voter.address {
			return m.Voter && m.Incarnation == voter.node.Status().Incarnation
		}
	}
	return false
}

func votersOf(h *testHost) int {
	count := 0
	for _, m := range h.node.Members() {
		if m.Voter {
			count++
		}
	}
	return count
}

func newAnnouncement(id string, primary bool, born int64, sequence uint64) *pb.SiteUpstream {
	port := 1 + crc32.ChecksumIEEE([]byte(id))%60000 // one for each id
	return &pb.SiteUpstream{Id: id, Group: "g", Address: fmt.Sprintf("10.0.0.1:%d", port), Slots: 3, Primary: primary, BornMs: born, Sequence: sequence}
}

// Guards against a delayed announcement that replaces a newer one of the same
// process or of a later process under the same id.
func TestLateAnnouncementsChangeNothing(t *testing.T) {
	s := New(Options{Name: "c1", State: site.NewState()})
	record := func(u *pb.SiteUpstream) bool { return s.newestAnnouncement(nil, u) == u }
	assert.Assert(t, record(newAnnouncement("a", true, 100, 5)))
	assert.Assert(t, !record(newAnnouncement("a", true, 100, 4)), "lower sequence")
	assert.Assert(t, !record(newAnnouncement("a", true, 100, 5)), "same sequence")
	assert.Assert(t, !record(newAnnouncement("a", true, 90, 50)), "earlier process")
	assert.Assert(t, record(newAnnouncement("a", false, 200, 1)), "later process under the same id")
}

// Guards against an announcement that is acknowledged before it is committed, because
// the same one was received before. If the first then fails, an upstream has been told
// that its leave is known, and proxies learn of it with a later announcement.
func TestRepeatedAnnouncementIsAcknowledgedOnceCommitted(t *testing.T) {
	hosts := startCluster(t, 3, newFakeUpstreams())
	announce(t, hosts[0], newAnnouncement("a", true, 100, 1))
	leader := slices.IndexFunc(hosts, func(h *testHost) bool { _, leads := h.node.Leadership(); return leads })
	assert.Assert(t, leader >= 0)
	for i, h := range hosts {
		if i != leader {
			h.stop()
			h.stop = func() {}
		}
	}
	leaving := newAnnouncement("a", true, 100, 2)
	leaving.Leaving = true
	var first sync.WaitGroup
	first.Go(func() { _ = hosts[leader].server.AnnounceUpstream(context.Background(), leaving) })
	server := hosts[leader].server
	waitFor(t, "the first announcement received", func() bool {
		server.mu.Lock()
		defer server.mu.Unlock()
		return server.announcements["a"].upstream.GetLeaving()
	})
	err := server.AnnounceUpstream(context.Background(), proto.Clone(leaving).(*pb.SiteUpstream))
	state, _, _ := server.options.State.Current()
	assert.Check(t, !site.Upstream(state, "a").Leaving)
	assert.Check(t, err != nil, "acknowledged without a quorum")
	first.Wait()
}

// Guards against an upstream that has left and is used again, because a delayed
// announcement that doesn't name the start of its process makes the leader propose the
// last one.
func TestLateAnnouncementOfARemovedUpstreamWithoutStart(t *testing.T) {
	hosts := startCluster(t, 1, newFakeUpstreams())
	announce(t, hosts[0], newAnnouncement("a", true, 0, 2))
	server, ctx := hosts[0].server, context.Background()
	assert.NilError(t, server.RemoveUpstream(ctx, "a"))
	assert.NilError(t, server.AnnounceUpstream(ctx, newAnnouncement("a", true, 0, 2)))
	assert.NilError(t, server.AnnounceUpstream(ctx, newAnnouncement("a", true, 0, 1)))
	state, _, _ := server.options.State.Current()
	assert.Assert(t, site.Upstream(state, "a") == nil)
}

// Guards against an upstream that has left and is used again, because its announcement
// is committed after its removal was acknowledged.
func TestRemovalOvertakesAnAnnouncementThatIsNotCommitted(t *testing.T) {
	hosts := startCluster(t, 1, newFakeUpstreams())
	announce(t, hosts[0], newAnnouncement("restarted", false, 50, 1))
	server, ctx := hosts[0].server, context.Background()
	for _, id := range []string{"first", "restarted"} {
		delayed := newAnnouncement(id, false, 100, 1)
		assert.Assert(t, server.newestAnnouncement(nil, delayed) == delayed)
		assert.NilError(t, server.RemoveUpstream(ctx, id))
		assert.NilError(t, server.recordUpstream(ctx, delayed))
		state, _, _ := server.options.State.Current()
		assert.Check(t, site.Upstream(state, id) == nil, "%s", id)
	}
}
