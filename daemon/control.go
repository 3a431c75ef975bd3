package daemon

import (
	"context"
	"log/slog"
	"net"
	"net/http"

	"github.com/sourcegraph/conc/pool"

	"lovageslip/consensus"
	"lovageslip/control"
	"lovageslip/controlstate"
	"lovageslip/fault"
	"lovageslip/logging"
	"lovageslip/metrics"
	"lovageslip/settings"
	"lovageslip/tlsconf"
)

// RunControl runs a control host until ctx ends or a part of it fails. If
// listener is nil, it listens on the address in the settings.
func RunControl(ctx context.Context, s *settings.Control, listener net.Listener, log *slog.Logger) error {
	hostTLS, err := loadHostTLS(s.TLSHosts)
	if err != nil {
		return err
	}
	scope, metricsHandler, closer := metrics.NewScope()
	defer closer.Close()
	dialer, err := newDialer(s.Upstreams, s.TLSUpstreams, log, scope)
	if err != nil {
		return err
	}
	listener, err = listen(listener, s.Hosts, hostTLS.server)
	if err != nil {
		return err
	}
	defer listener.Close()

	client := tlsconf.HTTPClient(hostTLS.client)
	state := controlstate.New(controlstate.Options{Log: log, Metrics: scope})
	node, err := consensus.Start(ctx, consensus.Options{
		Name:           s.Name,
		Address:        memberAddress(s),
		DataDir:        s.Data,
		InitialMembers: initialMembers(s.Members),
		StateMachine:   state,
		HTTPClient:     client,
		Log:            log,
		Metrics:        scope,
	})
	if err != nil {
		return err
	}
	defer node.Close()
	server := control.New(control.Options{
		Log:        log,
		Metrics:    scope,
		Name:       s.Name,
		Consensus:  node,
		State:      state,
		Dialer:     dialer,
		HTTPClient: client,
	})
	mux := http.NewServeMux()
	mux.Handle(server.Handler())
	for _, route := range node.Handlers() {
		mux.Handle(route.Path, route.Handler)
	}

	daemonLog := logging.For(log, "daemon")
	daemonLog.Info("control host started", "host", s.Name, "address", s.Hosts)
	tasks := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	tasks.Go(func(ctx context.Context) error { return serveHosts(ctx, listener, s.TLSHosts, mux, 0, daemonLog) })
	tasks.Go(func(ctx context.Context) error { server.Run(ctx); return nil })
	tasks.Go(func(ctx context.Context) error { return watchStorage(ctx, node) })
	tasks.Go(func(ctx context.Context) error {
		return serveOps(ctx, s.Metrics, metricsHandler, controlReadiness(node))
	})
	return tasks.Wait()
}

// memberAddress is the address under which the other members know this host.
func memberAddress(s *settings.Control) string {
	for _, m := range s.Members {
		if m.Name == s.Name {
			return m.Address
		}
	}
	return s.Hosts
}

func initialMembers(members []settings.Member) []consensus.Member {
	initial := make([]consensus.Member, 0, len(members))
	for _, m := range members {
		initial = append(initial, consensus.Member{Name: m.Name, Address: m.Address})
	}
	return initial
}

// watchStorage returns an error, which ends the process, when the host's disk
// has failed: the host no longer votes, and only a restart can tell what the
// disk holds.
func watchStorage(ctx context.Context, node *consensus.Node) error {
	select {
	case <-node.Failed():
		return node.Err()
	case <-ctx.Done():
		return nil
	}
}

func controlReadiness(node *consensus.Node) Readiness {
	return func() (bool, string) {
		if _, _, ok := node.Leader(); !ok {
			return false, "no leader is known"
		}
		return true, ""
	}
}

// listen opens a listener on address unless one is given, and adds TLS if it is
// configured.
func listen(listener net.Listener, address string, tlsConfig *tlsServer) (net.Listener, error) {
	if listener == nil {
		var err error
		listener, err = net.Listen("tcp", address)
		if err != nil {
			return nil, &fault.IO{Op: "listen on " + address, Err: err}
		}
	}
	return tlsConfig.wrap(listener), nil
}
