package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"
)

// firstStart: one of five control hosts is lost for good 0.2 s after the first start. An
// empty one comes at another address 2 s later. The operator sends the first configuration
// until it is accepted, and clients try to be served.
func firstStart(d *deployment, trouble bool) (bool, error) {
	g, err := newGroup(d, 3, 8*time.Millisecond)
	if err != nil {
		return false, err
	}
	seeds := []int{1, 2, 3}
	var first *host
	for _, last := range []int{1, 2, 3, 4, 5} {
		h, err := d.start("control", last, seeds, true)
		if err != nil {
			return false, err
		}
		if first == nil {
			first = h
		}
	}
	for _, last := range []int{60, 61, 62} {
		if _, err := d.start("proxy", last, seeds, true); err != nil {
			return false, err
		}
	}
	hosts := []int{1, 2, 3, 4, 5}
	if trouble {
		time.Sleep(200 * time.Millisecond)
		first.kill()
		d.record.add("control-1 is lost for good")
		hosts = []int{2, 3, 4, 5}
		go func() {
			time.Sleep(2 * time.Second)
			if _, err := d.start("control", 6, []int{2, 3, 4}, false); err != nil {
				d.record.add("control-6: %v", err)
			}
		}()
	}
	for _, b := range g.backends {
		go b.run()
	}
	const until = 45 * time.Second
	acknowledged := d.order(3, func() []int {
		if trouble && d.record.since() > 6*time.Second {
			return append(slices.Clone(hosts), 6)
		}
		return hosts
	}, until)
	time.Sleep(2 * time.Second)
	c := newClients(d)
	c.run(4, []int{60, 61, 62}, 50*time.Millisecond)
	time.Sleep(8 * time.Second)
	c.end()
	d.record.add("configuration acknowledged: %v; answers to clients: %v", acknowledged, c.counts)
	return c.counts["served"] == 0, nil
}

// clockBack: the time of day of the primary's machine is 2.4 s ahead while the primary
// starts, and jumps back. The primary crashes 1 s after its start and starts again at once,
// under its id. Later it is shut down as planned.
func clockBack(d *deployment, trouble bool) (bool, error) {
	const ahead = 2400 * time.Millisecond
	g, err := newGroup(d, 3, 30*time.Millisecond)
	if err != nil {
		return false, err
	}
	seeds := []int{1, 2, 3}
	for _, last := range []int{1, 2, 3, 4, 5} {
		if _, err := d.start("control", last, seeds, true); err != nil {
			return false, err
		}
	}
	for _, last := range []int{60, 61, 62} {
		if _, err := d.start("proxy", last, seeds, true); err != nil {
			return false, err
		}
	}
	if !d.order(3, all(1, 2, 3, 4, 5), 20*time.Second) {
		return false, errors.New("the first configuration was not acknowledged")
	}
	primary := g.backends[0]
	g.mu.Lock()
	for _, b := range g.backends {
		b.born = time.Now().UnixMilli()
	}
	if trouble {
		primary.born = time.Now().Add(ahead).UnixMilli()
		d.record.add("the time of day of the machine of %s has jumped ahead by %v", primary.id, ahead)
	}
	g.mu.Unlock()
	for _, b := range g.backends {
		go b.run()
	}
	time.Sleep(time.Second)
	if trouble {
		d.record.add("the time of day of the machine of %s jumps back", primary.id)
	}
	primary.crash()
	time.Sleep(300 * time.Millisecond)
	primary.restart(time.Now().UnixMilli())
	time.Sleep(2 * time.Second)
	c := newClients(d)
	c.run(24, []int{60, 61, 62}, 20*time.Millisecond)
	time.Sleep(8 * time.Second)
	primary.drain(2 * time.Second)
	time.Sleep(6 * time.Second)
	c.end()
	g.mu.Lock()
	defer g.mu.Unlock()
	committed := make(map[string]bool)
	for _, e := range g.log {
		committed[e.request] = true
	}
	lost := 0
	for _, request := range c.unknown {
		if !committed[request] {
			lost++
			d.record.add("the write %s got no answer from %s, which had ended, and is in no log", request, primary.id)
		}
	}
	d.record.add("answers to clients: %v; writes without a known outcome: %d, of which %d are lost", c.counts, len(c.unknown), lost)
	d.record.add("%s ran %d single statements later than %d ms after its draining was acknowledged", primary.id, len(primary.late), drainMs)
	return len(primary.late) > 0, nil
}

// settingsChange: the platform writes the bound drain_ms as the fraction 7000.5 when the
// settings files change, and the machines of the system are stopped and started in turn.
func settingsChange(d *deployment, trouble bool) (bool, error) {
	g, err := newGroup(d, 3, 8*time.Millisecond)
	if err != nil {
		return false, err
	}
	seeds, proxies := []int{1, 2, 3}, []int{60, 61, 62}
	for _, last := range []int{1, 2, 3, 4, 5} {
		if _, err := d.start("control", last, seeds, true); err != nil {
			return false, err
		}
	}
	running := make(map[int]*host)
	for _, last := range proxies {
		if running[last], err = d.start("proxy", last, seeds, true); err != nil {
			return false, err
		}
	}
	for _, b := range g.backends {
		go b.run()
	}
	if !d.order(3, all(1, 2, 3, 4, 5), 20*time.Second) {
		return false, errors.New("the first configuration was not acknowledged")
	}
	time.Sleep(2 * time.Second)
	before := newClients(d)
	before.run(4, proxies, 50*time.Millisecond)
	time.Sleep(3 * time.Second)
	before.end()
	d.record.add("before the settings change: answers to clients: %v", before.counts)
	if trouble {
		d.drain = json.RawMessage("7000.5")
		d.record.add("the platform writes drain_ms as 7000.5 from now on")
	}
	failed := 0
	for _, last := range proxies {
		d.record.add("proxy-%d gets SIGTERM", last)
		running[last].terminate()
		for try := 1; try <= 3; try++ {
			h, err := d.start("proxy", last, seeds, false)
			if err != nil {
				return false, err
			}
			code, runs := h.runsFor(3 * time.Second)
			if runs {
				break
			}
			d.record.add("proxy-%d ended by itself, exit code %d, start %d", last, code, try)
			failed++
			time.Sleep(300 * time.Millisecond)
		}
	}
	after := newClients(d)
	after.run(4, proxies, 50*time.Millisecond)
	time.Sleep(5 * time.Second)
	after.end()
	d.record.add("afterwards: answers to clients: %v; starts that failed: %d", after.counts, failed)
	return failed > 0 || after.counts["served"] == 0, nil
}

