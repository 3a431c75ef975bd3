// Package sitewatch connects a proxy to the control hosts (package sitecontrol).
// It keeps the proxy's view of the site up to date, by watching one control host
// at a time, the one that the proxies of its data centre prefer if they can. It
// reports the primaries that the proxy cannot reach, and asks for the positions of
// primaries. Package platform starts it.
package sitewatch

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
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
	// silenceTimeout is how long a control host may send no update before the
	// watch turns to another one: two intervals of keep-alives and some delay.
	silenceTimeout = 2*sitecontrol.KeepAliveInterval + 200*time.Millisecond
	// probeTimeout bounds the wait until one of several control hosts accepts
	// a connection. A new attempt reaches a host that has started meanwhile
	// sooner than the repeated packet of a lost one, which follows after 1 s.
	probeTimeout = 300 * time.Millisecond
	// retryDelay is the pause after a first failure. It doubles from the second
	// on, up to maxRetryDelay, until a watch has lasted for stableWatch: hundreds
	// of proxies that try again at once would keep control hosts from
	// recovering.
	retryDelay    = 100 * time.Millisecond
	maxRetryDelay = 1500 * time.Millisecond
	stableWatch   = 5 * time.Second
	// unreachablePause is the mean pause after a search in which no control host
	// accepted a connection, once the search has lasted for startPeriod. It doesn't
	// grow, because such attempts take no time of control hosts, and a proxy without a
	// view serves nothing once a host is back.
	unreachablePause    = 300 * time.Millisecond
	reportCheckInterval = 50 * time.Millisecond
	reportTimeout       = 500 * time.Millisecond
)

// Options configure a Watch; New takes them.
type Options struct {
	// Name is the proxy's name in reports and logs.
	Name       string
	DataCentre string
	// Relay is this proxy as others of its data centre reach it, or nil if it
	// relays nothing. It is reported until Leave.
	Relay *pb.RelayHost
	// Seeds returns internal addresses of control hosts that may be running.
	Seeds      func() []string
	HTTPClient *http.Client
	// MaxViewAge is the age at which the proxy stops to rely on its view; 0 if
	// none is set.
	MaxViewAge time.Duration
	Log        *slog.Logger
	Metrics    tally.Scope
}

// Proxy is the proxy that receives the views and supplies the reports.
type Proxy interface {
	// SetView is called with each newer view, from one goroutine.
	SetView(*site.View)
	// PrimaryReachability returns the ids of the primaries that the proxy
	// cannot reach, and of those to which it has sent no request lately, so
	// that it does not know whether it can.
	PrimaryReachability() (unreachable, untried []string)
}

// Watch is a proxy's connection to the control hosts. It is safe for concurrent
// use.
type Watch struct {
	options Options
	log     *slog.Logger
	metrics tally.Scope
	clients *sitecontrol.Clients

	// mu guards the fields below.
	mu    sync.Mutex
	parts site.ViewParts
	// shownIndex is the index of the view that the proxy has.
	shownIndex uint64
	// currentAt is the latest time at which the proxy's view is known to have
	// been complete, on the boot clock. pending is a later confirmation of a
	// state that the view has not reached yet.
	currentAt time.Time
	pending   confirmation
	// answeredReportAt is when the newest report that was answered was sent.
	answeredReportAt time.Time

	watchedAddress string // address of the last control host that sent an update
	lastUpdateAt   time.Time
	// mostRelays is the length of the longest list of relays so far.
	mostRelays int
	// watching is set while the watch of watchedAddress lasts. Reports after it would
	// make that host count the proxy beside the next one.
	watching bool
	// leaving is set once the proxy shuts down and relays nothing new.
	leaving bool
	// discoveredHosts are the members that a control host which stands by has
	// named.
	discoveredHosts []string
	// failedAt holds when the last watch of a control host failed.
	failedAt map[string]time.Time
	// connectTimes holds the times to connect to the members, measuredMembers those
	// of the last measurement. returnTo is the preferred control host that the watch
	// should turn to; empty if it need not.
	connectTimes    map[string]connectTime
	measuredMembers []string
	returnTo        string
}

// New returns a watch, which is started by Run.
func New(o Options) *Watch {
	return &Watch{
		options: o,
		clients: sitecontrol.NewClients(o.HTTPClient),
		log:     logging.For(o.Log, "watch"),
		metrics: metrics.OrNoop(o.Metrics).SubScope("watch"),

		failedAt:     make(map[string]time.Time),
		connectTimes: make(map[string]connectTime),
	}
}

