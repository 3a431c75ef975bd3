package sitecontrol

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/internal/pause"
	"lovageslip/upstream"
)

const (
	groupInterval = 100 * time.Millisecond
	// probeInterval is how often a primary is probed while nothing points to
	// a failure. The probe needs no slot of the upstream.
	probeInterval = 300 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
	// primaryLossTimeout is how long a primary must fail to answer this host,
	// while at least half of the proxies cannot reach it either, before it is
	// replaced. It covers the retransmission of a lost packet and a round trip
	// between regions.
	primaryLossTimeout = 700 * time.Millisecond
	// proxiesCutOffTimeout is how long at least half of the proxies must fail
	// to reach a primary that answers this host before it is replaced.
	proxiesCutOffTimeout = time.Second
	// announcementMaxAge is how long after its last announcement a primary that
	// does not answer is taken to be cut off from this host only, if there
	// are no proxies to ask.
	announcementMaxAge = 3 * time.Second
)

// groupWatch is the leader's watch over the primary of one group.
type groupWatch struct {
	server *Server
	group  string
	// term is the term of the control hosts in which this host watches the group as
	// the leader.
	term uint64
	// stepping is set while a step runs. The fields below are used by that step
	// only.
	stepping atomic.Bool
	// probedAt is when the last probe began. unavailableSince is since when
	// this host has found no primary that answers, zero if the last probe
	// found one.
	probedAt         time.Time
	unavailableSince time.Time
	// cutOffSince is since when at least half of the proxies cannot reach the
	// primary, zero if fewer cannot.
	cutOffSince time.Time
	// lastUnreachableCount is how many proxies could not reach the primary at
	// the last check.
	lastUnreachableCount uint32
	// orderedAt is when the current promotion order was logged, and resendAt
	// when it may be sent to the platform again.
	orderedAt time.Time
	resendAt  time.Time
	// unsentOrder is the token of the open order if this host has logged it and neither it
	// nor another open order before it can have reached the platform; 0 otherwise.
	unsentOrder uint64
	// settledAt is when the orders that were sent have been carried out or never will be.
	settledAt time.Time
	// syncReplicas is how many replicas hold a commit before it is acknowledged, as the
	// configuration says. With 0 the fields below are not used; see successor.go.
	syncReplicas uint32
	ended        endedMembers
	// lateResumes holds, by id, until when an upstream may carry out a command to receive
	// again that it did not answer.
	lateResumes map[string]time.Time
	// replicasCheckedAt is when checkReplicas last asked the replicas.
	replicasCheckedAt time.Time
	postponeLoggedAt  time.Time
}

// runGroups lets each group take a step at each interval. A group whose step takes
// longer, because an upstream or the platform does not answer, delays no other.
func (s *Server) runGroups(ctx context.Context, term uint64) {
	watches := make(map[string]*groupWatch)
	var steps conc.WaitGroup
	defer steps.Wait()
	for pause.For(ctx, groupInterval) {
		state, _, _ := s.options.State.Current()
		for _, g := range state.Config.GetGroups() {
			w, ok := watches[g.Name]
			if !ok {
				w = &groupWatch{
					server: s, group: g.Name, term: term, ended: make(endedMembers), lateResumes: make(map[string]time.Time),
					settledAt: now().Add(lateOrderTimeout), // an earlier leader may have sent one just now
				}
				watches[g.Name] = w
			}
			if w.stepping.CompareAndSwap(false, true) {
				steps.Go(func() {
					defer w.stepping.Store(false)
					w.syncReplicas = g.SyncReplicas
					w.step(ctx)
				})
			}
		}
	}
}

// leads reports whether this host still leads in the term of the watch. A step may have
// waited for an upstream, or the host may have been suspended, since it began.
func (w *groupWatch) leads() bool {
	term, ok := w.server.options.Consensus.Leadership()
	return ok && term == w.term
}

// upstreams returns the group's recorded primary, nil if it has none, its other
// upstreams and its record.
func (w *groupWatch) upstreams() (primary *pb.SiteUpstream, others []*pb.SiteUpstream, g *pb.SiteGroupState) {
	topology := w.server.topology()
	g = topology.groups[w.group]
	for _, u := range topology.upstreams[w.group] {
		switch {
		case u.Id == g.GetPrimary():
			primary = u
		default:
			others = append(others, u)
		}
	}
	return primary, others, g
}

// step does what the group needs now: it adopts a primary that announced itself,
// follows up an open order, or finds, replaces or probes the primary.
func (w *groupWatch) step(ctx context.Context) {
	primary, others, g := w.upstreams()
	if w.syncReplicas > 0 {
		w.updateEnded(ctx)
	}
	if w.adoptAnnounced(ctx, primary, others) {
		return
	}
	switch {
	case g.GetOrderOpen():
		w.checkOrder(ctx, g)
	case primary == nil:
		w.findPrimary(ctx, others, g)
	case primary.Leaving:
		w.replace(ctx, primary, others, g, "primary is leaving")
	default:
		w.checkPrimary(ctx, primary, others, g)
	}
}

