package sitecontrol

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/internal/pause"
	"lovageslip/site"
	"lovageslip/upstream"
)

const (
	groupInterval = 100 * time.Millisecond
	// probeInterval is how often a primary is probed while nothing points to
	// a failure. The probe needs no slot.
	probeInterval = 300 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
	// primaryLostAfter is how long a primary answers neither this host nor
	// most proxies before it is replaced. It covers a lost packet that is
	// sent again and a round trip between regions.
	primaryLostAfter = 700 * time.Millisecond
	// missedAfter is how long half of the proxies must miss a primary that
	// answers this host.
	missedAfter = time.Second
	// announcedWithin is how long after its last announcement a primary
	// that few proxies miss is taken to be only cut off from this host.
	announcedWithin = 3 * time.Second
	// settleTimeout bounds the wait for a successor to receive the last
	// commits: replicas are tens of milliseconds behind on a good day.
	settleTimeout  = 800 * time.Millisecond
	settleInterval = 20 * time.Millisecond
	promoteTimeout = 1500 * time.Millisecond
	// promoteRetry is the pause before an order without an answer is given
	// again.
	promoteRetry = 900 * time.Millisecond
	// orderLifetime is how long an order may take before another upstream
	// is named. The platform may carry it out seconds later.
	orderLifetime = 2500 * time.Millisecond
)

// groupWatch watches the primary of one group for one leader.
type groupWatch struct {
	s     *Server
	group string
	// probedAt is when the last probe began, lostSince when the first of a
	// series of failed probes did.
	probedAt  time.Time
	lostSince time.Time
	// missedSince is since when half of the proxies cannot reach it.
	missedSince time.Time
	// lastUnreachable is how many proxies missed it at the last look.
	lastUnreachable uint32
	orderedAt       time.Time
	givenAt         time.Time
}

func (s *Server) runGroups(ctx context.Context) {
	watches := make(map[string]*groupWatch)
	for pause.For(ctx, groupInterval) {
		state, _, _ := s.o.State.Current()
		var group conc.WaitGroup
		for _, g := range state.Config.GetGroups() {
			w, ok := watches[g.Name]
			if !ok {
				w = &groupWatch{s: s, group: g.Name}
				watches[g.Name] = w
			}
			group.Go(func() { w.step(ctx) })
		}
		group.Wait()
	}
}

// upstreams returns the group's upstreams in the present state.
func (w *groupWatch) upstreams() (primary *pb.SiteUpstream, others []*pb.SiteUpstream, g *pb.SiteGroupState) {
	state, _, _ := w.s.o.State.Current()
	g = site.Group(state, w.group)
	for _, u := range state.Upstreams {
		switch {
		case u.Group != w.group:
		case u.Id == g.GetPrimary():
			primary = u
		default:
			others = append(others, u)
		}
	}
	return primary, others, g
}

func (w *groupWatch) step(ctx context.Context) {
	primary, others, g := w.upstreams()
	if w.adoptAnnounced(ctx, primary, others) {
		return
	}
	switch {
	case g.GetOrderOpen():
		w.pursueOrder(ctx, g)
	case primary == nil:
		w.findPrimary(ctx, others, g)
	case primary.Leaving:
		w.replace(ctx, primary, others, g, "primary is leaving")
	default:
		w.probePrimary(ctx, primary, others, g)
	}
}

// adoptAnnounced takes over a primary that announces itself while the recorded
// one is gone or announces that it is a replica.
func (w *groupWatch) adoptAnnounced(ctx context.Context, primary *pb.SiteUpstream, others []*pb.SiteUpstream) bool {
	if primary != nil && primary.Primary {
		return false
	}
	for _, u := range others {
		if u.Primary {
			return w.record(ctx, u, "announced itself")
		}
	}
	return false
}

func (w *groupWatch) record(ctx context.Context, u *pb.SiteUpstream, reason string) bool {
	command := &pb.RecordPrimary{Group: w.group, Upstream: u.Id}
	_, err := w.s.propose(ctx, &pb.SiteCommand{Command: &pb.SiteCommand_RecordPrimary{RecordPrimary: command}})
	w.s.log.Info("primary recorded", "group", w.group, "upstream", u.Id, "reason", reason, "error", err)
	w.lostSince, w.missedSince = time.Time{}, time.Time{}
	return err == nil
}

