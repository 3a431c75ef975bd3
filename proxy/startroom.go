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

// dialPacer bounds how many connections a pool dials at the same time, and when.
// After a refusal it begins with one again, so that a pool finds out with one dial
// whether there is room, and doubles with each round of dials that succeed.
type dialPacer struct {
	createdAt time.Time
	// succeeded counts the dials that have succeeded since the last refusal.
	succeeded int
	// refused counts the refusals since the last success.
	refused int
	// nextAt is when the next dial may begin. Each takes time of the upstream.
	nextAt time.Time
}

// width returns how many dials may be under way at the same time.
func (d *dialPacer) width(at time.Time) int {
	if d.starting(at) {
		return 1
	}
	return 1 + d.succeeded
}

func (d *dialPacer) starting(at time.Time) bool { return at.Sub(d.createdAt) < startPeriod }

func (d *dialPacer) onSuccess(at time.Time) {
	d.succeeded++
	d.refused, d.nextAt = 0, time.Time{}
	if d.starting(at) {
		d.nextAt = at.Add(startInterval)
	}
}

// onRefusal records that the upstream had no room, for a pool with so many open
// connections.
func (d *dialPacer) onRefusal(at time.Time, open int) {
	d.succeeded = 0
	d.refused++
	pause := min(backoffMin<<min(d.refused-1, 3), backoffMax)
	if open > 0 {
		pause = min(furtherPauseFactor*pause, maxFurtherPause)
	}
	d.nextAt = at.Add(jitter(pause))
}

// unpacedDials is for virtual connections, which take no room of an upstream.
func unpacedDials() dialPacer { return dialPacer{succeeded: relayedQuota.limit} }
