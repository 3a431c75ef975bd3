package control

import "time"

// Times of the control leader.
const (
	// leaseDuration is how long an owner may use its upstreams after it sent
	// the renewed heartbeat.
	leaseDuration = 3 * time.Second
	// leaseExpiry is how long the leader waits after the last renewal. It is
	// a tenth longer, because clocks may drift apart by up to that.
	leaseExpiry = 3300 * time.Millisecond
	// tickInterval bounds how late the leader notices a due action.
	tickInterval = 50 * time.Millisecond
	// hostAlive is three heartbeats: a host silent for longer gets no
	// upstreams.
	hostAlive = 1500 * time.Millisecond
	// hostSettle is how long a new leader waits for heartbeats before it
	// gives upstreams their first owner, so that they are spread out.
	hostSettle = time.Second
	// hostRemoval is how long a host may be silent before its registration
	// is removed.
	hostRemoval = time.Minute
	// hostSteady is how long a host must have been alive to be given an
	// upstream of a host that works.
	hostSteady = 30 * time.Second
	// balanceInterval bounds how often an upstream is moved between hosts
	// that work, because each move interrupts it for some milliseconds.
	balanceInterval = time.Second
	// watchInterval is how often a Watch stream without changes says so.
	watchInterval = 500 * time.Millisecond
	// proposeTimeout is longer than an election, so that a proposal made
	// during one may still succeed.
	proposeTimeout = 2 * time.Second
	// beginTimeout is short, because the loop cannot see the loss of its
	// leadership meanwhile. Logging the start again is harmless.
	beginTimeout = 500 * time.Millisecond
	// forwardTimeout bounds a call that is passed on to the leader.
	forwardTimeout = 3 * time.Second
)

// Timing holds the times that tests shorten. Zero fields mean the defaults.
type Timing struct {
	Lease          time.Duration
	LeaseExpiry    time.Duration
	Tick           time.Duration
	HostAlive      time.Duration
	HostSettle     time.Duration
	HostRemoval    time.Duration
	HostSteady     time.Duration
	WatchInterval  time.Duration
	ProposeTimeout time.Duration
	ForwardTimeout time.Duration
	// Now replaces the clock.
	Now func() time.Time
}

func (t Timing) withDefaults() Timing {
	or(&t.Lease, leaseDuration)
	or(&t.LeaseExpiry, leaseExpiry)
	or(&t.Tick, tickInterval)
	or(&t.HostAlive, hostAlive)
	or(&t.HostSettle, hostSettle)
	or(&t.HostRemoval, hostRemoval)
	or(&t.HostSteady, hostSteady)
	or(&t.WatchInterval, watchInterval)
	or(&t.ProposeTimeout, proposeTimeout)
	or(&t.ForwardTimeout, forwardTimeout)
	if t.Now == nil {
		t.Now = time.Now
	}
	return t
}

func (t Timing) now() time.Time { return t.Now() }

func or(d *time.Duration, fallback time.Duration) {
	if *d == 0 {
		*d = fallback
	}
}
