package consensus

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovageslip/bootclock"
	"lovageslip/fault"
)

func shortly() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), 5*time.Second)
}

// refusesAll checks that h gives definite refusals.
func (h *host) refusesAll() {
	h.t.Helper()
	ctx, cancel := shortly()
	defer cancel()
	var notRun *fault.NotRun
	_, err := h.node.ReadIndex(ctx)
	assert.Check(h.t, errors.As(err, &notRun), "read: %v", err)
	_, err = h.node.Propose(ctx, number(99))
	assert.Check(h.t, errors.As(err, &notRun), "change: %v", err)
}

// Guards against a leader that is cut off while it leads and goes on answering
// from its own state after others have moved on.
func TestLeaderCutOffWhileItLeadsAnswersNothing(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	old := c.leader()
	old.propose(1)
	done := make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() { neverTwoLeaders(t, c, done) })
	c.isolate(old, true)
	fresh := c.leader(c.others(old)...)
	fresh.propose(2)
	old.refusesAll()
	close(done)
	watch.Wait()
	c.isolate(old, false)
	old.readsBack(2)
}

// neverTwoLeaders samples all hosts. Leadership is asked of one host between
// two questions to another, so two leases that overlap are seen as such.
func neverTwoLeaders(t *testing.T, c *cluster, done <-chan struct{}) {
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

// Guards against a leader that followers still hear but that hears no answers:
// it would lead for ever without a lease.
func TestLeaderThatHearsNoAnswersIsReplaced(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	old := c.leader()
	for _, h := range c.others(old) {
		old.link.set(old.link.deaf, h.address, true)
	}
	fresh := c.leader(c.others(old)...)
	fresh.propose(3)
}

// Guards against a host that returns from a cut with a higher term and makes a
// working leader step down.
func TestReturningHostDoesNotDisturbTheLeader(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	leader := c.leader()
	term, _ := leader.node.Leadership()
	away := c.others(leader)[0]
	c.isolate(away, true)
	waitFor(t, "the lonely host to give up its leader", func() bool {
		away.node.mu.Lock()
		defer away.node.mu.Unlock()
		return bootclock.Since(away.node.heardAt) > 2*electionTimeoutMax
	})
	c.isolate(away, false)
	leader.propose(5)
	away.readsBack(5)
	after, ok := leader.node.Leadership()
	assert.Check(t, ok && after == term, "term went from %d to %d", term, after)
}

// Guards against a proposal whose leader is lost being reported as not run.
func TestLostAnswerOfTheLeaderIsAnUnknownOutcome(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	leader := c.leader()
	follower := c.others(leader)[0]
	follower.readsBack(0)
	losses := []map[string]bool{follower.link.deaf, follower.link.reset}
	for i, loss := range losses {
		follower.link.set(loss, leader.address, true)
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		_, err := follower.node.Propose(ctx, number(uint64(i)))
		var outcome *fault.OutcomeUnknown
		assert.Check(t, errors.As(err, &outcome), "%v", err)
		follower.link.set(loss, leader.address, false)
		leader.readsBack(uint64(i))
	}
}

// Guards against a vote within the lease that this host's answer renewed
// before it restarted.
func TestRestartedHostDoesNotVoteWithinALease(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	leader := c.leader()
	leader.propose(1)
	follower := c.others(leader)[0]
	follower.stop()
	for _, h := range c.hosts {
		h.link.set(h.link.cut, follower.address, true)
	}
	follower.start()
	n := follower.node
	n.mu.Lock()
	defer n.mu.Unlock()
	assert.Check(t, n.heardLeaderLocked())
}

// Guards against a cluster that loses entries, counts or members over restarts
// with snapshots, and against a log that is never truncated.
func TestRestartAfterManyEntries(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	away := c.others(c.leader())[0]
	away.stop()
	const total = 2600
	proposeMany(t, c.leader(), total)
	last := c.leader()
	last.propose(42)
	last.node.mu.Lock()
	assert.Check(t, last.node.log.baseIndex >= 1000, "log starts at %d", last.node.log.baseIndex)
	last.node.mu.Unlock()
	away.start()
	away.readsBack(42)
	for _, h := range c.hosts {
		h.stop()
	}
	for _, h := range c.hosts {
		h.start()
	}
	for _, h := range c.hosts {
		h.readsBack(42)
		_, writes := h.state.read()
		assert.Equal(t, writes, uint64(total+1))
		assert.Check(t, h.node.log.baseIndex >= 2000, "log starts at %d", h.node.log.baseIndex)
	}
}

func proposeMany(t testing.TB, h *host, total int) {
	const workers = 50
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for range total / workers {
				ctx, cancel := context.WithTimeout(context.Background(), patience)
				_, err := h.node.Propose(ctx, number(1))
				cancel()
				assert.Check(t, err)
			}
		})
	}
	group.Wait()
}
