package member_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"lovageslip/control/controlclient"
	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/gen/lovageslip/v1/lovageslipv1connect"
	"lovageslip/member"
)

const shortLease = 300 * time.Millisecond

// fakeControl is a control host whose answers and messages a test sets.
type fakeControl struct {
	lovageslipv1connect.UnimplementedControlServiceHandler
	address string

	mu         sync.Mutex
	heartbeats []*pb.HeartbeatRequest
	watches    []*pb.WatchRequest
	announced  []*pb.AnnounceRequest
	// answer is the response to heartbeats; nil for a host that is cut off
	// from its quorum, which fails all calls.
	answer *pb.HeartbeatResponse
	// messages are sent on each Watch stream, which then stays open.
	messages     []*pb.WatchResponse
	keepsSending bool // repeats the last version on open streams
}

func startFakeControl(t *testing.T, messages ...*pb.WatchResponse) *fakeControl {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f := &fakeControl{address: listener.Addr().String(), messages: messages, keepsSending: true}
	mux := http.NewServeMux()
	mux.Handle(lovageslipv1connect.NewControlServiceHandler(f))
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: mux, Protocols: protocols}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	return f
}

func (f *fakeControl) update(change func(*fakeControl)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *fakeControl) requestCounts() (heartbeats, watches int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.heartbeats), len(f.watches)
}

func (f *fakeControl) Heartbeat(_ context.Context, r *connect.Request[pb.HeartbeatRequest]) (*connect.Response[pb.HeartbeatResponse], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heartbeats = append(f.heartbeats, r.Msg)
	if f.answer == nil {
		return nil, controlclient.ToConnect(&controlclient.Unavailable{Detail: "cut off"})
	}
	return connect.NewResponse(f.answer), nil
}

func (f *fakeControl) Announce(_ context.Context, r *connect.Request[pb.AnnounceRequest]) (*connect.Response[pb.AnnounceResponse], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.answer == nil {
		return nil, controlclient.ToConnect(&controlclient.Unavailable{Detail: "cut off"})
	}
	f.announced = append(f.announced, r.Msg)
	return connect.NewResponse(&pb.AnnounceResponse{Version: 7}), nil
}

