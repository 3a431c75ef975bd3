package sitecontrol

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/internal/pause"
	"lovageslip/upstream"
)

// A group whose configuration names synchronous replicas acknowledges a commit once
// that many replicas have received it. The primary and those replicas hold it, so it is
// held by at least one of any set of upstreams that leaves out no more than that many.
// A successor is therefore chosen by position alone, from such a set, after every
// replica in it has shown that it receives nothing more, or after the primary has shown
// that it leads no longer. Upstreams that have ended count until their logs are not needed
// any more; the control hosts replicate which they are (SiteState.ended).

const (
	// lostMemberAge is how long an upstream must have announced nothing while the
	// primary still answered, to be taken for one that does not come back and holds no
	// commit that others lack. It is longer than the cuts and freezes that sites state.
	lostMemberAge = 30 * time.Second
	// lateCommandTimeout is how long an upstream may carry out a command that it did not
	// answer. It drops a connection whose other end is unreachable after 3 s.
	lateCommandTimeout = 3 * time.Second
	// successorLogInterval is the least time between two log lines on a change of
	// primary that has to wait.
	successorLogInterval = time.Second
)

// SuccessorUnproven reports a group of which too few upstreams tell their position to
// find one that holds every acknowledged commit.
type SuccessorUnproven struct {
	Group string
	// Silent are the upstreams that may hold a commit and did not tell their position.
	Silent []string
	// Allowed is how many may be silent.
	Allowed uint32
}

func (e *SuccessorUnproven) Error() string {
	return fmt.Sprintf("group %s: positions of %s are not known, at most %d may be missing", e.Group, strings.Join(e.Silent, ", "), e.Allowed)
}

// NoSuccessor reports a group of which no upstream can take over as the primary now.
type NoSuccessor struct{ Group string }

func (e *NoSuccessor) Error() string {
	return "group " + e.Group + " has no upstream that could take over"
}

// chooseSuccessor returns the upstream that holds every commit that the group has
// acknowledged, or *SuccessorUnproven if the answers do not tell. silent are the
// upstreams that were not asked. Of several with the same position it prefers those
// that stay, and then replicas.
func chooseSuccessor(group string, answers []probeResult, silent []string, syncReplicas uint32) (*probeResult, error) {
	var best *probeResult
	silent = slices.Clone(silent)
	for _, p := range answers {
		switch {
		case p.err != nil:
			silent = append(silent, p.upstream.Id)
		case best == nil || betterHolder(p, *best):
			best = &p
		}
	}
	if best == nil || uint32(len(silent)) > syncReplicas {
		slices.Sort(silent)
		return nil, &SuccessorUnproven{Group: group, Silent: silent, Allowed: syncReplicas}
	}
	return best, nil
}

func betterHolder(p, q probeResult) bool {
	switch {
	case p.status.Received != q.status.Received:
		return q.status.Received.Before(p.status.Received)
	case p.upstream.Leaving != q.upstream.Leaving:
		return q.upstream.Leaving
	default:
		return p.status.Role != upstream.RolePrimary && q.status.Role == upstream.RolePrimary
	}
}

// survey asks the upstreams of the group for their positions, and the primary if askPrimary
// is set. It leaves out those that were lost long before the primary was. silent are the
// upstreams that may hold a commit and were not asked.
func (w *groupWatch) survey(ctx context.Context, primary *pb.SiteUpstream, others []*pb.SiteUpstream, askPrimary bool) (answers []probeResult, silent []string) {
	// After the upstreams were looked up: one that has ended meanwhile counts.
	w.updateEnded(ctx)
	silent = w.ended.ids()
	members := slices.Clone(others)
	switch {
	case primary == nil:
	case askPrimary:
		members = append(members, primary)
	default:
		silent = append(silent, primary.Id)
	}
	answers = w.askAll(ctx, members, w.probeLead)
	answers = slices.DeleteFunc(answers, func(p probeResult) bool {
		return p.err != nil && p.upstream != primary && w.lostLongAgo(p.upstream)
	})
	return answers, silent
}

