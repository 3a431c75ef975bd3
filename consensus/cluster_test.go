package consensus

import (
	"context"
	"encoding/binary"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

const patience = 60 * time.Second

// register is a state machine that holds one number and counts its writes.
type register struct {
	mu     sync.Mutex
	value  uint64
	writes uint64
}

func (r *register) Apply(_ uint64, command []byte) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.value = binary.BigEndian.Uint64(command)
	r.writes++
	return binary.BigEndian.AppendUint64(nil, r.writes)
}

func (r *register) Snapshot() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	data := binary.BigEndian.AppendUint64(nil, r.value)
	return binary.BigEndian.AppendUint64(data, r.writes), nil
}

func (r *register) Restore(data []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.value = binary.BigEndian.Uint64(data)
	r.writes = binary.BigEndian.Uint64(data[8:])
	return nil
}

func (r *register) read() (value, writes uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.value, r.writes
}

func number(v uint64) []byte { return binary.BigEndian.AppendUint64(nil, v) }

// link is the network as one host sees it: requests to cut addresses fail
// after the request was lost or after the answer was lost.
type link struct {
	inner http.RoundTripper
	mu    sync.Mutex
	cut   map[string]bool // requests to this address are lost
	deaf  map[string]bool // answers from this address are lost
	reset map[string]bool // connections to this address break before the answer
}

func newLink() *link {
	return &link{
		inner: NewHTTPClient().Transport,
		cut:   make(map[string]bool),
		deaf:  make(map[string]bool),
		reset: make(map[string]bool),
	}
}

func (l *link) RoundTrip(request *http.Request) (*http.Response, error) {
	if l.lost(l.cut, request.URL.Host) {
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	response, err := l.inner.RoundTrip(request)
	if l.lost(l.deaf, request.URL.Host) || l.lost(l.cut, request.URL.Host) {
		if err == nil {
			response.Body.Close()
		}
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	if err == nil && l.lost(l.reset, request.URL.Host) {
		response.Body.Close()
		return nil, io.ErrUnexpectedEOF
	}
	return response, err
}

func (l *link) lost(set map[string]bool, address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return set[address]
}

func (l *link) set(set map[string]bool, address string, on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	set[address] = on
}

// host is one member with its server. Its address survives restarts.
type host struct {
	t       testing.TB
	options Options
	link    *link
	state   *register
	node    *Node
	server  *http.Server
	address string
}

type cluster struct {
	t     testing.TB
	dir   string
	hosts []*host
}

func testLog(t testing.TB) *slog.Logger {
	if os.Getenv("CONSENSUS_LOG") == "" {
		return nil
	}
	return slog.New(slog.NewTextHandler(t.Output(), nil))
}

// newCluster starts the named hosts, which form a cluster.
func newCluster(t testing.TB, names ...string) *cluster {
	c := plannedCluster(t, names...)
	for _, h := range c.hosts {
		h.start()
	}
	return c
}

// plannedCluster starts nothing yet.
func plannedCluster(t testing.TB, names ...string) *cluster {
	c := &cluster{t: t, dir: t.TempDir()}
	var members []Member
	for _, name := range names {
		h := c.newHost(name)
		members = append(members, Member{Name: name, Address: h.address})
	}
	for _, h := range c.hosts {
		h.options.InitialMembers = members
	}
	t.Cleanup(c.stop)
	return c
}

func (c *cluster) newHost(name string) *host {
	address := freeAddress(c.t)
	h := &host{t: c.t, link: newLink(), address: address}
	h.options = Options{
		Name:       name,
		Address:    address,
		DataDir:    filepath.Join(c.dir, name),
		HTTPClient: &http.Client{Transport: h.link},
		Log:        testLog(c.t),
	}
	c.hosts = append(c.hosts, h)
	return h
}

func freeAddress(t testing.TB) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

func (c *cluster) stop() {
	for _, h := range c.hosts {
		h.stop()
	}
}

func (h *host) start() {
	h.t.Helper()
	assert.NilError(h.t, h.tryStart())
}

func (h *host) tryStart() error {
	h.state = &register{}
	h.options.StateMachine = h.state
	node, err := Start(context.Background(), h.options)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	for _, route := range node.Handlers() {
		mux.Handle(route.Path, route.Handler)
	}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: mux, Protocols: protocols}
	// An outgoing connection may hold the port for a moment.
	var listener net.Listener
	waitFor(h.t, "the port", func() bool {
		listener, err = net.Listen("tcp", h.address)
		return err == nil
	})
	h.node, h.server = node, server
	go server.Serve(listener)
	return nil
}

func (h *host) stop() {
	if h.node == nil {
		return
	}
	assert.Check(h.t, h.server.Close())
	assert.Check(h.t, h.node.Close())
	h.node = nil
}

// wipe replaces the disk of a stopped host by an empty one.
func (h *host) wipe() { assert.NilError(h.t, os.RemoveAll(h.options.DataDir)) }

// isolate cuts h off from all other hosts, in both directions, or ends that.
func (c *cluster) isolate(h *host, on bool) {
	for _, other := range c.hosts {
		if other != h {
			h.link.set(h.link.cut, other.address, on)
			other.link.set(other.link.cut, h.address, on)
		}
	}
}

func (c *cluster) host(name string) *host {
	for _, h := range c.hosts {
		if h.options.Name == name {
			return h
		}
	}
	return nil
}

// leader waits until one of the hosts leads.
func (c *cluster) leader(hosts ...*host) *host {
	c.t.Helper()
	if len(hosts) == 0 {
		hosts = c.hosts
	}
	var found *host
	waitFor(c.t, "a leader", func() bool {
		for _, h := range hosts {
			if h.node == nil {
				continue
			}
			if _, ok := h.node.Leadership(); ok {
				found = h
				return true
			}
		}
		return false
	})
	return found
}

func (c *cluster) others(h *host) []*host {
	var found []*host
	for _, other := range c.hosts {
		if other != h {
			found = append(found, other)
		}
	}
	return found
}

// propose writes value through h and retries while no leader can be reached.
func (h *host) propose(value uint64) {
	h.t.Helper()
	waitFor(h.t, "a proposal", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		_, err := h.node.Propose(ctx, number(value))
		return err == nil
	})
}

// readsBack waits until a confirmed read through h returns value.
func (h *host) readsBack(value uint64) {
	h.t.Helper()
	waitFor(h.t, "a read", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if _, err := h.node.ReadIndex(ctx); err != nil {
			return false
		}
		read, _ := h.state.read()
		assert.Check(h.t, read == value, "%s read %d, want %d", h.options.Name, read, value)
		return true
	})
}

func (h *host) voterIs(name string) bool {
	for _, m := range h.node.Members() {
		if m.Name == name {
			return m.Voter
		}
	}
	return false
}

func waitFor(t testing.TB, what string, condition func() bool) {
	t.Helper()
	check := func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("waiting for %s", what)
	}
	poll.WaitOn(t, check, poll.WithTimeout(patience), poll.WithDelay(10*time.Millisecond))
}
