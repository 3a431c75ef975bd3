package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"
)

// drainPeriod is drain_ms of the settings.
const drainPeriod = 7 * time.Second

// morning is how long clients file entries around the second change of primary.
const morning = 2500 * time.Millisecond

// syncRelease plays a service with one synchronous replica whose backends are replaced one
// after the other in a quiet hour: the first two hold the lead in turn and leave. Nobody
// writes between the first change of primary and the second one. Filings begin while the
// second promotion, which takes 600 ms, runs. Every filing that was acknowledged must be
// in the log of the backend that is promoted.
func syncRelease(program string, trouble bool, rec *recorder) (bool, error) {
	zones[controlWord], zones["proxy"] = "a1", "b1"
	g, s, first, err := startLedger(program, rec)
	if err != nil {
		return false, err
	}
	defer s.stop()
	f := &filings{site: s, rec: rec, pause: 10 * time.Millisecond, acked: map[string]bool{}}
	if err := f.awaitService(); err != nil {
		return false, err
	}
	f.file("evening", 4, 300*time.Millisecond)
	time.Sleep(time.Second)
	if trouble {
		if err := f.releaseTwice(g, first); err != nil {
			return false, err
		}
	} else {
		f.file("morning", 4, morning)
	}
	time.Sleep(3 * time.Second)
	return f.missing(g), nil
}

// otherServices are as large as the one that a case looks at. Nobody uses them.
var otherServices = []string{"other1", "other2"}

// platform passes promotions on to the service that they name.
type platform []*group

func (p platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 4096))
	var named struct{ Service string }
	if err == nil && json.Unmarshal(body, &named) == nil {
		for _, g := range p {
			if g.name == named.Service {
				r.Body = io.NopCloser(bytes.NewReader(body))
				g.ServeHTTP(w, r)
				return
			}
		}
	}
	w.WriteHeader(http.StatusBadRequest)
}

// startLedger starts a site with three services of three backends each, which acknowledge
// a commit once one replica has received it. It returns the first service and its primary.
func startLedger(program string, rec *recorder) (*group, *site, *backend, error) {
	return startLedgerWith(program, rec, func(*site) {})
}

// startLedgerWith does the same on a site that change has changed before its start.
func startLedgerWith(program string, rec *recorder, change func(*site)) (*group, *site, *backend, error) {
	g := newGroup("ledger", 1, 600*time.Millisecond, rec)
	all := platform{g}
	for _, name := range otherServices {
		all = append(all, newGroup(name, 1, 600*time.Millisecond, rec))
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, nil, err
	}
	go func() { _ = http.Serve(listener, all) }()
	s, err := newSite(program, rec, listener.Addr().String())
	if err != nil {
		return nil, nil, nil, err
	}
	change(s)
	first, err := s.startAll(all)
	if err != nil {
		s.stop()
		return nil, nil, nil, err
	}
	return g, s, first, nil
}

// startAll starts three control hosts, two proxies and the backends of the services. It
// returns the primary of the first service.
func (s *site) startAll(services platform) (*backend, error) {
	for i := range 3 {
		s.addProcess("control", "a1", 10+i)
	}
	for i := range 2 {
		s.addProcess("proxy", "b1", 30+i)
	}
	for _, p := range append(append([]*process(nil), s.controls...), s.proxies...) {
		if err := p.start(true); err != nil {
			return nil, err
		}
	}
	var routes, configs []map[string]any
	for n, g := range services {
		g.controls = s.controlAddresses
		for i, zone := range []string{"a1", "b1", "b2"} {
			address := fmt.Sprintf("127.0.%d.%d:0", s.network, 50+10*n+i)
			if _, err := g.add(fmt.Sprintf("i-%s-%s", g.name, zone), zone, address, i == 0, nil); err != nil {
				return nil, err
			}
		}
		configs = append(configs, map[string]any{"name": g.name, "health_path": "/health", "max_conns": 71, "protocol": "h1", "tls": false, "sync_replicas": 1})
		routes = append(routes, route("filing-"+g.name, "primary", g.name), route("timeline-"+g.name, "bounded_staleness", g.name))
	}
	return services[0].backends[0], s.putConfig(1, routes, configs)
}

