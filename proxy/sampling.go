package proxy

import (
	"context"
	"time"

	"lovageslip/upstream"
)

func (p *Proxy) samplesDue() []string {
	var due []string
	for _, g := range p.View().Groups() {
		if p.sampleDue(g.Name) {
			due = append(due, g.Name)
		}
	}
	return due
}

// refreshSamples gets new samples of groups from a control host. It asks the
// primary itself for each group whose samples are too old afterwards.
func (p *Proxy) refreshSamples(ctx context.Context, groups []string) {
	_, _, _ = p.sampling.Do("", func() (any, error) {
		p.sampleFromControl(ctx, groups)
		return nil, nil
	})
	for _, name := range groups {
		if p.group(name).positions.newestAge() > 2*sampleInterval {
			p.samplePrimary(ctx, name)
		}
	}
}

// sampleFromControl adds the samples that a control host returns.
func (p *Proxy) sampleFromControl(ctx context.Context, groups []string) {
	if p.options.Positions == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sampleTimeout)
	defer cancel()
	positions, err := p.options.Positions(ctx, groups)
	if err != nil {
		p.metrics.Counter("positions_failed_total").Inc(1)
		return
	}
	for _, position := range positions {
		p.group(position.Group).positions.add(position.Position, position.RequestedAt)
	}
}

// GroupPosition is a position that the leading primary of a group reported. It
// includes every commit that was acknowledged before the request for it was
// sent at RequestedAt.
type GroupPosition struct {
	Group       string
	Position    upstream.Position
	RequestedAt time.Time
}

func (p *Proxy) sampleDue(name string) bool {
	g := p.group(name)
	if g.positions.newestAge() < sampleInterval {
		return false
	}
	return inDemand(g)
}

// samplePrimary adds a sample of a group from its primary. If another call for
// the group is under way, it waits for that one instead.
func (p *Proxy) samplePrimary(ctx context.Context, name string) {
	_, _, _ = p.sampling.Do(name, func() (any, error) {
		p.requestSample(ctx, name)
		return nil, nil
	})
}

// requestSample asks a group's primary for its position by opening a
// transaction, which needs no slot and succeeds only if the upstream leads.
func (p *Proxy) requestSample(ctx context.Context, name string) {
	g := p.group(name)
	pl, _, ok := p.primaryPool(name)
	if !ok {
		return
	}
	c, err := pl.acquireForOwnCommand(ctx, highestUrgency(), sampleTimeout)
	if err != nil {
		p.metrics.Counter("samples_failed_total").Inc(1)
		return
	}
	sentAt := now()
	answers, err := c.Exchange(time.Now().Add(sampleTimeout), Command{Kind: CommandBegin}, Command{Kind: CommandRollback})
	if err != nil {
		p.metrics.Counter("samples_failed_total").Inc(1)
		pl.discard(c, sentAt, err)
		return
	}
	pl.recordCommand(answers[0].Code, now().Sub(sentAt))
	if answers[0].Code == CodeNone {
		g.positions.add(answers[0].Position, sentAt)
	}
	p.returnConn(c, answers[len(answers)-1])
}