// largeValues: one client prepares statements, each with a message that is shorter than the
// max_body_bytes of the configuration, no faster than the machine's link takes them. The
// platform kills a process that uses more than its memory and starts it again. The client
// comes back to a process that runs, as clients do after a break.
func largeValues(d *deployment, trouble bool) (bool, error) {
	g, err := newGroup(d, 3, 8*time.Millisecond)
	if err != nil {
		return false, err
	}
	seeds, proxies := []int{1, 2, 3}, []int{60, 61, 62}
	for _, last := range []int{1, 2, 3, 4, 5} {
		if _, err := d.start("control", last, seeds, true); err != nil {
			return false, err
		}
	}
	for _, b := range g.backends {
		go b.run()
	}
	p := &platform{deployment: d, seeds: seeds, kills: map[int]int{}, stop: make(chan struct{})}
	for _, last := range proxies {
		h, err := d.start("proxy", last, seeds, true)
		if err != nil {
			return false, err
		}
		p.done.Add(1)
		go p.watch(last, h)
	}
	defer p.end()
	if !d.order(3, all(1, 2, 3, 4, 5), 20*time.Second) {
		return false, errors.New("the first configuration was not acknowledged")
	}
	time.Sleep(2 * time.Second)
	c := newClients(d)
	c.run(12, proxies, 20*time.Millisecond)
	size := 1000
	if trouble {
		size = 262000
	}
	for round := range 3 {
		for _, last := range proxies {
			acknowledged, err := d.prepare(last, 1000, size)
			d.record.add("round %d: the client on proxy-%d sent PREPARE of %d bytes; acknowledged: %d; then: %v", round+1, last, size, acknowledged, err)
		}
		time.Sleep(2 * time.Second)
	}
	c.end()
	p.mu.Lock()
	defer p.mu.Unlock()
	thrice := 0
	for _, last := range proxies {
		if p.kills[last] >= 3 {
			thrice++
		}
	}
	d.record.add("answers to the other clients: %v; ends of processes over their memory: %v", c.counts, p.kills)
	return thrice >= 2, nil
}

// platform kills processes that use more than their memory, and starts them again.
type platform struct {
	deployment *deployment
	seeds      []int
	stop       chan struct{}
	done       sync.WaitGroup

	mu    sync.Mutex
	kills map[int]int
}

func (p *platform) watch(last int, h *host) {
	defer p.done.Done()
	for {
		select {
		case <-p.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		used := h.memoryMB()
		if used <= proxyMemoryMB {
			continue
		}
		h.kill()
		p.deployment.record.add("proxy-%d used %d MB of %d and is killed", last, used, proxyMemoryMB)
		p.mu.Lock()
		p.kills[last]++
		p.mu.Unlock()
		time.Sleep(300 * time.Millisecond)
		next, err := p.deployment.start("proxy", last, p.seeds, false)
		if err != nil {
			p.deployment.record.add("proxy-%d: %v", last, err)
			return
		}
		h = next
	}
}

func (p *platform) end() {
	close(p.stop)
	p.done.Wait()
}

// preparePause keeps the messages of one client below the 700 Mbit/s of an entry machine's
// link: 262,000 bytes each 4 ms are 524 Mbit/s.
const preparePause = 4 * time.Millisecond

// prepare opens a session through a proxy and prepares count statements with messages of a
// size. It returns how many were acknowledged.
func (d *deployment) prepare(proxy, count, size int) (acknowledged int, err error) {
	conn, err := net.DialTimeout("tcp", d.front(proxy), time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	in := bufio.NewReader(conn)
	send := func(message []byte) (string, error) {
		if _, err := conn.Write(message); err != nil {
			return "", err
		}
		for first := ""; ; {
			line, err := in.ReadString('\n')
			if err != nil {
				return "", err
			}
			if first == "" {
				first = line
			}
			if len(line) > 5 && line[:5] == "READY" {
				return first, nil
			}
		}
	}
	if _, err := send([]byte("STARTUP " + database + " rude\r\n")); err != nil {
		return 0, err
	}
	for i := range count {
		time.Sleep(preparePause)
		message := fmt.Appendf(nil, "QUERY %016x PREPARE p%d READ q%d", i, i, i)
		message = append(message, bytes.Repeat([]byte{'x'}, size-len(message)-2)...)
		answer, err := send(append(message, "\r\n"...))
		if err != nil {
			return i, err
		}
		if answer[:8] != "COMPLETE" {
			return i, errors.New(answer)
		}
	}
	return count, nil
}
