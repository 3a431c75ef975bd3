package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// record is the file in which a case keeps what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// process is a process of the project, on a loopback address of its own.
type process struct {
	name, role, ip string
	dir, settings  string
	cmd            *exec.Cmd
	ended          chan struct{}
}

// siteOptions are the parts of a deployment in which the cases differ.
type siteOptions struct {
	controls, proxies int
	network           int // second byte of the loopback addresses
	cloud             string
}

// deployment runs control hosts and proxies with the commands of the deploy file.
type deployment struct {
	record   *record
	dir      string
	program  string
	port     int // of the control address; the others follow it
	options  siteOptions
	controls []*process
	proxies  []*process
}

const (
	// Ports relative to deployment.port.
	controlPort = 0
	frontPort   = 1
	readyPort   = 2
	// internalPort is the first of 16 ports for the processes' own use.
	internalPort = 3

	graceSeconds = 6
	drainMs      = 7000
)

func newDeployment(r *record, program, dir string, o siteOptions) *deployment {
	d := &deployment{record: r, dir: dir, program: program, port: freePorts(), options: o}
	for i := range o.controls {
		d.controls = append(d.controls, &process{name: fmt.Sprintf("core-%d", i+1), role: "control", ip: d.ip(1, i+1)})
	}
	for i := range o.proxies {
		d.proxies = append(d.proxies, &process{name: fmt.Sprintf("front-%d", i+1), role: "proxy", ip: d.ip(2, i+1)})
	}
	return d
}

func (d *deployment) ip(class, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", d.options.network, class, n)
}

// freePorts returns the first of 20 ports that are free on loopback.
func freePorts() int {
	for {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			continue
		}
		port := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		if port < 60000 {
			return port
		}
	}
}

func (d *deployment) address(p *process, offset int) string {
	return fmt.Sprintf("%s:%d", p.ip, d.port+offset)
}

// controlAddresses lists the control addresses, as the operator and servers know them.
func (d *deployment) controlAddresses() []string {
	var list []string
	for _, p := range d.controls {
		list = append(list, d.address(p, controlPort))
	}
	return list
}

// writeSettings writes a settings file as DEPLOY.md shows it.
func (d *deployment) writeSettings(p *process, bootstrap bool) error {
	p.dir = filepath.Join(d.dir, p.name)
	if err := os.MkdirAll(p.dir, 0o755); err != nil {
		return err
	}
	zones := []string{"luzon-qc", "visayas-ceb", "mindanao-dvo"}
	zone := zones[int(p.name[len(p.name)-1]-'1')%len(zones)]
	settings := map[string]any{
		"node_name": p.name, "role": p.role, "ip": p.ip, "zone": zone, "region": zone[:5],
		"zones":               map[string]string{"luzon-qc": "luzon", "visayas-ceb": "visayas", "mindanao-dvo": "mindanao"},
		"internal_port_range": []int{d.port + internalPort, d.port + internalPort + 15},
		"seeds":               d.controlAddresses()[:min(3, len(d.controls))],
		"bootstrap":           bootstrap, "data_dir": nil,
		"discovery": "registry", "entry": "vip", "heartbeat_ms": 1200, "config_mode": "highest",
		"invariants":      []string{"base", "drain", "config", "cost", "recover", "sql"},
		"fault_tolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "addr_reuse_s": 2, "stability_window_ms": 5000, "ack_ms": 6000, "catch_up_s": 4,
			"drain_ms": drainMs, "grace_s": graceSeconds, "lost_ms": 200, "config_apply_ms": 4000,
			"rollback_slack_ms": 250, "outer_ms": 15000, "recovery_s": 12, "enforce_fencing": true, "thaw_ms": 300,
		},
		"cloud": map[string]any{"address": d.options.cloud, "rate_per_s": 50.0, "duties": []string{"failover"}, "duty_per_s": 50.0},
	}
	if p.role == "control" {
		settings["machine_class"], settings["serves"], settings["counts_as_loss"] = "core", []string{"control"}, true
		settings["listen"] = map[string]string{"control": d.address(p, controlPort)}
		settings["data_dir"] = filepath.Join(p.dir, "data")
		settings["limits"] = map[string]any{"cpu_share": 0.96, "cpu_cores": 1, "memory_mb": 280, "max_fds": 4096, "link_mbps": 1000.0, "disk_mb": 128}
	} else {
		settings["machine_class"], settings["serves"], settings["counts_as_loss"] = "front", []string{"front"}, false
		settings["listen"] = map[string]string{"front": d.address(p, frontPort), "ready": d.address(p, readyPort)}
		settings["limits"] = map[string]any{"cpu_share": 0.272, "cpu_cores": 1, "memory_mb": 206, "max_fds": 3010, "link_mbps": 700.0, "disk_mb": 0}
	}
	body, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	p.settings = filepath.Join(p.dir, "node.json")
	return os.WriteFile(p.settings, body, 0o644)
}

// start runs a process as the deploy file does: "target/lovageslip-site ROLE".
func (d *deployment) start(p *process, bootstrap bool) error {
	if err := d.writeSettings(p, bootstrap); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	p.cmd = exec.Command(d.program, p.role)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LOVAGESLIP_SETTINGS=" + p.settings}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.ended = make(chan struct{})
	cmd, ended := p.cmd, p.ended
	go func() { _ = cmd.Wait(); close(ended) }()
	d.record.printf("process %s starts", p.name)
	return nil
}

func (d *deployment) startAll() error {
	for _, p := range append(append([]*process{}, d.controls...), d.proxies...) {
		if err := d.start(p, true); err != nil {
			return err
		}
	}
	return nil
}

// signal sends a signal to a process that this deployment started.
func (d *deployment) signal(p *process, s syscall.Signal) {
	d.record.printf("process %s gets %v", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// stopAll ends all processes and removes their folders.
func (d *deployment) stopAll() {
	for _, p := range append(append([]*process{}, d.controls...), d.proxies...) {
		if p.cmd != nil {
			_ = p.cmd.Process.Kill()
			<-p.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	}
}

var httpClient = &http.Client{Timeout: time.Second}

// call sends a request to a control address and returns the status and the body.
func call(method, address, path string, body []byte) (int, []byte, error) {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := httpClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}

// putConfig sends a configuration as the operator does, to one node after the other
// until one acknowledges it.
func (d *deployment) putConfig(config map[string]any, within time.Duration) error {
	body, err := json.Marshal(config)
	if err != nil {
		return err
	}
	d.record.printf("operator sends configuration %v: %s", config["version"], body)
	deadline := time.Now().Add(within)
	for i := 0; time.Now().Before(deadline); i++ {
		address := d.controlAddresses()[i%len(d.controls)]
		status, _, err := call(http.MethodPut, address, "/-/config", body)
		if err == nil && status == http.StatusOK {
			d.record.printf("configuration %v is acknowledged", config["version"])
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("configuration %v was not acknowledged", config["version"])
}

// awaitReady waits until all proxies answer their ready probe with 200.
func (d *deployment) awaitReady(within time.Duration) error {
	deadline := time.Now().Add(within)
	for _, p := range d.proxies {
		for {
			status, _, err := call(http.MethodGet, d.address(p, readyPort), "/-/readiness", nil)
			if err == nil && status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", p.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
