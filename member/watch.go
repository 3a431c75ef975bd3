package member

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"lovageslip/control/controlclient"
	"lovageslip/controlstate"
	pb "lovageslip/gen/lovageslip/v1"
)

// VersionRegressed reports a Watch message with an older version than the view,
// or a first message without the whole state (Held is then 0). The message was
// ignored.
type VersionRegressed struct {
	Held, Received uint64
}

func (e *VersionRegressed) Error() string {
	return fmt.Sprintf("received watch message of version %d while the view has version %d", e.Received, e.Held)
}

// StreamBehind reports a Watch stream that did not reach the version required by
// the leader within Timing.MaxBehind.
type StreamBehind struct{}

func (e *StreamBehind) Error() string { return "watch stream stayed behind the leader's version" }

// StreamSilent reports a Watch stream that delivered no message for
// Timing.StreamTimeout.
type StreamSilent struct{}

func (e *StreamSilent) Error() string { return "watch stream delivered no message within its timeout" }

// runWatches keeps a Watch stream open until ctx ends. Whenever a stream ends,
// it opens the next one to another control host.
func (a *Agent) runWatches(ctx context.Context) {
	failures := 0
	for i := a.randomHost(); ctx.Err() == nil; i++ {
		opened := time.Now()
		err := a.watch(ctx, i)
		if ctx.Err() != nil {
			return
		}
		a.metrics.Counter("watch_changes_total").Inc(1)
		a.log.Info("watch stream from a control host ended; the next one goes to another control host", "err", err)
		failures++
		if time.Since(opened) > a.timing.StreamTimeout {
			failures = 1
		}
		a.backOff(ctx, failures)
	}
}

// watch reads one Watch stream until it ends, times out or stays behind the
// version that the leader requires.
func (a *Agent) watch(ctx context.Context, host int) error {
	ctx, cancel := context.WithCancelCause(ctx)
	var background conc.WaitGroup
	defer background.Wait()
	defer cancel(nil)
	// The timer also covers the wait for the first message.
	silenceTimer := time.AfterFunc(a.timing.StreamTimeout, func() { cancel(&StreamSilent{}) })
	defer silenceTimer.Stop()
	request := &pb.WatchRequest{Host: a.options.Name, Version: a.viewVersion()}
	stream, err := a.client(host).Watch(ctx, connect.NewRequest(request))
	if err != nil {
		return causeOf(ctx, err)
	}
	defer stream.Close()
	ticker := time.NewTicker(a.timing.MaxBehind / 4)
	defer ticker.Stop()
	background.Go(func() { a.cancelWhenBehind(ctx, ticker.C, cancel) })
	for stream.Receive() {
		silenceTimer.Reset(a.timing.StreamTimeout)
		if err := a.applyMessage(stream.Msg()); err != nil {
			return err
		}
	}
	return causeOf(ctx, stream.Err())
}

func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return controlclient.FromConnect(err)
}

// cancelWhenBehind ends the stream once the view has been older than the version
// required by the leader for MaxBehind.
func (a *Agent) cancelWhenBehind(ctx context.Context, tick <-chan time.Time, cancel context.CancelCauseFunc) {
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick:
			if a.behindTooLong(now) {
				cancel(&StreamBehind{})
				return
			}
		}
	}
}

func (a *Agent) behindTooLong(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.behindSince.IsZero() || now.Sub(a.behindSince) < a.timing.MaxBehind {
		return false
	}
	// The stream to the next control host gets the full time to catch up.
	a.behindSince = now
	return true
}

func (a *Agent) viewVersion() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.frame == nil {
		return 0
	}
	return a.frame.Version
}

// applyMessage applies a Watch message to the view. It ignores messages that
// would take the view back to an earlier version.
func (a *Agent) applyMessage(m *pb.WatchResponse) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	frame := a.frame
	if frame == nil && !m.GetWhole() {
		return &VersionRegressed{Received: m.GetVersion()}
	}
	if frame != nil && m.GetVersion() < frame.Version {
		return &VersionRegressed{Held: frame.Version, Received: m.GetVersion()}
	}
	if frame != nil && m.GetVersion() == frame.Version {
		return nil
	}
	if m.GetWhole() {
		a.replaceFrame(controlstate.FrameFromMessage(m))
		return nil
	}
	a.replaceFrame(frame.WithChanges(m))
	return nil
}

// replaceFrame replaces the view, ends and starts leases accordingly and closes
// the channel that Changed has returned. a.mu is held.
func (a *Agent) replaceFrame(next *controlstate.Frame) {
	old := a.frame
	a.frame = next
	a.dropLostLeases()
	a.activatePendingLeases()
	a.updateConfigMetrics(old)
	close(a.changed)
	a.changed = make(chan struct{})
	if a.ownsNewEpoch(old) {
		a.SendHeartbeatNow()
	}
}

// ownsNewEpoch reports whether this host has become the owner of an upstream
// since the frame old, and so has no lease on it yet. a.mu is held.
func (a *Agent) ownsNewEpoch(old *controlstate.Frame) bool {
	for _, u := range a.frame.OwnedBy(a.options.Name) {
		if old == nil || old.Upstreams[u.GetName()].GetOwnerEpoch() != u.GetOwnerEpoch() {
			return true
		}
	}
	return false
}

// updateConfigMetrics reports the configuration of the view as metrics, so that
// an operator can tell which targets are in force on this host. a.mu is held.
func (a *Agent) updateConfigMetrics(old *controlstate.Frame) {
	a.metrics.Gauge("config_version").Update(float64(a.frame.ConfigVersion))
	for name, c := range a.frame.Classes {
		a.classWaitGauge(name).Update(float64(c.GetWaitMicros()) / 1e6)
	}
	if old == nil {
		return
	}
	for name := range old.Classes {
		if a.frame.Classes[name] == nil {
			a.classWaitGauge(name).Update(0)
		}
	}
}

// classWaitGauge returns the gauge of a class's target for waiting. It is set to
// zero once the class is removed.
func (a *Agent) classWaitGauge(name string) tally.Gauge {
	return a.metrics.Tagged(map[string]string{"class": name}).Gauge("class_wait_seconds")
}
