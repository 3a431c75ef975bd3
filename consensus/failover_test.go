package consensus

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovageslip/bootclock"
	"lovageslip/fault"
)

// shortContext limits a call that should not take long.
func shortContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), 5*time.Second)
}

// checkRefusesRequests checks that h refuses reads and changes as not run.
func (h *host) checkRefusesRequests() {
	h.t.Helper()
	ctx, cancel := shortContext()
	defer cancel()
	var notRun *fault.NotRun
	_, err := h.node.ReadIndex(ctx)
	assert.Check(h.t, errors.As(err, &notRun), "read: %v", err)
	_, err = h.node.Propose(ctx, encodeNumber(99))
	assert.Check(h.t, errors.As(err, &notRun), "change: %v", err)
}

// Guards against a partitioned leader that goes on answering from its own state
// after the other hosts have elected a leader and committed a change.
func TestPartitionedLeaderRefusesRequests(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	oldLeader := c.awaitLeader()
	oldLeader.propose(1)
	done := make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() { checkSingleLeader(t, c, done) })
	c.isolate(oldLeader, true)
	newLeader := c.awaitLeader(c.others(oldLeader)...)
	newLeader.propose(2)
	oldLeader.checkRefusesRequests()
	close(done)
	watch.Wait()
	c.isolate(oldLeader, false)
	oldLeader.awaitRead(2)
}

// checkSingleLeader checks all pairs of hosts until done is closed. It asks y
// between two questions to x: if x leads before and after and y leads in between,
// their leases overlap.
func checkSingleLeader(t *testing.T, c *cluster, done <-chan struct{}) {
	for {
		for _, x := range c.hosts {
			for _, y := range c.others(x) {
				_, before := x.node.Leadership()
				_, between := y.node.Leadership()
				_, after := x.node.Leadership()
				assert.Check(t, !(before && between && after), "%s and %s lead", x.options.Name, y.options.Name)
			}
		}
		select {
		case <-done:
			return
		case <-time.After(time.Millisecond):
		}
	}
}

// Guards against a leader that keeps its role without a lease, because its
// heartbeats still reach the followers and only their responses are lost.
func TestLeaderWithoutResponsesIsReplaced(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	oldLeader := c.awaitLeader()
	for _, h := range c.others(oldLeader) {
		oldLeader.link.set(oldLeader.link.dropResponses, h.address, true)
	}
	newLeader := c.awaitLeader(c.others(oldLeader)...)
	newLeader.propose(3)
}

// Guards against a host that raises its term during a partition and makes a
// working leader step down when it returns.
func TestReturningHostDoesNotDeposeLeader(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	leader := c.awaitLeader()
	term, _ := leader.node.Leadership()
	isolated := c.others(leader)[0]
	c.isolate(isolated, true)
	waitFor(t, "the isolated host to lose contact with the leader", func() bool {
		isolated.node.mu.Lock()
		defer isolated.node.mu.Unlock()
		return bootclock.Since(isolated.node.leaderContactAt) > 2*electionTimeoutMax
	})
	c.isolate(isolated, false)
	leader.propose(5)
	isolated.awaitRead(5)
	after, ok := leader.node.Leadership()
	assert.Check(t, ok && after == term, "term went from %d to %d", term, after)
}

// Guards against a forwarded proposal that is reported as not run although the
// leader may have committed it, when the response is late or the connection breaks.
func TestLostLeaderResponseIsOutcomeUnknown(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	leader := c.awaitLeader()
	follower := c.others(leader)[0]
	follower.awaitRead(0)
	losses := []map[string]bool{follower.link.dropResponses, follower.link.breakConnections}
	for i, loss := range losses {
		follower.link.set(loss, leader.address, true)
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		_, err := follower.node.Propose(ctx, encodeNumber(uint64(i)))
		var outcome *fault.OutcomeUnknown
		assert.Check(t, errors.As(err, &outcome), "%v", err)
		follower.link.set(loss, leader.address, false)
		leader.awaitRead(uint64(i))
	}
}

// Guards against a restarted host that votes while the lease of a leader, which it
// may have renewed before the restart, is still valid.
func TestRestartedHostDoesNotVoteWithinALease(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	leader := c.awaitLeader()
	leader.propose(1)
	follower := c.others(leader)[0]
	follower.stop()
	for _, h := range c.hosts {
		h.link.set(h.link.dropRequests, follower.address, true)
	}
	follower.start()
	n := follower.node
	n.mu.Lock()
	defer n.mu.Unlock()
	assert.Check(t, n.leaderMayHoldLeaseLocked())
}

// Guards against a cluster that loses writes or members when its hosts restart
// from snapshots, and against a log that is never compacted.
func TestRestartAfterManyEntries(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	stopped := c.others(c.awaitLeader())[0]
	stopped.stop()
	const total = 2600
	unknown := c.proposeUntilAcknowledged(1, total)
	unknown += c.proposeUntilAcknowledged(42, 1)
	lastLeader := c.awaitLeader()
	lastLeader.node.mu.Lock()
	assert.Check(t, lastLeader.node.log.baseIndex >= 1000, "log starts at %d", lastLeader.node.log.baseIndex)
	lastLeader.node.mu.Unlock()
	stopped.start()
	stopped.awaitRead(42)
	for _, h := range c.hosts {
		h.stop()
	}
	for _, h := range c.hosts {
		h.start()
	}
	applied := make(map[uint64]bool)
	for _, h := range c.hosts {
		h.awaitRead(42)
		_, writes := h.state.read()
		assert.Check(t, writes >= total+1 && writes <= total+1+unknown, "%d writes, %d acknowledged, %d of unknown outcome", writes, total+1, unknown)
		applied[writes] = true
		assert.Check(t, h.node.log.baseIndex >= 2000, "log starts at %d", h.node.log.baseIndex)
	}
	assert.Equal(t, len(applied), 1, "hosts differ: %v", applied)
}

// proposeUntilAcknowledged makes total proposals of a value, 50 at a time, each again until
// it is acknowledged. On a busy machine a leader may lose its lease meanwhile. It returns
// how many proposals had an unknown outcome, which may be applied as well.
func (c *cluster) proposeUntilAcknowledged(value uint64, total int) (unknown uint64) {
	const workers = 50
	var group sync.WaitGroup
	var left, ofUnknownOutcome atomic.Int64
	left.Store(int64(total))
	for range workers {
		group.Go(func() {
			for left.Add(-1) >= 0 {
				waitFor(c.t, "a proposal to be acknowledged", func() bool {
					ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
					defer cancel()
					_, err := c.awaitLeader().node.Propose(ctx, encodeNumber(value))
					var notRun *fault.NotRun
					if err != nil && !errors.As(err, &notRun) {
						ofUnknownOutcome.Add(1)
					}
					return err == nil
				})
			}
		})
	}
	group.Wait()
	return uint64(ofUnknownOutcome.Load())
}

// proposeMany makes total proposals through h, 50 at a time.
func proposeMany(t testing.TB, h *host, total int) {
	const workers = 50
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for range total / workers {
				ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
				_, err := h.node.Propose(ctx, encodeNumber(1))
				cancel()
				assert.Check(t, err)
			}
		})
	}
	group.Wait()
}
