package owner

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovageslip/exchange"
	"lovageslip/fault"
	"lovageslip/registry"
	"lovageslip/upstream"
)

// hangBatches makes batches with the payload "hang" last until they are
// cancelled, their connection is closed or release is closed.
func hangBatches(s *server, release <-chan struct{}) {
	s.set(func(s *server) {
		s.onBatch = func(c *conn, b upstream.Batch) (upstream.Result, error) {
			if string(b.Payload) != "hang" {
				return s.answer(b), nil
			}
			select {
			case <-c.cancelled:
				return upstream.Result{State: upstream.StateIdle, DatabaseError: true}, nil
			case <-c.ended:
				return upstream.Result{}, &fault.OutcomeUnknown{Reason: fault.ReasonOutcomeUnknown}
			case <-release:
				return s.answer(b), nil
			}
		}
	})
}

// runInBackground runs one batch on a new exchange of upstream "a". It returns a
// channel that receives the error of the run.
func runInBackground(ctx context.Context, t *testing.T, o *Owner, class string, b upstream.Batch) <-chan error {
	t.Helper()
	s := openExchange(t, o, "a", class)
	result := make(chan error, 1)
	go func() {
		_, err := s.Run(ctx, b, func([]byte) error { return nil })
		_ = s.Close()
		result <- err
	}()
	return result
}

func waitRunning(t *testing.T, s *server, n int) {
	t.Helper()
	eventually(t, "batches to run", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.running == n
	})
}

// Guards against a request that runs although it was reported as not run.
func TestRefusedRequestNeverRan(t *testing.T) {
	g, o := newFakeGroup(t)
	release := make(chan struct{})
	hangBatches(g.servers["a"], release)
	first := runInBackground(context.Background(), t, o, "soon", batch(upstream.ModeRead, "hang"))
	second := runInBackground(context.Background(), t, o, "soon", batch(upstream.ModeRead, "hang"))
	waitRunning(t, g.servers["a"], 2)
	short := batch(upstream.ModeRead, "refused")
	short.WaitRemaining = 20 * time.Millisecond
	_, _, err := runBatch(t, o, "a", "soon", short)
	assert.Equal(t, reasonOf(err), fault.ReasonWaitExceeded)
	close(release)
	assert.NilError(t, <-first)
	assert.NilError(t, <-second)
	_, _, err = runBatch(t, o, "a", "soon", batch(upstream.ModeRead, "later"))
	assert.NilError(t, err)
	for _, text := range g.servers["a"].runs() {
		assert.Assert(t, text != "refused")
	}
}

// Guards against statements that run in another caller's transaction: a
// connection with an open transaction must be closed, not reused, however its
// exchange ends.
func TestConnectionOfBrokenTransactionNeverReused(t *testing.T) {
	g, o := newFakeGroup(t)
	server := g.servers["a"]
	for i := range 5 {
		s := openExchange(t, o, "a", "now")
		result, err := s.Run(context.Background(), batch(upstream.ModeWrite, "begin"), func([]byte) error { return nil })
		assert.NilError(t, err)
		assert.Equal(t, result.State, upstream.StateOpen)
		assert.NilError(t, s.Close())
		eventually(t, "the connection to close", func() bool {
			server.mu.Lock()
			defer server.mu.Unlock()
			return server.closed == i+1
		})
	}
	open, idle := o.upstreams["a"].pool.Size()
	assert.Equal(t, open, 0)
	assert.Equal(t, idle, 0)
}

// Guards against slots and connections that stay in use after callers have
// disconnected during their batches.
func TestCancelledRequestsFreeSlotsAndConnections(t *testing.T) {
	g, o := newFakeGroup(t)
	hangBatches(g.servers["a"], nil)
	ctx, cancel := context.WithCancel(context.Background())
	for range 3 {
		_ = runInBackground(ctx, t, o, "soon", batch(upstream.ModeRead, "hang"))
	}
	waitRunning(t, g.servers["a"], 2)
	cancel()
	waitRunning(t, g.servers["a"], 0)
	_, _, err := runBatch(t, o, "a", "soon", batch(upstream.ModeRead, "after"))
	assert.NilError(t, err)
	assert.Equal(t, o.upstreams["a"].queue.Running(), 0)
	assert.Equal(t, g.servers["a"].maxRunning, 2)
}

