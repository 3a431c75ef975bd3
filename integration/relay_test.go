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

// relay forwards connections to an address. A toxic, a fault that toxiproxy
// injects, affects all connections of a link; a relay can stop delivery on those
// that are open while new ones work.
type relay struct {
	to       string
	listener net.Listener

	mu    sync.Mutex // guards conns
	conns []*relayedConn
}

// relayedConn is one connection through a relay: the client's side and the
// server's.
type relayedConn struct {
	client, server net.Conn
	silent         atomic.Bool
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
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", r.to)
		if err != nil {
			client.Close()
			continue
		}
		c := &relayedConn{client: client, server: server}
		r.mu.Lock()
		r.conns = append(r.conns, c)
		r.mu.Unlock()
		go c.forward(client, server)
		go c.forward(server, client)
	}
}

// forward copies data until one side closes. On a silent connection it
// discards the data and doesn't pass on the close.
func (c *relayedConn) forward(from, to net.Conn) {
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
		c.client.Close()
		c.server.Close()
	}
}

// addToxic adds a toxic to a link and returns a function that removes it.
func (l *link) addToxic(t testing.TB, kind, stream string, attributes map[string]any) (remove func()) {
	t.Helper()
	name := kind + "_" + stream
	text, err := json.Marshal(map[string]any{"name": name, "type": kind, "stream": stream, "attributes": attributes})
	assert.NilError(t, err)
	_, err = l.proxy.Toxics.AddToxicJson(strings.NewReader(string(text)))
	assert.NilError(t, err)
	return func() { _ = l.proxy.Toxics.RemoveToxic(context.Background(), name) }
}

// otherProxy returns the index of a running proxy that is not excluded.
func (s *site) otherProxy(excluded ...int) int {
	s.t.Helper()
	for i, p := range s.proxies {
		if p.running() && !slices.Contains(excluded, i) {
			return i
		}
	}
	s.t.Fatal("the site has too few proxies for this test")
	return -1
}

// runSubtest runs f as a subtest. Until it ends, the site's helpers report their
// failures to the subtest.
func (s *site) runSubtest(name string, f func(t *testing.T)) bool {
	parent := s.t.(*testing.T)
	return parent.Run(name, func(t *testing.T) {
		s.t = t
		defer func() { s.t = parent }()
		f(t)
	})
}
