package relay

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"

	"lovageslip/bootclock"
	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/gen/lovageslip/v1/lovageslipv1connect"
	"lovageslip/logging"
	"lovageslip/metrics"
	"lovageslip/proxy"
	"lovageslip/tlsconf"
)

// Options configure a Client; NewClient takes them. Log and Metrics are optional.
type Options struct {
	// Name is that of this proxy, as the control hosts list it.
	Name string
	// Dialer opens connections to the upstreams themselves.
	Dialer     proxy.Dialer
	HTTPClient *http.Client
	Log        *slog.Logger
	Metrics    tally.Scope
}

// NewHTTPClient returns an HTTP client for the connections to relays, one for each.
func NewHTTPClient() *http.Client { return newHTTPClient(dialTimeout) }

func newHTTPClient(dialTimeout time.Duration) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		Protocols:   tlsconf.Protocols(false, false),
		HTTP2:       tlsconf.HTTP2(),
		DialContext: dialer.DialContext,
	}}
}

// Client implements proxy.Relays. It is safe for concurrent use.
type Client struct {
	options Options
	log     *slog.Logger
	metrics tally.Scope

	// mu guards the fields below, and those of the peers.
	mu sync.Mutex
	// peers holds the other proxies of the data centre by name.
	peers map[string]*peer
	// chosen caches the relay of each upstream: a peer, or nil if this proxy is
	// the relay. It is cleared when peers change, and at recheckAt, when the
	// first of the peers and upstreams that are avoided may be used again.
	chosen    map[string]*peer
	recheckAt time.Time
	// avoidSelf holds until when this proxy is not the relay for an upstream that
	// it does not reach.
	avoidSelf map[string]time.Time
	// searched holds the last search for a substitute of a relay by upstream, for
	// searchMemory or until one was found.
	searched map[string]search
	// gone holds when peers left the list, for goneMemory.
	gone map[string]time.Time
	// onPeers is called after each change of peers, if set.
	onPeers func()
	// nextSurvey is the earliest time of the next survey of peers.
	nextSurvey time.Time

	// checkPeer checks whether a peer answers, and linkTimeout is added to the time
	// that commands may take. Tests replace both.
	checkPeer   func(*peer) error
	linkTimeout time.Duration
}

// peer is another proxy that may be a relay.
type peer struct {
	host    *pb.RelayHost
	service lovageslipv1connect.RelayServiceClient
	// leaving is set once the peer has said that it shuts down.
	leaving bool
	// failures is how often the peer has failed since its last answer. It is not
	// used before avoidUntil, and as long as failed is set: until a check succeeds.
	failures   int
	avoidUntil time.Time
	failed     bool
	// checking is set while the peer is checked because it was slow once.
	checking bool
	// avoidUpstreams holds until when the peer is not used for an upstream.
	avoidUpstreams map[string]time.Time
}

var _ proxy.Relays = (*Client)(nil)

// NewClient returns a client without peers, so that this proxy is the relay of all
// upstreams until SetPeers.
func NewClient(o Options) *Client {
	return &Client{
		options: o,
		log:     logging.For(o.Log, "relay"),
		metrics: metrics.OrNoop(o.Metrics).SubScope("relay"),
		peers:   make(map[string]*peer),
		chosen:  make(map[string]*peer),

		avoidSelf:   make(map[string]time.Time),
		searched:    make(map[string]search),
		gone:        make(map[string]time.Time),
		checkPeer:   checkPeer,
		linkTimeout: linkTimeout,
	}
}

// SetPeers implements proxy.Relays. A peer that was started again is a new one.
func (c *Client) SetPeers(hosts []*pb.RelayHost) {
	if onPeers := c.setPeers(hosts); onPeers != nil {
		onPeers()
	}
}

func (c *Client) setPeers(hosts []*pb.RelayHost) (onPeers func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	peers := make(map[string]*peer)
	for _, h := range hosts {
		known, ok := c.peers[h.Name]
		switch {
		case h.Name == c.options.Name:
		case ok && known.host.StartedMs == h.StartedMs && known.host.Address == h.Address:
			peers[h.Name] = known
		default:
			service := lovageslipv1connect.NewRelayServiceClient(c.options.HTTPClient, "http://"+h.Address)
			peers[h.Name] = &peer{host: h, service: service, avoidUpstreams: make(map[string]time.Time)}
		}
	}
	rememberGone(c.gone, c.peers, peers)
	c.peers = peers
	clear(c.chosen)
	return c.onPeers
}

// HasRelay implements proxy.Relays.
func (c *Client) HasRelay(upstreamID string) bool { return c.relay(upstreamID) != nil }

// IsSubstitute implements proxy.Relays.
func (c *Client) IsSubstitute(upstreamID string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.relayLocked(upstreamID) != nil {
		return false
	}
	own := score(c.options.Name, upstreamID)
	for _, p := range c.peers {
		if !p.leaving && score(p.host.Name, upstreamID) > own {
			return true
		}
	}
	return false
}

// relay returns the relay of an upstream, or nil if that is this proxy itself.
func (c *Client) relay(upstreamID string) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.relayLocked(upstreamID)
}

func (c *Client) relayLocked(upstreamID string) *peer {
	now := bootclock.Now()
	if !c.recheckAt.IsZero() && !now.Before(c.recheckAt) {
		clear(c.chosen)
		c.recheckAt = time.Time{}
	}
	if cached, ok := c.chosen[upstreamID]; ok {
		return cached
	}
	var best *peer
	highest := c.ownScoreLocked(upstreamID, now)
	for _, p := range c.peers {
		if !c.usableLocked(p, upstreamID, now) {
			continue
		}
		if s := score(p.host.Name, upstreamID); s > highest {
			best, highest = p, s
		}
	}
	c.chosen[upstreamID] = best
	return best
}