// Guards against a batch that waits for minutes on a connection that delivers
// nothing.
func TestSilentConnectionDetected(t *testing.T) {
	g, o := newFakeGroup(t)
	hangBatches(g.servers["a"], nil)
	for range 20 {
		_, _, err := runBatch(t, o, "a", "soon", batch(upstream.ModeRead, "usual"))
		assert.NilError(t, err)
	}
	err := <-runInBackground(context.Background(), t, o, "soon", batch(upstream.ModeRead, "hang"))
	assert.Equal(t, reasonOf(err), fault.ReasonSilentConnection)
	assert.Assert(t, !isNotRun(err))
}

// Guards against ending a statement that the server still executes, and
// against further waiting once the server has reported that it executes nothing.
func TestExecutingStatementIsNotEndedAsSilent(t *testing.T) {
	g, o := newFakeGroup(t)
	release := make(chan struct{})
	hangBatches(g.servers["a"], release)
	g.set(func() { g.activity = func() (bool, bool) { return true, true } })
	result := runInBackground(context.Background(), t, o, "soon", batch(upstream.ModeRead, "hang"))
	eventually(t, "several probes", func() bool { return g.probed.Load() >= 5 })
	select {
	case err := <-result:
		t.Fatalf("a statement that the server still executes was ended: %v", err)
	default:
	}
	g.set(func() { g.activity = func() (bool, bool) { return false, true } })
	assert.Equal(t, reasonOf(<-result), fault.ReasonSilentConnection)
}

// Guards against new work without a lease in force, and against interrupting
// work that began under a lease.
func TestLapsedLeaseStopsNewWorkButNotWorkInFlight(t *testing.T) {
	g, o := newFakeGroup(t)
	release := make(chan struct{})
	hangBatches(g.servers["a"], release)
	inFlight := runInBackground(context.Background(), t, o, "soon", batch(upstream.ModeRead, "hang"))
	tx := openExchange(t, o, "a", "now")
	_, err := tx.Run(context.Background(), batch(upstream.ModeWrite, "begin"), func([]byte) error { return nil })
	assert.NilError(t, err)
	waitRunning(t, g.servers["a"], 1)
	g.expireLease()
	_, _, err = runBatch(t, o, "a", "soon", batch(upstream.ModeRead, "new"))
	assert.Equal(t, reasonOf(err), fault.ReasonLeaseLapsed)
	_, err = tx.Run(context.Background(), batch(upstream.ModeWrite, "more"), func([]byte) error { return nil })
	assert.NilError(t, err)
	close(release)
	assert.NilError(t, <-inFlight)
	assert.NilError(t, tx.Close())
}

// Guards against new work on an upstream that is leaving. Requests that queued
// before the announcement are refused too; open transactions go on.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	g, o := newFakeGroup(t)
	release := make(chan struct{})
	hangBatches(g.servers["a"], release)
	g.servers["b"].set(func(s *server) { s.status.Offset = 1000 })
	tx := openExchange(t, o, "a", "now")
	_, err := tx.Run(context.Background(), batch(upstream.ModeWrite, "begin"), func([]byte) error { return nil })
	assert.NilError(t, err)
	first := runInBackground(context.Background(), t, o, "soon", batch(upstream.ModeWrite, "hang"))
	second := runInBackground(context.Background(), t, o, "soon", batch(upstream.ModeWrite, "hang"))
	waitRunning(t, g.servers["a"], 2)
	queued := runInBackground(context.Background(), t, o, "soon", batch(upstream.ModeRead, "queued"))
	eventually(t, "the request to queue", func() bool { return o.upstreams["a"].queue.Queued() == 1 })
	g.updateView(func(v *registry.View) {
		up := v.Upstreams["a"]
		up.Leaving = true
		v.Upstreams["a"] = up
	})
	_, _, err = runBatch(t, o, "a", "soon", batch(upstream.ModeRead, "new"))
	assert.Equal(t, reasonOf(err), fault.ReasonLeaving)
	close(release)
	assert.NilError(t, <-first)
	assert.NilError(t, <-second)
	assert.Equal(t, reasonOf(<-queued), fault.ReasonLeaving)
	_, err = tx.Run(context.Background(), batch(upstream.ModeWrite, "more"), func([]byte) error { return nil })
	assert.NilError(t, err)
	assert.NilError(t, tx.Close())
	for _, text := range g.servers["a"].runs() {
		assert.Assert(t, text != "queued" && text != "new")
	}
}

