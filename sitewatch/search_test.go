package sitewatch

import (
	"context"
	"net"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against proxies that serve nothing for a third of a second after the control
// hosts are back from a loss of power, because they pause while those start.
func TestControlHostThatStartsIsTriedOften(t *testing.T) {
	const attempts = 10
	reserved, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := reserved.Addr().String()
	assert.NilError(t, reserved.Close())
	ctx, stop := context.WithCancel(context.Background())
	results, ended := make(chan probeResult), make(chan struct{})
	go func() { probeStarting(ctx, address, 0, results); close(ended) }()
	var pauses []time.Duration
	last := time.Now()
	for range attempts {
		assert.Assert(t, (<-results).refused)
		pauses = append(pauses, time.Since(last))
		last = time.Now()
	}
	slices.Sort(pauses)
	assert.Check(t, pauses[attempts/2] < 2*refusedPause, "%v", pauses)
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	defer listener.Close()
	for r := range results {
		if r.accepted {
			break
		}
	}
	stop()
	<-ended
}

// Guards against a search that ends before the host that it should wait for may answer,
// or that doesn't end.
func TestSearchEndsWithAHostThatAccepts(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	const refusing = "127.0.0.1:1"
	for _, starting := range []bool{false, true} {
		address, ok := firstReachable(t.Context(), []string{listener.Addr().String(), refusing}, "", starting)
		assert.Assert(t, ok)
		assert.Equal(t, address, listener.Addr().String())
		_, ok = firstReachable(t.Context(), []string{refusing}, "", starting)
		assert.Assert(t, !ok)
		_, ok = firstReachable(t.Context(), nil, "", starting)
		assert.Assert(t, !ok)
	}
}

// Guards against all proxies watching the control host that starts first, which they
// would leave one after the other for a nearer one, and against a wait that nothing calls
// for.
func TestNearerControlHostsThatStartMayBeLater(t *testing.T) {
	const near, far = time.Millisecond, 40 * time.Millisecond
	start := time.Unix(100, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	accepted := func(address string, took time.Duration) probeResult {
		return probeResult{address: address, accepted: true, took: took}
	}
	refused := func(address string, took time.Duration) probeResult {
		return probeResult{address: address, refused: true, took: took}
	}

	s := newSelection([]string{"a", "b"}, "", true)
	assert.Check(t, !s.record(refused("a", near), at(near)))
	assert.Check(t, !s.record(accepted("b", far), at(far)))
	assert.Equal(t, s.decidedAt, at(far+startingHeadStart))
	assert.Check(t, s.record(accepted("a", near), at(far+50*time.Millisecond)))
	assert.Equal(t, s.nearest.address, "a")

	s = newSelection([]string{"a", "b"}, "", true)
	s.record(refused("a", near), at(near))
	s.record(accepted("b", far), at(far))
	s.record(refused("a", near), at(far+startingHeadStart))
	assert.Equal(t, s.nearest.address, "b", "is the choice if the nearer host doesn't start")

	s = newSelection([]string{"a", "b"}, "", true)
	assert.Check(t, !s.record(accepted("b", far), at(far)), "the other has no power yet")
	assert.Equal(t, s.decidedAt, at(far+startingHeadStart))

	s = newSelection([]string{"a", "b"}, "", true)
	s.record(refused("a", far), at(far))
	assert.Check(t, s.record(accepted("b", far), at(far)), "the other isn't nearer")
	assert.Check(t, newSelection([]string{"a", "b"}, "", true).record(accepted("b", near), at(near)), "is in the same region")
	assert.Check(t, newSelection([]string{"a", "b"}, "", false).record(accepted("b", far), at(far)), "nothing is starting")

	s = newSelection([]string{"a", "b"}, "a", false)
	assert.Check(t, !s.record(accepted("b", near), at(near)))
	assert.Equal(t, s.decidedAt, at(near+preferredHeadStart))
	assert.Check(t, s.record(accepted("a", far), at(far)))
	assert.Equal(t, s.nearest.address, "a")
}
