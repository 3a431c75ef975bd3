package relay

import (
	"context"
	"errors"
	"iter"
	"log/slog"
	"maps"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/uber-go/tally/v4"

	"lovageslip/bootclock"
	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/logging"
	"lovageslip/metrics"
	"lovageslip/proxy"
	"lovageslip/quota"
	"lovageslip/site"
)

const (
	// admitTimeout bounds one request to a counter, which is in the same data
	// centre. It covers a counter that asks two control hosts in vain.
	admitTimeout = 300 * time.Millisecond
	// maxCounters is how many counters are asked for an operation. Its caller
	// waits meanwhile.
	maxCounters = 2
	// slowCounterAvoidance is how long a counter that did not answer in time is
	// not asked for the same team. It may be slow only for a moment, so it stays a
	// relay.
	slowCounterAvoidance = time.Second
	// proxiesMemory is for how long the highest number of proxies counts, at
	// least. Control hosts lower the number only after as long a time, and a
	// number that is too low would let all counters together admit too much.
	proxiesMemory = 10 * time.Second
)

// LimitsOptions configure Limits; NewLimits takes them. Log and Metrics are optional.
type LimitsOptions struct {
	// Client knows the other proxies of the data centre.
	Client *Client
	// View returns this proxy's view of the site.
	View  func() *site.View
	Quota quota.Options
	// AskSite asks control hosts, which count for the whole site. If it is nil,
	// each data centre has a fixed share of each limit.
	AskSite AskSite
	Log     *slog.Logger
	Metrics tally.Scope
}

// Limits implements proxy.Limits. One proxy of the data centre counts the operations
// of a team, the same that would be the relay of an upstream with that name. Control
// hosts grant it operations out of the limit for the whole site. While none answers, it
// counts against the part of the limit that corresponds to its data centre's part of
// all proxies. It is safe for concurrent use.
type Limits struct {
	options LimitsOptions
	log     *slog.Logger
	metrics tally.Scope
	// counted is for the data centre, and alone for this proxy while it can ask
	// no counter.
	counted, alone *quota.Limiter
	site           *siteCounters // nil if data centres have fixed shares
	// admitTimeout bounds one request to a counter. Tests replace it.
	admitTimeout time.Duration

	// mu guards the fields below.
	mu      sync.Mutex
	proxies highest
	shares  quota.Shares
	batches map[string]*batches
	leaving bool
}

var _ proxy.Limits = (*Limits)(nil)

// NewLimits returns limits without a count.
func NewLimits(o LimitsOptions) *Limits {
	l := &Limits{
		options: o,
		log:     logging.For(o.Log, "limits"),
		metrics: metrics.OrNoop(o.Metrics).SubScope("limits"),
		counted: quota.New(dataCentreQuota(o.Quota)),
		alone:   quota.New(dataCentreQuota(o.Quota)),
		proxies: highest{period: proxiesMemory},
		batches: make(map[string]*batches),

		admitTimeout: admitTimeout,
	}
	if o.AskSite != nil {
		l.site = newSiteCounters(o.AskSite)
	}
	// A change of the share must be known when it happens, not with the next
	// operation.
	o.Client.setOnPeers(func() { l.share() })
	return l
}

// dataCentreTolerance is the part of a site's tolerance that the counters of data centres
// use. The rest is for a counter that is killed and is back within the same window: the
// one that stood in for it and the new one then both begin with a start, and other
// proxies decide alone until they have found them.
const dataCentreTolerance = 0.8

// dataCentreQuota returns the tolerance that the counters of data centres use.
func dataCentreQuota(o quota.Options) quota.Options {
	o.Over *= dataCentreTolerance
	o.Slack *= dataCentreTolerance
	return o
}

// Admit implements proxy.Limits.
func (l *Limits) Admit(_ context.Context, team *site.Team) (ok bool, retryAfter time.Duration) {
	if l.counter(team.Name) == nil {
		admitted, retryAfter := l.countForDataCentre(team, 1)
		return admitted > 0, retryAfter
	}
	return l.batchesOf(team.Name).admit(func(operations int) verdict { return l.ask(team, operations) })
}

