package control_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"lovageslip/control"
	"lovageslip/control/controlclient"
	"lovageslip/controlstate"
	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/gen/lovageslip/v1/lovageslipv1connect"
	"lovageslip/member"
	"lovageslip/upstream"
)

// quick shortens the settling times; the lease keeps its length relative to
// its expiry.
var quick = control.Timing{
	Lease:         900 * time.Millisecond,
	LeaseExpiry:   time.Second,
	Tick:          10 * time.Millisecond,
	HostAlive:     2 * time.Second,
	HostSettle:    50 * time.Millisecond,
	WatchInterval: 50 * time.Millisecond,
}

type node struct {
	log     *memoryLog
	state   *controlstate.State
	server  *control.Server
	address string
	client  lovageslipv1connect.ControlServiceClient
	// traffic counts the bytes in both directions.
	traffic atomic.Int64
}

type cluster struct {
	*memoryCluster
	nodes []*node
}

func startCluster(t testing.TB, size int, timing control.Timing, dialer upstream.Dialer) *cluster {
	t.Helper()
	c := &cluster{memoryCluster: &memoryCluster{}}
	for i := range size {
		c.nodes = append(c.nodes, startNode(t, c.memoryCluster, string(rune('a'+i)), timing, dialer))
	}
	c.elect(c.nodes[0].log)
	return c
}

func startNode(t testing.TB, c *memoryCluster, name string, timing control.Timing, dialer upstream.Dialer) *node {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	n := &node{address: listener.Addr().String(), state: controlstate.New(controlstate.Options{})}
	n.log = c.add(name, n.address, n.state)
	httpClient := controlclient.NewHTTPClient()
	n.server = control.New(control.Options{
		Name: name, Consensus: n.log, State: n.state, Dialer: dialer, HTTPClient: httpClient, Timing: timing,
	})
	mux := http.NewServeMux()
	mux.Handle(n.server.Handler())
	serve(t, &countingListener{Listener: listener, bytes: &n.traffic}, mux)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); n.server.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done; httpClient.CloseIdleConnections() })
	n.client = controlclient.New(httpClient, n.address)
	return n
}

func serve(t testing.TB, listener net.Listener, handler http.Handler) {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: handler, Protocols: protocols}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
}

// awaitLeader waits until a node answers heartbeats.
func awaitLeader(t testing.TB, n *node) {
	t.Helper()
	waitFor(t, "leader", func() bool {
		_, err := n.client.Status(t.Context(), connect.NewRequest(&pb.StatusRequest{}))
		return err == nil
	})
}

func waitFor(t testing.TB, what string, check func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if check() {
			return poll.Success()
		}
		return poll.Continue("waiting for %s", what)
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(5*time.Millisecond))
}

func announcement(name, dataCentre string) *pb.AnnounceRequest {
	return &pb.AnnounceRequest{
		Name: name, Database: "shop", Address: "127.0.0.1:5432", DataCentre: dataCentre,
		Role: "replica", Term: 1, Slots: 5, MaxConnections: 70,
	}
}

func (n *node) announce(t testing.TB, a *pb.AnnounceRequest) {
	t.Helper()
	_, err := n.client.Announce(t.Context(), connect.NewRequest(a))
	assert.NilError(t, err)
}

func beat(host, dataCentre string) *pb.HeartbeatRequest {
	return &pb.HeartbeatRequest{Host: host, Address: "127.0.0.1:7000", DataCentre: dataCentre, Incarnation: 1}
}

func (n *node) beat(t testing.TB, r *pb.HeartbeatRequest) *pb.HeartbeatResponse {
	t.Helper()
	response, err := n.client.Heartbeat(t.Context(), connect.NewRequest(r))
	assert.NilError(t, err)
	return response.Msg
}

// awaitLease sends heartbeats until one renews the lease on u1.
func (n *node) awaitLease(t testing.TB, r *pb.HeartbeatRequest) {
	t.Helper()
	waitFor(t, "lease of "+r.GetHost(), func() bool {
		response, err := n.client.Heartbeat(t.Context(), connect.NewRequest(r))
		return err == nil && renews(response.Msg, "u1")
	})
}

func renews(r *pb.HeartbeatResponse, name string) bool {
	for _, o := range r.GetRenewed() {
		if o.GetUpstream() == name {
			return true
		}
	}
	return false
}

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
	c.loseLeadershipAfter(n.log, 1)
	_, err := n.client.Heartbeat(t.Context(), connect.NewRequest(beat("p1", "luzon")))
	assert.Equal(t, connect.CodeOf(err), connect.CodeUnavailable)
	assert.Equal(t, c.checksLeft(n.log), 0, "the leader did not check again")
}