// probePrimary replaces a primary that is lost.
func (w *groupWatch) probePrimary(ctx context.Context, primary *pb.SiteUpstream, others []*pb.SiteUpstream, g *pb.SiteGroupState) {
	unreachable, proxies := w.s.complaints(primary.Id)
	if unreachable == 0 && w.lostSince.IsZero() && now().Sub(w.probedAt) < probeInterval {
		return
	}
	w.probedAt = now()
	err := w.probeLead(ctx, primary)
	var busy *BusyUpstream
	var notLeading *NotLeading
	if errors.As(err, &notLeading) {
		w.findPrimary(ctx, append(others, primary), g)
		return
	}
	answered := err == nil || errors.As(err, &busy)
	if answered {
		w.lostSince = time.Time{}
	} else if w.lostSince.IsZero() {
		w.lostSince = w.probedAt
		w.s.log.Warn("primary does not answer", "group", w.group, "upstream", primary.Id, "error", err,
			"proxies_missing_it", unreachable, "proxies", proxies)
	}
	if w.gather(primary, unreachable, proxies).lost() {
		w.replace(ctx, primary, others, g, "primary is lost")
	}
}

// evidence is what is known of a primary that may be lost.
type evidence struct {
	// unanswered is how long this host's probes have failed.
	unanswered time.Duration
	// missed is how long half of the proxies or more cannot reach it.
	missed time.Duration
	// proxies is how many proxies there are.
	proxies uint32
	// announced is the time since the primary announced itself.
	announced time.Duration
}

// lost decides from three views. Most proxies count for more than this host:
// a primary that they cannot reach serves few, and one that they reach serves
// although the control hosts are cut off from it.
func (e evidence) lost() bool {
	switch {
	case e.missed >= missedAfter:
		return true
	case e.unanswered >= primaryLostAfter && e.missed > 0:
		return true
	default:
		// No proxy may have anything to send to it.
		return e.proxies == 0 && e.unanswered >= primaryLostAfter && e.announced > announcedWithin
	}
}

func (w *groupWatch) gather(primary *pb.SiteUpstream, unreachable, proxies uint32) evidence {
	at := now()
	if unreachable != w.lastUnreachable {
		w.lastUnreachable = unreachable
		w.s.log.Info("proxies that miss the primary", "group", w.group, "upstream", primary.Id, "missing_it", unreachable, "proxies", proxies)
	}
	if unreachable == 0 || 2*unreachable < proxies {
		w.missedSince = time.Time{}
	} else if w.missedSince.IsZero() {
		w.missedSince = at
	}
	w.s.mu.Lock()
	e := evidence{proxies: proxies, announced: at.Sub(w.s.seen[primary.Id].at)}
	w.s.mu.Unlock()
	if !w.lostSince.IsZero() {
		e.unanswered = at.Sub(w.lostSince)
	}
	if !w.missedSince.IsZero() {
		e.missed = max(at.Sub(w.missedSince), 1)
	}
	return e
}

// probeLead returns nil if the upstream leads.
func (w *groupWatch) probeLead(ctx context.Context, u *pb.SiteUpstream) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := w.s.o.Prober.Position(ctx, u)
	return err
}

func (w *groupWatch) probe(ctx context.Context, u *pb.SiteUpstream) (UpstreamStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return w.s.o.Prober.Status(ctx, u)
}

// probed is the answer of one upstream.
type probed struct {
	upstream *pb.SiteUpstream
	status   UpstreamStatus
	err      error
}

func (w *groupWatch) probeAll(ctx context.Context, upstreams []*pb.SiteUpstream) []probed {
	var group conc.WaitGroup
	var mu sync.Mutex
	var answers []probed
	for _, u := range upstreams {
		group.Go(func() {
			status, err := w.probe(ctx, u)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, probed{u, status, err})
		})
	}
	group.Wait()
	return answers
}

// findPrimary records the upstream that leads in the newest term; if none
// does, it names one.
func (w *groupWatch) findPrimary(ctx context.Context, upstreams []*pb.SiteUpstream, g *pb.SiteGroupState) {
	var leader *probed
	for _, p := range w.probeAll(ctx, upstreams) {
		if p.err != nil || p.status.Role != upstream.RolePrimary {
			continue
		}
		if leader == nil || leader.status.Received.Before(p.status.Received) {
			leader = &p
		}
	}
	if leader != nil {
		w.record(ctx, leader.upstream, "its status says so")
		return
	}
	if w.lostSince.IsZero() {
		w.lostSince = now()
	}
	if len(upstreams) > 1 && now().Sub(w.lostSince) > primaryLostAfter {
		w.replace(ctx, nil, upstreams, g, "no upstream leads")
	}
}

