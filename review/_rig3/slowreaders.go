package main

import (
	"bytes"
	"fmt"
	"maps"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// entryMemoryMB is memory_mb of an entry machine of tahimik-pool, taken as MiB, the
	// larger of the two readings.
	entryMemoryMB = 206
	// The answer to a read of the report has reportRows rows of reportRowBytes, each in a
	// message shorter than 1 MiB.
	reportRows     = 10
	reportRowBytes = 1000000
	// reportReaders is how many clients read the report through one proxy. Each begins
	// readerInterval after the one before, so that the proxy's link carries 400 Mbit/s.
	reportReaders  = 20
	readerInterval = 200 * time.Millisecond
	// A slow client reads up to slowReadBytes each slowReadInterval, 1.3 Mbit/s, and has a
	// small receive buffer. It gives up after slowReadTime.
	slowReadBytes    = 8 << 10
	slowReadInterval = 50 * time.Millisecond
	slowBufferBytes  = 32 << 10
	slowReadTime     = 8 * time.Second
	// readRounds is how often the clients read through each proxy.
	readRounds = 3
	// restartDelay is the time until the platform starts a process again.
	restartDelay   = 300 * time.Millisecond
	memoryInterval = 10 * time.Millisecond
)

// slowReaders plays clients that read a report of some megabytes, through one proxy after
// the other, and are slow to take the answer. Without the disruption they read the same as
// fast as it comes. The platform kills a process that uses more memory than its settings
// say, and starts it again. The rule is broken if two machines end three times.
func slowReaders(program string, trouble bool, rec *recorder) (bool, error) {
	zones[controlWord], zones["proxy"] = "a1", "a1"
	g, s, _, err := startLedgerWith(program, rec, func(s *site) { s.proxyMemoryMB = entryMemoryMB })
	if err != nil {
		return false, err
	}
	defer s.stop()
	report := make([]string, reportRows)
	for i := range report {
		report[i] = strings.Repeat("x", reportRowBytes)
	}
	g.mu.Lock()
	g.rows = func(item string) []string {
		if item == "report" {
			return report
		}
		return nil
	}
	g.mu.Unlock()
	f := &filings{site: s, rec: rec, pause: 100 * time.Millisecond, acked: map[string]bool{}}
	if err := f.awaitService(); err != nil {
		return false, err
	}
	m := &memoryLimit{site: s, stopped: make(chan struct{}), kills: map[string]int{}}
	for _, p := range s.proxies {
		m.watching.Add(1)
		go m.watch(p)
	}
	time.Sleep(time.Second)
	for round := range readRounds {
		for _, p := range s.proxies {
			readReports(p, round, trouble, rec)
			time.Sleep(time.Second)
		}
	}
	close(m.stopped)
	m.watching.Wait()
	thrice := 0
	for _, n := range m.kills {
		if n >= 3 {
			thrice++
		}
	}
	result := fmt.Sprintf("ends of processes over their memory: %v; highest use that was seen: %d MB", m.kills, m.highest)
	rec.add("%s", result)
	fmt.Println(result)
	return thrice >= 2, nil
}

// readReports lets clients read the report through a proxy.
func readReports(p *process, round int, slow bool, rec *recorder) {
	var readers sync.WaitGroup
	for n := range reportReaders {
		readers.Add(1)
		go func() {
			defer readers.Done()
			time.Sleep(time.Duration(n) * readerInterval)
			begun := time.Now()
			got, err := readReport(p, slow)
			rec.add("round %d, client %d on %s: READ report: %d bytes read in %v, %v", round+1, n, p.name(), got, time.Since(begun).Round(time.Millisecond), err)
		}()
	}
	readers.Wait()
}

// readReport reads the report through a proxy, and returns the bytes of the answer that it
// has taken.
func readReport(p *process, slow bool) (taken int, err error) {
	c, err := dialClient(p.front(), "timeline-ledger")
	if err != nil {
		return 0, err
	}
	defer c.conn.Close()
	if slow {
		_ = c.conn.(*net.TCPConn).SetReadBuffer(slowBufferBytes)
	}
	_ = c.conn.SetDeadline(time.Now().Add(slowReadTime))
	if _, err := fmt.Fprintf(c.conn, "QUERY %016x READ report\r\n", 0x5c0e7a2100000000+requestCount.Add(1)); err != nil {
		return 0, err
	}
	buffer := make([]byte, slowReadBytes)
	var end []byte
	for {
		n, err := c.conn.Read(buffer)
		taken += n
		if err != nil {
			return taken, err
		}
		// The answer ends with a READY line; no row contains the word.
		end = append(end, buffer[:n]...)
		if bytes.Contains(end, []byte("READY")) {
			return taken, nil
		}
		end = append(end[:0], end[max(0, len(end)-len("READY")):]...)
		if slow {
			time.Sleep(slowReadInterval)
		}
	}
}

// memoryLimit is the part of the platform that kills a process which uses more memory than
// its settings say.
type memoryLimit struct {
	site     *site
	stopped  chan struct{}
	watching sync.WaitGroup

	mu      sync.Mutex
	kills   map[string]int
	highest int
}

func (m *memoryLimit) watch(p *process) {
	defer m.watching.Done()
	for {
		select {
		case <-m.stopped:
			return
		case <-time.After(memoryInterval):
		}
		used := p.memoryMB()
		m.mu.Lock()
		m.highest = max(m.highest, used)
		m.mu.Unlock()
		if used <= m.site.proxyMemoryMB {
			continue
		}
		p.signal(syscall.SIGKILL)
		<-p.exited
		m.mu.Lock()
		m.kills[p.name()]++
		kills := maps.Clone(m.kills)
		m.mu.Unlock()
		m.site.rec.add("%s used %d MB of %d and is killed; so far: %v", p.name(), used, m.site.proxyMemoryMB, kills)
		time.Sleep(restartDelay)
		if err := p.start(false); err != nil {
			m.site.rec.add("%s doesn't start: %v", p.name(), err)
			return
		}
	}
}

// memoryMB returns the memory that a process uses, in MiB, 0 if it has ended.
func (p *process) memoryMB() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		var kilobytes int
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kilobytes); err == nil {
			return kilobytes / 1024
		}
	}
	return 0
}
