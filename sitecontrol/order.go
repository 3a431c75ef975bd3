package sitecontrol

import (
	"context"
	"errors"
	"slices"
	"time"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/internal/pause"
	"lovageslip/site"
	"lovageslip/upstream"
)

const (
	// catchUpTimeout bounds the wait until a successor has received the last
	// commits. Replicas are usually tens of milliseconds behind.
	catchUpTimeout  = 800 * time.Millisecond
	catchUpInterval = 20 * time.Millisecond
	// promoteTimeout bounds the wait for the platform's answer, which comes at
	// once unless it is lost. It covers a round trip between regions and the
	// retransmission of a lost packet.
	promoteTimeout = 400 * time.Millisecond
	// unansweredRetryPause is the pause after an order without an answer.
	unansweredRetryPause = 100 * time.Millisecond
	// promoteRetryInterval is the pause before a promotion order that had no
	// effect yet is sent to the platform again.
	promoteRetryInterval = 900 * time.Millisecond
	// orderTimeout is how long the promotion of an upstream may take before
	// another one is ordered. The platform may carry an order out seconds
	// after it was sent.
	orderTimeout = 2500 * time.Millisecond
	// lateOrderTimeout is how long an order may be carried out that was not answered.
	lateOrderTimeout = 5 * time.Second
)

// replace logs an order to promote the replica that has received most, and sends
// it to the platform. An upstream that is leaving is chosen only if there is no
// other. Where the group has synchronous replicas, replaceProven chooses instead.
func (w *groupWatch) replace(ctx context.Context, primary *pb.SiteUpstream, others []*pb.SiteUpstream, g *pb.SiteGroupState, reason string) {
	if now().Sub(w.orderedAt) < promoteRetryInterval {
		return
	}
	if w.syncReplicas > 0 {
		w.replaceProven(ctx, primary, others, g, reason)
		return
	}
	answers := w.probeAll(ctx, others)
	best := mostAdvanced(answers)
	if best == nil {
		w.server.log.Warn("no replica answers that could take over as the primary", "group", w.group, "reason", reason, "candidates", describe(answers))
		return
	}
	w.order(ctx, primary, best, g, reason, answers)
}

// order logs an order to promote an upstream and delivers it. A primary that still answers
// steps down before: a planned change of primary would otherwise lose the commits that its
// successor has not received.
func (w *groupWatch) order(ctx context.Context, primary *pb.SiteUpstream, best *probeResult, g *pb.SiteGroupState, reason string, answers []probeResult) {
	token, ok := w.logOrder(ctx, best.upstream.Id, g.GetOrder())
	if !ok {
		return
	}
	w.server.log.Info("leader proposed an order to change the primary", "group", w.group, "from", primary.GetId(), "to", best.upstream.Id,
		"reason", reason, "position", best.status.Received, "candidates", describe(answers), "token", token)
	if w.syncReplicas == 0 && primary != nil && w.unavailableSince.IsZero() {
		asked := append(slices.Clone(answers), w.askAll(ctx, []*pb.SiteUpstream{primary}, w.probeLead)...)
		w.stepDownLeader(ctx, asked, best.upstream.Id)
	}
	w.deliver(ctx, best.upstream.Id, token)
}

// logOrder logs an order of this host to promote an upstream, and returns its token.
// It reports false if the order was not logged, because this host no longer leads
// or another order was logged since the previous one, which is given by its token.
// In a group with synchronous replicas it also does so while the previous order, for
// another upstream, may be carried out: that one could acknowledge commits before this
// order takes effect.
func (w *groupWatch) logOrder(ctx context.Context, id string, previous uint64) (token uint64, ok bool) {
	g := w.server.topology().groups[w.group]
	earlierUnsent := !g.GetOrderOpen() || g.GetOrder() == w.unsentOrder
	if w.syncReplicas > 0 && !earlierUnsent && g.GetOrdered() != id && now().Before(w.settledAt) {
		w.postpone("an earlier order may be carried out", &OrderOutstanding{Group: w.group, Upstream: g.GetOrdered()}, nil)
		return 0, false
	}
	command := &pb.OrderPrimary{Group: w.group, Upstream: id, PreviousOrder: previous, Holder: w.server.options.Name}
	result, err := w.server.propose(ctx, &pb.SiteCommand{Command: &pb.SiteCommand_OrderPrimary{OrderPrimary: command}})
	if err != nil {
		w.server.log.Warn("order to change the primary could not be logged", "group", w.group, "upstream", id, "error", err)
		return 0, false
	}
	if !result.Changed {
		w.server.log.Warn("order to change the primary was not logged: another one was logged before", "group", w.group, "upstream", id, "previous_token", previous)
		return 0, false
	}
	w.orderedAt = now()
	w.unsentOrder = 0
	if earlierUnsent {
		w.unsentOrder, w.settledAt = result.Index, time.Time{}
	}
	return result.Index, true
}

// OrderOutstanding reports an order that may still be carried out.
type OrderOutstanding struct{ Group, Upstream string }

func (e *OrderOutstanding) Error() string {
	return "order to promote " + e.Upstream + " in group " + e.Group + " may still be carried out"
}

