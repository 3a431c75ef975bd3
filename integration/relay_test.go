package integration

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// relay passes connections on. Toxics act on all connections of a link; a relay
// can stop delivering on those that are open now while new ones work.
type relay struct {
	to       string
	listener net.Listener

	mu    sync.Mutex // guards conns
	conns []*relayed
}

// relayed is one connection through a relay.
type relayed struct {
	near, far net.Conn
	silent    atomic.Bool
}

func startRelay(t testing.TB, to string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &relay{to: to, listener: listener}
	go r.accept()
	t.Cleanup(r.close)
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", r.to)
		if err != nil {
			near.Close()
			continue
		}
		c := &relayed{near: near, far: far}
		r.mu.Lock()
		r.conns = append(r.conns, c)
		r.mu.Unlock()
		go c.pass(near, far)
		go c.pass(far, near)
	}
}

// pass copies until the connection ends. A silent connection neither delivers
// nor closes.
func (c *relayed) pass(from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if c.silent.Load() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			_, _ = to.Write(buf[:n])
		}
		if err != nil {
			to.Close()
			return
		}
	}
}

// silence stops delivery in both directions on all open connections.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		c.silent.Store(true)
	}
}

func (r *relay) close() {
	r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		c.near.Close()
		c.far.Close()
	}
}

// toxic adds a fault to a link and returns a function that removes it.
func (l *link) toxic(t testing.TB, kind, stream string, attributes map[string]any) (remove func()) {
	t.Helper()
	name := kind + "_" + stream
	text, err := json.Marshal(map[string]any{"name": name, "type": kind, "stream": stream, "attributes": attributes})
	assert.NilError(t, err)
	_, err = l.proxy.Toxics.AddToxicJson(strings.NewReader(string(text)))
	assert.NilError(t, err)
	return func() { _ = l.proxy.Toxics.RemoveToxic(context.Background(), name) }
}

// otherProxy returns the index of a running proxy that is none of the given ones.
func (s *site) otherProxy(not ...int) int {
	s.t.Helper()
	for i, p := range s.proxies {
		if p.running() && !slices.Contains(not, i) {
			return i
		}
	}
	s.t.Fatal("the site has too few proxies for this test")
	return -1
}

// in runs f as a subtest on the site.
func (s *site) in(name string, f func(t *testing.T)) bool {
	parent := s.t.(*testing.T)
	return parent.Run(name, func(t *testing.T) {
		s.t = t
		defer func() { s.t = parent }()
		f(t)
	})
}
