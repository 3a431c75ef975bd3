package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// clients send single statements to proxies, each on a session of its own.
type clients struct {
	deployment *deployment
	stop       chan struct{}
	done       sync.WaitGroup
	requests   atomic.Int64

	mu      sync.Mutex
	written map[string]bool // acknowledged writes, by request
	unknown []string        // writes that were answered with INDOUBT
	counts  map[string]int  // answers by their code
}

func newClients(d *deployment) *clients {
	return &clients{deployment: d, stop: make(chan struct{}), written: map[string]bool{}, counts: map[string]int{}}
}

// run starts count clients that write and read in turn at an interval, through the proxies.
func (c *clients) run(count int, proxies []int, interval time.Duration) {
	for i := range count {
		c.done.Add(1)
		go func() {
			defer c.done.Done()
			for n := 0; ; n++ {
				c.session(i, proxies[(i+n)%len(proxies)], interval)
				select {
				case <-c.stop:
					return
				case <-time.After(200 * time.Millisecond):
				}
			}
		}()
	}
}

func (c *clients) end() {
	close(c.stop)
	c.done.Wait()
}

func (c *clients) count(code string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[code]++
}

// session opens a session and sends statements until it breaks.
func (c *clients) session(client, proxy int, interval time.Duration) {
	conn, err := net.DialTimeout("tcp", c.deployment.front(proxy), time.Second)
	if err != nil {
		c.count("no connection")
		return
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	_, _ = fmt.Fprintf(conn, "STARTUP %s u%d\r\n", database, client)
	line, err := in.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY") {
		c.count("session refused: " + code(line, err))
		return
	}
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(interval):
		}
		n := c.requests.Add(1)
		request := fmt.Sprintf("%08x%04x", n, client)
		if !c.statement(conn, in, request, n%2 == 0, client) {
			return
		}
	}
}

func (c *clients) statement(conn net.Conn, in *bufio.Reader, request string, write bool, client int) bool {
	text := fmt.Sprintf("READ k%d", client)
	if write {
		text = fmt.Sprintf("WRITE k%d d%s", client, request)
	}
	_ = conn.SetDeadline(time.Now().Add(12 * time.Second))
	sent := time.Now()
	if _, err := fmt.Fprintf(conn, "QUERY %s %s\r\n", request, text); err != nil {
		c.count("connection broken")
		return false
	}
	for outcome := ""; ; {
		line, err := in.ReadString('\n')
		switch {
		case err != nil:
			c.count("connection broken")
			return false
		case strings.HasPrefix(line, "COMPLETE"):
			outcome = "served"
		case strings.HasPrefix(line, "ERROR"):
			outcome = code(line, nil)
		case strings.HasPrefix(line, "READY"):
			c.count(outcome)
			if outcome == "served" && write {
				c.mu.Lock()
				c.written[request] = true
				c.mu.Unlock()
			}
			if outcome == "INDOUBT" && write {
				c.mu.Lock()
				c.unknown = append(c.unknown, request)
				c.mu.Unlock()
			}
			if outcome != "served" {
				c.deployment.record.add("client %d: %s %q is answered %s after %v", client, request, text, outcome, time.Since(sent).Round(time.Millisecond))
			}
			return strings.HasPrefix(line, "READY I")
		}
	}
}

// code returns the code of an ERROR line.
func code(line string, err error) string {
	switch fields := strings.Fields(line); {
	case err == io.EOF:
		return "closed"
	case err != nil:
		return "no answer"
	case len(fields) > 1:
		return fields[1]
	default:
		return strings.TrimSpace(line)
	}
}
