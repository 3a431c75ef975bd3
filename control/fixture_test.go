package control_test

import (
	"context"
	"net"
	"net/http"
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

// shortTiming shortens the delays of the leader. The lease stays a tenth
// shorter than its expiry.
var shortTiming = control.Timing{
	Lease:            900 * time.Millisecond,
	LeaseExpiry:      time.Second,
	Tick:             10 * time.Millisecond,
	HostTimeout:      2 * time.Second,
	FirstAssignDelay: 50 * time.Millisecond,
	WatchInterval:    50 * time.Millisecond,
}

type node struct {
	log     *memoryLog
	state   *controlstate.State
	server  *control.Server
	address string
	client  lovageslipv1connect.ControlServiceClient
	// traffic counts the bytes of all connections, in both directions.
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
	runUntilEnd(t, httpClient, n.server.Run)
	n.client = controlclient.New(httpClient, n.address)
	return n
}

func runUntilEnd(t testing.TB, client *http.Client, run func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); run(ctx) }()
	t.Cleanup(func() { cancel(); <-done; client.CloseIdleConnections() })
}

func serve(t testing.TB, listener net.Listener, handler http.Handler) {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: handler, Protocols: protocols}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
}

// awaitLeader waits until a node answers a status call, which needs a leader.
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

func heartbeatRequest(host, dataCentre string) *pb.HeartbeatRequest {
	return &pb.HeartbeatRequest{Host: host, Address: "127.0.0.1:7000", DataCentre: dataCentre, Incarnation: 1}
}

func (n *node) heartbeat(t testing.TB, r *pb.HeartbeatRequest) *pb.HeartbeatResponse {
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

func startAgent(t testing.TB, name string, addresses ...string) *member.Agent {
	t.Helper()
	return startAgentWith(t, name, "luzon", nil, addresses...)
}

func startAgentWith(t testing.TB, name, dataCentre string, health member.HealthSource, addresses ...string) *member.Agent {
	t.Helper()
	httpClient := controlclient.NewHTTPClient()
	agent := member.New(member.Options{
		Control: addresses, Name: name, Address: "127.0.0.1:7001", DataCentre: dataCentre, HTTPClient: httpClient, Health: health,
		Timing: member.Timing{Heartbeat: 50 * time.Millisecond, StreamTimeout: time.Second, MaxBehind: 300 * time.Millisecond},
	})
	runUntilEnd(t, httpClient, agent.Run)
	return agent
}
