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
	// proxiesPerDatabase gives each proxy the same number of owned upstreams at
	// each size, the number that the capacity page assumes.
	proxiesPerDatabase = 3
)

// BenchmarkControlCost measures the cost of control traffic at several sizes
// of an idle site: the bytes that a proxy exchanges with control hosts, the
// processor time of proxies (including the status polls of owned upstreams)
// and of the control leader, and the memory of both. Run it with
// -benchtime=1x.
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
	time.Sleep(idleTime) // excludes the start: first leases, members and garbage collection
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

// usage is the processor time of a process since its start, its resident
// memory in bytes, and for proxies the bytes exchanged with control hosts.
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
	// The command name, the second field of the line, may contain spaces, so
	// fields begins with the third. Of the line, utime and stime are fields 14
	// and 15, and the resident pages are field 24.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, system, pages := parseNumber(fields[11]), parseNumber(fields[12]), parseNumber(fields[21])
	return usage{cpu: time.Duration(user+system) * clockTick, memory: pages * float64(os.Getpagesize())}
}

func parseNumber(text string) float64 {
	n, _ := strconv.ParseFloat(text, 64)
	return n
}

// metric returns a counter of a proxy, summed over its labels.
func (s *site) metric(proxy int, name string) float64 {
	s.t.Helper()
	response, err := http.Get("http://" + s.metricsAddresses[proxy] + "/metrics")
	assert.NilError(s.t, err)
	defer response.Body.Close()
	total := 0.0
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		labelled, value, _ := strings.Cut(lines.Text(), " ")
		if plain, _, _ := strings.Cut(labelled, "{"); plain == name {
			total += parseNumber(value)
		}
	}
	return total
}
