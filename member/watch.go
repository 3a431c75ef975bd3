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

// WentBack reports a Watch message that is older than what the agent holds.
// The message was ignored.
type WentBack struct {
	Held, Received uint64
}

func (e *WentBack) Error() string {
	return fmt.Sprintf("watch message of version %d received while holding %d", e.Received, e.Held)
}

// Behind reports a Watch stream that stayed older than the leader's version.
type Behind struct{}

func (e *Behind) Error() string { return "watch stream stayed behind the leader" }

// Silent reports a Watch stream that delivered nothing.
type Silent struct{}

func (e *Silent) Error() string { return "watch stream was silent" }

// watches keeps a stream open, and changes the control host after each end.
func (a *Agent) watches(ctx context.Context) {
	failures := 0
	for i := a.firstHost(); ctx.Err() == nil; i++ {
		opened := time.Now()
		err := a.watch(ctx, i)
		if ctx.Err() != nil {
			return
		}
		a.metrics.Counter("watch_changes_total").Inc(1)
		a.log.Info("changing control host for watch", "err", err)
		failures++
		if time.Since(opened) > a.timing.Silence {
			failures = 1
		}
		a.pause(ctx, failures)
	}
}

// watch reads one stream until it ends, is silent or stays behind.
func (a *Agent) watch(ctx context.Context, host int) error {
	ctx, cancel := context.WithCancelCause(ctx)
	var guards conc.WaitGroup
	defer guards.Wait()
	defer cancel(nil)
	// The guard also covers the wait for the first message.
	guard := time.AfterFunc(a.timing.Silence, func() { cancel(&Silent{}) })
	defer guard.Stop()
	request := &pb.WatchRequest{Host: a.options.Name, Version: a.heldVersion()}
	stream, err := a.client(host).Watch(ctx, connect.NewRequest(request))
	if err != nil {
		return causeOf(ctx, err)
	}
	defer stream.Close()
	behind := time.NewTicker(a.timing.Behind / 4)
	defer behind.Stop()
	guards.Go(func() { a.guardBehind(ctx, behind.C, cancel) })
	for stream.Receive() {
		guard.Reset(a.timing.Silence)
		if err := a.receive(stream.Msg()); err != nil {
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

// guardBehind ends the stream once the view has been older for too long than
// the version that the leader named.
func (a *Agent) guardBehind(ctx context.Context, tick <-chan time.Time, cancel context.CancelCauseFunc) {
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick:
			if a.isBehind(now) {
				cancel(&Behind{})
				return
			}
		}
	}
}

func (a *Agent) isBehind(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.behindSince.IsZero() || now.Sub(a.behindSince) < a.timing.Behind {
		return false
	}
	// The next host gets the full time.
	a.behindSince = now
	return true
}

func (a *Agent) heldVersion() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.frame == nil {
		return 0
	}
	return a.frame.Version
}

// receive takes a message into the view. The version never goes back.
func (a *Agent) receive(m *pb.WatchResponse) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	held := a.frame
	if held == nil && !m.GetWhole() {
		return &WentBack{Received: m.GetVersion()}
	}
	if held != nil && m.GetVersion() < held.Version {
		return &WentBack{Held: held.Version, Received: m.GetVersion()}
	}
	if held != nil && m.GetVersion() == held.Version {
		return nil
	}
	if m.GetWhole() {
		a.install(controlstate.FrameOf(m))
		return nil
	}
	a.install(held.With(m))
	return nil
}

// install replaces the view. a.mu is held.
func (a *Agent) install(next *controlstate.Frame) {
	old := a.frame
	a.frame = next
	a.dropLost()
	a.countPending()
	a.reportConfig(old)
	close(a.changed)
	a.changed = make(chan struct{})
	if a.becameOwner(old) {
		a.Nudge()
	}
}

// becameOwner is true if the host became owner of an upstream that it holds no
// lease on yet. a.mu is held.
func (a *Agent) becameOwner(old *controlstate.Frame) bool {
	for _, u := range a.frame.OwnedBy(a.options.Name) {
		if old == nil || old.Upstreams[u.GetName()].GetOwnerEpoch() != u.GetOwnerEpoch() {
			return true
		}
	}
	return false
}

// reportConfig shows the configuration that the view holds, so that an operator
// can tell which targets are in force on this host. a.mu is held.
func (a *Agent) reportConfig(old *controlstate.Frame) {
	a.metrics.Gauge("config_version").Update(float64(a.frame.ConfigVersion))
	for name, c := range a.frame.Classes {
		a.classWait(name).Update(float64(c.GetWaitMicros()) / 1e6)
	}
	if old == nil {
		return
	}
	for name := range old.Classes {
		if a.frame.Classes[name] == nil {
			a.classWait(name).Update(0)
		}
	}
}

// classWait is zero for a class that was removed.
func (a *Agent) classWait(name string) tally.Gauge {
	return a.metrics.Tagged(map[string]string{"class": name}).Gauge("class_wait_seconds")
}