// Guards against a shutdown that interrupts a transaction or takes new work.
func TestDrainWaitsForExchangesInFlight(t *testing.T) {
	g, o := newFakeGroup(t)
	tx := openExchange(t, o, "a", "now")
	_, err := tx.Run(context.Background(), batch(upstream.ModeWrite, "begin"), func([]byte) error { return nil })
	assert.NilError(t, err)
	late := openExchange(t, o, "a", "now")
	drained := make(chan error, 1)
	go func() { drained <- o.Drain(context.Background()) }()
	eventually(t, "the drain to begin", func() bool {
		_, err := late.Run(context.Background(), batch(upstream.ModeRead, "late"), func([]byte) error { return nil })
		return reasonOf(err) == fault.ReasonShutdown
	})
	catchUp(g, "b")
	g.servers["b"].set(func(s *server) { s.status.Offset = 100 })
	select {
	case err := <-drained:
		t.Fatalf("Drain returned while a transaction was open: %v", err)
	default:
	}
	result, err := tx.Run(context.Background(), batch(upstream.ModeWrite, "commit"), func([]byte) error { return nil })
	assert.NilError(t, err)
	assert.Equal(t, result.State, upstream.StateIdle)
	assert.NilError(t, <-drained)
}

// Guards against long reads that keep all slots from short work. One of them is
// preempted and runs again later, and its caller gets the whole answer once.
func TestPreemptedReadRunsAgain(t *testing.T) {
	g, o := newFakeGroup(t)
	server := g.servers["a"]
	release := make(chan struct{})
	hangBatches(server, release)
	for range 50 {
		_, _, err := runBatch(t, o, "a", "soon", batch(upstream.ModeRead, "usual"))
		assert.NilError(t, err)
	}
	first := runInBackground(context.Background(), t, o, "soon", batch(upstream.ModeRead, "hang"))
	second := runInBackground(context.Background(), t, o, "soon", batch(upstream.ModeRead, "hang"))
	waitRunning(t, server, 2)
	_, _, err := runBatch(t, o, "a", "soon", batch(upstream.ModeRead, "short"))
	assert.NilError(t, err)
	close(release)
	assert.NilError(t, <-first)
	assert.NilError(t, <-second)
}

// Guards against a cancelled statement that goes on, and against a late cancel
// request that stops the next batch on the connection.
func TestConnectionOfCancelledBatchIsClosed(t *testing.T) {
	g, o := newFakeGroup(t)
	hangBatches(g.servers["a"], nil)
	s := openExchange(t, o, "a", "soon")
	result := make(chan error, 1)
	go func() {
		batchResult, err := s.Run(context.Background(), batch(upstream.ModeRead, "hang"), func([]byte) error { return nil })
		if err == nil && !batchResult.DatabaseError {
			err = &fault.IO{Op: "cancel", Err: context.Canceled}
		}
		result <- err
	}()
	waitRunning(t, g.servers["a"], 1)
	assert.NilError(t, s.Cancel(context.Background()))
	assert.NilError(t, <-result)
	open, _ := o.upstreams["a"].pool.Size()
	assert.Equal(t, open, 0)
}

