package sitecontrol

import (
	"context"
	"time"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/upstream"
)

// endedMemberAge is how long an upstream that has ended counts at most as one that may
// hold a commit that no other upstream has, from when this leader has known of it.
const endedMemberAge = 30 * time.Second

// replicasCheckInterval is how often the replicas of a group with synchronous replicas are
// asked for their status while nothing points to a failure. It takes a slot of each.
const replicasCheckInterval = time.Second

// endedMembers is what the leader knows of the ended upstreams of a group beside their
// records in the replicated state. A new leader finds it out again.
type endedMembers map[endedProcess]endedMember

type endedProcess struct {
	id     string
	bornMs int64
}

type endedMember struct {
	record *pb.EndedUpstream
	// since is when this leader first saw the record.
	since time.Time
	// held is what the primary held after the end; zero if that is not known yet.
	held upstream.Position
}

// update takes the records of the group's ended upstreams at a moment. It returns those
// that have counted for endedMemberAge.
func (m endedMembers) update(records []*pb.EndedUpstream, at time.Time) (expired []*pb.EndedUpstream) {
	current := make(map[endedProcess]bool, len(records))
	for _, r := range records {
		process := endedProcess{r.Id, r.BornMs}
		current[process] = true
		if _, known := m[process]; !known {
			m[process] = endedMember{record: r, since: at}
		}
	}
	for process, e := range m {
		if !current[process] {
			delete(m, process)
		} else if at.Sub(e.since) >= endedMemberAge {
			expired = append(expired, e.record)
		}
	}
	return expired
}

// recordHeld takes the position of the primary, which was read after the last update.
func (m endedMembers) recordHeld(position upstream.Position) {
	for process, e := range m {
		if e.held == (upstream.Position{}) {
			e.held = position
			m[process] = e
		}
	}
}

// unneeded returns the ended upstreams that hold no commit which the primary and as many
// replicas as hold each commit lack.
func (m endedMembers) unneeded(replicas []probeResult, syncReplicas uint32) (unneeded []*pb.EndedUpstream) {
	for _, e := range m {
		var holders uint32
		for _, p := range replicas {
			if p.err == nil && !p.status.Received.Before(e.held) {
				holders++
			}
		}
		if e.held != (upstream.Position{}) && holders >= syncReplicas {
			unneeded = append(unneeded, e.record)
		}
	}
	return unneeded
}

func (m endedMembers) ids() (ids []string) {
	for process := range m {
		ids = append(ids, process.id)
	}
	return ids
}

// updateEnded takes the ended upstreams of the replicated state, and forgets those that
// have counted for too long.
func (w *groupWatch) updateEnded(ctx context.Context) {
	var records []*pb.EndedUpstream
	for _, e := range w.server.topology().state.Ended {
		if e.Group == w.group {
			records = append(records, e)
		}
	}
	w.forgetEnded(ctx, w.ended.update(records, now()), "not replaced for long")
}

// checkReplicas looks at the replicas of a group with synchronous replicas while its primary
// answers and no order is open: it forgets the upstreams that have ended and are not
// needed any more to find a successor, and releases replicas that are paused. A pause may
// arrive after the change of primary for which it was sent, and would hold up commits.
func (w *groupWatch) checkReplicas(ctx context.Context, primary *pb.SiteUpstream, others []*pb.SiteUpstream) {
	if w.syncReplicas == 0 || len(w.ended) == 0 && now().Sub(w.replicasCheckedAt) < replicasCheckInterval {
		return
	}
	w.replicasCheckedAt = now()
	asking, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	position, err := w.server.options.Prober.Position(asking, primary)
	if err != nil {
		return // asked again with the next probe
	}
	w.ended.recordHeld(position)
	replicas := w.probeAll(ctx, others)
	w.forgetEnded(ctx, w.ended.unneeded(replicas, w.syncReplicas), "others hold its commits")
	var paused []*pb.SiteUpstream
	for _, p := range replicas {
		if p.err == nil && p.status.PausedTerm != 0 {
			paused = append(paused, p.upstream)
		}
	}
	if len(paused) > 0 {
		w.server.metrics.Counter("late_pauses_total").Inc(int64(len(paused)))
		w.resume(ctx, paused)
	}
}

// forgetEnded proposes to remove ended upstreams from the replicated state.
func (w *groupWatch) forgetEnded(ctx context.Context, ended []*pb.EndedUpstream, reason string) {
	if len(ended) == 0 {
		return
	}
	command := &pb.ForgetEnded{Ended: ended}
	_, err := w.server.propose(ctx, &pb.SiteCommand{Command: &pb.SiteCommand_ForgetEnded{ForgetEnded: command}})
	for _, e := range ended {
		w.server.log.Info("leader proposed to forget an upstream that has ended", "group", w.group, "upstream", e.Id, "address", e.Address,
			"reason", reason, "error", err)
	}
}
