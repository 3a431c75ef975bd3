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

func follow(w *world, names ...string) {
	position := w.servers["a"].read().Offset
	for _, name := range names {
		w.servers[name].set(func(s *server) { s.status.Offset = position })
	}
}

func (s *server) read() upstream.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status
}

// Guards against acknowledging a write that only the primary holds.
func TestWriteAcknowledgedOnlyAfterMajority(t *testing.T) {
	w, o := newWorld(t)
	type outcome struct {
		text string
		err  error
	}
	result := make(chan outcome, 1)
	go func() {
		_, text, err := run(t, o, "a", "now", batch(upstream.ModeWrite, "insert"))
		result <- outcome{text, err}
	}()
	eventually(t, "the write to run", func() bool { return len(w.servers["a"].runs()) == 1 })
	select {
	case r := <-result:
		assert.Assert(t, r.err != nil, "acknowledged before a majority held the write: %q", r.text)
	case <-time.After(50 * time.Millisecond):
		follow(w, "b")
		r := <-result
		assert.NilError(t, r.err)
		assert.Equal(t, r.text, "rows done")
	}
}

// Guards against an acknowledgement when no replica ever holds the write.
func TestUnconfirmedWriteIsUnknown(t *testing.T) {
	_, o := newWorld(t)
	o.opts.ConfirmTimeout = 100 * time.Millisecond
	_, text, err := run(t, o, "a", "now", batch(upstream.ModeWrite, "insert"))
	assert.Equal(t, reasonOf(err), fault.ReasonOutcomeUnknown)
	assert.Assert(t, !isNotRun(err))
	assert.Equal(t, text, "rows ")
}

// Guards against counting a majority of members that may have been replaced
// while the owner was cut off from the control hosts.
func TestWriteUnknownWithoutCurrentView(t *testing.T) {
	w, o := newWorld(t)
	w.set(func() { w.cutOff = true })
	w.servers["b"].set(func(s *server) { s.status.Offset = 1000 })
	_, _, err := run(t, o, "a", "now", batch(upstream.ModeWrite, "insert"))
	assert.Equal(t, reasonOf(err), fault.ReasonOutcomeUnknown)
}

// Guards against telling the caller of a resent transaction that it has
// committed while only the primary holds the commit.
func TestResentTransactionToldOnlyAfterMajority(t *testing.T) {
	w, o := newWorld(t)
	o.opts.ConfirmTimeout = 100 * time.Millisecond
	w.servers["a"].set(func(s *server) {
		s.behave = func(c *conn, b upstream.Batch) (upstream.Result, error) {
			return c.server.answer(b), &fault.AlreadyCommitted{RequestID: "r"}
		}
	})
	_, _, err := run(t, o, "a", "now", batch(upstream.ModeWrite, "insert"))
	assert.Equal(t, reasonOf(err), fault.ReasonOutcomeUnknown)
	w.servers["b"].set(func(s *server) { s.status.Offset = 1000 })
	_, _, err = run(t, o, "a", "now", batch(upstream.ModeWrite, "insert"))
	var committed *fault.AlreadyCommitted
	assert.Assert(t, errors.As(err, &committed), "%v", err)
}

// Guards against counting replicas that have promised to a newer term.
func TestReplacedPrimaryAcknowledgesNothing(t *testing.T) {
	w, o := newWorld(t)
	_, _, err := run(t, o, "a", "now", batch(upstream.ModeRead, "select"))
	assert.NilError(t, err)
	o.opts.ConfirmTimeout = 100 * time.Millisecond
	for _, name := range []string{"b", "c"} {
		w.servers[name].set(func(s *server) { s.status.Fenced = 2; s.status.Offset = 1000 })
	}
	_, text, err := run(t, o, "a", "now", batch(upstream.ModeWrite, "insert"))
	assert.Assert(t, err != nil)
	assert.Equal(t, text, "")
	_, text, err = run(t, o, "a", "soon", batch(upstream.ModeWrite, "insert"))
	assert.Assert(t, err != nil)
	assert.Assert(t, text != "rows done")
}

// Guards against waiting out the whole bound once the group has a new primary.
func TestWriteInFlightEndsAtChangeOfPrimary(t *testing.T) {
	w, o := newWorld(t)
	result := make(chan error, 1)
	go func() {
		_, _, err := run(t, o, "a", "now", batch(upstream.ModeWrite, "insert"))
		result <- err
	}()
	eventually(t, "the write to run", func() bool { return len(w.servers["a"].runs()) == 1 })
	w.change(func(v *registry.View) {
		v.Groups["db"] = registry.Group{Database: "db", Term: 2, Primary: "b", Members: members}
	})
	err := <-result
	assert.Equal(t, reasonOf(err), fault.ReasonOutcomeUnknown)
}

// Guards against a stale answer: nothing may reach the caller before the
// check.
func TestStaleReplicaRefusedBeforeFirstByte(t *testing.T) {
	w, o := newWorld(t)
	w.servers["b"].set(func(s *server) { s.status.DataAge = 2 * time.Second })
	_, text, err := run(t, o, "b", "soon", batch(upstream.ModeRead, "select"))
	assert.Equal(t, reasonOf(err), fault.ReasonStale)
	assert.Equal(t, text, "")
}

// Guards against old answers from a primary that does not know of its
// replacement.
func TestCurrentReadOnCutOffPrimaryRefused(t *testing.T) {
	w, o := newWorld(t)
	_, _, err := run(t, o, "a", "now", batch(upstream.ModeRead, "select"))
	assert.NilError(t, err)
	w.servers["b"].set(func(s *server) { s.down = true })
	w.servers["c"].set(func(s *server) { s.down = true })
	_, text, err := run(t, o, "a", "now", batch(upstream.ModeRead, "select"))
	assert.Assert(t, isNotRun(err), "%v", err)
	assert.Equal(t, text, "")
}