// lostLongAgo reports whether an upstream had announced nothing for lostMemberAge when
// the primary last answered.
func (w *groupWatch) lostLongAgo(u *pb.SiteUpstream) bool {
	at := w.unavailableSince
	if at.IsZero() {
		at = now()
	}
	return at.Sub(w.server.lastHeard(u.Id)) >= lostMemberAge
}

// replaceProven changes the primary of a group with synchronous replicas.
func (w *groupWatch) replaceProven(ctx context.Context, primary *pb.SiteUpstream, others []*pb.SiteUpstream, g *pb.SiteGroupState, reason string) {
	if primary.GetLeaving() {
		status, err := w.probeLead(ctx, primary)
		var busy *BusyUpstream
		switch {
		case errors.As(err, &busy):
			return // asked again in the next step
		case err == nil && status.Role == upstream.RolePrimary:
			w.unavailableSince = time.Time{}
			w.replaceLeaving(ctx, primary, others, g, status.Received, reason)
			return
		case w.unavailableSince.IsZero():
			w.unavailableSince = now()
		}
	}
	// A primary that did not answer is asked again only if the others do not suffice.
	answers, silent := w.survey(ctx, primary, others, w.unavailableSince.IsZero())
	_, err := chooseSuccessor(w.group, answers, silent, w.syncReplicas)
	if err != nil && !w.unavailableSince.IsZero() {
		answers, silent = w.survey(ctx, primary, others, true)
		_, err = chooseSuccessor(w.group, answers, silent, w.syncReplicas)
	}
	if err == nil {
		// The primary itself may hold commits that are not acknowledged yet. It
		// steps down before its successor is confirmed.
		best, choiceErr := chooseSuccessor(w.group, slices.DeleteFunc(slices.Clone(answers), func(p probeResult) bool {
			return p.err != nil || p.upstream.Id == primary.GetId()
		}), nil, w.syncReplicas)
		if choiceErr == nil {
			w.order(ctx, primary, best, g, reason, answers)
			return
		}
		err = choiceErr
	}
	w.postpone(reason, err, answers)
}

// replaceLeaving replaces a primary that leaves and still serves. It waits until a
// replica that stays has received what the primary held, and otherwise leaves the
// primary in place: a successor that does not keep up would hold up each commit.
func (w *groupWatch) replaceLeaving(ctx context.Context, primary *pb.SiteUpstream, others []*pb.SiteUpstream, g *pb.SiteGroupState, held upstream.Position, reason string) {
	staying := slices.DeleteFunc(slices.Clone(others), (*pb.SiteUpstream).GetLeaving)
	waiting, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	for {
		answers := w.askAll(waiting, staying, w.probe)
		for _, p := range answers {
			if p.err == nil && !p.status.Received.Before(held) {
				w.order(ctx, primary, &p, g, reason, answers)
				return
			}
		}
		if !pause.For(waiting, catchUpInterval) {
			w.postpone(reason, &NoSuccessor{Group: w.group}, answers)
			return
		}
	}
}

// postpone logs that a change of primary has to wait.
func (w *groupWatch) postpone(reason string, err error, answers []probeResult) {
	w.server.metrics.Counter("changes_postponed_total").Inc(1)
	if now().Sub(w.postponeLoggedAt) < successorLogInterval {
		return
	}
	w.postponeLoggedAt = now()
	w.server.log.Warn("change of the primary waits until an upstream is known to hold all acknowledged commits", "group", w.group,
		"reason", reason, "error", err, "candidates", describe(answers))
}

// deliver sends a logged order to the platform. In a group with synchronous replicas it
// first makes sure that the ordered upstream holds every acknowledged commit, and logs
// an order for the one that does if that is another.
func (w *groupWatch) deliver(ctx context.Context, id string, token uint64) {
	if w.syncReplicas > 0 {
		successor, err := w.confirmSuccessor(ctx, id, token)
		if err != nil {
			return
		}
		if successor != id {
			previous := token
			var ok bool
			token, ok = w.logOrder(ctx, successor, previous)
			if !ok {
				return
			}
			w.server.log.Info("leader replaced an order by one for the upstream that holds all acknowledged commits", "group", w.group,
				"from", id, "to", successor, "previous_token", previous, "token", token)
			id = successor
		}
	}
	w.sendOrder(ctx, id, token)
}

