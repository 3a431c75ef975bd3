package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// deployment is a small deployment on loopback addresses: control hosts, proxies and the
// platform that starts them. Each machine has an address of its own; ports are the same
// on all of them.
type deployment struct {
	program string // lovageslip-site
	folder  string // temporary, for settings, logs and data
	record  *record

	block                                      string // first three numbers of the addresses
	controlPort, frontPort, readyPort, midPort int
	platformPort                               int

	// drain is the bound drain_ms as the platform writes it into settings files.
	drain json.RawMessage

	mu    sync.Mutex
	hosts []*host
}

type host struct {
	name, role, ip, dataDir string
	command                 *exec.Cmd
	ended                   chan struct{}
}

// newDeployment finds a block of loopback addresses and ports that are free.
func newDeployment(program, folder string, r *record) (*deployment, error) {
	d := &deployment{program: program, folder: folder, record: r, drain: json.RawMessage(fmt.Sprint(drainMs))}
	for try := 0; try < 50; try++ {
		d.block = fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+try)%200, 1+(os.Getpid()/200+try)%250)
		base := 20000 + (os.Getpid()*37+try*113)%20000
		d.controlPort, d.frontPort, d.readyPort, d.midPort, d.platformPort = base, base+1, base+2, base+3, base+40
		if d.free() {
			return d, nil
		}
	}
	return nil, fmt.Errorf("no free block of loopback addresses")
}

func (d *deployment) free() bool {
	for _, last := range []int{1, 2, 60, 100, 200} {
		for _, port := range []int{d.controlPort, d.frontPort, d.readyPort, d.midPort, d.platformPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", d.block, last, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (d *deployment) ip(last int) string { return fmt.Sprintf("%s.%d", d.block, last) }

func (d *deployment) control(last int) string {
	return net.JoinHostPort(d.ip(last), fmt.Sprint(d.controlPort))
}

func (d *deployment) platform() string {
	return net.JoinHostPort(d.ip(200), fmt.Sprint(d.platformPort))
}

// start starts a role on the machine with an address, with the command of the deploy file
// and settings as the users' pages show them. seeds are last numbers of addresses.
func (d *deployment) start(role string, last int, seeds []int, bootstrap bool) (*host, error) {
	h := &host{name: fmt.Sprintf("%s-%d", role, last), role: role, ip: d.ip(last), ended: make(chan struct{})}
	zones := []string{"zone-a", "zone-b", "zone-c"}
	s := map[string]any{
		"node_name": h.name, "role": role, "ip": h.ip, "zone": zones[last%3], "region": "region-a",
		"zones":               map[string]string{"zone-a": "region-a", "zone-b": "region-a", "zone-c": "region-a"},
		"internal_port_range": []int{d.midPort, d.midPort + 15},
		"bootstrap":           bootstrap, "counts_as_loss": role == "control",
		"discovery": "registry", "entry": "vip", "heartbeat_ms": heartbeatMs, "config_mode": "highest",
		"invariants":      []string{"base", "drain", "config", "cost", "recover", "sql"},
		"fault_tolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{"seed_lag_s": 3, "addr_reuse_s": 2, "stability_window_ms": 5000, "ack_ms": 6000, "catch_up_s": 4,
			"drain_ms": d.drain, "grace_s": 6, "lost_ms": 200, "config_apply_ms": 4000, "rollback_slack_ms": 250, "outer_ms": 15000,
			"recovery_s": 12, "enforce_fencing": true, "thaw_ms": 300},
		"cloud": map[string]any{"address": d.platform(), "rate_per_s": 50.0, "duties": []string{"failover"}, "duty_per_s": 50.0},
	}
	var addresses []string
	for _, seed := range seeds {
		addresses = append(addresses, d.control(seed))
	}
	s["seeds"] = addresses
	if role == "control" {
		h.dataDir = filepath.Join(d.folder, h.name+"-data")
		if err := os.MkdirAll(h.dataDir, 0o700); err != nil {
			return nil, err
		}
		s["machine_class"], s["serves"], s["data_dir"] = "core", []string{"control"}, h.dataDir
		s["limits"] = map[string]any{"cpu_share": 0.96, "cpu_cores": 1, "memory_mb": 280, "max_fds": 4096, "link_mbps": 1000.0, "disk_mb": 128}
		s["listen"] = map[string]string{"control": d.control(last)}
	} else {
		s["machine_class"], s["serves"], s["data_dir"] = "front", []string{"front"}, nil
		s["limits"] = map[string]any{"cpu_share": 0.272, "cpu_cores": 1, "memory_mb": proxyMemoryMB, "max_fds": 3010, "link_mbps": 700.0, "disk_mb": 0}
		s["listen"] = map[string]string{"front": d.front(last), "ready": net.JoinHostPort(h.ip, fmt.Sprint(d.readyPort))}
	}
	data, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	settings := filepath.Join(d.folder, h.name+".json")
	if err := os.WriteFile(settings, data, 0o600); err != nil {
		return nil, err
	}
	out, err := os.OpenFile(filepath.Join(d.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	h.command = exec.Command(d.program, role)
	h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LOVAGESLIP_SETTINGS=" + settings}
	h.command.Stdout, h.command.Stderr = out, out
	if err := h.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = h.command.Wait()
		close(h.ended)
	}()
	d.mu.Lock()
	d.hosts = append(d.hosts, h)
	d.mu.Unlock()
	d.record.add("%s starts, bootstrap %v, seeds %v", h.name, bootstrap, seeds)
	return h, nil
}

func (d *deployment) front(last int) string {
	return net.JoinHostPort(d.ip(last), fmt.Sprint(d.frontPort))
}

// terminate sends SIGTERM, as the platform does to stop a process, and SIGKILL after the
// grace time.
func (h *host) terminate() {
	_ = h.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-h.ended:
	case <-time.After(6 * time.Second):
		h.kill()
	}
}

// memoryMB returns the memory that a process uses, 0 if it has ended.
func (h *host) memoryMB() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.command.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(status), "\n") {
		var kilobytes int
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kilobytes); err == nil {
			return kilobytes / 1000
		}
	}
	return 0
}

// runsFor waits for a process up to a time, and returns its exit code if it has ended.
func (h *host) runsFor(wait time.Duration) (exitCode int, runs bool) {
	select {
	case <-h.ended:
		return h.command.ProcessState.ExitCode(), false
	case <-time.After(wait):
		return 0, true
	}
}

// kill sends SIGKILL to a process and waits for its end.
func (h *host) kill() {
	_ = h.command.Process.Signal(syscall.SIGKILL)
	<-h.ended
}

// stop ends all processes.
func (d *deployment) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range d.hosts {
		h.kill()
	}
}

// record is what record.txt holds.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func (r *record) since() time.Duration { return time.Since(r.begun) }

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", r.since().Seconds(), fmt.Sprintf(format, args...))
}
