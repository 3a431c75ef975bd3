package relay

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lovageslip/fault"
	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/proxy"
	"lovageslip/site"
	"lovageslip/tlsconf"
	"lovageslip/upstream"
)

// fakeSite is a group of three upstreams in memory, p1, r1 and r2, which accept few
// connections, and the proxies of one data centre.
type fakeSite struct {
	t       testing.TB
	parts   site.ViewParts
	proxies []*fakeProxy

	// mu guards the fields below.
	mu             sync.Mutex
	maxConnections int
	open           map[string]int // connections by upstream
	dials, refused int
	offset         upstream.Offset
	runs           map[string]int // by request, without those rolled back
	mixed          []string       // statements that ran with another session's state
	commandDelay   time.Duration
	lostShare      float64         // of the commands, whose connection is lost before or after they run
	teams          map[string]bool // for which connections were opened
}

// fakeProxy is one proxy with its relay server, which a test can stop.
type fakeProxy struct {
	*proxy.Proxy
	name   string
	site   *fakeSite
	client *Client
	limits *Limits
	server *Server
	http   *httptest.Server

	mu sync.Mutex
	// unreachable is the id of an upstream that this proxy cannot reach.
	unreachable string
	// silent is set if a dial of that upstream waits until its timeout.
	silent bool
	// frozen makes each request to the server wait until it is closed.
	frozen chan struct{}
}

// longTimeout replaces the timeouts between proxies and those of the routes in tests
// that are not about them. On a machine with other work, a peer that is only short of
// processor time would count as silent, and another one take its place.
const longTimeout = 15 * time.Second

// stallMeter adds up for how long a goroutine that is due has to wait for a processor.
type stallMeter struct{ total atomic.Int64 }

// stallTick is how often a stallMeter measures. The chains of steps that tests bound
// wait for a processor about as often.
const stallTick = 5 * time.Millisecond

func startStallMeter(t testing.TB) *stallMeter {
	m := &stallMeter{}
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go func() {
		for {
			begun := time.Now()
			select {
			case <-stop:
				return
			case <-time.After(stallTick):
				m.total.Add(int64(time.Since(begun) - stallTick))
			}
		}
	}()
	return m
}

// stopwatch returns a function that returns the time since now, less what the machine
// took from this process meanwhile.
func (m *stallMeter) stopwatch() (elapsed func() time.Duration) {
	begun, stalled := time.Now(), m.total.Load()
	return func() time.Duration { return time.Since(begun) - time.Duration(m.total.Load()-stalled) }
}

// newFakeSite returns a site whose timeouts are those of the product.
func newFakeSite(t testing.TB, proxies, maxConnections int) *fakeSite {
	return newFakeSiteWithTimeout(t, proxies, maxConnections, 0)
}

// newLongTimeoutSite returns a site in which peers may take as long as longTimeout.
func newLongTimeoutSite(t testing.TB, proxies, maxConnections int) *fakeSite {
	return newFakeSiteWithTimeout(t, proxies, maxConnections, longTimeout)
}

