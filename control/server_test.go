package control_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"lovageslip/control/controlclient"
	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/gen/lovageslip/v1/lovageslipv1connect"
)

// An upstream must be able to announce itself with plain JSON over HTTP, and
// repeated announcements without a change must not grow the replicated log.
func TestRepeatedJSONAnnouncementWritesNothing(t *testing.T) {
	c := startCluster(t, 1, shortTiming, nil)
	n := c.nodes[0]
	awaitLeader(t, n)
	body := `{"name":"u1","database":"shop","address":"127.0.0.1:5432","dataCentre":"luzon","slots":5,"maxConnections":70}`
	post := func() {
		url := "http://" + n.address + lovageslipv1connect.ControlServiceAnnounceProcedure
		response, err := http.Post(url, "application/json", strings.NewReader(body))
		assert.NilError(t, err)
		defer response.Body.Close()
		data, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK, string(data))
		assert.Assert(t, json.Valid(data))
	}
	post()
	before := c.length()
	post()
	post()
	assert.Equal(t, c.length(), before)
	assert.Equal(t, n.state.View().Upstreams["u1"].Slots, 5)
}

// An invalid announcement must be refused with the name of the invalid field.
func TestBadAnnouncementIsRefused(t *testing.T) {
	c := startCluster(t, 1, shortTiming, nil)
	awaitLeader(t, c.nodes[0])
	invalid := announcement("u1", "luzon")
	invalid.Address = "db.example:5432"
	_, err := c.nodes[0].client.Announce(t.Context(), connect.NewRequest(invalid))
	assert.Equal(t, connect.CodeOf(err), connect.CodeInvalidArgument)
	assert.ErrorContains(t, err, "address")
}

// Calls to a follower must reach the leader. When two hosts each take the other
// for the leader, a call must not be forwarded back and forth between them.
func TestFollowerForwardsOnceOnly(t *testing.T) {
	c := startCluster(t, 3, shortTiming, nil)
	awaitLeader(t, c.nodes[0])
	c.nodes[1].announce(t, announcement("u1", "luzon"))
	_, known := c.nodes[2].state.View().Upstreams["u1"]
	assert.Assert(t, known)

	request := connect.NewRequest(announcement("u2", "luzon"))
	request.Header().Set(controlclient.ForwardedHeader, "c")
	_, err := c.nodes[1].client.Announce(t.Context(), request)
	assert.Equal(t, connect.CodeOf(err), connect.CodeUnavailable)
}

// Two hosts must never hold a lease on one upstream: the second may get it
// only after the lease of the first has expired.
func TestLeaseIsNotGrantedToASecondHostBeforeExpiry(t *testing.T) {
	c := startCluster(t, 1, shortTiming, nil)
	n := c.nodes[0]
	awaitLeader(t, n)
	n.announce(t, announcement("u1", "luzon"))
	n.awaitLease(t, heartbeatRequest("p1", "luzon"))
	lastSent := time.Now()
	assert.Assert(t, renews(n.heartbeat(t, heartbeatRequest("p1", "luzon")), "u1"))
	n.awaitLease(t, heartbeatRequest("p2", "visayas"))
	assert.Assert(t, time.Since(lastSent) >= shortTiming.Lease, "lease granted after %s", time.Since(lastSent))
	assert.Assert(t, !renews(n.heartbeat(t, heartbeatRequest("p1", "luzon")), "u1"))
}

// A released upstream must be handed over at once, and not to the host that
// is leaving.
func TestReleasedUpstreamIsReassignedAtOnce(t *testing.T) {
	longLease := shortTiming
	longLease.LeaseExpiry = time.Hour
	c := startCluster(t, 1, longLease, nil)
	n := c.nodes[0]
	awaitLeader(t, n)
	n.announce(t, announcement("u1", "luzon"))
	n.awaitLease(t, heartbeatRequest("p1", "luzon"))
	n.heartbeat(t, heartbeatRequest("p2", "visayas"))
	leaving := heartbeatRequest("p1", "luzon")
	leaving.Leaving = true
	leaving.Released = []*pb.OwnedEpoch{{Upstream: "u1", Epoch: n.state.View().Upstreams["u1"].OwnerEpoch}}
	assert.Assert(t, !renews(n.heartbeat(t, leaving), "u1"))
	n.awaitLease(t, heartbeatRequest("p2", "visayas"))
}

// A process that restarts under the same name must not use the lease of its
// predecessor, which may still be running.
func TestRestartedHostWaitsForItsPredecessorsLease(t *testing.T) {
	c := startCluster(t, 1, shortTiming, nil)
	n := c.nodes[0]
	awaitLeader(t, n)
	n.announce(t, announcement("u1", "luzon"))
	n.awaitLease(t, heartbeatRequest("p1", "luzon"))
	lastSent := time.Now()
	n.heartbeat(t, heartbeatRequest("p1", "luzon"))
	restarted := heartbeatRequest("p1", "luzon")
	restarted.Incarnation = 2
	n.awaitLease(t, restarted)
	assert.Assert(t, time.Since(lastSent) >= shortTiming.Lease, "lease granted after %s", time.Since(lastSent))
}

