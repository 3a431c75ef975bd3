package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

var cases = map[string]testCase{
	"sync":     {network: 41, controls: 5, proxies: 3, sync: 1, play: playSync},
	"fence":    {network: 43, controls: 5, proxies: 1, sync: 0, play: playFence},
	"prepared": {network: 42, controls: 3, proxies: 1, sync: 0, play: playPrepared},
}

// writer writes to one proxy, again and again, and keeps what was acknowledged to it.
type writer struct {
	mu           sync.Mutex
	acknowledged []string
}

func (w *writer) run(d *deployment, name string, p *process, stop <-chan struct{}) {
	var s *session
	for i := 0; ; i++ {
		select {
		case <-stop:
			if s != nil {
				s.close()
			}
			return
		case <-time.After(20 * time.Millisecond):
		}
		if s == nil {
			opened, err := openSession(d.record, name, d.address(p, frontPort), databasePrimary)
			if err != nil {
				continue
			}
			s = opened
		}
		data := fmt.Sprintf("%s-%d", name, i)
		a, err := s.query(fmt.Sprintf("WRITE item%d %s", i%50, data))
		if err != nil {
			s.close()
			s = nil
			continue
		}
		if a.err == "" {
			w.mu.Lock()
			w.acknowledged = append(w.acknowledged, data)
			w.mu.Unlock()
		}
	}
}

// playSync drains one replica, makes the other one receive nothing for a while, and
// crashes the primary meanwhile. Each commit was acknowledged after the draining replica
// had received it.
func playSync(d *deployment, g *service, trouble bool) (verdict, error) {
	w := &writer{}
	stop := make(chan struct{})
	var writers sync.WaitGroup
	for i, p := range d.proxies {
		writers.Add(1)
		go func() { defer writers.Done(); w.run(d, fmt.Sprintf("w%d", i+1), p, stop) }()
	}
	time.Sleep(5 * time.Second)
	primary, deaf, draining := g.servers[0], g.servers[1], g.servers[2]
	// The release of a server: the one that replaces it starts first.
	draining.drain()
	time.Sleep(1500 * time.Millisecond)
	if draining.ackedDrain.IsZero() {
		return verdict{}, fmt.Errorf("draining was not acknowledged")
	}
	if trouble {
		g.update(func() { deaf.deaf = true })
		d.record.printf("server %s receives nothing from now on", deaf.id)
		time.Sleep(1500 * time.Millisecond)
		primary.crash()
		time.Sleep(4 * time.Second)
		g.update(func() { deaf.deaf = false })
		d.record.printf("server %s receives again", deaf.id)
	}
	time.Sleep(4 * time.Second)
	close(stop)
	writers.Wait()
	return judgeSync(d, g, w), nil
}

// judgeSync looks for commits that clients were told of and that the log of a promoted
// server lacked.
func judgeSync(d *deployment, g *service, w *writer) verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	lost := 0
	for _, p := range g.promotions {
		for _, data := range p.missing {
			if slices.Contains(w.acknowledged, data) {
				lost++
				d.record.printf("lost: %s was acknowledged to its client and isn't in the log of %s, which was promoted", data, p.server)
			}
		}
	}
	what := fmt.Sprintf("%d writes acknowledged to clients, %d promotions, %d of these writes not in the log of the promoted server", len(w.acknowledged), len(g.promotions), lost)
	return verdict{broken: lost > 0, what: what}
}

// playPrepared lets two clients prepare a read each, under the same name and with
// different shapes, and execute them in turn.
func playPrepared(d *deployment, g *service, trouble bool) (verdict, error) {
	shapes := [2]string{letters(64), letters(64)}
	if trouble {
		shapes[0], shapes[1] = equalHashes()
	}
	wrong, executed := 0, 0
	address := d.address(d.proxies[0], frontPort)
	var clients [2]*session
	for i := range clients {
		s, err := openSession(d.record, fmt.Sprintf("c%d", i+1), address, databasePrimary)
		if err != nil {
			return verdict{}, err
		}
		defer s.close()
		if a, err := s.query("PREPARE s1 READ " + shapes[i]); err != nil || a.err != "" {
			return verdict{}, fmt.Errorf("not prepared: %v %v", a, err)
		}
		clients[i] = s
	}
	for range 20 {
		for i, s := range clients {
			a, err := s.query("EXECUTE s1 first")
			if err != nil || a.err != "" || len(a.rows) != 1 {
				return verdict{}, fmt.Errorf("not executed: %v %v", a, err)
			}
			executed++
			if !strings.HasPrefix(a.rows[0], shapes[i]+":") {
				wrong++
				d.record.printf("client %s prepared %s and is given the rows of another shape: %s", s.name, shapes[i], a.rows[0])
			}
		}
	}
	what := fmt.Sprintf("%d statements executed, %d of them ran another shape than their client had prepared", executed, wrong)
	return verdict{broken: wrong > 0, what: what}, nil
}

// fenceRounds is how often playFence releases the primary.
const fenceRounds = 5

// playFence releases the primary of the time, again and again, and freezes the control
// host that has told it to step down. The platform checks no fences.
func playFence(d *deployment, g *service, trouble bool) (verdict, error) {
	// As SYSTEM.md gives it: 20 ms between regions, one way.
	g.update(func() { g.unfenced, g.distance = true, 20*time.Millisecond })
	time.Sleep(4 * time.Second)
	for range fenceRounds {
		if err := releaseAndFreeze(d, g, trouble); err != nil {
			return verdict{}, err
		}
	}
	return judgeFence(d, g), nil
}

func releaseAndFreeze(d *deployment, g *service, trouble bool) error {
	var frozen *process
	var released *server
	stopped := make(chan struct{}, 1)
	g.update(func() {
		for _, s := range g.servers {
			if s.primary {
				released = s
			}
		}
		g.onStepDown = func(*server) {
			for _, p := range d.controls {
				if trouble && frozen == nil && d.address(p, controlPort) == g.leader {
					frozen = p
					d.signal(p, syscall.SIGSTOP)
					stopped <- struct{}{}
				}
			}
		}
	})
	released.drain()
	if trouble {
		select {
		case <-stopped:
		case <-time.After(5 * time.Second):
			return fmt.Errorf("no control host told the primary to step down")
		}
		time.Sleep(4 * time.Second)
		d.signal(frozen, syscall.SIGCONT)
	}
	// It serves for drain_ms after the acknowledgement and a little longer.
	for ended := false; !ended; time.Sleep(50 * time.Millisecond) {
		g.update(func() {
			ended = !released.ackedDrain.IsZero() && time.Since(released.ackedDrain) > drainMs*time.Millisecond+500*time.Millisecond
		})
	}
	g.update(func() { g.onStepDown = nil })
	released.replace()
	// The control host that was frozen is in touch again after this.
	time.Sleep(6 * time.Second)
	return nil
}

// judgeFence looks for calls with a lower fencing token than the platform had seen.
func judgeFence(d *deployment, g *service) verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	lower, highest := 0, promotionCall{}
	for _, c := range g.calls {
		if c.token < highest.token {
			lower++
			d.record.printf("%s sends token %d for %s, after %s had sent %d for %s", c.holder, c.token, c.id, highest.holder, highest.token, highest.id)
		} else {
			highest = c
		}
	}
	what := fmt.Sprintf("%d promotion calls, %d of them with a lower token than the platform had seen", len(g.calls), lower)
	return verdict{broken: lower > 0, what: what}
}