// adoptAnnounced records an upstream that announces itself as the primary while
// the recorded primary is gone or announces that it is a replica. It reports
// whether there was one and it has been recorded. Of several it takes the one that was
// heard last: a primary that has crashed keeps the record of its last announcement.
func (w *groupWatch) adoptAnnounced(ctx context.Context, primary *pb.SiteUpstream, others []*pb.SiteUpstream) bool {
	if primary != nil && primary.Primary {
		return false
	}
	var latest *pb.SiteUpstream
	var heardAt time.Time
	for _, u := range others {
		at := w.server.lastHeard(u.Id)
		if u.Primary && now().Sub(at) < announcementMaxAge && (latest == nil || at.After(heardAt)) {
			latest, heardAt = u, at
		}
	}
	return latest != nil && w.record(ctx, latest, "announced itself")
}

// lastHeard returns when the leader last received an announcement of an upstream, or
// when it began to lead.
func (s *Server) lastHeard(id string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.announcements[id].receivedAt
}

func (w *groupWatch) record(ctx context.Context, u *pb.SiteUpstream, reason string) bool {
	command := &pb.RecordPrimary{Group: w.group, Upstream: u.Id}
	_, err := w.server.propose(ctx, &pb.SiteCommand{Command: &pb.SiteCommand_RecordPrimary{RecordPrimary: command}})
	w.server.log.Info("leader proposed to record an upstream as the primary of its group", "group", w.group, "upstream", u.Id, "reason", reason, "error", err)
	w.unavailableSince, w.cutOffSince = time.Time{}, time.Time{}
	if err == nil && w.syncReplicas > 0 {
		// A change of primary pauses them, this host's or that of an earlier leader. The
		// promotion released them, unless the primary of before was kept.
		w.resumeOthers(ctx, u)
	}
	return err == nil
}

// checkPrimary probes the primary if a probe is due, and replaces it if it is
// lost. Reports of proxies that cannot reach it make a probe due at once.
func (w *groupWatch) checkPrimary(ctx context.Context, primary *pb.SiteUpstream, others []*pb.SiteUpstream, g *pb.SiteGroupState) {
	unreachable, proxies := w.server.countUnreachable(primary.Id)
	if unreachable == 0 && w.unavailableSince.IsZero() && now().Sub(w.probedAt) < probeInterval {
		return
	}
	w.probedAt = now()
	err := w.probePrimaryRole(ctx, primary)
	var busy *BusyUpstream
	var notPrimary *NotPrimary
	if errors.As(err, &notPrimary) {
		w.findPrimary(ctx, append(others, primary), g)
		return
	}
	if err == nil {
		w.checkReplicas(ctx, primary, others)
	}
	answered := err == nil || errors.As(err, &busy)
	if answered {
		w.unavailableSince = time.Time{}
	} else if w.unavailableSince.IsZero() {
		w.unavailableSince = w.probedAt
		w.server.log.Warn("primary does not answer", "group", w.group, "upstream", primary.Id, "error", err,
			"proxies_missing_it", unreachable, "proxies", proxies)
	}
	// Proxies have reported while the probe waited for an answer.
	unreachable, proxies = w.server.countUnreachable(primary.Id)
	if w.gatherEvidence(primary, unreachable, proxies).lost() {
		w.replace(ctx, primary, others, g, "primary is lost")
	}
}

// evidence is what decides whether a primary is lost.
type evidence struct {
	// probesFailingFor is for how long this host's probes have failed.
	probesFailingFor time.Duration
	// cutOffFor is for how long at least half of the proxies have not been able
	// to reach the primary, zero if fewer cannot.
	cutOffFor time.Duration
	// proxies is how many proxies may be served by the primary.
	proxies uint32
	// sinceAnnouncement is the time since the primary last announced itself.
	sinceAnnouncement time.Duration
}

// lost decides from the probes of this host, the reports of the proxies and the
// primary's announcements whether the primary is lost. The proxies count for
// more than this host: a primary that most of them cannot reach serves few
// callers, and one that they reach still serves them, even if the control hosts
// are cut off from it.
func (e evidence) lost() bool {
	switch {
	case e.cutOffFor >= proxiesCutOffTimeout:
		return true
	case e.probesFailingFor >= primaryLossTimeout && e.cutOffFor > 0:
		return true
	default:
		// Without proxies that use the primary only its announcements can show
		// that it still runs.
		return e.proxies == 0 && e.probesFailingFor >= primaryLossTimeout && e.sinceAnnouncement > announcementMaxAge
	}
}