// confirmSuccessor makes sure that the group can acknowledge no further commit, and returns
// an upstream that then holds all, the ordered one if it does. The order must have been
// logged before, because its promotion is what lets the group serve again even if another
// host leads by then. If too few upstreams answer, the replicas are released again, unless
// the order may be carried out.
func (w *groupWatch) confirmSuccessor(ctx context.Context, ordered string, token uint64) (id string, err error) {
	primary, others, _ := w.upstreams()
	// The primary may be back, and stepping down is better evidence than a pause, which ends
	// with a restart of the replica.
	answers, silent := w.survey(ctx, primary, others, true)
	if i := indexOfLeader(answers); i >= 0 && answers[i].upstream.Id == ordered {
		return ordered, nil // an earlier delivery was carried out
	}
	leader := w.stepDownLeader(ctx, answers, ordered)
	best, err := provenSuccessor(w.group, answers, leader, silent, w.syncReplicas)
	if err == nil {
		err = w.pauseReplicas(ctx, answers, leader)
		if err == nil {
			best, err = provenSuccessor(w.group, answers, leader, silent, w.syncReplicas)
		}
		if err == nil {
			err = w.checkMembers(append(slices.Clone(others), primary))
		}
		if err != nil && w.unsentOrder == token {
			w.resume(ctx, others)
		}
	}
	if err != nil {
		w.postpone("order cannot be confirmed", err, answers)
		return "", err
	}
	w.server.log.Info("no further commit can be acknowledged until the promotion", "group", w.group, "ordered", ordered, "holds_all", best.upstream.Id,
		"stepped_down", leader.id(), "upstreams", describe(answers), "silent", silent)
	if slices.ContainsFunc(answers, func(p probeResult) bool {
		return p.upstream.Id == ordered && p.err == nil && !p.status.Received.Before(best.status.Received)
	}) {
		return ordered, nil
	}
	return best.upstream.Id, nil
}

// provenSuccessor returns an upstream that holds every commit which the group has
// acknowledged and will acknowledge before it is promoted, or *SuccessorUnproven. The
// answers are those of upstreams after they were told to step down or to pause; those with
// errors may lead or receive on.
//
// A leader that has stepped down holds all commits, and there will be no others. Without
// one, at most syncReplicas upstreams are silent, and one of them may lead: the others are
// too few to acknowledge a commit that no paused replica holds.
func provenSuccessor(group string, answers []probeResult, leader *probeResult, silent []string, syncReplicas uint32) (*probeResult, error) {
	if leader == nil {
		return chooseSuccessor(group, answers, silent, syncReplicas)
	}
	holders := slices.DeleteFunc(slices.Clone(answers), func(p probeResult) bool {
		return p.err != nil || p.status.Received.Before(leader.status.Received)
	})
	return chooseSuccessor(group, holders, nil, syncReplicas)
}

// stepDownLeader makes the upstream that leads a replica, if one of those that answered
// does, and waits until the successor has received what it held. It returns its answer, or
// nil if no leader has stepped down; one that did not then has an error in answers.
func (w *groupWatch) stepDownLeader(ctx context.Context, answers []probeResult, successor string) *probeResult {
	i := indexOfLeader(answers)
	if i < 0 || answers[i].upstream.Id == successor {
		return nil
	}
	p := &answers[i]
	p.status, p.err = w.command(ctx, p.upstream, newestTerm(answers), w.stepDownCommand())
	if p.err != nil {
		w.server.log.Warn("primary did not step down", "group", w.group, "upstream", p.upstream.Id, "error", p.err)
		return nil
	}
	if next := slices.IndexFunc(answers, func(p probeResult) bool { return p.upstream.Id == successor }); next >= 0 {
		w.awaitPosition(ctx, answers[next].upstream, p.status.Received)
	}
	return p
}

// indexOfLeader returns the index of the answer of an upstream that leads, or -1.
func indexOfLeader(answers []probeResult) int {
	return slices.IndexFunc(answers, func(p probeResult) bool { return p.err == nil && p.status.Role == upstream.RolePrimary })
}