// newFakeSiteWithTimeout returns a site with another timeout than the product's, unless
// that is 0.
func newFakeSiteWithTimeout(t testing.TB, proxies, maxConnections int, timeout time.Duration) *fakeSite {
	s := &fakeSite{t: t, maxConnections: maxConnections, open: map[string]int{}, runs: map[string]int{}, teams: map[string]bool{}, offset: 100, commandDelay: time.Millisecond}
	s.parts.Config = &pb.SiteConfig{Version: 1, Groups: []*pb.SiteGroup{{Name: "g", MaxConnections: uint32(maxConnections)}}}
	for database, freshness := range map[string]pb.Freshness{"latest": pb.Freshness_FRESHNESS_LATEST, "bounded": pb.Freshness_FRESHNESS_BOUNDED} {
		s.parts.Config.Routes = append(s.parts.Config.Routes, &pb.SiteRoute{
			Database: database, Prefix: "/", Group: "g", Freshness: freshness, TimeoutMs: max(1000, uint32(timeout.Milliseconds())), TargetMs: 1000, AgeMs: 1500,
		})
	}
	for _, id := range []string{"p1", "r1", "r2"} {
		s.parts.Upstreams = append(s.parts.Upstreams, &pb.SiteUpstream{Id: id, Group: "g", Address: id, DataCentre: "here", Slots: 4})
	}
	s.parts.Groups = []*pb.SiteGroupState{{Group: "g", Primary: "p1"}}
	s.parts.Proxies = proxies
	for i := range proxies {
		p := s.newProxy(fmt.Sprintf("proxy-%d", i), newHTTPClient(max(timeout, dialTimeout)))
		p.client.linkTimeout = max(timeout, p.client.linkTimeout)
		p.limits.admitTimeout = max(timeout, p.limits.admitTimeout)
		p.client.checkPeer = func(other *peer) error { return other.answerWithin(max(timeout, peerCheckTimeout)) }
		s.proxies = append(s.proxies, p)
	}
	for _, p := range s.proxies {
		s.parts.Relays = append(s.parts.Relays, &pb.RelayHost{Name: p.name, Address: p.http.Listener.Addr().String(), StartedMs: 1})
	}
	s.applyView()
	return s
}

func (s *fakeSite) newProxy(name string, httpClient *http.Client) *fakeProxy {
	p := &fakeProxy{name: name, site: s}
	p.client = NewClient(Options{Name: name, Dialer: p, HTTPClient: httpClient})
	p.Proxy = proxy.New(proxy.Options{Name: name, DataCentre: "here", Regions: map[string]string{"here": "region"}, Dialer: p, Relays: p.client})
	p.limits = NewLimits(LimitsOptions{Client: p.client, View: p.View})
	p.server = NewServer(p.Proxy, nil, nil)
	p.server.CountWith(p.limits)
	path, handler := p.server.Handler()
	mux := http.NewServeMux()
	mux.Handle(path, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.waitWhileFrozen()
		handler.ServeHTTP(w, r)
	}))
	p.http = httptest.NewUnstartedServer(mux)
	p.http.Config.Protocols = tlsconf.Protocols(false, true)
	p.http.Start()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { p.Run(ctx); close(ended) }()
	s.t.Cleanup(func() { cancel(); <-ended; p.http.CloseClientConnections(); p.http.Close() })
	return p
}

func (p *fakeProxy) waitWhileFrozen() {
	p.mu.Lock()
	frozen := p.frozen
	p.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
}

func (s *fakeSite) applyView() {
	view := site.NewView(s.parts)
	for _, p := range s.proxies {
		p.SetView(view)
	}
}

// relayFor returns the proxy that the first proxy which is not itself the relay
// uses for an upstream.
func (s *fakeSite) relayFor(id string) *fakeProxy {
	for _, p := range s.proxies {
		if chosen := p.client.relay(id); chosen != nil {
			return s.find(chosen.host.Name)
		}
	}
	s.t.Fatalf("no relay for %s", id)
	return nil
}

func (s *fakeSite) find(name string) *fakeProxy {
	for _, p := range s.proxies {
		if p.name == name {
			return p
		}
	}
	return nil
}

func (s *fakeSite) totals() (dials, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dials, s.refused
}

func (s *fakeSite) runsOf(request string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[request]
}

// fakeConn is a connection to an upstream.
type fakeConn struct {
	site     *fakeSite
	id, team string
	state    proxy.TransactionState
	values   map[string]string
	prepared map[string]string
	inTx     []string // requests that ran in the open transaction
	// answers is reused, as the contract of proxy.Conn allows.
	answers []proxy.Answer
}

