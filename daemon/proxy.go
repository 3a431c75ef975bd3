package daemon

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"
	"github.com/uber-go/tally/v4"

	"lovageslip/admission"
	"lovageslip/caller/pgcaller"
	"lovageslip/entry"
	"lovageslip/exchange"
	"lovageslip/fault"
	lovageslipv1 "lovageslip/gen/lovageslip/v1"
	"lovageslip/logging"
	"lovageslip/member"
	"lovageslip/metrics"
	"lovageslip/owner"
	"lovageslip/route"
	"lovageslip/session"
	"lovageslip/settings"
	"lovageslip/tlsconf"
)

// hostGracePeriod is how long the last answers to other hosts may take to be
// delivered after the owner has finished its work.
const hostGracePeriod = 2 * time.Second

// ProxyOptions holds what RunProxy needs besides the settings file.
type ProxyOptions struct {
	// Callers and Hosts are open listeners. If one is nil, RunProxy listens
	// on its address in the settings.
	Callers net.Listener
	Hosts   net.Listener
	// Policy returns the policy of a new admission queue; nil for the default
	// policy.
	Policy func() admission.Policy
}

// proxy holds the parts of one proxy host.
type proxy struct {
	settings  *settings.Proxy
	log       *slog.Logger
	scope     tally.Scope
	agent     *member.Agent
	owner     *owner.Owner
	client    *exchange.Client
	exchanges *exchange.Server
	callers   *pgcaller.Server
	draining  atomic.Bool
}

// RunProxy runs a proxy host. When ctx ends, it shuts down gracefully: work in
// flight may finish until the shutdown deadline in the settings.
func RunProxy(ctx context.Context, s *settings.Proxy, o ProxyOptions, log *slog.Logger) error {
	scope, metricsHandler, closer := metrics.NewScope()
	defer closer.Close()
	tlsHosts, err := loadHostTLS(s.TLSHosts)
	if err != nil {
		return err
	}
	p, err := newProxy(s, tlsHosts, o.Policy, log, scope)
	if err != nil {
		return err
	}
	defer p.owner.Close()
	defer p.client.Close()
	callerListener, err := listen(o.Callers, s.Callers, &tlsServer{})
	if err != nil {
		return err
	}
	hostListener, err := listen(o.Hosts, s.Hosts, tlsHosts.server)
	if err != nil {
		return err
	}
	return p.run(ctx, callerListener, hostListener, metricsHandler)
}

func newProxy(s *settings.Proxy, tlsHosts hostTLS, policy func() admission.Policy, log *slog.Logger, scope tally.Scope) (*proxy, error) {
	callerTLS, err := tlsconf.Server(s.TLSCallers)
	if err != nil {
		return nil, err
	}
	authenticator, err := newAuthenticator(s)
	if err != nil {
		return nil, err
	}
	dialer, err := newDialer(s.Upstreams, s.TLSUpstreams, log, scope)
	if err != nil {
		return nil, err
	}
	signer, err := newSigner(s.TokenKeys)
	if err != nil {
		return nil, err
	}
	httpClient := tlsconf.HTTPClient(tlsHosts.client)
	controlScope := scope.SubScope("control")
	controlClient := tlsconf.MeteredHTTPClient(tlsHosts.client, &tlsconf.Meter{
		Sent: controlScope.Counter("sent_bytes_total"), Received: controlScope.Counter("received_bytes_total"),
	})
	p := &proxy{settings: s, log: logging.For(log, "daemon"), scope: scope}
	p.agent = member.New(member.Options{
		Log: log, Metrics: scope, Control: s.Control, Name: s.Name, Address: s.Advertise,
		DataCentre: s.DataCentre, Health: healthSource{p}, HTTPClient: controlClient,
	})
	p.owner = owner.New(owner.Options{
		Log: log, Metrics: scope, Host: s.Name, Directory: p.agent, Leases: p.agent, Policy: policy,
		Dialer: dialer,
	})
	p.exchanges = exchange.NewDrainableServer(p.owner)
	p.client = exchange.NewClient(exchange.ClientOptions{HTTP: httpClient, Log: log, Metrics: scope})
	router := route.New(route.Options{DataCentre: s.DataCentre, Log: log, Metrics: scope})
	gateway := &exchange.LocalGateway{Address: s.Advertise, Handler: p.owner, Remote: p.client}
	p.callers = pgcaller.New(pgcaller.Options{
		Entry: entry.New(entry.Options{
			Directory: p.agent, Gateway: gateway, Router: router, Tokens: signer,
			HostName: s.Name, DataCentre: s.DataCentre, Log: log, Metrics: scope,
		}),
		Authenticator: authenticator, TLS: callerTLS, RequireTLS: s.RequireTLS,
		ForwardCancel: pgcaller.NewCancelForwarder(p.agent, s.Name, "http", httpClient),
		Log:           log, Metrics: scope,
	})
	return p, nil
}

