package owner

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovageslip/fault"
	"lovageslip/registry"
	"lovageslip/upstream"
)

func catchUp(g *fakeGroup, names ...string) {
	position := g.servers["a"].currentStatus().Offset
	for _, name := range names {
		g.servers[name].set(func(s *server) { s.status.Offset = position })
	}
}

func (s *server) currentStatus() upstream.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status
}

// Guards against acknowledging a write that only the primary holds: the caller
// must get the end of the answer only once a replica has the commit.
func TestWriteAcknowledgedOnlyAfterMajority(t *testing.T) {
	g, o := newFakeGroup(t)
	type outcome struct {
		text string
		err  error
	}
	result := make(chan outcome, 1)
	go func() {
		_, text, err := runBatch(t, o, "a", "now", batch(upstream.ModeWrite, "insert"))
		result <- outcome{text, err}
	}()
	eventually(t, "the write to run", func() bool { return len(g.servers["a"].runs()) == 1 })
	select {
	case r := <-result:
		assert.Assert(t, r.err != nil, "the write was acknowledged before a majority held it: %q", r.text)
	case <-time.After(50 * time.Millisecond):
		catchUp(g, "b")
		r := <-result
		assert.NilError(t, r.err)
		assert.Equal(t, r.text, "rows done")
	}
}

// Guards against acknowledging a write that no replica ever holds. The caller
// gets an unknown outcome after the timeout.
func TestUnconfirmedWriteIsUnknown(t *testing.T) {
	_, o := newFakeGroup(t)
	o.opts.ConfirmTimeout = 100 * time.Millisecond
	_, text, err := runBatch(t, o, "a", "now", batch(upstream.ModeWrite, "insert"))
	assert.Equal(t, reasonOf(err), fault.ReasonOutcomeUnknown)
	assert.Assert(t, !isNotRun(err))
	assert.Equal(t, text, "rows ")
}

// Guards against counting a majority of members that may have been replaced
// while the owner had no contact with the control hosts.
func TestWriteWithoutCurrentViewIsUnknown(t *testing.T) {
	g, o := newFakeGroup(t)
	g.set(func() { g.noControlContact = true })
	g.servers["b"].set(func(s *server) { s.status.Offset = 1000 })
	_, _, err := runBatch(t, o, "a", "now", batch(upstream.ModeWrite, "insert"))
	assert.Equal(t, reasonOf(err), fault.ReasonOutcomeUnknown)
}

// Guards against reporting a resent transaction as committed while only the
// primary holds the commit.
func TestAlreadyCommittedReportedOnlyAfterMajority(t *testing.T) {
	g, o := newFakeGroup(t)
	o.opts.ConfirmTimeout = 100 * time.Millisecond
	g.servers["a"].set(func(s *server) {
		s.onBatch = func(c *conn, b upstream.Batch) (upstream.Result, error) {
			return c.server.answer(b), &fault.AlreadyCommitted{RequestID: "r"}
		}
	})
	_, _, err := runBatch(t, o, "a", "now", batch(upstream.ModeWrite, "insert"))
	assert.Equal(t, reasonOf(err), fault.ReasonOutcomeUnknown)
	g.servers["b"].set(func(s *server) { s.status.Offset = 1000 })
	_, _, err = runBatch(t, o, "a", "now", batch(upstream.ModeWrite, "insert"))
	var committed *fault.AlreadyCommitted
	assert.Assert(t, errors.As(err, &committed), "%v", err)
}

// Guards against acknowledging a write on a replaced primary: replicas that
// are fenced at a newer term don't count for its majority.
func TestReplacedPrimaryAcknowledgesNothing(t *testing.T) {
	g, o := newFakeGroup(t)
	_, _, err := runBatch(t, o, "a", "now", batch(upstream.ModeRead, "select"))
	assert.NilError(t, err)
	o.opts.ConfirmTimeout = 100 * time.Millisecond
	for _, name := range []string{"b", "c"} {
		g.servers[name].set(func(s *server) { s.status.FencedTerm = 2; s.status.Offset = 1000 })
	}
	_, text, err := runBatch(t, o, "a", "now", batch(upstream.ModeWrite, "insert"))
	assert.Assert(t, err != nil)
	assert.Equal(t, text, "")
	_, text, err = runBatch(t, o, "a", "soon", batch(upstream.ModeWrite, "insert"))
	assert.Assert(t, err != nil)
	assert.Assert(t, text != "rows done")
}

// Guards against a write in flight that waits for the whole confirmation
// timeout although the group has a new primary.
func TestWriteInFlightEndsAtChangeOfPrimary(t *testing.T) {
	g, o := newFakeGroup(t)
	result := make(chan error, 1)
	go func() {
		_, _, err := runBatch(t, o, "a", "now", batch(upstream.ModeWrite, "insert"))
		result <- err
	}()
	eventually(t, "the write to run", func() bool { return len(g.servers["a"].runs()) == 1 })
	g.updateView(func(v *registry.View) {
		v.Groups["db"] = registry.Group{Database: "db", Term: 2, Primary: "b", Members: members}
	})
	err := <-result
	assert.Equal(t, reasonOf(err), fault.ReasonOutcomeUnknown)
}

// Guards against a stale answer: nothing of it may reach the caller before the
// replica's data age has been checked.
func TestStaleReplicaRefusedBeforeFirstByte(t *testing.T) {
	g, o := newFakeGroup(t)
	g.servers["b"].set(func(s *server) { s.status.DataAge = 2 * time.Second })
	_, text, err := runBatch(t, o, "b", "soon", batch(upstream.ModeRead, "select"))
	assert.Equal(t, reasonOf(err), fault.ReasonStale)
	assert.Equal(t, text, "")
}

// Guards against old answers from a primary that may have been replaced without
// its knowledge, because it has lost contact with all replicas.
func TestReadOnIsolatedPrimaryRefused(t *testing.T) {
	g, o := newFakeGroup(t)
	_, _, err := runBatch(t, o, "a", "now", batch(upstream.ModeRead, "select"))
	assert.NilError(t, err)
	g.servers["b"].set(func(s *server) { s.down = true })
	g.servers["c"].set(func(s *server) { s.down = true })
	_, text, err := runBatch(t, o, "a", "now", batch(upstream.ModeRead, "select"))
	assert.Assert(t, isNotRun(err), "%v", err)
	assert.Equal(t, text, "")
}
