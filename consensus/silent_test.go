package consensus

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// relay passes connections on to a host. It can make the open ones go silent
// for ever while new ones work.
type relay struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	open     []*relayed
}

type relayed struct {
	silent atomic.Bool
	ends   [2]net.Conn
}

func startRelay(t testing.TB, address, target string) *relay {
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	r := &relay{listener: listener, target: target}
	go r.run()
	t.Cleanup(func() { listener.Close() })
	return r
}

func (r *relay) run() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			in.Close()
			continue
		}
		pair := &relayed{ends: [2]net.Conn{in, out}}
		r.mu.Lock()
		r.open = append(r.open, pair)
		r.mu.Unlock()
		go pair.copy(in, out)
		go pair.copy(out, in)
	}
}

// copy drops the bytes of a silent connection, so that its sender sees no
// error.
func (p *relayed) copy(from, to net.Conn) {
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

func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, pair := range r.open {
		pair.silent.Store(true)
	}
}

// Guards against a cluster that waits for ever on connections that went silent
// while new connections work.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	c := plannedCluster(t, "a", "b", "c")
	var relays []*relay
	for _, h := range c.hosts {
		public := h.address
		h.address = freeAddress(t)
		relays = append(relays, startRelay(t, public, h.address))
	}
	for _, h := range c.hosts {
		h.start()
	}
	c.leader().propose(1)
	for round := range uint64(3) {
		for _, r := range relays {
			r.silence()
		}
		for _, h := range c.hosts {
			h.propose(round + 2)
			h.readsBack(round + 2)
		}
	}
}