// Run watches control hosts and reports to them for a proxy until ctx ends.
func (w *Watch) Run(ctx context.Context, p Proxy) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { w.runReports(ctx, p) })
	tasks.Go(func() { w.runPreference(ctx) })
	address, searchingSince := "", bootclock.Now()
	for failures := 0; ctx.Err() == nil; failures++ {
		if address == "" {
			address = w.search(ctx, searchingSince)
		}
		if address == "" {
			failures-- // counts failed watches only
			continue
		}
		begunAt := bootclock.Now()
		err := w.watch(ctx, address, p)
		var returned *Returned
		if errors.As(err, &returned) {
			w.log.Info("proxy turns to the control host that its data centre prefers", "address", returned.To, "from", address)
			w.metrics.Counter("returns_to_preferred_total").Inc(1)
			address = returned.To
			failures--
			continue
		}
		w.log.Warn("watch of a control host ended", "address", address, "index", w.index(), "error", err)
		w.recordFailure(address)
		address = ""
		if bootclock.Since(begunAt) >= stableWatch {
			failures, searchingSince = 0, bootclock.Now()
		}
		if failures > 0 {
			pause.For(ctx, retryPause(failures))
		}
	}
}

// search returns the control host to watch next. If none accepts a connection, it
// returns an empty string, after a pause.
func (w *Watch) search(ctx context.Context, since time.Time) string {
	starting := bootclock.Since(since) < startPeriod
	address := w.nearest(ctx, starting)
	switch {
	case address != "":
		w.log.Info("control host accepts connections", "address", address, "searched", bootclock.Since(since))
		w.metrics.Timer("search_seconds").Record(bootclock.Since(since))
	case starting:
		pause.For(ctx, jitter(refusedPause/attemptsAtATime))
	default:
		pause.For(ctx, jitter(unreachablePause))
	}
	return address
}

func (w *Watch) recordFailure(address string) {
	w.metrics.Counter("control_hosts_lost_total").Inc(1)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failedAt[address] = bootclock.Now()
	if w.returnTo == address {
		w.returnTo = ""
	}
}

// retryPause returns a random pause after a number of failures since the last stable
// watch, between half and one and a half times the mean.
func retryPause(failures int) time.Duration {
	return jitter(min(retryDelay<<min(max(failures-1, 0), 10), maxRetryDelay))
}

// jitter returns a random pause between half and one and a half times the mean.
func jitter(mean time.Duration) time.Duration { return mean/2 + rand.N(mean) }

func (w *Watch) index() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.parts.Index
}

// SinceLastUpdate returns the time since a control host last sent an update.
func (w *Watch) SinceLastUpdate() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return bootclock.Since(w.lastUpdateAt)
}

// watch applies the updates of one control host until the stream fails, an update
// is older than the view, none arrives within silenceTimeout, or the host cannot
// confirm the view for maxViewAge.
func (w *Watch) watch(ctx context.Context, address string, p Proxy) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(silenceTimeout, cancel)
	defer silence.Stop()
	client := w.clients.ForAddress(address)
	calledAt := bootclock.Now()
	message := &pb.WatchSiteRequest{Proxy: w.options.Name, DataCentre: w.options.DataCentre, Differences: true}
	if _, leaving := w.reportTarget(); !leaving {
		message.Relay = w.options.Relay
	}
	request := connect.NewRequest(message)
	stream, err := client.Watch(ctx, request)
	if err != nil {
		return &fault.IO{Op: "watch", Err: err}
	}
	defer stream.Close()
	defer w.endWatch()
	firstUpdate := true
	for stream.Receive() {
		silence.Reset(silenceTimeout)
		if u := stream.Msg(); !u.Topology && len(u.ControlHosts) > 0 {
			w.setDiscoveredHosts(u.ControlHosts)
			continue
		}
		if !w.applyUpdate(address, stream.Msg(), p) {
			return &OldState{Address: address}
		}
		if firstUpdate {
			// The host sends it after a quorum read.
			w.confirm(confirmation{index: stream.Msg().Index, at: calledAt})
			w.log.Info("proxy watches a control host", "address", address)
			firstUpdate = false
		}
		if age := w.viewAge(); age > w.lagLimit() {
			return &NotConfirmed{Address: address, For: age}
		}
		if to := w.takeReturn(address); to != "" {
			return &Returned{To: to}
		}
	}
	return &fault.IO{Op: "watch", Err: stream.Err()}
}

func (w *Watch) endWatch() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watching = false
}

func (w *Watch) setDiscoveredHosts(hosts []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.discoveredHosts = hosts
}

// OldState reports a control host whose state of the site is older than the view
// of the proxy.
type OldState struct{ Address string }

func (e *OldState) Error() string {
	return "control host " + e.Address + " sent an older state than the proxy has"
}