func (f *fakeControl) Watch(ctx context.Context, r *connect.Request[pb.WatchRequest], stream *connect.ServerStream[pb.WatchResponse]) error {
	f.mu.Lock()
	f.watches = append(f.watches, r.Msg)
	f.mu.Unlock()
	sent := 0
	for ctx.Err() == nil {
		f.mu.Lock()
		messages, keepsSending := f.messages[min(sent, len(f.messages)):], f.keepsSending
		f.mu.Unlock()
		for _, m := range messages {
			if err := stream.Send(m); err != nil {
				return err
			}
			sent++
		}
		if sent > 0 && keepsSending {
			last := f.lastMessage()
			if err := stream.Send(&pb.WatchResponse{Version: last.GetVersion(), ConfigVersion: last.GetConfigVersion()}); err != nil {
				return err
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}

func (f *fakeControl) lastMessage() *pb.WatchResponse {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.messages[len(f.messages)-1]
}

// wholeState is a state in which p1 owns u1.
func wholeState(version uint64) *pb.WatchResponse {
	return &pb.WatchResponse{
		Version: version, ConfigVersion: version, Whole: true,
		Upstreams: []*pb.Upstream{{Name: "u1", Database: "shop", Owner: "p1", OwnerEpoch: 3}},
	}
}

func renewal(version uint64) *pb.HeartbeatResponse {
	return &pb.HeartbeatResponse{
		Version: version, LeaseMicros: shortLease.Microseconds(),
		Renewed: []*pb.OwnedEpoch{{Upstream: "u1", Epoch: 3}},
	}
}

func startAgent(t *testing.T, hosts ...*fakeControl) *member.Agent {
	t.Helper()
	var addresses []string
	for _, h := range hosts {
		addresses = append(addresses, h.address)
	}
	httpClient := controlclient.NewHTTPClient()
	agent := member.New(member.Options{
		Control: addresses, Name: "p1", Address: "127.0.0.1:7000", DataCentre: "luzon", HTTPClient: httpClient,
		Timing: member.Timing{
			Heartbeat: 20 * time.Millisecond, HeartbeatTimeout: 200 * time.Millisecond,
			StreamTimeout: 200 * time.Millisecond, MaxBehind: 200 * time.Millisecond, RetryDelay: 10 * time.Millisecond,
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); agent.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done; httpClient.CloseIdleConnections() })
	return agent
}

func waitFor(t *testing.T, what string, check func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if check() {
			return poll.Success()
		}
		return poll.Continue("waiting for %s", what)
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(time.Millisecond))
}

func holdsLease(a *member.Agent) func() bool {
	return func() bool { _, ok := a.Lease("u1"); return ok }
}

// A host that gets no answers from control must end its leases by its own clock.
func TestAgentLosesItsLeaseWhenCutOff(t *testing.T) {
	f := startFakeControl(t, wholeState(5))
	f.answer = renewal(5)
	agent := startAgent(t, f)
	waitFor(t, "lease", holdsLease(agent))
	f.update(func(f *fakeControl) { f.answer = nil })
	cut := time.Now()
	waitFor(t, "loss of the lease", func() bool { return !holdsLease(agent)() })
	lease, _ := agent.Lease("u1")
	assert.Assert(t, lease.Until.Sub(cut) <= shortLease)
}

// A renewal must not be in force before the view has reached the version that
// it requires: the owner would serve under an old configuration.
func TestRenewalIsInForceOnlyWithTheRequiredVersion(t *testing.T) {
	f := startFakeControl(t, wholeState(5))
	f.answer = renewal(6)
	agent := startAgent(t, f)
	waitFor(t, "view and heartbeat", func() bool { return agent.View() != nil && agent.ConfigVersion() == 6 })
	assert.Assert(t, !holdsLease(agent)())
	f.update(func(f *fakeControl) { f.messages = append(f.messages, &pb.WatchResponse{Version: 6, ConfigVersion: 6}) })
	waitFor(t, "lease", holdsLease(agent))
}

// A proxy may change to a control host that is behind. Its view must not go back
// to the older version of that host.
func TestViewNeverGoesBackWhenChangingHost(t *testing.T) {
	upToDate, behind := startFakeControl(t, wholeState(9)), startFakeControl(t, wholeState(4))
	upToDate.answer, behind.answer = renewal(9), renewal(9)
	agent := startAgent(t, upToDate, behind)
	waitFor(t, "current version", func() bool { return agent.View() != nil && agent.View().Version == 9 })
	upToDate.update(func(f *fakeControl) { f.keepsSending = false })
	waitFor(t, "several streams to the host that is behind", func() bool {
		assert.Assert(t, agent.View().Version >= 9)
		_, watches := behind.requestCounts()
		return watches >= 3
	})
	assert.Equal(t, agent.View().Version, uint64(9))
}

// A stream may stop delivering messages while its connection stays open. The
// proxy must then change to another control host, or it misses changes.
func TestSilentStreamIsReplaced(t *testing.T) {
	hosts := []*fakeControl{startFakeControl(t, wholeState(5)), startFakeControl(t, wholeState(5))}
	for _, h := range hosts {
		h.answer = renewal(5)
	}
	agent := startAgent(t, hosts...)
	waitFor(t, "view", func() bool { return agent.View() != nil })
	silent, healthy := hosts[0], hosts[1]
	if _, watches := silent.requestCounts(); watches == 0 {
		silent, healthy = healthy, silent
	}
	silent.update(func(f *fakeControl) { f.keepsSending = false })
	healthy.update(func(f *fakeControl) { f.messages = append(f.messages, &pb.WatchResponse{Version: 6, ConfigVersion: 6}) })
	waitFor(t, "change", func() bool { return agent.View().Version == 6 })
}

// A stream may deliver messages but stay behind the version that the leader
// requires. The proxy must then change to another control host.
func TestStreamBehindTheLeaderIsReplaced(t *testing.T) {
	behind, healthy := startFakeControl(t, wholeState(5)), startFakeControl(t, wholeState(6))
	behind.answer, healthy.answer = renewal(6), renewal(6)
	agent := startAgent(t, behind, healthy)
	waitFor(t, "version of the leader", func() bool { return agent.View() != nil && agent.View().Version == 6 })
}

// A proxy must not serve before it has received a whole state that a quorum has
// confirmed.
func TestNoViewBeforeTheFirstWholeState(t *testing.T) {
	f := startFakeControl(t, &pb.WatchResponse{Version: 5})
	f.answer = renewal(5)
	agent := startAgent(t, f)
	waitFor(t, "several streams", func() bool { _, watches := f.requestCounts(); return watches >= 3 })
	assert.Assert(t, agent.View() == nil)
	assert.Assert(t, !holdsLease(agent)())
}

// After Release no lease may be in force, even if a heartbeat response still
// renews one, and control must learn that the host is leaving.
func TestReleaseEndsLeasesForGood(t *testing.T) {
	f := startFakeControl(t, wholeState(5))
	f.answer = renewal(5)
	agent := startAgent(t, f)
	waitFor(t, "lease", holdsLease(agent))
	assert.NilError(t, agent.Release(t.Context()))
	before, _ := f.requestCounts()
	waitFor(t, "more heartbeats", func() bool { n, _ := f.requestCounts(); return n > before+2 })
	assert.Assert(t, !holdsLease(agent)())
	f.update(func(f *fakeControl) {
		assert.Assert(t, f.heartbeats[len(f.heartbeats)-1].GetLeaving())
		released := 0
		for _, h := range f.heartbeats {
			released += len(h.GetReleased())
		}
		assert.Equal(t, released, 1)
	})
}

// An upstream may announce itself to any proxy. The proxy must find a working
// control host to forward the announcement to.
func TestAnnouncementIsForwardedToAWorkingControlHost(t *testing.T) {
	failing, healthy := startFakeControl(t, wholeState(5)), startFakeControl(t, wholeState(5))
	healthy.answer = renewal(5)
	agent := startAgent(t, failing, healthy)
	path, handler := agent.AnnounceHandler()
	for range 5 {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://proxy"+path, strings.NewReader(`{"name":"u1"}`))
		assert.NilError(t, err)
		r.Header.Set("Content-Type", "application/json")
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, r)
		assert.Equal(t, recorder.Code, http.StatusOK)
		assert.Assert(t, strings.Contains(recorder.Body.String(), "7"))
	}
	assert.Equal(t, len(healthy.announced), 5)
}
