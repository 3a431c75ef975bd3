package consensus

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// relay is a TCP proxy in front of a host. It can stop passing data on the
// connections that are open, without closing them, while new ones work.
type relay struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	open     []*relayedConn
}

type relayedConn struct {
	silent atomic.Bool
	ends   [2]net.Conn
}

func startRelay(t testing.TB, address, target string) *relay {
	listener := listenWhenFree(t, address)
	r := &relay{listener: listener, target: target}
	go r.run()
	t.Cleanup(func() { listener.Close() })
	return r
}

func (r *relay) run() {
	for {
		incoming, err := r.listener.Accept()
		if err != nil {
			return
		}
		outgoing, err := net.Dial("tcp", r.target)
		if err != nil {
			incoming.Close()
			continue
		}
		pair := &relayedConn{ends: [2]net.Conn{incoming, outgoing}}
		r.mu.Lock()
		r.open = append(r.open, pair)
		r.mu.Unlock()
		go pair.copy(incoming, outgoing)
		go pair.copy(outgoing, incoming)
	}
}

// copy passes data on in one direction. On a silent connection it reads and drops
// the data, so that the sender sees no error.
func (p *relayedConn) copy(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if p.silent.Load() {
			io.Copy(io.Discard, from)
			return
		}
		if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
			from.Close()
			to.Close()
			return
		}
	}
}

func (r *relay) silenceOpen() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, pair := range r.open {
		pair.silent.Store(true)
	}
}

// Guards against a cluster that waits for ever for responses on connections that
// pass no data but are not closed, while new connections would work.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	c := newStoppedCluster(t, "a", "b", "c")
	var relays []*relay
	for _, h := range c.hosts {
		public := h.address
		h.address = freeAddress(t)
		relays = append(relays, startRelay(t, public, h.address))
	}
	for _, h := range c.hosts {
		h.start()
	}
	c.awaitLeader().propose(1)
	for round := range uint64(3) {
		for _, r := range relays {
			r.silenceOpen()
		}
		for _, h := range c.hosts {
			h.propose(round + 2)
			h.awaitRead(round + 2)
		}
	}
}
