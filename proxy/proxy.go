package proxy

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/singleflight"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/logging"
	"lovageslip/metrics"
	"lovageslip/site"
	"lovageslip/upstream"
)

const (
	// sampleInterval is the age at which the newest position sample of a
	// group is replaced while reads need one. At twice that age the proxy
	// asks the primary itself, which is still below the maximum ages that
	// operators configure.
	sampleInterval = 450 * time.Millisecond
	// sampleTick is the interval of the periodic work in Run.
	sampleTick    = 100 * time.Millisecond
	sampleTimeout = 400 * time.Millisecond
	// sampleDemandWindow is how long after a read that needs a sample of a
	// group its samples are kept fresh.
	sampleDemandWindow = 5 * time.Second
	// unreachableAfter is how long after a primary's first failure without a
	// later answer the proxy reports it as unreachable.
	unreachableAfter = 150 * time.Millisecond
	// untriedAfter is how long after a primary's last answer, without a
	// failure since, the proxy reports that it does not know whether it can
	// reach the primary.
	untriedAfter = time.Second
)

// Options are the settings and dependencies that New builds a Proxy from.
// Regions, Positions, Relays, Limits, Log and Metrics are optional.
type Options struct {
	// Name is unique among the proxies of a site. The proxies are spread over
	// the replicas by a hash of their names.
	Name       string
	DataCentre string
	// Regions maps each data centre to its region.
	Regions map[string]string
	Dialer  Dialer
	// Positions asks a control host for recent positions of the groups'
	// primaries. It is nil if there is no control host to ask.
	Positions func(ctx context.Context, groups []string) ([]GroupPosition, error)
	// Relays leads to upstreams that accept too few connections for each
	// proxy. If it is nil, the proxy always dials upstreams itself.
	Relays Relays
	// Limits admits the operations of teams that have a limit. If it is nil, all
	// are admitted.
	Limits Limits
	// LeavingPeriod is how long an upstream may get new work after the
	// acknowledgement of its announcement that it leaves. The default is
	// defaultLeavingPeriod.
	LeavingPeriod time.Duration
	// ViewConfirmedAt returns the latest time on the boot clock at which the
	// proxy's view is known to have been complete; the zero time if none is
	// known. It may say so only once SetView of that view has returned. It is
	// needed if MaxKeyAge is set.
	ViewConfirmedAt func() time.Time
	// MaxKeyAge is how long after the acknowledgement of its withdrawal a key may
	// still be used on a proxy that does not learn of it; 0 for no bound.
	MaxKeyAge time.Duration
	Log       *slog.Logger
	Metrics   tally.Scope
}

// Proxy runs the statements of sessions on the upstreams of its current view of
// the site. It is safe for concurrent use.
type Proxy struct {
	options        Options
	log            *slog.Logger
	metrics        tally.Scope
	choices        choiceMetrics
	view           atomic.Pointer[site.View]
	operationTimes operationTimes
	workTimes      workTimes
	// sampling allows one request for a sample at a time to the primary of
	// each group, and one to a control host, under the empty key.
	sampling singleflight.Group

	// mu guards the fields below.
	mu sync.Mutex
	// pools holds the pools whose connections this proxy dials itself, and
	// relayedPools those through relays, for upstreams with few connections.
	pools        map[poolKey]*pool
	relayedPools map[poolKey]*pool
	groups       map[string]*group
	// withMetrics holds the ids of the upstreams that have metrics of their own.
	withMetrics map[string]bool
}

// poolKey identifies one process of an upstream, so that a restarted upstream
// gets a new pool.
type poolKey struct {
	id, address string
	bornMs      int64
}

// group holds the position samples of one group of upstreams.
type group struct {
	positions positions
	mix       workMix
	// lastDemandAt is when a read last needed a sample, in nanoseconds of the
	// boot clock.
	lastDemandAt atomic.Int64
}

// New returns a proxy with an empty view, which refuses all sessions until
// SetView.
func New(options Options) *Proxy {
	if options.LeavingPeriod <= 0 {
		options.LeavingPeriod = defaultLeavingPeriod
	}
	p := &Proxy{
		options:      options,
		log:          logging.For(options.Log, "proxy"),
		metrics:      metrics.OrNoop(options.Metrics).SubScope("proxy"),
		pools:        make(map[poolKey]*pool),
		relayedPools: make(map[poolKey]*pool),
		groups:       make(map[string]*group),
		withMetrics:  make(map[string]bool),
	}
	p.choices = newChoiceMetrics(p.metrics)
	p.view.Store(site.NewView(site.ViewParts{}))
	return p
}