// Guards against a former owner whose idle connections use up the upstream's
// limit, so that the next owner can't connect.
func TestLapsedLeaseClosesIdleConnections(t *testing.T) {
	g, o := newFakeGroup(t)
	_, _, err := runBatch(t, o, "a", "soon", batch(upstream.ModeRead, "select"))
	assert.NilError(t, err)
	g.expireLease()
	eventually(t, "idle connections to close", func() bool {
		open, _ := o.upstreams["a"].pool.Size()
		return open == 0
	})
}

// Guards against new work on an upstream that another host has come to own.
func TestNewWorkRefusedAfterChangeOfOwner(t *testing.T) {
	g, o := newFakeGroup(t)
	s := openExchange(t, o, "a", "soon")
	g.updateView(func(v *registry.View) {
		up := v.Upstreams["a"]
		up.Owner = "other"
		v.Upstreams["a"] = up
	})
	_, err := s.Run(context.Background(), batch(upstream.ModeRead, "new"), func([]byte) error { return nil })
	assert.Equal(t, reasonOf(err), fault.ReasonNotOwner)
	assert.Equal(t, len(g.servers["a"].runs()), 0)
}

// Guards against requests that run under a configuration older than the
// owner's.
func TestOldConfigurationRefused(t *testing.T) {
	g, o := newFakeGroup(t)
	g.updateView(func(v *registry.View) { v.ConfigVersion = 2 })
	_, _, err := runBatch(t, o, "a", "soon", batch(upstream.ModeRead, "old"))
	assert.Equal(t, reasonOf(err), fault.ReasonConfigBehind)
	assert.Equal(t, len(g.servers["a"].runs()), 0)
}

// Guards against a late failover because a failed upstream is reported as
// healthy.
func TestHealthReportsUnreachableUpstream(t *testing.T) {
	g, o := newFakeGroup(t)
	healthOf := func(name string) Health {
		for _, h := range o.Health() {
			if h.Upstream == name {
				return h
			}
		}
		return Health{}
	}
	eventually(t, "a status", func() bool { return healthOf("a").Reachable })
	assert.Assert(t, healthOf("a").Primary)
	g.servers["a"].set(func(s *server) { s.down = true })
	eventually(t, "the report", func() bool { return healthOf("a").Unreachable > 300*time.Millisecond })
	assert.Assert(t, !healthOf("a").Reachable)
}

// Guards against new work that waits on an upstream known to be unreachable and
// ends with an unknown outcome, instead of being refused as not run.
func TestNewWorkOnUnreachableUpstreamRefused(t *testing.T) {
	g, o := newFakeGroup(t)
	g.servers["b"].set(func(s *server) { s.down = true })
	eventually(t, "the poller to notice", func() bool { return o.upstreams["b"].poller.unreachable() >= refuseUnreachableAfter })
	_, _, err := runBatch(t, o, "b", "soon", batch(upstream.ModeRead, "select"))
	assert.Assert(t, isNotRun(err))
	assert.Equal(t, reasonOf(err), fault.ReasonUpstreamUnavailable)
}

// Guards against a deadlock in which new work holds all slots while it waits
// for connections that open transactions hold.
func TestTransactionsFinishWhenConnectionsRunOut(t *testing.T) {
	g, o := newFakeGroup(t)
	g.servers["b"].set(func(s *server) { s.status.Offset = 1000 })
	var streams []exchange.Stream
	for range 8 {
		s := openExchange(t, o, "a", "now")
		_, err := s.Run(context.Background(), batch(upstream.ModeWrite, "begin"), func([]byte) error { return nil })
		assert.NilError(t, err)
		streams = append(streams, s)
	}
	var results []<-chan error
	for range 6 {
		results = append(results, runInBackground(context.Background(), t, o, "soon", batch(upstream.ModeRead, "select")))
	}
	for _, s := range streams {
		_, err := s.Run(context.Background(), batch(upstream.ModeWrite, "commit"), func([]byte) error { return nil })
		assert.NilError(t, err)
	}
	for _, r := range results {
		assert.NilError(t, <-r)
	}
}
