package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// recorder writes what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	begun time.Time
	out   *bufio.Writer
	file  *os.File
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{begun: time.Now(), out: bufio.NewWriter(f), file: f}, nil
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// site is a small deployment: control hosts and proxies as processes of their own.
type site struct {
	program  string
	dir      string
	network  int
	port     int
	lost     int // fault_tolerance.machines
	platform string
	// proxyMemoryMB is memory_mb of the proxies.
	proxyMemoryMB int
	rec           *recorder
	controls      []*process
	proxies       []*process
	mu            sync.Mutex
	stopped       bool
}

type process struct {
	site     *site
	role     string
	ip, zone string
	dir      string
	cmd      *exec.Cmd
	exited   chan struct{}
}

// started is the site of this run; nil before it has one.
var started atomic.Pointer[site]

// defaultMemoryMB is memory_mb of a control host, and of a proxy unless a case says otherwise.
const defaultMemoryMB = 280

// newSite returns a site whose processes have loopback addresses of their own.
func newSite(program string, rec *recorder, platform string) (*site, error) {
	dir, err := os.MkdirTemp("", "review-rig-3-")
	if err != nil {
		return nil, err
	}
	s := &site{program: program, dir: dir, network: 50 + os.Getpid()%150, lost: 1, platform: platform, proxyMemoryMB: defaultMemoryMB, rec: rec}
	for tries := 0; tries < 100; tries++ {
		port := 12000 + (os.Getpid()*37+tries*101)%8000
		if s.portsFree(port) {
			s.port = port
			started.Store(s)
			return s, nil
		}
	}
	return nil, fmt.Errorf("no free ports")
}

func (s *site) portsFree(port int) bool {
	for p := port; p < port+12; p++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.10:%d", s.network, p))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func (s *site) addProcess(role, zone string, number int) *process {
	p := &process{site: s, role: role, zone: zone, ip: fmt.Sprintf("127.0.%d.%d", s.network, number)}
	p.dir = filepath.Join(s.dir, p.ip)
	if role == "control" {
		s.controls = append(s.controls, p)
	} else {
		s.proxies = append(s.proxies, p)
	}
	return p
}

func (s *site) controlAddresses() []string {
	var list []string
	for _, c := range s.controls {
		list = append(list, fmt.Sprintf("%s:%d", c.ip, s.port+2))
	}
	return list
}

func (p *process) front() string { return fmt.Sprintf("%s:%d", p.ip, p.site.port) }

func (p *process) name() string { return p.role + "-" + p.ip }