func (c *Client) usableLocked(p *peer, upstreamID string, now time.Time) bool {
	until := p.avoidUntil
	if forUpstream := p.avoidUpstreams[upstreamID]; forUpstream.After(until) {
		until = forUpstream
	}
	if now.Before(until) {
		c.recheckByLocked(until)
		return false
	}
	return !p.leaving && !p.failed
}

// ownScoreLocked is the score of this proxy; 0 while it does not reach the upstream.
func (c *Client) ownScoreLocked(upstreamID string, now time.Time) uint64 {
	if until := c.avoidSelf[upstreamID]; now.Before(until) {
		c.recheckByLocked(until)
		return 0
	}
	return score(c.options.Name, upstreamID)
}

// recheckByLocked makes the relays be chosen anew at a time, if not sooner.
func (c *Client) recheckByLocked(at time.Time) {
	if c.recheckAt.IsZero() || at.Before(c.recheckAt) {
		c.recheckAt = at
	}
}

// score ranks the proxies as relays of an upstream; the highest is chosen.
func score(name, upstreamID string) uint64 { return xxhash.Sum64String(name + " " + upstreamID) }

// Avoid implements proxy.Relays.
func (c *Client) Avoid(upstreamID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.relayLocked(upstreamID)
	if p == nil {
		return
	}
	p.avoidUpstreams[upstreamID] = bootclock.Now().Add(avoidMax)
	clear(c.chosen)
	c.metrics.Counter("avoided_for_upstream_total").Inc(1)
	c.log.Warn("relay does not reach an upstream that this proxy reaches; using another relay", "relay", p.host.Name, "upstream", upstreamID)
}

// recordFailure makes the proxy use other relays than p for a while, and until p answers
// a check. Other peers may have become unreachable with it, so some are checked.
func (c *Client) recordFailure(p *peer, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := bootclock.Now()
	if p.failed || now.Before(p.avoidUntil) {
		return
	}
	p.failed = true
	go c.awaitAnswer(p)
	if c.startSurveyLocked(now) {
		go c.survey()
	}
	p.avoidUntil = now.Add(min(avoidMin<<min(p.failures, 5), avoidMax))
	p.failures++
	clear(c.chosen)
	c.metrics.Counter("failures_total").Inc(1)
	c.log.Warn("relay failed; using another one", "relay", p.host.Name, "failures", p.failures, "error", err)
}

func (c *Client) recordAnswer(p *peer, leaving bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.failures = 0
	if leaving && !p.leaving {
		p.leaving = true
		clear(c.chosen)
		c.log.Info("relay shuts down; using another one", "relay", p.host.Name)
	}
}

// DialDirectly implements proxy.Relays.
func (c *Client) DialDirectly(ctx context.Context, u *pb.SiteUpstream) (proxy.Conn, error) {
	return c.options.Dialer.Dial(ctx, u, "")
}

// Check implements proxy.Relays.
func (c *Client) Check(ctx context.Context, u *pb.SiteUpstream) (r proxy.Reachability, failedFor time.Duration, err error) {
	p := c.relay(u.Id)
	if p == nil {
		return proxy.ReachabilityUnknown, 0, nil
	}
	r, failedFor, err = p.check(ctx, u)
	if err != nil {
		c.recordFailure(p, err)
		return proxy.ReachabilityUnknown, 0, &proxy.RelayLost{Relay: p.host.Name, Err: err}
	}
	c.recordAnswer(p, false)
	return r, failedFor, nil
}

// check asks a peer whether it reaches an upstream, and for how long it has not.
func (p *peer) check(ctx context.Context, u *pb.SiteUpstream) (r proxy.Reachability, failedFor time.Duration, err error) {
	response, err := p.service.Check(ctx, connect.NewRequest(&pb.RelayCheckRequest{Target: targetToWire(u)}))
	if err != nil {
		return proxy.ReachabilityUnknown, 0, err
	}
	switch response.Msg.Reachability {
	case pb.UpstreamReachability_UPSTREAM_REACHABILITY_REACHABLE:
		return proxy.Reachable, 0, nil
	case pb.UpstreamReachability_UPSTREAM_REACHABILITY_UNREACHABLE:
		return proxy.Unreachable, duration(response.Msg.FailedMs), nil
	default:
		return proxy.ReachabilityUnknown, 0, nil
	}
}

// Dial implements proxy.Relays. It sends nothing yet.
func (c *Client) Dial(_ context.Context, u *pb.SiteUpstream, _ string) (proxy.Conn, error) {
	p := c.relay(u.Id)
	if p == nil {
		// This proxy has become the relay since the caller asked.
		return nil, &proxy.DialRefused{Upstream: u.Id, Code: proxy.CodeNoConnection}
	}
	// The stream outlives the call that opens it, so it has a context of its own.
	ctx, cancel := context.WithCancel(context.Background())
	return &conn{client: c, peer: p, upstreamID: u.Id, target: targetToWire(u), stream: p.service.Connect(ctx), cancel: cancel}, nil
}

// isRelay reports whether p is still the relay of an upstream.
func (c *Client) isRelay(p *peer, upstreamID string) bool { return c.relay(upstreamID) == p }
