package sitecontrol

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/quota"
)

// Guards against two hosts that both grant a whole limit: the first one's right must have
// ended before the leader's begins.
func TestOneHostAtATimeGrantsTheWholeLimit(t *testing.T) {
	for age := time.Duration(0); age < 5*time.Second; age += 10 * time.Millisecond {
		first, leader := firstRole(age), substituteRole(true, age)
		assert.Assert(t, first != roleFirst || leader != roleSuccessor, "both after %v", age)
	}
	assert.Equal(t, firstRole(time.Second), roleFirst)
	assert.Equal(t, substituteRole(true, 2*time.Second), roleSuccessor)
	assert.Equal(t, substituteRole(false, time.Hour), roleSubstitute)
}

// Guards against a host that is asked, while it doesn't answer, for each request.
func TestHostThatDoesNotAnswerIsLeftAloneForAWhile(t *testing.T) {
	var r reach
	at := time.Unix(1000, 0)
	assert.Assert(t, !r.answers("a", at) && !r.fails("a", at))
	assert.Assert(t, r.claimCheck("a", at))
	assert.Assert(t, !r.claimCheck("a", at.Add(reachInterval/2)))
	r.record("a", false, at)
	assert.Assert(t, r.fails("a", at.Add(reachInterval/2)) && !r.answers("a", at))
	assert.Assert(t, !r.fails("a", at.Add(reachInterval)) && r.claimCheck("a", at.Add(reachInterval)))
	r.record("a", true, at.Add(reachInterval))
	assert.Assert(t, r.answers("a", at.Add(2*reachInterval)) && !r.answers("a", at.Add(time.Hour)))
}

// Guards against a team that is counted at two hosts because one proxy does not reach the
// first, and against one that has part of its limit for as long as the first is lost.
func TestSubstitutePassesRequestsOn(t *testing.T) {
	hosts := startCluster(t, 3, newFakeUpstreams())
	config := &pb.SiteConfig{Version: 1}
	for i := range 20 {
		team := &pb.SiteTeam{Name: fmt.Sprint("team ", i), RatePerSecond: proto.Float64(1000), Burst: proto.Float64(1000)}
		config.Teams = append(config.Teams, team)
	}
	waitFor(t, "configuration stored", func() bool {
		return hosts[0].server.StoreConfig(context.Background(), config, nil) == nil
	})
	// The host that is asked neither leads nor counts the team.
	leads := func(h *testHost) bool { _, ok := h.node.Leadership(); return ok }
	var team string
	var first, other *testHost
	waitFor(t, "leader", func() bool { return slices.ContainsFunc(hosts, leads) })
	for _, candidate := range config.Teams {
		address := quota.RankCounters(hosts[0].server.memberAddresses(), candidate.Name)[0]
		first = hosts[slices.IndexFunc(hosts, func(h *testHost) bool { return h.address == address })]
		if team = candidate.Name; !leads(first) {
			break
		}
	}
	other = hosts[slices.IndexFunc(hosts, func(h *testHost) bool { return h != first && !leads(h) })]
	ask := func() {
		request := &pb.AdmitRequest{Team: team, Operations: 1, Substitute: true}
		// The host may not have the configuration yet; the test waits for the effect.
		_, _ = other.server.Admit(context.Background(), connect.NewRequest(request))
	}
	waitFor(t, "the first host counts", func() bool { ask(); return first.server.limiter.Len() == 1 })
	waitFor(t, "the first host has confirmed its state", func() bool { return first.server.roleAsFirst() == roleFirst })

	first.stop()
	first.stop = func() {}
	waitFor(t, "the leader takes the place of the first host", func() bool {
		ask()
		return slices.ContainsFunc(hosts, func(h *testHost) bool {
			return leads(h) && h.server.limiter.Len() == 1 && substituteRole(true, h.server.silentFor(first.address)) == roleSuccessor
		})
	})
	assert.Equal(t, first.server.roleAsFirst(), roleUnsure)
}