// gatherEvidence updates since when the proxies cannot reach the primary, and
// returns the evidence for its loss.
func (w *groupWatch) gatherEvidence(primary *pb.SiteUpstream, unreachable, proxies uint32) evidence {
	checkedAt := now()
	if unreachable != w.lastUnreachableCount {
		w.lastUnreachableCount = unreachable
		w.server.log.Info("number of proxies that cannot reach the primary changed", "group", w.group, "upstream", primary.Id, "missing_it", unreachable, "proxies", proxies)
	}
	if unreachable == 0 || 2*unreachable < proxies {
		w.cutOffSince = time.Time{}
	} else if w.cutOffSince.IsZero() {
		w.cutOffSince = checkedAt
	}
	e := evidence{proxies: proxies, sinceAnnouncement: checkedAt.Sub(w.server.lastHeard(primary.Id))}
	if !w.unavailableSince.IsZero() {
		e.probesFailingFor = checkedAt.Sub(w.unavailableSince)
	}
	if !w.cutOffSince.IsZero() {
		e.cutOffFor = max(checkedAt.Sub(w.cutOffSince), 1)
	}
	return e
}

// probePrimaryRole returns nil if the upstream answers as a primary, and the
// error of Prober.Position otherwise.
func (w *groupWatch) probePrimaryRole(ctx context.Context, u *pb.SiteUpstream) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := w.server.options.Prober.Position(ctx, u)
	return err
}

func (w *groupWatch) probe(ctx context.Context, u *pb.SiteUpstream) (UpstreamStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return w.server.options.Prober.Status(ctx, u)
}

// probeLead asks an upstream for its status. One that has no free slot for that still tells
// whether it leads, and at what position.
func (w *groupWatch) probeLead(ctx context.Context, u *pb.SiteUpstream) (UpstreamStatus, error) {
	status, err := w.probe(ctx, u)
	var busy *BusyUpstream
	if !errors.As(err, &busy) {
		return status, err
	}
	asking, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	position, positionErr := w.server.options.Prober.Position(asking, u)
	if positionErr != nil {
		return UpstreamStatus{}, err
	}
	return UpstreamStatus{Role: upstream.RolePrimary, Term: position.Term, Received: position}, nil
}

// probeResult is the answer of one upstream, or the error of its probe.
type probeResult struct {
	upstream *pb.SiteUpstream
	status   UpstreamStatus
	err      error
}

// id returns the upstream's id, or nothing if there is no result.
func (p *probeResult) id() string {
	if p == nil {
		return ""
	}
	return p.upstream.Id
}

// describe returns what each upstream answered, as log lines show it.
func describe(answers []probeResult) []string {
	var lines []string
	for _, p := range answers {
		state := "stays"
		if p.upstream.Leaving {
			state = "leaves"
		}
		answer := fmt.Sprintf("at %d.%d, term %d, paused in term %d", p.status.Received.Term, p.status.Received.Offset, p.status.Term, p.status.PausedTerm)
		if p.err != nil {
			answer = p.err.Error()
		}
		lines = append(lines, p.upstream.Id+" ("+state+"): "+answer)
	}
	return lines
}

// probeAll asks upstreams for their status side by side.
func (w *groupWatch) probeAll(ctx context.Context, upstreams []*pb.SiteUpstream) []probeResult {
	return w.askAll(ctx, upstreams, w.probe)
}

// askFunc asks an upstream for its status, or tells it something that is answered with
// its status.
type askFunc func(ctx context.Context, u *pb.SiteUpstream) (UpstreamStatus, error)

func (w *groupWatch) askAll(ctx context.Context, upstreams []*pb.SiteUpstream, ask askFunc) []probeResult {
	var group conc.WaitGroup
	var mu sync.Mutex
	var answers []probeResult
	for _, u := range upstreams {
		group.Go(func() {
			status, err := ask(ctx, u)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, probeResult{u, status, err})
		})
	}
	group.Wait()
	return answers
}

// findPrimary records the upstream that answers as the primary of the newest
// term. If none does for primaryLossTimeout, it orders the promotion of one.
func (w *groupWatch) findPrimary(ctx context.Context, upstreams []*pb.SiteUpstream, g *pb.SiteGroupState) {
	var newest *probeResult
	for _, p := range w.probeAll(ctx, upstreams) {
		if p.err != nil || p.status.Role != upstream.RolePrimary {
			continue
		}
		if newest == nil || newest.status.Received.Before(p.status.Received) {
			newest = &p
		}
	}
	if newest != nil {
		w.record(ctx, newest.upstream, "its status reports the primary role")
		return
	}
	if w.unavailableSince.IsZero() {
		w.unavailableSince = now()
	}
	if len(upstreams) > 1 && now().Sub(w.unavailableSince) > primaryLossTimeout {
		w.replace(ctx, nil, upstreams, g, "no upstream answers as the primary")
	}
}