// View returns the view that the proxy uses now.
func (p *Proxy) View() *site.View { return p.view.Load() }

// SetView replaces the view: it creates pools for new upstreams, updates the
// others and closes those of upstreams that are gone. Open transactions keep
// their upstream.
func (p *Proxy) SetView(v *site.View) {
	if p.options.Relays != nil {
		p.options.Relays.SetPeers(v.Relays)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	inView, relayed := make(map[poolKey]bool), make(map[poolKey]bool)
	for _, g := range v.Groups() {
		useRelays := p.options.Relays != nil && len(v.Relays) > 0 && needRelays(g.MaxConnections, v.Proxies, v.TeamCount)
		homeID := p.homeReplica(g)
		for _, u := range g.Upstreams {
			key := keyOf(u)
			inView[key], relayed[key] = true, useRelays
			newWorkUntil := p.newWorkUntil(v, u)
			p.updatePool(key, u, newWorkUntil, p.directQuota(v, g, key, homeID, useRelays))
			p.pools[key].setShare(newYielding(v, u, useRelays))
			if useRelays {
				p.updateRelayedPool(key, u, newWorkUntil)
			}
		}
	}
	closePoolsExcept(p.pools, inView)
	closePoolsExcept(p.relayedPools, relayed)
	p.view.Store(v)
}

// directQuota returns the quota under a view of the connections that this proxy dials
// itself.
func (p *Proxy) directQuota(v *site.View, g *site.GroupView, key poolKey, homeID string, useRelays bool) connectionQuota {
	switch {
	case useRelays && p.options.Relays.HasRelay(key.id) && p.pools[key].relayedLately():
		return substituteQuota(p.ownRelayQuota(v, g))
	case useRelays && p.options.Relays.HasRelay(key.id):
		return fallbackQuota
	case useRelays && p.options.Relays.IsSubstitute(key.id):
		return substituteQuota(p.ownRelayQuota(v, g))
	case useRelays:
		return p.ownRelayQuota(v, g)
	case key.id == homeID:
		return homeQuota(g, v.Proxies)
	default:
		return equalQuota(g.MaxConnections, v.Proxies)
	}
}

func (p *Proxy) updatePool(key poolKey, u *pb.SiteUpstream, newWorkUntil time.Time, quota connectionQuota) {
	if _, ok := p.pools[key]; !ok {
		p.pools[key] = newPool(p.options.Dialer, u, quota)
		p.pools[key].metrics = p.metrics
		p.pools[key].workTimes = &p.workTimes
		p.pools[key].upstreamMetrics = p.upstreamMetricsLocked(u.Id, "direct")
	}
	p.pools[key].update(u, newWorkUntil, quota)
}

func (p *Proxy) updateRelayedPool(key poolKey, u *pb.SiteUpstream, newWorkUntil time.Time) {
	if _, ok := p.relayedPools[key]; !ok {
		p.relayedPools[key] = newRelayedPool(p.options.Relays, u)
		p.relayedPools[key].upstreamMetrics = p.upstreamMetricsLocked(u.Id, "relay")
	}
	p.relayedPools[key].update(u, newWorkUntil, relayedQuota)
}

// closePoolsExcept closes and deletes the pools whose keys are not in keep.
func closePoolsExcept(pools map[poolKey]*pool, keep map[poolKey]bool) {
	for key, old := range pools {
		if !keep[key] {
			old.close()
			delete(pools, key)
		}
	}
}

func keyOf(u *pb.SiteUpstream) poolKey {
	return poolKey{id: u.Id, address: u.Address, bornMs: u.BornMs}
}

// pool returns the pool through which this proxy's own callers reach an upstream.
func (p *Proxy) pool(u *pb.SiteUpstream) (*pool, bool) {
	key := keyOf(u)
	p.mu.Lock()
	defer p.mu.Unlock()
	if found, ok := p.relayedPools[key]; ok && p.options.Relays.HasRelay(u.Id) {
		return found, true
	}
	found, ok := p.pools[key]
	return found, ok
}

func (p *Proxy) group(name string) *group {
	p.mu.Lock()
	defer p.mu.Unlock()
	g, ok := p.groups[name]
	if !ok {
		g = &group{}
		p.groups[name] = g
	}
	return g
}

// primaryPool returns the pool of a group's primary.
func (p *Proxy) primaryPool(name string) (*pool, *pb.SiteUpstream, bool) {
	g, ok := p.View().Group(name)
	if !ok {
		return nil, nil, false
	}
	u := g.Upstream(g.Primary)
	if u == nil {
		return nil, nil, false
	}
	found, ok := p.pool(u)
	return found, u, ok
}

// Run keeps position samples fresh, checks upstreams that stalled or failed and
// closes idle connections until ctx ends.
func (p *Proxy) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	ticker := time.NewTicker(sampleTick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for _, pl := range p.claimChecks() {
			tasks.Go(func() { p.checkUpstream(ctx, pl) })
		}
		if due := p.samplesDue(); len(due) > 0 {
			tasks.Go(func() { p.refreshSamples(ctx, due) })
		}
		p.refreshRelayQuotas()
		p.closeIdle()
		p.recordViewAge()
	}
}

