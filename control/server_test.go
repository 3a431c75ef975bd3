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

// An upstream's announcement must work as plain JSON, and must not grow the
// log while it is repeated unchanged.
func TestRepeatedJSONAnnouncementWritesNothing(t *testing.T) {
	c := startCluster(t, 1, quick, nil)
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

// A bad announcement must be refused with the field, not logged.
func TestBadAnnouncementIsRefused(t *testing.T) {
	c := startCluster(t, 1, quick, nil)
	awaitLeader(t, c.nodes[0])
	bad := announcement("u1", "luzon")
	bad.Address = "db.example:5432"
	_, err := c.nodes[0].client.Announce(t.Context(), connect.NewRequest(bad))
	assert.Equal(t, connect.CodeOf(err), connect.CodeInvalidArgument)
	assert.ErrorContains(t, err, "address")
}

// Calls at a follower must reach the leader, and must not travel in a circle
// when two hosts believe that the other one leads.
func TestFollowerForwardsOnceOnly(t *testing.T) {
	c := startCluster(t, 3, quick, nil)
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
// only after the first's lease has run out.
func TestLeaseIsNotGivenToASecondHostBeforeExpiry(t *testing.T) {
	c := startCluster(t, 1, quick, nil)
	n := c.nodes[0]
	awaitLeader(t, n)
	n.announce(t, announcement("u1", "luzon"))
	n.awaitLease(t, beat("p1", "luzon"))
	lastSent := time.Now()
	assert.Assert(t, renews(n.beat(t, beat("p1", "luzon")), "u1"))
	n.awaitLease(t, beat("p2", "visayas"))
	assert.Assert(t, time.Since(lastSent) >= quick.Lease, "lease given after %s", time.Since(lastSent))
	assert.Assert(t, !renews(n.beat(t, beat("p1", "luzon")), "u1"))
}

// A released upstream must be handed over at once, and not to the host that
// is leaving.
func TestReleasedUpstreamIsReassignedAtOnce(t *testing.T) {
	slow := quick
	slow.LeaseExpiry = time.Hour
	c := startCluster(t, 1, slow, nil)
	n := c.nodes[0]
	awaitLeader(t, n)
	n.announce(t, announcement("u1", "luzon"))
	n.awaitLease(t, beat("p1", "luzon"))
	n.beat(t, beat("p2", "visayas"))
	leaving := beat("p1", "luzon")
	leaving.Leaving = true
	leaving.Released = []*pb.OwnedEpoch{{Upstream: "u1", Epoch: n.state.View().Upstreams["u1"].OwnerEpoch}}
	assert.Assert(t, !renews(n.beat(t, leaving), "u1"))
	n.awaitLease(t, beat("p2", "visayas"))
}

// A process that restarts under the same name must not use the lease of its
// predecessor, which may still be running.
func TestRestartedHostWaitsForItsPredecessorsLease(t *testing.T) {
	c := startCluster(t, 1, quick, nil)
	n := c.nodes[0]
	awaitLeader(t, n)
	n.announce(t, announcement("u1", "luzon"))
	n.awaitLease(t, beat("p1", "luzon"))
	lastSent := time.Now()
	n.beat(t, beat("p1", "luzon"))
	restarted := beat("p1", "luzon")
	restarted.Incarnation = 2
	n.awaitLease(t, restarted)
	assert.Assert(t, time.Since(lastSent) >= quick.Lease, "lease given after %s", time.Since(lastSent))
}

// A new leader does not know what its predecessor renewed, so it must wait a
// whole lease before it gives an upstream to another host.
func TestNewLeaderWaitsOneLease(t *testing.T) {
	c := startCluster(t, 2, quick, nil)
	awaitLeader(t, c.nodes[0])
	c.nodes[0].announce(t, announcement("u1", "luzon"))
	c.nodes[0].awaitLease(t, beat("p1", "luzon"))
	c.nodes[0].beat(t, beat("p1", "luzon"))
	lastSent := time.Now()
	c.elect(c.nodes[1].log)
	awaitLeader(t, c.nodes[1])
	c.nodes[1].awaitLease(t, beat("p2", "luzon"))
	assert.Assert(t, time.Since(lastSent) >= quick.Lease, "lease given after %s", time.Since(lastSent))
}

// A replaced leader must not renew leases: its successor does not count them.
func TestReplacedLeaderRenewsNothing(t *testing.T) {
	c := startCluster(t, 2, quick, nil)
	awaitLeader(t, c.nodes[0])
	c.cutOff(c.nodes[0].log, true)
	_, err := c.nodes[0].client.Heartbeat(t.Context(), connect.NewRequest(beat("p1", "luzon")))
	assert.Equal(t, connect.CodeOf(err), connect.CodeUnavailable)
}

// A leader that is replaced between reading the time and answering must not
// answer: its successor's wait may have begun before that time.
func TestLeaderReplacedWhileItAnswersRenewsNothing(t *testing.T) {
	once := quick
	once.Tick = time.Hour
	c := startCluster(t, 1, once, nil)
	n := c.nodes[0]
	n.server.Wake()
	awaitLeader(t, n)
	n.beat(t, beat("p1", "luzon"))
	n.log.checks.Store(1)
	_, err := n.client.Heartbeat(t.Context(), connect.NewRequest(beat("p1", "luzon")))
	assert.Equal(t, connect.CodeOf(err), connect.CodeUnavailable)
	assert.Assert(t, n.log.checks.Load() < 0, "the leader did not check again")
}

// Operators race and resend: of two changes with one expected version exactly
// one may win, on any control host, and a resent one gets its first answer.
func TestRacingAndResentClassChanges(t *testing.T) {
	c := startCluster(t, 3, quick, nil)
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
	again := change(second.GetWinner().GetChangeId(), c.nodes[0])
	assert.Assert(t, !again.GetConflict())
	assert.Equal(t, again.GetVersion(), first.GetVersion())
	list, err := c.nodes[1].client.ListClasses(t.Context(), connect.NewRequest(&pb.ListClassesRequest{}))
	assert.NilError(t, err)
	assert.Equal(t, list.Msg.GetVersion(), uint64(1))
}

// A dry run must answer like the change and change nothing.
func TestDryRunChangesNothing(t *testing.T) {
	c := startCluster(t, 1, quick, nil)
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

// A host that leaves may be given an upstream in the same moment. The upstream
// must go on to another host although the leaving one still sends heartbeats.
func TestLeavingHostKeepsNothing(t *testing.T) {
	slow := quick
	slow.LeaseExpiry = time.Hour
	c := startCluster(t, 1, slow, nil)
	n := c.nodes[0]
	awaitLeader(t, n)
	n.announce(t, announcement("u1", "luzon"))
	n.awaitLease(t, beat("p1", "luzon"))
	n.beat(t, beat("p2", "luzon"))
	leaving := beat("p1", "luzon")
	leaving.Leaving = true
	assert.Assert(t, !renews(n.beat(t, leaving), "u1"))
	n.awaitLease(t, beat("p2", "luzon"))
}