// pauseReplicas tells the upstreams that answered to receive nothing more, and replaces
// their answers by those to the command. An upstream whose answer does not show the effect
// has an error in answers after that. A leader that has stepped down keeps its answer.
// pauseReplicas returns *CommandWithoutEffect if an upstream has begun to lead meanwhile.
func (w *groupWatch) pauseReplicas(ctx context.Context, answers []probeResult, leader *probeResult) error {
	newest := newestTerm(answers)
	var asked []*pb.SiteUpstream
	for i := range answers {
		var busy *BusyUpstream
		p := &answers[i]
		switch {
		case p == leader || p.err != nil && !errors.As(p.err, &busy):
		case now().Before(w.lateResumes[p.upstream.Id]):
			p.err = &ResumeOutstanding{ID: p.upstream.Id}
		default:
			asked = append(asked, p.upstream)
		}
	}
	paused := w.askAll(ctx, asked, func(ctx context.Context, u *pb.SiteUpstream) (UpstreamStatus, error) {
		return w.command(ctx, u, newest, w.pauseCommand())
	})
	var leads error
	for _, p := range paused {
		var refused *CommandRefused
		var without *CommandWithoutEffect
		switch {
		case errors.As(p.err, &refused):
			w.server.metrics.Counter("pauses_refused_total").Inc(1)
		case errors.As(p.err, &without) && without.Leads:
			leads = without
		}
		answers[slices.IndexFunc(answers, func(q probeResult) bool { return q.upstream == p.upstream })] = p
	}
	return leads
}

// ResumeOutstanding reports an upstream that may still carry out a command to receive again
// that it has not answered. A pause would not last.
type ResumeOutstanding struct{ ID string }

func (e *ResumeOutstanding) Error() string {
	return "upstream " + e.ID + " may receive again at any time: it has not answered the command to do so"
}

// checkMembers returns *MemberJoined if an upstream of the group was recorded since the
// given ones were: it may receive commits and was not asked.
func (w *groupWatch) checkMembers(asked []*pb.SiteUpstream) error {
	for _, u := range w.server.topology().upstreams[w.group] {
		if !slices.ContainsFunc(asked, func(a *pb.SiteUpstream) bool { return a.GetId() == u.Id && a.GetBornMs() == u.BornMs }) {
			return &MemberJoined{Group: w.group, ID: u.Id}
		}
	}
	return nil
}

// MemberJoined reports an upstream that announced itself while the others of its group were
// told to pause.
type MemberJoined struct{ Group, ID string }

func (e *MemberJoined) Error() string {
	return "upstream " + e.ID + " of group " + e.Group + " has joined meanwhile"
}

// resumeOthers lets all upstreams but the new primary receive again, unless an order for
// another upstream is open and may be carried out.
func (w *groupWatch) resumeOthers(ctx context.Context, primary *pb.SiteUpstream) {
	topology := w.server.topology()
	if topology.groups[w.group].GetOrderOpen() {
		return
	}
	recorded := topology.upstreams[w.group]
	w.resume(ctx, slices.DeleteFunc(slices.Clone(recorded), func(u *pb.SiteUpstream) bool { return u.Id == primary.Id }))
}

// resume lets replicas receive again. A replica that does not answer is released by the
// next promotion or its restart.
func (w *groupWatch) resume(ctx context.Context, replicas []*pb.SiteUpstream) {
	if !w.leads() {
		return // another leader may have paused them for an order of its own
	}
	answers := w.askAll(ctx, replicas, func(ctx context.Context, u *pb.SiteUpstream) (UpstreamStatus, error) {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		return w.server.options.Prober.Resume(ctx, u)
	})
	maps.DeleteFunc(w.lateResumes, func(_ string, until time.Time) bool { return !now().Before(until) })
	for _, p := range answers {
		if p.err != nil {
			w.lateResumes[p.upstream.Id] = now().Add(lateCommandTimeout)
		}
	}
	w.server.log.Info("replicas were told to receive again", "group", w.group, "replicas", describe(answers))
}