// Operators race and resend: of two changes with one expected version exactly
// one may win, on any control host, and a resent one gets its first answer.
func TestRacingAndResentClassChanges(t *testing.T) {
	c := startCluster(t, 3, quick, nil)
	awaitLeader(t, c.nodes[0])
	type outcome struct {
		response *pb.ChangeClassResponse
		err      error
	}
	change := func(id string, n *node) outcome {
		r, err := n.client.ChangeClass(t.Context(), connect.NewRequest(&pb.ChangeClassRequest{
			ChangeId: id, Class: &pb.Class{Name: "short", WaitMicros: 50_000},
		}))
		if err != nil {
			return outcome{err: err}
		}
		return outcome{response: r.Msg}
	}
	outcomes := make(chan outcome, 2)
	go func() { outcomes <- change("one", c.nodes[1]) }()
	go func() { outcomes <- change("two", c.nodes[2]) }()
	first, second := <-outcomes, <-outcomes
	assert.NilError(t, first.err)
	assert.NilError(t, second.err)
	if first.response.GetConflict() {
		first, second = second, first
	}
	assert.Assert(t, !first.response.GetConflict())
	assert.Assert(t, second.response.GetConflict())
	winner := second.response.GetWinner().GetChangeId()
	again := change(winner, c.nodes[0])
	assert.NilError(t, again.err)
	assert.Assert(t, !again.response.GetConflict())
	assert.Equal(t, again.response.GetVersion(), first.response.GetVersion())
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

func startAgent(t testing.TB, name string, addresses ...string) *member.Agent {
	t.Helper()
	httpClient := controlclient.NewHTTPClient()
	agent := member.New(member.Options{
		Control: addresses, Name: name, Address: "127.0.0.1:7001", DataCentre: "luzon", HTTPClient: httpClient,
		Timing: member.Timing{Heartbeat: 50 * time.Millisecond, Silence: time.Second, Behind: 300 * time.Millisecond},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); agent.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done; httpClient.CloseIdleConnections() })
	return agent
}

// An upstream that leaves must be known to proxies within moments, and the
// owner keeps its lease to finish what is in flight.
func TestLeavingUpstreamIsPushedToProxies(t *testing.T) {
	c := startCluster(t, 3, quick, nil)
	awaitLeader(t, c.nodes[0])
	agent := startAgent(t, "p1", c.nodes[1].address, c.nodes[2].address)
	c.nodes[2].announce(t, announcement("u1", "luzon"))
	waitFor(t, "lease", func() bool { _, ok := agent.Lease("u1"); return ok })
	before := agent.View().ConfigVersion
	leaving := announcement("u1", "luzon")
	leaving.Leaving = true
	c.nodes[2].announce(t, leaving)
	waitFor(t, "leaving mark", func() bool { return agent.View().Upstreams["u1"].Leaving })
	assert.Assert(t, agent.View().ConfigVersion > before)
	waitFor(t, "renewal at the new version", func() bool { return agent.ConfigVersion() > before })
	_, held := agent.Lease("u1")
	assert.Assert(t, held)
}

// A proxy whose control host is cut off must follow another host, and must
// not miss a change for longer than it may stay behind.
func TestAgentLeavesAControlHostThatIsBehind(t *testing.T) {
	c := startCluster(t, 3, quick, nil)
	awaitLeader(t, c.nodes[0])
	agent := startAgent(t, "p1", c.nodes[1].address, c.nodes[2].address)
	waitFor(t, "view", func() bool { return agent.View() != nil })
	for i, cut := range []*node{c.nodes[1], c.nodes[2]} {
		c.cutOff(cut.log, true)
		request := &pb.ChangeClassRequest{
			ChangeId: cut.address, ExpectedVersion: uint64(i), Class: &pb.Class{Name: "c" + cut.log.name, WaitMicros: 1000},
		}
		_, err := c.nodes[0].client.ChangeClass(t.Context(), connect.NewRequest(request))
		assert.NilError(t, err)
		waitFor(t, "change", func() bool { return len(agent.View().Classes) == i+1 })
		c.cutOff(cut.log, false)
	}
}

// A host that is shutting down must hand its upstreams over at once.
func TestAgentReleaseHandsOver(t *testing.T) {
	slow := quick
	slow.LeaseExpiry = time.Hour
	c := startCluster(t, 1, slow, nil)
	awaitLeader(t, c.nodes[0])
	first := startAgent(t, "p1", c.nodes[0].address)
	c.nodes[0].announce(t, announcement("u1", "luzon"))
	waitFor(t, "first lease", func() bool { _, ok := first.Lease("u1"); return ok })
	second := startAgent(t, "p2", c.nodes[0].address)
	waitFor(t, "second host", func() bool { return len(c.nodes[0].state.View().Hosts) == 2 })
	assert.NilError(t, first.Release(t.Context()))
	_, held := first.Lease("u1")
	assert.Assert(t, !held)
	waitFor(t, "second lease", func() bool { _, ok := second.Lease("u1"); return ok })
}
