// Package sitewatch keeps a proxy's view of the site up to date. It watches one
// control host at a time, the nearest that answers, and reports upstreams that
// the proxy cannot reach.
package sitewatch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"lovageslip/bootclock"
	"lovageslip/consensus"
	"lovageslip/fault"
	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/internal/pause"
	"lovageslip/logging"
	"lovageslip/metrics"
	"lovageslip/proxy"
	"lovageslip/site"
	"lovageslip/sitecontrol"
	"lovageslip/upstream"
)

const (
	// silenceLimit is how long a control host may send nothing before the
	// watch turns to another one.
	silenceLimit = 2*sitecontrol.KeepAliveInterval + 200*time.Millisecond
	// probeTimeout bounds the search for a control host that answers.
	probeTimeout  = 700 * time.Millisecond
	retryPause    = 200 * time.Millisecond
	reportTick    = 50 * time.Millisecond
	reportTimeout = 500 * time.Millisecond
)

// Options configure a Watch.
type Options struct {
	// Name is the proxy's name in reports and logs.
	Name       string
	DataCentre string
	// Seeds returns internal addresses of control hosts that may be running.
	Seeds      func() []string
	HTTPClient *http.Client
	Log        *slog.Logger
	Metrics    tally.Scope
}

// Proxy is what the watch works for.
type Proxy interface {
	// SetView is called with each newer view, from one goroutine.
	SetView(*site.View)
	// Reach lists the primaries that the proxy cannot reach, and those that
	// it has had nothing to ask lately.
	Reach() (unreachable, untried []string)
}

// Watch is safe for concurrent use.
type Watch struct {
	o       Options
	log     *slog.Logger
	metrics tally.Scope
	clients *sitecontrol.Clients

	// mu guards the fields below.
	mu      sync.Mutex
	parts   site.ViewParts
	current string // address of the control host that is watched
	heardAt time.Time
	// learned are control hosts that one which only stands by has named.
	learned []string
}

// New returns a watch; Run must be called.
func New(o Options) *Watch {
	return &Watch{
		o:       o,
		clients: sitecontrol.NewClients(o.HTTPClient),
		log:     logging.For(o.Log, "watch"),
		metrics: metrics.OrNoop(o.Metrics).SubScope("watch"),
	}
}

// Run watches for a proxy until ctx ends.
func (w *Watch) Run(ctx context.Context, p Proxy) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { w.runReports(ctx, p) })
	failedAt := make(map[string]time.Time)
	for ctx.Err() == nil {
		address, ok := w.nearest(ctx, failedAt)
		if !ok {
			pause.For(ctx, retryPause)
			continue
		}
		err := w.watch(ctx, address, p)
		w.log.Warn("control host lost", "address", address, "index", w.index(), "error", err)
		w.metrics.Counter("control_hosts_lost_total").Inc(1)
		failedAt[address] = bootclock.Now()
		pause.For(ctx, retryPause/4)
	}
}

func (w *Watch) index() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.parts.Index
}

// SinceHeard returns the time since a control host last sent an update.
func (w *Watch) SinceHeard() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return bootclock.Since(w.heardAt)
}

// maxSeeds bounds the seeds among the candidates: on a large site there are many,
// and most of them only stand by.
const maxSeeds = 5

// candidates are the control hosts that are known and some of the seeds.
func (w *Watch) candidates() []string {
	seeds := slices.Clone(w.o.Seeds())
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	w.mu.Lock()
	addresses := slices.Concat(w.parts.ControlHosts, w.learned, seeds[:min(len(seeds), maxSeeds)])
	w.mu.Unlock()
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// nearest returns the control host that accepts a connection first, of those
// that have not failed lately; if all have, the one that failed first.
func (w *Watch) nearest(ctx context.Context, failedAt map[string]time.Time) (string, bool) {
	candidates, failed := byFailure(w.candidates(), failedAt, bootclock.Now())
	if address, ok := first(ctx, candidates); ok {
		return address, true
	}
	for _, address := range failed {
		if found, ok := first(ctx, []string{address}); ok {
			return found, true
		}
	}
	return "", false
}

// forgetFailureAfter is how long a control host that failed is passed over. It
// outlasts the time in which all others can be tried, so that a proxy doesn't go
// back and forth between two hosts that are cut off together.
const forgetFailureAfter = 10 * time.Second

// byFailure splits addresses into those that have not failed lately and the
// others, the longest ago first.
func byFailure(addresses []string, failedAt map[string]time.Time, at time.Time) (candidates, failed []string) {
	for _, address := range addresses {
		if when, ok := failedAt[address]; ok && at.Sub(when) < forgetFailureAfter {
			failed = append(failed, address)
			continue
		}
		candidates = append(candidates, address)
	}
	slices.SortFunc(failed, func(a, b string) int { return failedAt[a].Compare(failedAt[b]) })
	return candidates, failed
}

// first returns the address that accepts a connection first.
func first(ctx context.Context, addresses []string) (string, bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var tasks conc.WaitGroup
	defer tasks.Wait()
	defer cancel()
	answers := make(chan string, len(addresses))
	for _, address := range addresses {
		tasks.Go(func() { answers <- reach(ctx, address) })
	}
	for range addresses {
		if address := <-answers; address != "" {
			return address, true
		}
	}
	return "", false
}

// reach returns the address if it accepts a connection.
func reach(ctx context.Context, address string) string {
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return ""
	}
	// Nothing was sent on it.
	_ = c.Close()
	return address
}