func (p *process) start(first bool) error {
	s := p.site
	if err := os.MkdirAll(filepath.Join(p.dir, "data"), 0o755); err != nil {
		return err
	}
	listen := map[string]string{"front": p.front(), "ready": fmt.Sprintf("%s:%d", p.ip, s.port+1)}
	class, serves, dataDir := "front", "front", any(nil)
	memoryMB := s.proxyMemoryMB
	if p.role == "control" {
		listen = map[string]string{"control": fmt.Sprintf("%s:%d", p.ip, s.port+2)}
		class, serves, dataDir = "core", "control", filepath.Join(p.dir, "data")
		memoryMB = defaultMemoryMB
	}
	seeds := s.controlAddresses()
	settings, err := json.Marshal(map[string]any{
		"node_name": p.name(), "role": p.role, "machine_class": class, "serves": []string{serves}, "ip": p.ip, "zone": p.zone, "region": region(p.zone),
		"zones": map[string]string{"a1": "a", "b1": "b", "b2": "b"}, "listen": listen, "internal_port_range": []int{s.port + 3, s.port + 11},
		"seeds": seeds[:min(3, len(seeds))], "bootstrap": first, "counts_as_loss": p.role == "control",
		"limits":   map[string]any{"cpu_share": 0.96, "cpu_cores": 1, "memory_mb": memoryMB, "max_fds": 4096, "link_mbps": 1000.0, "disk_mb": 128},
		"data_dir": dataDir, "discovery": "registry", "entry": "vip", "heartbeat_ms": 1200, "invariants": []string{"base", "drain", "config", "cost", "recover", "sql"},
		"fault_tolerance": map[string]int{"machines": s.lost, "zones": 0, "regions": 0},
		"bounds": map[string]any{"seed_lag_s": 3, "addr_reuse_s": 2, "stability_window_ms": 5000, "ack_ms": 6000, "catch_up_s": 4, "drain_ms": 7000,
			"grace_s": 6, "lost_ms": 200, "config_apply_ms": 4000, "rollback_slack_ms": 250, "outer_ms": 15000, "recovery_s": 12, "enforce_fencing": true, "thaw_ms": 300},
		"config_mode": "highest",
		"cloud":       map[string]any{"address": s.platform, "rate_per_s": 50.0, "duties": []string{"failover"}, "duty_per_s": 50.0},
	})
	if err != nil {
		return err
	}
	path := filepath.Join(p.dir, "settings.json")
	if err := os.WriteFile(path, settings, 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	p.cmd = exec.Command(s.program, p.role)
	p.cmd.Env = append(os.Environ(), "LOVAGESLIP_SETTINGS="+path)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// The process ends with this one, however that ends.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	s.rec.add("%s starts, process %d", p.name(), p.cmd.Process.Pid)
	cmd, exited := p.cmd, make(chan struct{})
	p.exited = exited
	go func() {
		err := cmd.Wait()
		s.mu.Lock()
		stopped := s.stopped
		s.mu.Unlock()
		if !stopped {
			s.rec.add("%s ends: %v", p.name(), err)
		}
		close(exited)
	}()
	return nil
}

func (p *process) signal(signal syscall.Signal) { _ = p.cmd.Process.Signal(signal) }

// stop ends all processes and removes the folder.
func (s *site) stop() {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	for _, p := range append(append([]*process(nil), s.controls...), s.proxies...) {
		if p.cmd == nil {
			continue
		}
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs in", s.dir)
		return
	}
	_ = os.RemoveAll(s.dir)
}

// route is one route of a configuration.
func route(database, kind, service string) map[string]any {
	return map[string]any{"name": "r-" + database, "host": database, "path_prefix": "/", "type": kind, "timeout_ms": 1000, "target_latency_ms": 800,
		"priority": 1, "service": service, "max_attempts": 2, "max_staleness_ms": 1500}
}

var apiClient = &http.Client{Timeout: time.Second}

// putConfig sends a configuration to one control host after the other until one
// acknowledges it.
func (s *site) putConfig(version int, routes []map[string]any, services []map[string]any) error {
	document, err := json.Marshal(map[string]any{"version": version, "routes": routes, "services": services,
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tx_idle_ms": 3000}})
	if err != nil {
		return err
	}
	for begun := time.Now(); time.Since(begun) < 20*time.Second; time.Sleep(100 * time.Millisecond) {
		for _, address := range s.controlAddresses() {
			request, err := http.NewRequest(http.MethodPut, "http://"+address+"/-/config", bytes.NewReader(document))
			if err != nil {
				return err
			}
			request.Header.Set("Content-Type", "application/json")
			response, err := apiClient.Do(request)
			if err != nil {
				continue
			}
			body, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				s.rec.add("operator: version %d acknowledged by %s", version, address)
				return nil
			}
			if response.StatusCode/100 == 4 {
				return fmt.Errorf("configuration refused: %s", body)
			}
		}
	}
	return fmt.Errorf("configuration not acknowledged")
}

var requestCount atomic.Int64

// client is a session of a client.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dialClient(address, database string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, reader: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(conn, "STARTUP %s reviewer\r\n", database); err != nil {
		_ = conn.Close()
		return nil, err
	}
	line, err := c.reader.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY") {
		_ = conn.Close()
		return nil, fmt.Errorf("session refused: %q %v", line, err)
	}
	return c, nil
}

type answer struct{ row, signature, code string }

func (c *client) query(text string) (answer, error) {
	_, a, err := c.queryWithID(text)
	return a, err
}

// queryWithID also returns the id of the query.
func (c *client) queryWithID(text string) (id string, a answer, err error) {
	id = fmt.Sprintf("%016x", 0x5c0e7a2100000000+requestCount.Add(1))
	_ = c.conn.SetDeadline(time.Now().Add(12 * time.Second))
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return id, a, err
	}
	for {
		line, err := c.reader.ReadString('\n')
		if err != nil {
			return id, a, err
		}
		word, rest := cut(strings.TrimSuffix(line, "\r\n"))
		switch word {
		case "DATAROW":
			a.row = rest
		case "COMPLETE":
			a.signature = rest
		case "ERROR":
			a.code, _ = cut(rest)
		case "READY":
			return id, a, nil
		}
	}
}
