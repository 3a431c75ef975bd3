package sitewatch

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovageslip/bootclock"
)

// Guards against proxies that serve nothing for a third of a second after the control
// hosts are back from a loss of power, because they pause while those start.
func TestControlHostThatStartsIsFoundSoon(t *testing.T) {
	reserved, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := reserved.Addr().String()
	assert.NilError(t, reserved.Close())
	w := New(Options{Log: slog.New(slog.DiscardHandler), Seeds: func() []string { return []string{address} }})
	found := make(chan time.Time, 1)
	go func() {
		since := bootclock.Now()
		for w.search(context.Background(), since) == "" {
		}
		found <- time.Now()
	}()
	time.Sleep(unreachablePause)
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	defer listener.Close()
	startedAt := time.Now()
	assert.Check(t, (<-found).Sub(startedAt) < unreachablePause/2)
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

	s := newSelection([]string{"a", "b"}, "")
	assert.Check(t, !s.record(refused("a", near), at(near)))
	assert.Check(t, !s.record(accepted("b", far), at(far)))
	assert.Equal(t, s.decidedAt, at(far+startingHeadStart))
	assert.Check(t, s.record(accepted("a", near), at(far+50*time.Millisecond)))
	assert.Equal(t, s.nearest.address, "a")

	s = newSelection([]string{"a", "b"}, "")
	s.record(refused("a", near), at(near))
	s.record(accepted("b", far), at(far))
	s.record(refused("a", near), at(far+startingHeadStart))
	assert.Equal(t, s.nearest.address, "b", "is the choice if the nearer host doesn't start")

	s = newSelection([]string{"a", "b", "c"}, "")
	s.record(refused("c", far), at(far))
	assert.Check(t, s.record(accepted("b", far), at(far)), "the one that refuses isn't nearer, the other doesn't answer")

	s = newSelection([]string{"a", "b"}, "a")
	assert.Check(t, !s.record(accepted("b", near), at(near)))
	assert.Equal(t, s.decidedAt, at(near+preferredHeadStart))
	assert.Check(t, s.record(accepted("a", far), at(far)))
	assert.Equal(t, s.nearest.address, "a")
}