// watch follows one control host until it fails or falls silent.
func (w *Watch) watch(ctx context.Context, address string, p Proxy) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(silenceLimit, cancel)
	defer silence.Stop()
	client := w.clients.At(address)
	request := connect.NewRequest(&pb.WatchSiteRequest{Proxy: w.o.Name, DataCentre: w.o.DataCentre})
	stream, err := client.Watch(ctx, request)
	if err != nil {
		return &fault.IO{Op: "watch", Err: err}
	}
	defer stream.Close()
	first := true
	for stream.Receive() {
		silence.Reset(silenceLimit)
		if u := stream.Msg(); !u.Topology && len(u.ControlHosts) > 0 {
			w.learn(u.ControlHosts)
			continue
		}
		if first {
			w.log.Info("watching a control host", "address", address)
			first = false
		}
		if !w.take(address, stream.Msg(), p) {
			return &OldState{Address: address}
		}
	}
	return &fault.IO{Op: "watch", Err: stream.Err()}
}

func (w *Watch) learn(hosts []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.learned = hosts
}

// OldState reports a control host whose state is older than the proxy's.
type OldState struct{ Address string }

func (e *OldState) Error() string { return "control host " + e.Address + " has an older state" }

// take applies an update. It reports false if this proxy has seen a newer
// state; the updates that follow build on the old one and are of no use.
func (w *Watch) take(address string, u *pb.SiteUpdate, p Proxy) bool {
	w.mu.Lock()
	w.current, w.heardAt = address, bootclock.Now()
	if u.Index < w.parts.Index {
		w.mu.Unlock()
		return false
	}
	changed := u.Config != nil || u.Topology
	w.parts.Index = u.Index
	if u.Config != nil {
		w.parts.Config = u.Config
	}
	if u.Topology {
		w.parts.Upstreams, w.parts.Groups = u.Upstreams, u.Groups
		w.parts.ControlHosts, w.parts.Proxies = u.ControlHosts, int(u.Proxies)
	}
	parts := w.parts
	w.mu.Unlock()
	if !changed {
		return true
	}
	w.log.Info("view taken over", "index", parts.Index, "config", parts.Config.GetVersion(),
		"upstreams", len(parts.Upstreams), "proxies", parts.Proxies, "from", address)
	p.SetView(site.NewView(parts))
	return true
}

// runReports tells the watched control host that this proxy runs, and what it
// cannot reach.
func (w *Watch) runReports(ctx context.Context, p Proxy) {
	var last []string
	var sentAt time.Time
	for pause.For(ctx, reportTick) {
		unreachable, untried := p.Reach()
		interval := sitecontrol.ReportInterval
		if len(unreachable) > 0 {
			interval = sitecontrol.ComplaintInterval
		}
		if slices.Equal(unreachable, last) && bootclock.Since(sentAt) < interval {
			continue
		}
		if !slices.Equal(unreachable, last) {
			w.log.Info("primaries that cannot be reached", "upstreams", unreachable)
		}
		if w.report(ctx, unreachable, untried) {
			last, sentAt = unreachable, bootclock.Now()
		}
	}
}

func (w *Watch) report(ctx context.Context, unreachable, untried []string) bool {
	w.mu.Lock()
	address := w.current
	w.mu.Unlock()
	if address == "" {
		return false
	}
	request := &pb.ReportRequest{Reporter: w.o.Name, Proxies: 1}
	request.Complaints = complaints(unreachable)
	request.Untried = complaints(untried)
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if _, err := w.clients.At(address).Report(ctx, connect.NewRequest(request)); err != nil {
		w.metrics.Counter("reports_failed_total").Inc(1)
		return false
	}
	return true
}

func complaints(ids []string) []*pb.Complaint {
	var list []*pb.Complaint
	for _, id := range ids {
		list = append(list, &pb.Complaint{Upstream: id, Proxies: 1})
	}
	return list
}

// Positions returns what the primaries of groups held, as the watched control
// host knows it. The age of each is counted from the begin of the call, so that
// it is no less than the true one. Errors are *fault.IO and *fault.NotRun.
func (w *Watch) Positions(ctx context.Context, groups []string) ([]proxy.GroupPosition, error) {
	w.mu.Lock()
	address := w.current
	w.mu.Unlock()
	if address == "" {
		return nil, &fault.NotRun{Reason: consensus.ReasonNoLeader, Detail: "no control host is known"}
	}
	calledAt := bootclock.Now()
	response, err := w.clients.At(address).Positions(ctx, connect.NewRequest(&pb.PositionsRequest{Groups: groups}))
	if err != nil {
		return nil, &fault.IO{Op: "ask for positions", Err: err}
	}
	var positions []proxy.GroupPosition
	for _, p := range response.Msg.Positions {
		positions = append(positions, proxy.GroupPosition{
			Group:    p.Group,
			Position: upstream.Position{Term: upstream.Term(p.Term), Offset: upstream.Offset(p.Offset)},
			AskedAt:  calledAt.Add(-time.Duration(p.AgeMs) * time.Millisecond),
		})
	}
	return positions, nil
}