// Dial implements proxy.Dialer.
func (p *fakeProxy) Dial(ctx context.Context, u *pb.SiteUpstream, team string) (proxy.Conn, error) {
	p.mu.Lock()
	unreachable, silent := p.unreachable == u.Id, p.silent
	p.mu.Unlock()
	if unreachable && silent {
		<-ctx.Done()
	}
	if unreachable {
		return nil, &fault.IO{Op: "dial", Err: context.DeadlineExceeded}
	}
	s := p.site
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open[u.Id] >= s.maxConnections {
		s.refused++
		return nil, &proxy.DialRefused{Upstream: u.Id, Code: proxy.CodeTooManyConnections}
	}
	s.open[u.Id]++
	s.dials++
	s.teams[team] = true
	return &fakeConn{site: s, id: u.Id, team: team, state: proxy.StateIdle, values: map[string]string{}, prepared: map[string]string{}}, nil
}

func (c *fakeConn) Alive() bool { return true }

func (c *fakeConn) Close() error {
	c.site.mu.Lock()
	defer c.site.mu.Unlock()
	c.site.open[c.id]--
	return nil
}

func (c *fakeConn) Exchange(_ time.Time, commands ...proxy.Command) ([]proxy.Answer, error) {
	c.answers = c.answers[:0]
	for _, command := range commands {
		time.Sleep(c.site.commandDelay)
		share, lost := c.site.shareOfLost(), rand.Float64()
		if lost < share/2 {
			return nil, &fault.IO{Op: "read", Err: io.ErrUnexpectedEOF}
		}
		c.answers = append(c.answers, c.run(command))
		if lost < share {
			return nil, &fault.IO{Op: "read", Err: io.ErrUnexpectedEOF}
		}
	}
	return c.answers, nil
}

func (s *fakeSite) shareOfLost() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lostShare
}

func (c *fakeConn) run(command proxy.Command) proxy.Answer {
	s := c.site
	s.mu.Lock()
	defer s.mu.Unlock()
	code := proxy.CodeNone
	switch command.Kind {
	case proxy.CommandBegin, proxy.CommandBeginRead:
		c.state = proxy.StateOpen
	case proxy.CommandRollback:
		c.state, c.inTx = proxy.StateIdle, nil
	case proxy.CommandReset:
		clear(c.values)
		clear(c.prepared)
	case proxy.CommandSet:
		c.values[command.Name] = command.Value
	case proxy.CommandPrepare:
		c.prepared[command.Name] = command.Value
	default:
		code = c.forward(command)
	}
	a := proxy.Answer{Code: code, State: c.state, Position: upstream.Position{Term: 1, Offset: s.offset}}
	if command.Kind == proxy.CommandForward {
		a.Body = []byte("COMPLETE " + command.Statement.ID)
	}
	return a
}

// forward runs a caller's statement. A statement whose text is "WRITE" followed by
// a caller's name must find that caller's value set. The part of the name before a
// colon is the caller's team, and that of a prepared shape the team that prepared it.
func (c *fakeConn) forward(command proxy.Command) proxy.Code {
	st, s := command.Statement, c.site
	var caller string
	if _, err := fmt.Sscanf(st.Text, "WRITE %s", &caller); err == nil && c.values["caller"] != caller {
		s.mixed = append(s.mixed, fmt.Sprintf("%s ran with %v", st.ID, maps.Clone(c.values)))
	}
	for _, name := range []string{caller, c.prepared[command.Name]} {
		if team, _, ok := strings.Cut(name, ":"); ok && team != c.team {
			s.mixed = append(s.mixed, fmt.Sprintf("%s of team %s ran on a connection of %q", st.ID, team, c.team))
		}
	}
	switch {
	case st.Kind == proxy.KindExecute && c.prepared[command.Name] == "":
		return proxy.CodeNoStatement
	case st.Text == "COMMIT":
		for _, id := range c.inTx {
			s.runs[id]++
		}
		c.state, c.inTx = proxy.StateIdle, nil
		s.offset++
	case c.state == proxy.StateOpen:
		c.inTx = append(c.inTx, st.ID)
	default:
		s.runs[st.ID]++
		s.offset++
	}
	return proxy.CodeNone
}
