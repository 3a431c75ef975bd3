package proxy

import "time"

// This file decides how a pool takes connections of an upstream that may have no
// room for them. The load that it answers: all hosts start at once after a loss of
// power, each with a backlog, while the upstreams still count the connections of
// before for seconds (they drop a connection whose other end is unreachable after
// 3 s). Dials beyond the room are refused, take the upstreams' time, and the room
// that is left goes to few proxies.

const (
	// startPeriod is how long after its creation a pool takes connections one by
	// one. It is longer than upstreams count connections of a host that has lost
	// power.
	startPeriod = 4 * time.Second
	// startInterval is the least time between a connection and the next dial
	// during startPeriod. Hosts that start together get their first views within
	// a few times that long, so each finds room for a first connection. A relay
	// needs few: one serves about 20 statements a second in another region.
	startInterval = 50 * time.Millisecond
	// furtherPauseFactor multiplies the pause after a refused dial if the pool has
	// a connection: what becomes free should first go to proxies that have none.
	furtherPauseFactor = 4
	// maxFurtherPause bounds that pause: an upstream notices a lost host within
	// three times as long.
	maxFurtherPause = time.Second
)

// dialPacer decides when a pool dials more connections. Up to as many as the upstream
// has accepted side by side since the last refusal, connections are replaced freely,
// for example those of one team by those of another. Beyond, a pool finds out with
// one dial whether there is room, and doubles with each round of dials that succeed.
type dialPacer struct {
	createdAt time.Time
	// proven is how many connections were open at a time since the last refusal.
	proven int
	// succeeded counts the dials that have succeeded since the last refusal.
	succeeded int
	// refused counts the refusals since the last success.
	refused int
	// pausedUntil is the end of the pause after a refusal. Each dial takes time of
	// the upstream. growAt is when more than the proven connections may be dialed.
	pausedUntil, growAt time.Time
}

// allows reports whether another dial may begin, while so many connections are open,
// some of which are still being dialed.
func (d *dialPacer) allows(at time.Time, open, dialing int) bool {
	switch {
	case at.Before(d.pausedUntil):
		return false
	case open < d.proven:
		return true
	default:
		return !at.Before(d.growAt) && dialing < d.width(at)
	}
}

// width returns how many dials may be under way at the same time.
func (d *dialPacer) width(at time.Time) int {
	if d.starting(at) {
		return 1
	}
	return 1 + d.succeeded
}

func (d *dialPacer) starting(at time.Time) bool { return at.Sub(d.createdAt) < startPeriod }

// wait returns how long no dial may begin, or only one that replaces a connection.
func (d *dialPacer) wait(at time.Time) time.Duration {
	return max(d.pausedUntil.Sub(at), d.growAt.Sub(at))
}

// onSuccess records that so many connections are open side by side.
func (d *dialPacer) onSuccess(at time.Time, open int) {
	d.proven = max(d.proven, open)
	d.succeeded++
	d.refused, d.pausedUntil = 0, time.Time{}
	if d.starting(at) {
		d.growAt = at.Add(startInterval)
	}
}

// onRefusal records that the upstream had no room, for a pool with so many open
// connections. If fewer are open than were proven, the upstream may still count one
// that was closed to make room.
func (d *dialPacer) onRefusal(at time.Time, open int) {
	further := open > 0 && open >= d.proven
	d.proven, d.succeeded = open, 0
	d.refused++
	pause := min(backoffMin<<min(d.refused-1, 3), backoffMax)
	if further {
		pause = min(furtherPauseFactor*pause, maxFurtherPause)
	}
	d.pausedUntil = at.Add(jitter(pause))
}

// unpacedDials is for virtual connections, which take no room of an upstream.
func unpacedDials() dialPacer {
	return dialPacer{proven: relayedQuota.limit, succeeded: relayedQuota.limit}
}
