package control

import "time"

// Durations of the control leader.
const (
	// leaseDuration is how long an owner may use its upstreams, counted from
	// when it sent the heartbeat that renewed the lease.
	leaseDuration = 3 * time.Second
	// leaseExpiry is how long after the last renewal the leader waits before
	// it assigns a new owner. It is a tenth longer than leaseDuration,
	// because clocks may drift apart by up to a tenth.
	leaseExpiry = 3300 * time.Millisecond
	// tickInterval bounds how late the leader notices that work is due.
	tickInterval = 50 * time.Millisecond
	// hostTimeout is three heartbeat intervals: a host without a heartbeat
	// for longer is assigned no upstreams.
	hostTimeout = 1500 * time.Millisecond
	// firstAssignDelay is how long a new leader collects heartbeats before it
	// assigns upstreams their first owner, so that the upstreams are spread
	// over all hosts.
	firstAssignDelay = time.Second
	// hostRemovalDelay is how long a host may send no heartbeat before its
	// registration is removed.
	hostRemovalDelay = time.Minute
	// hostStableTime is how long two hosts must have been alive without a
	// break before an upstream is moved between them.
	hostStableTime = 30 * time.Second
	// balanceInterval is the minimum time between moves of upstreams between
	// working hosts, because each move interrupts the upstream for some
	// milliseconds.
	balanceInterval = time.Second
	// watchInterval is how often a Watch stream without changes repeats the
	// current version.
	watchInterval = 500 * time.Millisecond
	// proposeTimeout is longer than an election takes, so that a proposal
	// made during an election may still succeed.
	proposeTimeout = 2 * time.Second
	// leaderStartTimeout is short, because the leader loop cannot notice a
	// loss of leadership while it waits for the log. Logging the start of a
	// term twice is harmless.
	leaderStartTimeout = 500 * time.Millisecond
	// forwardTimeout bounds a call that is forwarded to the leader.
	forwardTimeout = 3 * time.Second
)

// Timing holds the durations that tests shorten. Zero fields mean the defaults.
type Timing struct {
	Lease            time.Duration
	LeaseExpiry      time.Duration
	Tick             time.Duration
	HostTimeout      time.Duration
	FirstAssignDelay time.Duration
	HostRemovalDelay time.Duration
	HostStableTime   time.Duration
	WatchInterval    time.Duration
	ProposeTimeout   time.Duration
	ForwardTimeout   time.Duration
	// Now replaces the clock; time.Now if nil.
	Now func() time.Time
}

func (t Timing) withDefaults() Timing {
	setDefault(&t.Lease, leaseDuration)
	setDefault(&t.LeaseExpiry, leaseExpiry)
	setDefault(&t.Tick, tickInterval)
	setDefault(&t.HostTimeout, hostTimeout)
	setDefault(&t.FirstAssignDelay, firstAssignDelay)
	setDefault(&t.HostRemovalDelay, hostRemovalDelay)
	setDefault(&t.HostStableTime, hostStableTime)
	setDefault(&t.WatchInterval, watchInterval)
	setDefault(&t.ProposeTimeout, proposeTimeout)
	setDefault(&t.ForwardTimeout, forwardTimeout)
	if t.Now == nil {
		t.Now = time.Now
	}
	return t
}

func (t Timing) now() time.Time { return t.Now() }

func setDefault(value *time.Duration, fallback time.Duration) {
	if *value == 0 {
		*value = fallback
	}
}