// filings are the writes of clients.
type filings struct {
	site  *site
	rec   *recorder
	pause time.Duration // of a client between two entries
	mu    sync.Mutex
	acked map[string]bool
}

// awaitService waits until a read and a write are served.
func (f *filings) awaitService() error {
	for begun := time.Now(); time.Since(begun) < 20*time.Second; time.Sleep(100 * time.Millisecond) {
		c, err := dialClient(f.site.proxies[0].front(), "filing-ledger")
		if err != nil {
			continue
		}
		a, err := c.query("WRITE entry first")
		_ = c.conn.Close()
		if err == nil && a.code == "" {
			return nil
		}
	}
	return fmt.Errorf("no service")
}

// file lets clients write entries for a while, each one after the other.
func (f *filings) file(when string, clients int, period time.Duration) {
	var wait sync.WaitGroup
	for i := range clients {
		wait.Add(1)
		go func() {
			defer wait.Done()
			f.writeEntries(fmt.Sprintf("%s-%d", when, i), i, period)
		}()
	}
	wait.Wait()
}

func (f *filings) writeEntries(name string, i int, period time.Duration) {
	var c *client
	begun := time.Now()
	for n := 0; time.Since(begun) < period; n++ {
		time.Sleep(f.pause)
		data := fmt.Sprintf("%s-%d", name, n)
		if c == nil {
			var err error
			if c, err = dialClient(f.site.proxies[i%len(f.site.proxies)].front(), "filing-ledger"); err != nil {
				time.Sleep(50 * time.Millisecond)
				continue
			}
		}
		a, err := c.query("WRITE " + data + " entry")
		f.rec.add("client %s: WRITE %s: %s %s %v", name, data, a.signature, a.code, err)
		switch {
		case err != nil:
			_ = c.conn.Close()
			c = nil
		case a.code == "":
			f.mu.Lock()
			f.acked[data] = true
			f.mu.Unlock()
		}
	}
	if c != nil {
		_ = c.conn.Close()
	}
}

// releaseTwice replaces the first primary and then its successor. Filings begin once the
// platform has accepted the second promotion.
func (f *filings) releaseTwice(g *group, first *backend) error {
	go first.drain(drainPeriod)
	second, err := awaitPrimary(g, first)
	if err != nil {
		return err
	}
	// The log of a backend that has left is transferred to a new one at its address.
	for begun := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		g.mu.Lock()
		ended := first.ended
		g.mu.Unlock()
		if ended {
			break
		}
		if time.Since(begun) > 30*time.Second {
			return fmt.Errorf("%s has not ended", first.id)
		}
	}
	time.Sleep(2 * time.Second)
	if _, err := g.add(first.id+"-new", first.zone, first.address, false, first.log); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	done := make(chan struct{})
	var once sync.Once
	g.onPromote = func(string) {
		once.Do(func() { f.file("morning", 4, morning); close(done) })
	}
	go second.drain(drainPeriod)
	if _, err := awaitPrimary(g, second); err != nil {
		return err
	}
	<-done
	return nil
}

// awaitPrimary waits until another backend leads.
func awaitPrimary(g *group, before *backend) (*backend, error) {
	for begun := time.Now(); time.Since(begun) < 20*time.Second; time.Sleep(20 * time.Millisecond) {
		if p := g.primary(); p != nil && p != before {
			return p, nil
		}
	}
	return nil, fmt.Errorf("no change of primary")
}

// missing reports whether an acknowledged entry is not in the primary's log. What is
// acknowledged later is not looked at.
func (f *filings) missing(g *group) bool {
	f.mu.Lock()
	acked := maps.Clone(f.acked)
	f.mu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.primaryLocked()
	if p == nil {
		f.rec.add("no primary: nothing can be compared")
		return false
	}
	held := map[string]bool{}
	for _, c := range p.log {
		name, _ := cut(c.data)
		held[name] = true
	}
	lost := 0
	for data := range acked {
		if !held[data] {
			lost++
			f.rec.add("LOST: entry %s was acknowledged and is not in the log of %s", data, p.id)
		}
	}
	f.rec.add("%d entries acknowledged, %d of them lost", len(acked), lost)
	fmt.Printf("%d entries acknowledged, %d of them lost\n", len(acked), lost)
	return lost > 0
}
