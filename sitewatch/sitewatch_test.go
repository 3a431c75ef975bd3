package sitewatch

import (
	"context"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovageslip/bootclock"
	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/site"
)

// Guards against a proxy that alternates between two control hosts that are cut
// off from the others together, and never tries a third: it served an old
// configuration for 4 s (pll-sketchyard, two-cuts --vary --seed 125042892340).
func TestAllOtherControlHostsAreTriedBeforeOneThatFailed(t *testing.T) {
	now := time.Unix(100, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	addresses := []string{"a", "b", "c"}
	failedAt := map[string]time.Time{"a": ago(3 * time.Second), "b": ago(time.Second)}
	candidates, failed := splitByFailure(addresses, failedAt, now)
	assert.DeepEqual(t, candidates, []string{"c"})
	assert.DeepEqual(t, failed, []string{"a", "b"})

	failedAt["c"] = ago(0)
	candidates, failed = splitByFailure(addresses, failedAt, now)
	assert.Equal(t, len(candidates), 0)
	assert.DeepEqual(t, failed, []string{"a", "b", "c"})

	candidates, _ = splitByFailure(addresses, failedAt, now.Add(failedHostBackoff))
	assert.DeepEqual(t, candidates, addresses)
}

// Guards against hundreds of proxies that keep control hosts from recovering, because
// each tries again several times a second while none of them can serve it.
func TestRetriesBecomeRarer(t *testing.T) {
	assert.Check(t, retryPause(0) <= 2*retryDelay)
	var waited time.Duration
	attempts := 0
	for ; waited < 10*time.Second; attempts++ {
		waited += retryPause(attempts)
	}
	assert.Check(t, attempts <= 16, "%d attempts in 10 s", attempts)
}

func newUpstream(id string, born int64, leaving bool) *pb.SiteUpstream {
	return &pb.SiteUpstream{Id: id, Group: "g", Address: "10.0.0.1:80", BornMs: born, Leaving: leaving}
}

// viewRecorder is a Proxy that keeps the newest view.
type viewRecorder struct{ view *site.View }

func (r *viewRecorder) SetView(v *site.View)                                 { r.view = v }
func (r *viewRecorder) PrimaryReachability() (unreachable, untried []string) { return nil, nil }

// Guards against a leaving period that begins when the proxy learns of it: an update
// that was long under way, or that follows a cut, would prolong it.
func TestLeavingPeriodBeginsAtTheLastCompleteView(t *testing.T) {
	w, p := New(Options{Log: slog.New(slog.DiscardHandler)}), &viewRecorder{}
	start := bootclock.Now().Add(-time.Minute)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	update := func(index uint64, upstreams ...*pb.SiteUpstream) {
		t.Helper()
		assert.Assert(t, w.applyUpdate("c1", &pb.SiteUpdate{Index: index, Topology: true, Upstreams: upstreams}, p))
	}
	staying, leaving := newUpstream("a", 1, false), newUpstream("a", 1, true)
	update(5, staying)
	w.confirm(confirmation{5, at(1)})
	w.confirm(confirmation{6, at(2)}) // has a change that the view lacks
	update(7, leaving)
	assert.Equal(t, p.view.LeavingNotBefore("a"), at(1))

	// Later confirmations are of a state in which it was leaving already.
	w.confirm(confirmation{7, at(9)})
	update(8, leaving)
	assert.Equal(t, p.view.LeavingNotBefore("a"), at(1))

	// A process that was never seen staying may have left long ago.
	update(9, newUpstream("a", 2, true), newUpstream("b", 0, true))
	assert.Assert(t, p.view.LeavingNotBefore("a").IsZero())
	assert.Assert(t, p.view.LeavingNotBefore("b").IsZero())

	// One that stays after all begins a new period when it leaves again.
	w.confirm(confirmation{10, at(20)}) // counts once the view has reached it
	update(10, staying)
	update(11, leaving)
	assert.Equal(t, p.view.LeavingNotBefore("a"), at(20))
}

// Guards against a proxy that has started while it was cut off from all control
// hosts, and goes on without a view for seconds after the cut.
func TestUnreachableControlHostsAreTriedOften(t *testing.T) {
	const attempts = 6
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	tried := make(chan time.Time, 100)
	w := New(Options{Log: slog.New(slog.DiscardHandler), HTTPClient: http.DefaultClient, Seeds: func() []string {
		tried <- time.Now()
		return nil
	}})
	ended := make(chan struct{})
	go func() { w.Run(ctx, &viewRecorder{}); close(ended) }()
	last := <-tried
	for range attempts {
		at := <-tried
		assert.Check(t, at.Sub(last) < 3*unreachablePause, "%v", at.Sub(last))
		last = at
	}
	stop()
	<-ended
}