// replace orders the promotion of the replica that has received most. An
// upstream that is leaving is named only if there is no other.
func (w *groupWatch) replace(ctx context.Context, primary *pb.SiteUpstream, others []*pb.SiteUpstream, g *pb.SiteGroupState, reason string) {
	if now().Sub(w.orderedAt) < promoteRetry {
		return
	}
	best := mostAdvanced(w.probeAll(ctx, others))
	if best == nil {
		w.s.log.Warn("no replica can take over", "group", w.group, "reason", reason)
		return
	}
	command := &pb.OrderPrimary{Group: w.group, Upstream: best.upstream.Id, PreviousOrder: g.GetOrder()}
	result, err := w.s.propose(ctx, &pb.SiteCommand{Command: &pb.SiteCommand_OrderPrimary{OrderPrimary: command}})
	w.s.log.Info("change of primary ordered", "group", w.group, "from", primary.GetId(), "to", best.upstream.Id,
		"reason", reason, "position", best.status.Received, "token", result.GetIndex(), "error", err)
	if err != nil || !result.Changed {
		return
	}
	w.orderedAt = now()
	if primary != nil && w.lostSince.IsZero() {
		w.settle(ctx, primary, best.upstream)
	}
	w.give(ctx, best.upstream.Id, result.Index)
}

// settle ends the lead of a primary that still answers and waits until its
// successor has received all that it acknowledged. Without it, a change of
// primary that is planned would lose the commits of the last moments.
func (w *groupWatch) settle(ctx context.Context, primary, successor *pb.SiteUpstream) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	before, err := w.s.o.Prober.Status(ctx, primary)
	if err != nil || before.Role != upstream.RolePrimary {
		w.s.log.Info("primary is not asked to step down", "group", w.group, "upstream", primary.Id, "error", err)
		return
	}
	stepped, err := w.s.o.Prober.StepDown(ctx, primary, before.Received.Term+1)
	if err != nil {
		w.s.log.Warn("primary did not step down", "group", w.group, "upstream", primary.Id, "error", err)
		return
	}
	for {
		status, err := w.s.o.Prober.Status(ctx, successor)
		if err == nil && !status.Received.Before(stepped.Received) {
			w.s.log.Info("successor holds all commits", "group", w.group, "upstream", successor.Id, "position", status.Received)
			return
		}
		if !pause.For(ctx, settleInterval) {
			w.s.log.Warn("successor lacks commits", "group", w.group, "upstream", successor.Id,
				"wanted", stepped.Received, "position", status.Received, "error", err)
			return
		}
	}
}

func mostAdvanced(answers []probed) *probed {
	var best *probed
	for _, p := range answers {
		var busy *BusyUpstream
		if p.err != nil && !errors.As(p.err, &busy) {
			continue
		}
		if best == nil || better(p, *best) {
			best = &p
		}
	}
	return best
}

// better prefers an upstream that stays, then one whose position is known and
// later.
func better(p, q probed) bool {
	if p.upstream.Leaving != q.upstream.Leaving {
		return q.upstream.Leaving
	}
	return q.status.Received.Before(p.status.Received)
}

// give sends an order to the platform. An answer that it was carried out is
// confirmed by the upstream itself.
func (w *groupWatch) give(ctx context.Context, id string, token uint64) {
	w.givenAt = now()
	ctx, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()
	err := w.s.o.Promoter.Promote(ctx, w.group, id, w.s.o.Name, token)
	w.s.metrics.Counter("promotions_ordered_total").Inc(1)
	w.s.log.Info("order given", "group", w.group, "upstream", id, "token", token, "error", err)
	var refused *PromotionRefused
	if errors.As(err, &refused) {
		// Another token has overtaken this one, or the upstream is down.
		w.orderedAt = now().Add(-orderLifetime)
	}
}

// pursueOrder follows an order until an upstream leads or the order has taken
// too long. Giving it again is safe: the token lets it take effect once.
func (w *groupWatch) pursueOrder(ctx context.Context, g *pb.SiteGroupState) {
	if w.orderedAt.IsZero() {
		w.orderedAt = now()
	}
	state, _, _ := w.s.o.State.Current()
	ordered := site.Upstream(state, g.Ordered)
	if ordered != nil {
		status, err := w.probe(ctx, ordered)
		if err == nil && status.Role == upstream.RolePrimary {
			w.record(ctx, ordered, "promoted")
			return
		}
	}
	if now().Sub(w.orderedAt) >= orderLifetime || ordered == nil {
		primary, others, g := w.upstreams()
		w.replace(ctx, primary, others, g, "previous order was not carried out")
		return
	}
	if now().Sub(w.givenAt) >= promoteRetry {
		w.give(ctx, g.Ordered, g.Order)
	}
}
