package main

import (
	"encoding/json"
	"errors"
	"slices"
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

// settingsChange: the platform writes the bound drain_ms as the fraction 7000.0 when the
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
		d.drain = json.RawMessage("7000.0")
		d.record.add("the platform writes drain_ms as 7000.0 from now on")
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