// applyUpdate applies an update to the view. It reports false if the update is
// older than the view. Later updates of the same stream hold only changes since
// that one, so the stream is of no use any more.
func (w *Watch) applyUpdate(address string, u *pb.SiteUpdate, p Proxy) bool {
	w.mu.Lock()
	w.watchedAddress, w.watching, w.lastUpdateAt = address, true, bootclock.Now()
	if u.Index < w.parts.Index {
		w.mu.Unlock()
		return false
	}
	changed := u.Config != nil || u.Topology || u.RelaysChanged
	w.parts.Index = u.Index
	if u.Config != nil {
		w.parts.Config = u.Config
	}
	if u.Topology {
		if usable := site.UsableUpstreams(u.Upstreams); len(usable) < len(u.Upstreams) {
			w.metrics.Counter("records_refused_total").Inc(int64(len(u.Upstreams) - len(usable)))
			w.log.Warn("update of a control host has records that name no upstream", "from", address, "refused", len(u.Upstreams)-len(usable))
			u.Upstreams = usable
		}
		upstreams, groups := site.ApplyTopology(w.parts.Upstreams, w.parts.Groups, u)
		w.parts.LeavingNotBefore = leavingNotBefore(w.parts, upstreams, w.currentAt)
		w.parts.Upstreams, w.parts.Groups = upstreams, groups
		w.parts.ControlHosts, w.parts.Proxies = u.ControlHosts, int(u.Proxies)
	}
	if u.RelaysChanged {
		w.parts.Relays = u.Relays
		w.mostRelays = max(w.mostRelays, len(u.Relays))
	}
	parts, currentAt := w.parts, w.currentAt
	w.mu.Unlock()
	if !changed {
		w.viewShown(parts.Index)
		return true
	}
	w.log.Info("view of the site updated", "index", parts.Index, "config", parts.Config.GetVersion(),
		"upstreams", len(parts.Upstreams), "leaving", leavingIDs(parts.Upstreams), "proxies", parts.Proxies,
		"relays", len(parts.Relays), "current", age(currentAt), "from", address)
	p.SetView(site.NewView(parts))
	w.viewShown(parts.Index)
	return true
}

// runReports reports to the watched control host that this proxy runs, and which
// primaries it cannot reach.
func (w *Watch) runReports(ctx context.Context, p Proxy) {
	var last []string
	var sentAt time.Time
	var sentTo string
	for pause.For(ctx, reportCheckInterval) {
		unreachable, untried := p.PrimaryReachability()
		interval := sitecontrol.ReportInterval
		switch {
		case len(unreachable) > 0:
			interval = sitecontrol.UnreachableReportInterval
		case w.confirmationDue():
			interval = unconfirmedReportInterval
		}
		address, leaving := w.reportTarget()
		if slices.Equal(unreachable, last) && bootclock.Since(sentAt) < interval && address == sentTo {
			continue
		}
		if !slices.Equal(unreachable, last) {
			w.log.Info("list of primaries that the proxy cannot reach changed", "upstreams", unreachable)
		}
		if w.report(ctx, address, leaving, unreachable, untried) {
			last, sentAt, sentTo = unreachable, bootclock.Now(), address
		}
	}
}

// Leave makes the control host take this proxy off the list of relays with the
// next report.
func (w *Watch) Leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = true
}

// reportTarget returns the address of the watched control host, or an empty string,
// and whether the proxy is leaving.
func (w *Watch) reportTarget() (address string, leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.watching {
		return "", w.leaving
	}
	return w.watchedAddress, w.leaving
}

func (w *Watch) report(ctx context.Context, address string, leaving bool, unreachable, untried []string) bool {
	if address == "" {
		return false
	}
	request := &pb.ReportRequest{Reporter: w.options.Name, Proxies: 1, DataCentre: w.options.DataCentre}
	if !leaving {
		request.Relay = w.options.Relay
	}
	request.Complaints = newComplaints(unreachable)
	request.Untried = newComplaints(untried)
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	calledAt := bootclock.Now()
	response, err := w.clients.ForAddress(address).Report(ctx, connect.NewRequest(request))
	if err != nil {
		w.metrics.Counter("reports_failed_total").Inc(1)
		return false
	}
	w.recordAnswer(calledAt)
	if age := response.Msg.ConfirmedMs; age != 0 {
		w.confirm(confirmation{index: response.Msg.Index, at: calledAt.Add(-time.Duration(age) * time.Millisecond)})
	}
	return true
}

func newComplaints(ids []string) []*pb.Complaint {
	var list []*pb.Complaint
	for _, id := range ids {
		list = append(list, &pb.Complaint{Upstream: id, Proxies: 1})
	}
	return list
}

// Positions returns the positions of the primaries of groups that the watched
// control host knows. Their ages are subtracted from the start of the call, so
// that no position is taken for newer than it is. Errors are *fault.IO and
// *fault.NotRun.
func (w *Watch) Positions(ctx context.Context, groups []string) ([]proxy.GroupPosition, error) {
	w.mu.Lock()
	address := w.watchedAddress
	w.mu.Unlock()
	if address == "" {
		return nil, &fault.NotRun{Reason: consensus.ReasonNoLeader, Detail: "no control host is known"}
	}
	calledAt := bootclock.Now()
	response, err := w.clients.ForAddress(address).Positions(ctx, connect.NewRequest(&pb.PositionsRequest{Groups: groups}))
	if err != nil {
		return nil, &fault.IO{Op: "ask for positions", Err: err}
	}
	var positions []proxy.GroupPosition
	for _, p := range response.Msg.Positions {
		positions = append(positions, proxy.GroupPosition{
			Group:       p.Group,
			Position:    upstream.Position{Term: upstream.Term(p.Term), Offset: upstream.Offset(p.Offset)},
			RequestedAt: calledAt.Add(-time.Duration(p.AgeMs) * time.Millisecond),
		})
	}
	return positions, nil
}