// takeOver replaces an open order of an earlier leader, which may still send it, by
// an order of this host for the same upstream. Two hosts must not send orders with
// the same token. The platform refuses the earlier order once it has accepted this
// one, and promoting an upstream that is the primary by then changes nothing.
func (w *groupWatch) takeOver(ctx context.Context, g *pb.SiteGroupState) {
	token, ok := w.logOrder(ctx, g.Ordered, g.Order)
	if ok {
		w.server.log.Info("leader takes over the open order of another control host", "group", w.group, "upstream", g.Ordered,
			"holder", g.OrderHolder, "previous_token", g.Order, "token", token)
		w.deliver(ctx, g.Ordered, token)
	}
}

// awaitPosition waits until an upstream has received all commits up to a position.
func (w *groupWatch) awaitPosition(ctx context.Context, u *pb.SiteUpstream, wanted upstream.Position) {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	for {
		status, err := w.server.options.Prober.Status(ctx, u)
		if err == nil && !status.Received.Before(wanted) {
			w.server.log.Info("successor holds all commits of the primary that stepped down", "group", w.group, "upstream", u.Id, "position", status.Received)
			return
		}
		if !pause.For(ctx, catchUpInterval) {
			w.server.log.Warn("successor does not hold all commits of the primary that stepped down", "group", w.group, "upstream", u.Id,
				"wanted", wanted, "position", status.Received, "error", err)
			return
		}
	}
}

func mostAdvanced(answers []probeResult) *probeResult {
	var best *probeResult
	for _, p := range answers {
		var busy *BusyUpstream
		var refused *CommandRefused
		if p.err != nil && !errors.As(p.err, &busy) && !errors.As(p.err, &refused) {
			continue
		}
		if best == nil || preferred(p, *best) {
			best = &p
		}
	}
	return best
}

// preferred reports whether p is a better successor than q: one that is not
// leaving, or else one that has received more. A busy upstream reports no
// position and counts as having received least.
func preferred(p, q probeResult) bool {
	if p.upstream.Leaving != q.upstream.Leaving {
		return q.upstream.Leaving
	}
	return q.status.Received.Before(p.status.Received)
}

// sendOrder sends a promotion order to the platform. Its answer is not proof of
// the promotion: checkOrder asks the upstream itself.
func (w *groupWatch) sendOrder(ctx context.Context, id string, token uint64) {
	w.resendAt = now().Add(promoteRetryInterval)
	w.unsentOrder = 0
	ctx, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()
	err := w.server.options.Promoter.Promote(ctx, w.group, id, w.server.options.Name, token, w.leads)
	var withheld *OrderWithheld
	if errors.As(err, &withheld) {
		w.server.metrics.Counter("orders_withheld_total").Inc(1)
		w.server.log.Warn("promotion order withheld: this host no longer leads", "group", w.group, "upstream", id, "token", token)
		return
	}
	w.recordSent(err)
	w.server.metrics.Counter("promotions_ordered_total").Inc(1)
	w.server.log.Info("promotion order sent to the platform", "group", w.group, "upstream", id, "token", token, "error", err)
	var refused *PromotionRefused
	switch {
	case errors.As(err, &refused):
		// An order with a higher token was accepted before, or the upstream is
		// down. This order counts as timed out, so that another is made.
		w.orderedAt = now().Add(-orderTimeout)
	case err != nil:
		// The same order may be sent again at any time; see checkOrder.
		w.resendAt = now().Add(unansweredRetryPause)
	}
}

// recordSent records that an order was sent, by the platform's answer to it: an accepted
// order is carried out soon, one without an answer perhaps late, and a refused one not.
func (w *groupWatch) recordSent(err error) {
	sentAt := now()
	var refused *PromotionRefused
	switch {
	case err == nil:
		w.settledAt = laterTime(w.settledAt, sentAt.Add(orderTimeout))
	case !errors.As(err, &refused):
		w.settledAt = laterTime(w.settledAt, sentAt.Add(lateOrderTimeout))
	}
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// checkOrder follows up an open order: it records the ordered upstream once it is
// the primary, orders another one after orderTimeout, and until then sends the
// order again. That is safe, because the platform carries out an order at most
// once for its token.
func (w *groupWatch) checkOrder(ctx context.Context, g *pb.SiteGroupState) {
	if w.orderedAt.IsZero() {
		w.orderedAt = now()
	}
	state, _, _ := w.server.options.State.Current()
	ordered := site.Upstream(state, g.Ordered)
	if ordered != nil {
		status, err := w.probe(ctx, ordered)
		if err == nil && status.Role == upstream.RolePrimary {
			w.record(ctx, ordered, "promoted")
			return
		}
	}
	if now().Sub(w.orderedAt) >= orderTimeout || ordered == nil {
		primary, others, g := w.upstreams()
		w.replace(ctx, primary, others, g, "previous order was not carried out")
		return
	}
	switch {
	case g.OrderHolder != w.server.options.Name:
		w.takeOver(ctx, g)
	case !now().Before(w.resendAt):
		w.deliver(ctx, g.Ordered, g.Order)
	}
}