// verdict is the answer of a counter.
type verdict struct {
	admitted   int
	retryAfter time.Duration
}

// ask asks the counter of a team. If it fails, the next one is asked, and then this
// proxy decides alone.
func (l *Limits) ask(team *site.Team, operations int) verdict {
	for range maxCounters {
		p := l.counter(team.Name)
		if p == nil {
			admitted, retryAfter := l.countForDataCentre(team, operations)
			return verdict{admitted, retryAfter}
		}
		v, err := l.askPeer(p, team.Name, operations)
		if err == nil {
			return v
		}
		if code := connect.CodeOf(err); code == connect.CodeNotFound || code == connect.CodeUnimplemented {
			// Its view is older, or its version.
			break
		}
		l.recordFailure(p, team.Name, err)
	}
	l.metrics.Counter("decided_alone_total").Inc(1)
	admitted, retryAfter := l.alone.Admit(bootclock.Now(), team.Name, limitOf(team), l.shareAlone(), operations)
	return verdict{admitted, retryAfter}
}

func (l *Limits) askPeer(p *peer, team string, operations int) (verdict, error) {
	// Several callers wait for the answer, so it depends on the context of none.
	ctx, cancel := context.WithTimeout(context.Background(), l.admitTimeout)
	defer cancel()
	l.metrics.Counter("requests_total").Inc(1)
	request := connect.NewRequest(&pb.AdmitRequest{Team: team, Operations: uint32(operations)})
	response, err := p.service.Admit(ctx, request)
	if err != nil {
		return verdict{}, err
	}
	l.options.Client.recordAnswer(p, response.Msg.Leaving)
	return verdict{int(response.Msg.Admitted), duration(response.Msg.RetryAfterMs)}, nil
}

func (l *Limits) recordFailure(p *peer, team string, err error) {
	l.metrics.Counter("failures_total").Inc(1)
	if connect.CodeOf(err) != connect.CodeDeadlineExceeded && !errors.Is(err, context.DeadlineExceeded) {
		l.options.Client.recordFailure(p, err)
		return
	}
	l.options.Client.avoidFor(p, quota.CounterKey(team), slowCounterAvoidance)
	l.options.Client.suspect(p)
	l.log.Info("counter of a team did not answer in time; asking another one", "counter", p.host.Name, "team", team)
}

// count counts operations of a team here against a part of the data centre's share.
func (l *Limits) count(team *site.Team, operations int, part float64) (admitted int, retryAfter time.Duration) {
	share := l.share()
	share.Since = l.options.Client.countsSince(quota.CounterKey(team.Name), share.Since)
	return l.counted.Admit(bootclock.Now(), team.Name, limitOf(team), share.Times(part), operations)
}

// recordCount has no tag of the team: the log lines of refusals name it.
func (l *Limits) recordCount(admitted, operations int) {
	l.metrics.Counter("admitted_total").Inc(int64(admitted))
	l.metrics.Counter("refused_total").Inc(int64(operations - admitted))
}

// share returns the part of the site's limits that belongs to the data centre, as
// far as this proxy knows its proxies.
func (l *Limits) share() quota.Share {
	here := l.options.Client.proxies()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shares.Update(bootclock.Now(), l.partLocked(here))
}

// shareAlone returns the part that belongs to this proxy.
func (l *Limits) shareAlone() quota.Share {
	l.mu.Lock()
	defer l.mu.Unlock()
	return quota.Fixed(l.partLocked(1))
}

func (l *Limits) partLocked(proxies int) float64 {
	all := l.proxies.add(bootclock.Now(), l.options.View().Proxies)
	return min(float64(proxies)/float64(all), 1)
}

// counter returns the counter of a team, or nil if that is this proxy itself.
func (l *Limits) counter(team string) *peer {
	l.mu.Lock()
	leaving := l.leaving
	l.mu.Unlock()
	if leaving {
		return l.options.Client.otherRelay(quota.CounterKey(team))
	}
	return l.options.Client.relay(quota.CounterKey(team))
}

