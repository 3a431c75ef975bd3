package sitecontrol

import (
	"slices"
	"time"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/upstream"
)

// endedMemberAge is how long an upstream that has ended counts at most as one that may
// hold a commit that no other upstream has.
const endedMemberAge = 30 * time.Second

// memberLog is what the leader remembers of the upstreams of one group, to know which
// may hold an acknowledged commit although they have no record any more.
type memberLog struct {
	// addresses holds the address of each recorded upstream, by id.
	addresses map[string]string
	// ended holds the upstreams whose records were removed, until their successors, which
	// have their logs, announce themselves at their addresses, or enough other upstreams
	// hold what the primary held after they had ended.
	ended map[string]endedMember
}

type endedMember struct {
	address string
	at      time.Time
	// held is what the primary held after the end; zero if that is not known yet.
	held upstream.Position
}

// update takes the group's recorded upstreams at a moment.
func (l *memberLog) update(recorded []*pb.SiteUpstream, at time.Time) {
	if l.ended == nil {
		l.ended = make(map[string]endedMember)
	}
	current := make(map[string]string, len(recorded))
	for _, u := range recorded {
		current[u.Id] = u.Address
	}
	for id, address := range l.addresses {
		if _, ok := current[id]; !ok {
			l.ended[id] = endedMember{address: address, at: at}
		}
	}
	l.addresses = current
	for id, e := range l.ended {
		succeeded := slices.ContainsFunc(recorded, func(u *pb.SiteUpstream) bool { return u.Address == e.address })
		if succeeded || at.Sub(e.at) >= endedMemberAge {
			delete(l.ended, id)
		}
	}
}

// recordHeld takes the position of the primary, which was read after the last update.
func (l *memberLog) recordHeld(position upstream.Position) {
	for id, e := range l.ended {
		if e.held == (upstream.Position{}) {
			e.held = position
			l.ended[id] = e
		}
	}
}

// clear forgets the ended upstreams that hold no commit which the primary and as many
// replicas as hold each commit lack.
func (l *memberLog) clear(replicas []probeResult, syncReplicas uint32) {
	for id, e := range l.ended {
		var holders uint32
		for _, p := range replicas {
			if p.err == nil && !p.status.Received.Before(e.held) {
				holders++
			}
		}
		if e.held != (upstream.Position{}) && holders >= syncReplicas {
			delete(l.ended, id)
		}
	}
}

func (l *memberLog) endedIDs() []string {
	var ids []string
	for id := range l.ended {
		ids = append(ids, id)
	}
	return ids
}
