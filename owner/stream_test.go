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

// hang makes batches with the payload "hang" last until they are cancelled,
// their connection is closed or release is closed.
func hang(s *server, release <-chan struct{}) {
	s.set(func(s *server) {
		s.behave = func(c *conn, b upstream.Batch) (upstream.Result, error) {
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

// background runs one batch on a new exchange and sends its error.
func background(ctx context.Context, t *testing.T, o *Owner, class string, b upstream.Batch) <-chan error {
	t.Helper()
	s := open(t, o, "a", class)
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
	w, o := newWorld(t)
	release := make(chan struct{})
	hang(w.servers["a"], release)
	first := background(context.Background(), t, o, "soon", batch(upstream.ModeRead, "hang"))
	second := background(context.Background(), t, o, "soon", batch(upstream.ModeRead, "hang"))
	waitRunning(t, w.servers["a"], 2)
	short := batch(upstream.ModeRead, "refused")
	short.WaitRemaining = 20 * time.Millisecond
	_, _, err := run(t, o, "a", "soon", short)
	assert.Equal(t, reasonOf(err), fault.ReasonWaitExceeded)
	close(release)
	assert.NilError(t, <-first)
	assert.NilError(t, <-second)
	_, _, err = run(t, o, "a", "soon", batch(upstream.ModeRead, "later"))
	assert.NilError(t, err)
	for _, text := range w.servers["a"].runs() {
		assert.Assert(t, text != "refused")
	}
}

// Guards against mixing transactions: a connection with an open transaction
// must be closed when its exchange ends, whichever way it ends.
func TestConnectionOfBrokenTransactionNeverReused(t *testing.T) {
	w, o := newWorld(t)
	server := w.servers["a"]
	for i := range 5 {
		s := open(t, o, "a", "now")
		done, err := s.Run(context.Background(), batch(upstream.ModeWrite, "begin"), func([]byte) error { return nil })
		assert.NilError(t, err)
		assert.Equal(t, done.State, upstream.StateOpen)
		assert.NilError(t, s.Close())
		eventually(t, "the connection to close", func() bool {
			server.mu.Lock()
			defer server.mu.Unlock()
			return server.closed == i+1
		})
	}
	open, idle := o.units["a"].pool.Size()
	assert.Equal(t, open, 0)
	assert.Equal(t, idle, 0)
}

// Guards against a pool that runs dry because of vanished callers, and
// against slots that stay taken.
func TestVanishedCallerFreesEverything(t *testing.T) {
	w, o := newWorld(t)
	hang(w.servers["a"], nil)
	ctx, cancel := context.WithCancel(context.Background())
	for range 3 {
		_ = background(ctx, t, o, "soon", batch(upstream.ModeRead, "hang"))
	}
	waitRunning(t, w.servers["a"], 2)
	cancel()
	waitRunning(t, w.servers["a"], 0)
	_, _, err := run(t, o, "a", "soon", batch(upstream.ModeRead, "after"))
	assert.NilError(t, err)
	assert.Equal(t, o.units["a"].queue.Running(), 0)
	assert.Equal(t, w.servers["a"].peak, 2)
}

// Guards against minutes of waiting on a connection that delivers nothing.
func TestSilentConnectionFound(t *testing.T) {
	w, o := newWorld(t)
	hang(w.servers["a"], nil)
	for range 20 {
		_, _, err := run(t, o, "a", "soon", batch(upstream.ModeRead, "usual"))
		assert.NilError(t, err)
	}
	err := <-background(context.Background(), t, o, "soon", batch(upstream.ModeRead, "hang"))
	assert.Equal(t, reasonOf(err), fault.ReasonSilentConnection)
	assert.Assert(t, !isNotRun(err))
}

// Guards against killing a statement that the server still executes, and
// against waiting once the server says that it does not.
func TestWorkingStatementIsNotTakenForSilent(t *testing.T) {
	w, o := newWorld(t)
	release := make(chan struct{})
	hang(w.servers["a"], release)
	w.set(func() { w.active = func() (bool, bool) { return true, true } })
	result := background(context.Background(), t, o, "soon", batch(upstream.ModeRead, "hang"))
	eventually(t, "several probes", func() bool { return w.probed.Load() >= 5 })
	select {
	case err := <-result:
		t.Fatalf("a working statement was ended: %v", err)
	default:
	}
	w.set(func() { w.active = func() (bool, bool) { return false, true } })
	assert.Equal(t, reasonOf(<-result), fault.ReasonSilentConnection)
}

// Guards against new work without a lease, and against breaking work that
// began with one.
func TestLeaseLapseStopsAdmissionButNotWorkInFlight(t *testing.T) {
	w, o := newWorld(t)
	release := make(chan struct{})
	hang(w.servers["a"], release)
	inFlight := background(context.Background(), t, o, "soon", batch(upstream.ModeRead, "hang"))
	tx := open(t, o, "a", "now")
	_, err := tx.Run(context.Background(), batch(upstream.ModeWrite, "begin"), func([]byte) error { return nil })
	assert.NilError(t, err)
	waitRunning(t, w.servers["a"], 1)
	w.lapse()
	_, _, err = run(t, o, "a", "soon", batch(upstream.ModeRead, "new"))
	assert.Equal(t, reasonOf(err), fault.ReasonLeaseLapsed)
	_, err = tx.Run(context.Background(), batch(upstream.ModeWrite, "more"), func([]byte) error { return nil })
	assert.NilError(t, err)
	close(release)
	assert.NilError(t, <-inFlight)
	assert.NilError(t, tx.Close())
}

// Guards against new work on an upstream that leaves, also for requests that
// were queued before.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	w, o := newWorld(t)
	release := make(chan struct{})
	hang(w.servers["a"], release)
	w.servers["b"].set(func(s *server) { s.status.Offset = 1000 })
	tx := open(t, o, "a", "now")
	_, err := tx.Run(context.Background(), batch(upstream.ModeWrite, "begin"), func([]byte) error { return nil })
	assert.NilError(t, err)
	first := background(context.Background(), t, o, "soon", batch(upstream.ModeWrite, "hang"))
	second := background(context.Background(), t, o, "soon", batch(upstream.ModeWrite, "hang"))
	waitRunning(t, w.servers["a"], 2)
	queued := background(context.Background(), t, o, "soon", batch(upstream.ModeRead, "queued"))
	eventually(t, "the request to queue", func() bool { return o.units["a"].queue.Queued() == 1 })
	w.change(func(v *registry.View) {
		up := v.Upstreams["a"]
		up.Leaving = true
		v.Upstreams["a"] = up
	})
	_, _, err = run(t, o, "a", "soon", batch(upstream.ModeRead, "new"))
	assert.Equal(t, reasonOf(err), fault.ReasonLeaving)
	close(release)
	assert.NilError(t, <-first)
	assert.NilError(t, <-second)
	assert.Equal(t, reasonOf(<-queued), fault.ReasonLeaving)
	_, err = tx.Run(context.Background(), batch(upstream.ModeWrite, "more"), func([]byte) error { return nil })
	assert.NilError(t, err)
	assert.NilError(t, tx.Close())
	for _, text := range w.servers["a"].runs() {
		assert.Assert(t, text != "queued" && text != "new")
	}
}

// Guards against a shutdown that interrupts a transaction or takes new work.
func TestDrainFinishesWhatIsInFlight(t *testing.T) {
	w, o := newWorld(t)
	tx := open(t, o, "a", "now")
	_, err := tx.Run(context.Background(), batch(upstream.ModeWrite, "begin"), func([]byte) error { return nil })
	assert.NilError(t, err)
	late := open(t, o, "a", "now")
	drained := make(chan error, 1)
	go func() { drained <- o.Drain(context.Background()) }()
	eventually(t, "the drain to begin", func() bool {
		_, err := late.Run(context.Background(), batch(upstream.ModeRead, "late"), func([]byte) error { return nil })
		return reasonOf(err) == fault.ReasonShutdown
	})
	follow(w, "b")
	w.servers["b"].set(func(s *server) { s.status.Offset = 100 })
	select {
	case err := <-drained:
		t.Fatalf("drained with an open transaction: %v", err)
	default:
	}
	done, err := tx.Run(context.Background(), batch(upstream.ModeWrite, "commit"), func([]byte) error { return nil })
	assert.NilError(t, err)
	assert.Equal(t, done.State, upstream.StateIdle)
	assert.NilError(t, <-drained)
}

// Guards against blocking the last slot: a read that turned out long is
// stopped in favour of short work, and its caller still gets the whole answer
// once.
func TestStoppedReadRunsAgain(t *testing.T) {
	w, o := newWorld(t)
	server := w.servers["a"]
	release := make(chan struct{})
	hang(server, release)
	for range 50 {
		_, _, err := run(t, o, "a", "soon", batch(upstream.ModeRead, "usual"))
		assert.NilError(t, err)
	}
	first := background(context.Background(), t, o, "soon", batch(upstream.ModeRead, "hang"))
	second := background(context.Background(), t, o, "soon", batch(upstream.ModeRead, "hang"))
	waitRunning(t, server, 2)
	_, _, err := run(t, o, "a", "soon", batch(upstream.ModeRead, "short"))
	assert.NilError(t, err)
	close(release)
	assert.NilError(t, <-first)
	assert.NilError(t, <-second)
}

// Guards against a cancelled statement that goes on, and against the late
// cancel request hitting the next user of the connection.
func TestCancelledBatchLosesItsConnection(t *testing.T) {
	w, o := newWorld(t)
	hang(w.servers["a"], nil)
	s := open(t, o, "a", "soon")
	result := make(chan error, 1)
	go func() {
		done, err := s.Run(context.Background(), batch(upstream.ModeRead, "hang"), func([]byte) error { return nil })
		if err == nil && !done.DatabaseError {
			err = &fault.IO{Op: "cancel", Err: context.Canceled}
		}
		result <- err
	}()
	waitRunning(t, w.servers["a"], 1)
	assert.NilError(t, s.Cancel(context.Background()))
	assert.NilError(t, <-result)
	open, _ := o.units["a"].pool.Size()
	assert.Equal(t, open, 0)
}

// Guards against idle connections that a former owner keeps from the next one.
func TestLeaseLapseClosesIdleConnections(t *testing.T) {
	w, o := newWorld(t)
	_, _, err := run(t, o, "a", "soon", batch(upstream.ModeRead, "select"))
	assert.NilError(t, err)
	w.lapse()
	eventually(t, "idle connections to close", func() bool {
		open, _ := o.units["a"].pool.Size()
		return open == 0
	})
}

// Guards against use of an upstream that another host owns.
func TestChangeOfOwnerEndsNewWork(t *testing.T) {
	w, o := newWorld(t)
	s := open(t, o, "a", "soon")
	w.change(func(v *registry.View) {
		up := v.Upstreams["a"]
		up.Owner = "other"
		v.Upstreams["a"] = up
	})
	_, err := s.Run(context.Background(), batch(upstream.ModeRead, "new"), func([]byte) error { return nil })
	assert.Equal(t, reasonOf(err), fault.ReasonNotOwner)
	assert.Equal(t, len(w.servers["a"].runs()), 0)
}

// Guards against requests that run under a configuration older than the
// owner's.
func TestOldConfigurationRefused(t *testing.T) {
	w, o := newWorld(t)
	w.change(func(v *registry.View) { v.ConfigVersion = 2 })
	_, _, err := run(t, o, "a", "soon", batch(upstream.ModeRead, "old"))
	assert.Equal(t, reasonOf(err), fault.ReasonConfigBehind)
	assert.Equal(t, len(w.servers["a"].runs()), 0)
}

// Guards against a promotion that starts late because a dead upstream is
// reported as healthy.
func TestHealthReportsUnreachableUpstream(t *testing.T) {
	w, o := newWorld(t)
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
	w.servers["a"].set(func(s *server) { s.down = true })
	eventually(t, "the report", func() bool { return healthOf("a").Unreachable > 300*time.Millisecond })
	assert.Assert(t, !healthOf("a").Reachable)
}

// Guards against new work that waits on an upstream known to be cut off, and
// against giving it an unknown outcome.
func TestNewWorkOnUnreachableUpstreamRefused(t *testing.T) {
	w, o := newWorld(t)
	w.servers["b"].set(func(s *server) { s.down = true })
	eventually(t, "the poller to notice", func() bool { return o.units["b"].poller.unreachable() >= refuseAfter })
	_, _, err := run(t, o, "b", "soon", batch(upstream.ModeRead, "select"))
	assert.Assert(t, isNotRun(err))
	assert.Equal(t, reasonOf(err), fault.ReasonUpstreamUnavailable)
}

// Guards against a deadlock in which new work holds all slots while it waits
// for connections that open transactions hold.
func TestTransactionsFinishWhenConnectionsRunOut(t *testing.T) {
	w, o := newWorld(t)
	w.servers["b"].set(func(s *server) { s.status.Offset = 1000 })
	var streams []exchange.Stream
	for range 8 {
		s := open(t, o, "a", "now")
		_, err := s.Run(context.Background(), batch(upstream.ModeWrite, "begin"), func([]byte) error { return nil })
		assert.NilError(t, err)
		streams = append(streams, s)
	}
	var results []<-chan error
	for range 6 {
		results = append(results, background(context.Background(), t, o, "soon", batch(upstream.ModeRead, "select")))
	}
	for _, s := range streams {
		_, err := s.Run(context.Background(), batch(upstream.ModeWrite, "commit"), func([]byte) error { return nil })
		assert.NilError(t, err)
	}
	for _, r := range results {
		assert.NilError(t, <-r)
	}
}
