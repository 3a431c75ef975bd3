// Command rig plays the cases of this review that are scripts. It starts the project's
// own programs as processes on loopback addresses, with stand-ins for the clients, the
// servers, the operator and the platform, and ends all of them. It exits with 1 if the
// rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	what   string
}

type testCase struct {
	network, controls, proxies, sync int
	play                             func(d *deployment, g *service, trouble bool) (verdict, error)
}

// maxDuration bounds a case.
const maxDuration = 115 * time.Second

const serviceName = "huvo11a"

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE PROGRAM FOLDER")
		os.Exit(2)
	}
	c, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(2)
	}
	file, err := os.Create(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	r := &record{file: file, begun: time.Now()}
	// The processes end with this one.
	time.AfterFunc(maxDuration, func() {
		r.printf("the case could not run: it takes longer than %v", maxDuration)
		os.Exit(2)
	})
	v, err := run(r, c, os.Args[2])
	switch {
	case err != nil:
		r.printf("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(2)
	case v.broken:
		r.printf("broken: %s", v.what)
		fmt.Println("broken:", v.what)
		os.Exit(1)
	default:
		r.printf("held: %s", v.what)
		fmt.Println("held:", v.what)
	}
}

func run(r *record, c testCase, program string) (verdict, error) {
	dir, err := os.MkdirTemp("", "lovageslip-review-")
	if err != nil {
		return verdict{}, err
	}
	var d *deployment
	g, err := newService(r, serviceName, 3, c.sync, func() []string { return d.controlAddresses() })
	if err != nil {
		return verdict{}, err
	}
	defer g.stop()
	platform, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return verdict{}, err
	}
	defer platform.Close()
	go http.Serve(platform, g)
	d = newDeployment(r, program, dir, siteOptions{
		controls: c.controls, proxies: c.proxies, network: c.network, cloud: platform.Addr().String(),
	})
	defer d.stopAll()
	if err := d.startAll(); err != nil {
		return verdict{}, err
	}
	if err := d.putConfig(config(1, c.sync), 20*time.Second); err != nil {
		return verdict{}, err
	}
	g.startHeartbeats()
	if err := d.awaitReady(20 * time.Second); err != nil {
		return verdict{}, err
	}
	if err := awaitService(r, d); err != nil {
		return verdict{}, err
	}
	return c.play(d, g, os.Getenv("TROUBLE") != "0")
}

// Databases of the routes.
const (
	databasePrimary = "lepu270"
	databaseBounded = "xapu221ny95"
	databaseOwn     = "fiti832ti23"
)

// config returns a configuration as PROTOCOL.md shows it, with one service.
func config(version, sync int) map[string]any {
	route := func(name, host, kind string, target, timeout, staleness int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": "/", "type": kind, "timeout_ms": timeout, "target_latency_ms": target,
			"priority": 1, "service": serviceName, "max_attempts": 2, "max_staleness_ms": staleness,
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("r-n2ctnfz", databasePrimary, "primary", 800, 1000, 0),
			route("r-nfqasnm", databaseBounded, "bounded_staleness", 1200, 3000, 1500),
			route("r-68k7b2e", databaseOwn, "read_your_writes", 1500, 1000, 2500),
		},
		"services": []any{map[string]any{
			"name": serviceName, "health_path": "/health", "max_conns": 71, "protocol": "h1", "tls": false, "sync_replicas": sync,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tx_idle_ms": 3000},
	}
}

// awaitService waits until a write is served through each proxy.
func awaitService(r *record, d *deployment) error {
	deadline := time.Now().Add(20 * time.Second)
	for _, p := range d.proxies {
		for served := false; !served; {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s serves no write", p.name)
			}
			s, err := openSession(r, "first", d.address(p, frontPort), databasePrimary)
			if err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
			a, err := s.query("WRITE first first-" + p.name)
			served = err == nil && a.err == ""
			s.close()
		}
	}
	return nil
}