// refreshRelayQuotas adapts the quotas of this proxy's own connections after the
// relay of an upstream has changed without a change of the view.
func (p *Proxy) refreshRelayQuotas() {
	v := p.View()
	p.mu.Lock()
	defer p.mu.Unlock()
	for key := range p.relayedPools {
		direct, ok := p.pools[key]
		if !ok {
			continue
		}
		if g, ok := v.Group(direct.group()); ok {
			direct.setQuota(p.directQuota(v, g, key, "", true))
		}
	}
}

// claimChecks returns the pools whose upstreams should be checked now. The
// caller must call check on each.
func (p *Proxy) claimChecks() []*pool {
	var due []*pool
	for _, g := range p.View().Groups() {
		for _, u := range g.Upstreams {
			if pl, ok := p.pool(u); ok && pl.claimCheck(u.Id == g.Primary) {
				due = append(due, pl)
			}
		}
	}
	return due
}

// returnConn returns a connection to its pool after the last answer on it. An
// open or failed transaction is rolled back first, because closing the
// connection and opening a new one would cost the upstream far more.
func (p *Proxy) returnConn(c *conn, last Answer) {
	if last.State == StateIdle {
		c.pool.release(c)
		return
	}
	rollBackAndReturn(c)
}

// rollbackTimeout bounds a rollback, which needs no slot. A connection that
// does not answer in time is closed, which also rolls the transaction back.
const rollbackTimeout = time.Second

// rollBackAndReturn rolls back the transaction of a connection and then returns
// the connection to its pool. It does not block.
func rollBackAndReturn(c *conn) {
	c.pool.suspend(c)
	go func() {
		sentAt := now()
		answers, err := c.Exchange(time.Now().Add(rollbackTimeout), Command{Kind: CommandRollback})
		if err != nil {
			c.pool.discard(c, sentAt, err)
			return
		}
		if answers[0].State != StateIdle {
			c.pool.discardUnclean(c)
			return
		}
		c.pool.release(c)
	}()
}

func (p *Proxy) closeIdle() {
	p.mu.Lock()
	pools := slices.AppendSeq(slices.Collect(maps.Values(p.pools)), maps.Values(p.relayedPools))
	p.mu.Unlock()
	for _, pl := range pools {
		pl.closeIdle()
	}
}

// PrimaryReachability returns the ids of the primaries that this proxy cannot
// reach, and of those that have not answered it lately, so that it does not know
// whether it can.
func (p *Proxy) PrimaryReachability() (unreachable, untried []string) {
	for _, g := range p.View().Groups() {
		pl, u, ok := p.primaryPool(g.Name)
		switch {
		case !ok:
		case pl.unreachableFor() > unreachableAfter:
			unreachable = append(unreachable, u.Id)
		case pl.sinceAnswer() > untriedAfter:
			untried = append(untried, u.Id)
		}
	}
	slices.Sort(unreachable)
	slices.Sort(untried)
	return unreachable, untried
}

// laterPosition returns the later of two positions.
func laterPosition(a, b upstream.Position) upstream.Position {
	if a.Before(b) {
		return b
	}
	return a
}
