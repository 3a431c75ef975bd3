package daemon

import (
	"context"
	"crypto/rand"
	"log/slog"
	"os"
	"time"

	"github.com/sourcegraph/conc/pool"

	"lovageslip/admin"
	"lovageslip/admission"
	"lovageslip/class"
	"lovageslip/fault"
	"lovageslip/settings"
	"lovageslip/standin"
	"lovageslip/tlsconf"
)

// DevOptions configures the development set-up. All addresses are IP number
// and port on the loopback interface.
type DevOptions struct {
	Callers  string
	Hosts    string
	Control  string
	Metrics  string
	Database string
	Log      *slog.Logger
	// Lag is the replication lag of the stand-in upstreams.
	Lag time.Duration
	// Classes are defined at the start; DevClasses if empty.
	Classes []class.Class
	// Policy returns the policy of a new admission queue; nil for the default
	// policy. Benchmarks set it to compare with a baseline.
	Policy func() admission.Policy
	// Ready is called once every class is defined, a primary is known and
	// every upstream has an owner, so that callers can connect.
	Ready func()
}

const (
	devDataCentre       = "dev"
	devUpstreams        = 3
	devSlots            = 5
	devMaxConnections   = 70
	devShutdownDeadline = 10 * time.Second
	devSetupTimeout     = 30 * time.Second
	devSetupInterval    = 50 * time.Millisecond
	devTokenKeyBytes    = 32
	devChangeIDPrefix   = "dev-"
)

// DevClasses are the classes that the development set-up defines.
func DevClasses() []class.Class {
	return []class.Class{
		{Name: "filing", Wait: 10 * time.Second, Age: 0},
		{Name: "reading", Wait: 2 * time.Second, Age: 5 * time.Second},
		{Name: "reviewing", Wait: 5 * time.Second, Age: time.Second},
	}
}

// RunDev runs a control host, a proxy and three stand-in upstreams in one
// process until ctx ends. All data is then deleted.
func RunDev(ctx context.Context, o DevOptions) error {
	data, err := os.MkdirTemp("", "lovageslip-dev-")
	if err != nil {
		return &fault.IO{Op: "make data folder", Err: err}
	}
	defer os.RemoveAll(data)
	servers, err := startDevUpstreams(o)
	defer closeAll(servers)
	if err != nil {
		return err
	}

	control := &settings.Control{
		Name: "control", DataCentre: devDataCentre, Hosts: o.Control, Data: data,
		Members: []settings.Member{{Name: "control", Address: o.Control}},
	}
	proxy := &settings.Proxy{
		Name: "proxy", DataCentre: devDataCentre, Callers: o.Callers, Hosts: o.Hosts, Advertise: o.Hosts,
		Metrics: o.Metrics, Control: []string{o.Control}, TokenKeys: devKeys(), ShutdownDeadline: devShutdownDeadline,
	}
	// The control host continues after ctx has ended until the proxy has shut
	// down, because the proxy's shutdown needs it.
	controlCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	tasks := pool.New().WithContext(controlCtx).WithCancelOnError().WithFirstError()
	tasks.Go(func(ctx context.Context) error { return RunControl(ctx, control, nil, o.Log) })
	tasks.Go(func(taskCtx context.Context) error {
		defer stop()
		proxyCtx, cancel := context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(taskCtx, cancel)()
		return RunProxy(proxyCtx, proxy, ProxyOptions{Policy: o.Policy}, o.Log)
	})
	tasks.Go(func(taskCtx context.Context) error { return setUpDev(taskCtx, o) })
	return tasks.Wait()
}

func devKeys() []settings.TokenKey {
	secret := make([]byte, devTokenKeyBytes)
	_, _ = rand.Read(secret) // never fails
	return []settings.TokenKey{{ID: 1, Secret: secret}}
}

func startDevUpstreams(o DevOptions) ([]*standin.Server, error) {
	var servers []*standin.Server
	for i := range devUpstreams {
		options := standin.Options{
			Log:            o.Log,
			Name:           o.Database + "-" + string(rune('1'+i)),
			Database:       o.Database,
			DataCentre:     devDataCentre,
			Lag:            o.Lag,
			Slots:          devSlots,
			MaxConnections: devMaxConnections,
			AnnounceTo:     []string{"http://" + o.Hosts, "http://" + o.Control},
		}
		if i > 0 {
			options.Primary = servers[0].Address()
		}
		server, err := standin.Start(options)
		if err != nil {
			return servers, err
		}
		servers = append(servers, server)
	}
	return servers, nil
}

func closeAll(servers []*standin.Server) {
	for _, server := range servers {
		server.Close()
	}
}

// setUpDev defines the classes and calls Ready once checkDevReady succeeds.
func setUpDev(ctx context.Context, o DevOptions) error {
	ctx, cancel := context.WithTimeout(ctx, devSetupTimeout)
	defer cancel()
	client := admin.New(tlsconf.HTTPClient(nil), []string{o.Control})
	classes := o.Classes
	if len(classes) == 0 {
		classes = DevClasses()
	}
	for _, definition := range classes {
		change := admin.Change{ChangeID: devChangeIDPrefix + definition.Name, Class: definition, Operator: "dev"}
		if err := retryUntilDone(ctx, func() error { _, err := client.ChangeClass(ctx, change); return err }); err != nil {
			return err
		}
	}
	if err := retryUntilDone(ctx, func() error { return checkDevReady(ctx, client, o.Database) }); err != nil {
		return err
	}
	if o.Ready != nil {
		o.Ready()
	}
	return nil
}

// retryUntilDone calls f until it succeeds or ctx ends. f must be safe to repeat,
// as reads and changes with a change id are.
func retryUntilDone(ctx context.Context, f func() error) error {
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(devSetupInterval):
		}
	}
}

// checkDevReady returns nil once the primary of the database is known and every
// upstream has an owner.
func checkDevReady(ctx context.Context, client *admin.Client, database string) error {
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	owned := 0
	for _, u := range status.GetUpstreams() {
		if u.GetOwner() != "" {
			owned++
		}
	}
	for _, g := range status.GetGroups() {
		if g.GetDatabase() == database && g.GetPrimary() != "" && owned == devUpstreams {
			return nil
		}
	}
	return &fault.NotRun{Reason: fault.ReasonNoUpstream, Detail: "no primary is known yet"}
}
