package integration

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// idleTime is long enough for 20 heartbeats and 50 status polls.
	idleTime = 10 * time.Second
	// clockTick is the unit of processor time in /proc.
	clockTick = 10 * time.Millisecond
	// proxiesPerDatabase keeps the number of owned upstreams per proxy the
	// same at each size, as at the size that the capacity page is for.
	proxiesPerDatabase = 3
)

// BenchmarkControlCost measures what idle proxies and control hosts spend on
// control at several sizes: bytes that a proxy exchanges with control hosts,
// processor time (which includes the status polls of owned upstreams) and
// memory. Run it with -benchtime=1x.
func BenchmarkControlCost(b *testing.B) {
	for _, proxies := range []int{6, 12, 24, 48} {
		b.Run(fmt.Sprintf("proxies=%d", proxies), func(b *testing.B) {
			for range b.N {
				measureControlCost(b, proxies)
			}
		})
	}
}

func measureControlCost(b *testing.B, proxies int) {
	var databases []string
	for i := range proxies / proxiesPerDatabase {
		databases = append(databases, fmt.Sprintf("db%d", i+1))
	}
	s := startSite(b, siteOptions{controls: 3, proxies: proxies, databases: databases})
	time.Sleep(idleTime) // the start is over: leases, members and garbage collection
	before := s.usages()
	start := time.Now()
	time.Sleep(idleTime)
	elapsed := time.Since(start)
	after := s.usages()

	var cpu, bytes, memory float64
	for i := range s.proxies {
		cpu += (after.proxies[i].cpu - before.proxies[i].cpu).Seconds()
		bytes += after.proxies[i].controlBytes - before.proxies[i].controlBytes
		memory += after.proxies[i].memory
	}
	n := float64(proxies)
	b.ReportMetric(100*cpu/n/elapsed.Seconds(), "proxy-cpu-%")
	b.ReportMetric(bytes/n/elapsed.Seconds(), "proxy-control-B/s")
	b.ReportMetric(memory/n/(1<<20), "proxy-MiB")
	var leader usage
	for i := range s.controls {
		spent := after.controls[i].cpu - before.controls[i].cpu
		if spent > leader.cpu {
			leader = usage{cpu: spent, memory: after.controls[i].memory}
		}
	}
	b.ReportMetric(100*leader.cpu.Seconds()/elapsed.Seconds(), "leader-cpu-%")
	b.ReportMetric(leader.memory/(1<<20), "leader-MiB")
}

// usage is what a process has spent so far, and its resident memory in bytes.
type usage struct {
	cpu          time.Duration
	memory       float64
	controlBytes float64
}

type usages struct {
	proxies, controls []usage
}

func (s *site) usages() usages {
	var all usages
	for i, p := range s.proxies {
		u := p.usage()
		u.controlBytes = s.metric(i, "lovageslip_control_sent_bytes_total") + s.metric(i, "lovageslip_control_received_bytes_total")
		all.proxies = append(all.proxies, u)
	}
	for _, p := range s.controls {
		all.controls = append(all.controls, p.usage())
	}
	return all
}

func (p *process) usage() usage {
	p.t.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	assert.NilError(p.t, err)
	// The fields after the command name; utime and stime are the 14th and
	// 15th of the line, resident pages the 24th.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, system, pages := number(fields[11]), number(fields[12]), number(fields[21])
	return usage{cpu: time.Duration(user+system) * clockTick, memory: pages * float64(os.Getpagesize())}
}

func number(text string) float64 {
	n, _ := strconv.ParseFloat(text, 64)
	return n
}

// metric returns the sum of a counter over its labels.
func (s *site) metric(proxy int, name string) float64 {
	s.t.Helper()
	response, err := http.Get("http://" + s.metrics[proxy] + "/metrics")
	assert.NilError(s.t, err)
	defer response.Body.Close()
	total := 0.0
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		labelled, value, _ := strings.Cut(lines.Text(), " ")
		if plain, _, _ := strings.Cut(labelled, "{"); plain == name {
			total += number(value)
		}
	}
	return total
}