func limitOf(team *site.Team) quota.Limit {
	return quota.Limit{RatePerSecond: team.RatePerSecond, Burst: team.Burst}
}

// leave makes this proxy ask others, while it shuts down and they count themselves.
func (l *Limits) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = true
}

// highest is the highest of some numbers within the last one to two periods.
type highest struct {
	period            time.Duration
	current, previous int
	since             time.Time
}

// add adds a number and returns the highest.
func (h *highest) add(now time.Time, n int) int {
	if now.Sub(h.since) >= h.period {
		h.previous, h.current, h.since = h.current, n, now
	}
	h.current = max(h.current, n)
	return max(h.current, h.previous)
}

func (c *Client) setOnPeers(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onPeers = f
}

// avoidFor makes this proxy use another relay than p for a key for a while.
func (c *Client) avoidFor(p *peer, key string, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.avoidUpstreams[key] = bootclock.Now().Add(d)
	clear(c.chosen)
}

// proxies returns the number of proxies of the data centre, with this one.
func (c *Client) proxies() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.peers) + 1
}

// goneMemory is for how long proxies are remembered that have left the list: longer
// than a window, in which they may have counted.
const goneMemory = 10 * time.Second

// rememberGone adds the peers that left the list, and forgets those of long ago.
func rememberGone(gone map[string]time.Time, before, after map[string]*peer) {
	now := bootclock.Now()
	for name := range before {
		if _, ok := after[name]; !ok {
			gone[name] = now
		}
	}
	maps.DeleteFunc(gone, func(_ string, at time.Time) bool { return now.Sub(at) > goneMemory })
}

// countsSince returns since when this proxy has been the counter for a key, if it has
// been in its list since a time. It returns the zero time while it stands in for
// another one.
func (c *Client) countsSince(key string, since time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return countsSince(c.options.Name, key, since, maps.Keys(c.peers), c.gone)
}

func countsSince(self, key string, since time.Time, peers iter.Seq[string], gone map[string]time.Time) time.Time {
	own := score(self, key)
	for name := range peers {
		if score(name, key) > own {
			return time.Time{}
		}
	}
	for name, at := range gone {
		if at.After(since) && score(name, key) > own {
			since = at
		}
	}
	return since
}

// otherRelay returns the best relay for a key that is not this proxy, or nil.
func (c *Client) otherRelay(key string) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	var best *peer
	var highest uint64
	for _, p := range c.peers {
		if s := score(p.host.Name, key); s >= highest && c.usableLocked(p, key, bootclock.Now()) {
			best, highest = p, s
		}
	}
	return best
}

// CountWith makes the server count the operations of teams for the other proxies. It
// must be called before the server serves requests.
func (s *Server) CountWith(l *Limits) { s.limits = l }

// Admit implements RelayService. The limit is that of this proxy's own view.
func (s *Server) Admit(_ context.Context, r *connect.Request[pb.AdmitRequest]) (*connect.Response[pb.AdmitResponse], error) {
	if s.limits == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, &UnknownTeam{Team: r.Msg.Team})
	}
	team, ok := s.limits.options.View().TeamByName(r.Msg.Team)
	if !ok {
		return nil, connect.NewError(connect.CodeNotFound, &UnknownTeam{Team: r.Msg.Team})
	}
	response := &pb.AdmitResponse{Admitted: r.Msg.Operations}
	select {
	case <-s.leaving:
		response.Leaving = true
	default:
	}
	if team.Limited {
		admitted, retryAfter := s.limits.countForDataCentre(team, int(r.Msg.Operations))
		response.Admitted, response.RetryAfterMs = uint32(admitted), milliseconds(retryAfter)
	}
	return connect.NewResponse(response), nil
}

// UnknownTeam reports a team that the view of a counter does not hold.
type UnknownTeam struct{ Team string }

func (e *UnknownTeam) Error() string { return "relay: no limit is known of team " + e.Team }