func newSigner(keys []settings.TokenKey) (*session.Signer, error) {
	accepted := make([]session.Key, 0, len(keys))
	for _, key := range keys {
		accepted = append(accepted, session.Key{ID: session.KeyID(key.ID), Secret: key.Secret})
	}
	return session.NewSigner(accepted...)
}

// healthSource implements member.HealthSource: it converts the owner's health
// reports on its upstreams to the messages that heartbeats carry.
type healthSource struct {
	proxy *proxy
}

func (h healthSource) Health() []*lovageslipv1.UpstreamHealth {
	var reports []*lovageslipv1.UpstreamHealth
	for _, health := range h.proxy.owner.Health() {
		reports = append(reports, &lovageslipv1.UpstreamHealth{
			Upstream:                health.Upstream,
			Reachable:               health.Reachable,
			UnreachableMicros:       health.Unreachable.Microseconds(),
			Primary:                 health.Primary,
			Term:                    uint64(health.Term),
			Position:                uint64(health.Offset),
			DataAgeMicros:           health.DataAge.Microseconds(),
			PrimaryContactAgeMicros: health.PrimaryContactAge.Microseconds(),
		})
	}
	return reports
}

func (p *proxy) run(ctx context.Context, callers, hosts net.Listener, metricsHandler http.Handler) error {
	mux := http.NewServeMux()
	mux.Handle(p.exchanges.Handler())
	mux.Handle(p.agent.AnnounceHandler())
	mux.Handle(p.callers.CancelHandler())

	// The parts continue after ctx has ended. They stop only after the
	// shutdown, during which work in flight may finish.
	partsCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	tasks := pool.New().WithContext(partsCtx).WithCancelOnError().WithFirstError()
	tasks.Go(func(ctx context.Context) error { p.agent.Run(ctx); return nil })
	tasks.Go(func(ctx context.Context) error {
		return serveHosts(ctx, hosts, p.settings.TLSHosts, mux, hostGracePeriod, p.log)
	})
	tasks.Go(func(ctx context.Context) error { return serveOps(ctx, p.settings.Metrics, metricsHandler, p.ready) })
	tasks.Go(func(context.Context) error { return p.serveCallers(callers) })
	tasks.Go(func(partsCtx context.Context) error {
		select {
		case <-ctx.Done():
		case <-partsCtx.Done():
		}
		defer stop()
		return p.shutdown()
	})
	p.warnAboutPlaintextLogins()
	p.log.Info("proxy started", "host", p.settings.Name, "callers", callers.Addr(), "hosts", hosts.Addr())
	return tasks.Wait()
}

func (p *proxy) serveCallers(listener net.Listener) error {
	err := p.callers.Serve(listener)
	var closed *pgcaller.ServerClosed
	if errors.As(err, &closed) {
		return nil
	}
	return &fault.IO{Op: "serve callers", Err: err}
}

func (p *proxy) ready() (bool, string) {
	switch {
	case p.draining.Load():
		return false, "shutting down"
	case p.agent.View() == nil:
		return false, "no quorum-confirmed state yet"
	case !p.agent.ViewCurrent():
		return false, "no contact with a quorum of the control hosts"
	}
	return true, ""
}

// shutdown hands owned upstreams over and lets work in flight finish. Callers
// and the owner drain concurrently, because callers of this host may depend on
// its own upstreams and on those of other hosts.
func (p *proxy) shutdown() error {
	p.draining.Store(true)
	p.log.Info("shutdown started", "deadline", p.settings.ShutdownDeadline)
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.ShutdownDeadline)
	defer cancel()
	var drains conc.WaitGroup
	var callersErr, ownerErr error
	drains.Go(func() { callersErr = p.callers.Shutdown(ctx) })
	drains.Go(func() {
		if err := p.agent.Release(ctx); err != nil {
			p.log.Warn("no control host confirmed the release of this host's leases; its upstreams get new owners when the leases expire", "error", err)
		}
		ownerErr = p.owner.Drain(ctx)
		p.exchanges.Drain()
	})
	drains.Wait()
	if callersErr != nil {
		return callersErr
	}
	p.log.Info("shutdown finished")
	return ownerErr
}