// A new leader does not know which leases its predecessor has renewed, so it
// must wait a whole lease before it assigns an upstream to another host.
func TestNewLeaderWaitsOneLease(t *testing.T) {
	c := startCluster(t, 2, shortTiming, nil)
	awaitLeader(t, c.nodes[0])
	c.nodes[0].announce(t, announcement("u1", "luzon"))
	c.nodes[0].awaitLease(t, heartbeatRequest("p1", "luzon"))
	c.nodes[0].heartbeat(t, heartbeatRequest("p1", "luzon"))
	lastSent := time.Now()
	c.elect(c.nodes[1].log)
	awaitLeader(t, c.nodes[1])
	c.nodes[1].awaitLease(t, heartbeatRequest("p2", "luzon"))
	assert.Assert(t, time.Since(lastSent) >= shortTiming.Lease, "lease granted after %s", time.Since(lastSent))
}

// A replaced leader must not renew leases, because its successor does not take
// them into account.
func TestReplacedLeaderRenewsNothing(t *testing.T) {
	c := startCluster(t, 2, shortTiming, nil)
	awaitLeader(t, c.nodes[0])
	c.setIsolated(c.nodes[0].log, true)
	_, err := c.nodes[0].client.Heartbeat(t.Context(), connect.NewRequest(heartbeatRequest("p1", "luzon")))
	assert.Equal(t, connect.CodeOf(err), connect.CodeUnavailable)
}

// A leader that is replaced between reading the time and answering must not
// renew a lease: its successor may have begun to wait for the expiry of leases
// before that time, and would assign the upstream too early.
func TestLeaderReplacedWhileItAnswersRenewsNothing(t *testing.T) {
	singleTick := shortTiming
	singleTick.Tick = time.Hour
	c := startCluster(t, 1, singleTick, nil)
	n := c.nodes[0]
	n.server.Wake()
	awaitLeader(t, n)
	n.heartbeat(t, heartbeatRequest("p1", "luzon"))
	n.log.leadershipChecks.Store(1)
	_, err := n.client.Heartbeat(t.Context(), connect.NewRequest(heartbeatRequest("p1", "luzon")))
	assert.Equal(t, connect.CodeOf(err), connect.CodeUnavailable)
	assert.Assert(t, n.log.leadershipChecks.Load() < 0, "the leader did not check its leadership after it had read the time")
}

// Operators may change classes concurrently and repeat calls. Of two changes
// with the same expected version exactly one may be accepted, whichever control
// hosts they are sent to, and a repeated call must get its first answer.
func TestRacingAndResentClassChanges(t *testing.T) {
	c := startCluster(t, 3, shortTiming, nil)
	awaitLeader(t, c.nodes[0])
	change := func(id string, n *node) *pb.ChangeClassResponse {
		r, err := n.client.ChangeClass(t.Context(), connect.NewRequest(&pb.ChangeClassRequest{
			ChangeId: id, Class: &pb.Class{Name: "short", WaitMicros: 50_000},
		}))
		assert.Check(t, err)
		return r.Msg
	}
	racing := make(chan *pb.ChangeClassResponse, 1)
	go func() { racing <- change("one", c.nodes[1]) }()
	first, second := change("two", c.nodes[2]), <-racing
	if first.GetConflict() {
		first, second = second, first
	}
	assert.Assert(t, !first.GetConflict())
	assert.Assert(t, second.GetConflict())
	resent := change(second.GetWinner().GetChangeId(), c.nodes[0])
	assert.Assert(t, !resent.GetConflict())
	assert.Equal(t, resent.GetVersion(), first.GetVersion())
	list, err := c.nodes[1].client.ListClasses(t.Context(), connect.NewRequest(&pb.ListClassesRequest{}))
	assert.NilError(t, err)
	assert.Equal(t, list.Msg.GetVersion(), uint64(1))
}

// A dry run must get the same answer as the change itself and change nothing.
func TestDryRunChangesNothing(t *testing.T) {
	c := startCluster(t, 1, shortTiming, nil)
	n := c.nodes[0]
	awaitLeader(t, n)
	request := &pb.ChangeClassRequest{ChangeId: "one", DryRun: true, Class: &pb.Class{Name: "short", WaitMicros: 50_000}}
	r, err := n.client.ChangeClass(t.Context(), connect.NewRequest(request))
	assert.NilError(t, err)
	assert.Equal(t, r.Msg.GetVersion(), uint64(1))
	assert.Equal(t, len(n.state.View().Classes), 0)
	request.Class.Name = "No Name"
	r, err = n.client.ChangeClass(t.Context(), connect.NewRequest(request))
	assert.NilError(t, err)
	assert.Equal(t, len(r.Msg.GetProblems()), 1)
}

// A host may be assigned an upstream at the moment when it starts to leave. The
// upstream must then move on to another host, although the leaving host still
// sends heartbeats.
func TestLeavingHostKeepsNoUpstream(t *testing.T) {
	longLease := shortTiming
	longLease.LeaseExpiry = time.Hour
	c := startCluster(t, 1, longLease, nil)
	n := c.nodes[0]
	awaitLeader(t, n)
	n.announce(t, announcement("u1", "luzon"))
	n.awaitLease(t, heartbeatRequest("p1", "luzon"))
	n.heartbeat(t, heartbeatRequest("p2", "luzon"))
	leaving := heartbeatRequest("p1", "luzon")
	leaving.Leaving = true
	assert.Assert(t, !renews(n.heartbeat(t, leaving), "u1"))
	n.awaitLease(t, heartbeatRequest("p2", "luzon"))
}
