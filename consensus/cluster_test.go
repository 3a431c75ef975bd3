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

const testTimeout = 60 * time.Second

// register is a state machine that holds one number and counts the writes to it.
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

func encodeNumber(v uint64) []byte { return binary.BigEndian.AppendUint64(nil, v) }

// link is the HTTP transport of one host. It can lose the requests to an address,
// lose the responses from it, or break its connections before the response.
type link struct {
	inner http.RoundTripper

	// mu guards all fields below.
	mu               sync.Mutex
	loses            func(*http.Request) bool // reports whether a request is lost; may be nil
	dropRequests     map[string]bool          // requests to these addresses are lost
	dropResponses    map[string]bool          // responses from these addresses are lost
	breakConnections map[string]bool          // connections to these addresses break before the response
}

func newLink() *link {
	return &link{
		inner:            NewHTTPClient().Transport,
		dropRequests:     make(map[string]bool),
		dropResponses:    make(map[string]bool),
		breakConnections: make(map[string]bool),
	}
}

func (l *link) RoundTrip(request *http.Request) (*http.Response, error) {
	if l.contains(l.dropRequests, request.URL.Host) || l.losesRequest(request) {
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	response, err := l.inner.RoundTrip(request)
	if l.contains(l.dropResponses, request.URL.Host) || l.contains(l.dropRequests, request.URL.Host) {
		if err == nil {
			response.Body.Close()
		}
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	if err == nil && l.contains(l.breakConnections, request.URL.Host) {
		response.Body.Close()
		return nil, io.ErrUnexpectedEOF
	}
	return response, err
}

func (l *link) losesRequest(request *http.Request) bool {
	l.mu.Lock()
	loses := l.loses
	l.mu.Unlock()
	return loses != nil && loses(request)
}

func (l *link) contains(set map[string]bool, address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return set[address]
}

func (l *link) set(set map[string]bool, address string, on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	set[address] = on
}

// host is one member of a test cluster with its HTTP server. It keeps its address
// over restarts.
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

// newCluster starts hosts of the given names, which form a cluster.
func newCluster(t testing.TB, names ...string) *cluster {
	c := newStoppedCluster(t, names...)
	for _, h := range c.hosts {
		h.start()
	}
	return c
}

// newStoppedCluster prepares hosts that form a cluster once the test starts them.
func newStoppedCluster(t testing.TB, names ...string) *cluster {
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
	h.node, h.server = node, server
	go server.Serve(listenWhenFree(h.t, h.address))
	return nil
}

// listenWhenFree listens on an address that freeAddress has returned. An outgoing
// connection of any process may occupy its port for a moment.
func listenWhenFree(t testing.TB, address string) net.Listener {
	t.Helper()
	var listener net.Listener
	waitFor(t, "the port of "+address, func() bool {
		var err error
		listener, err = net.Listen("tcp", address)
		return err == nil
	})
	return listener
}

func (h *host) stop() {
	if h.node == nil {
		return
	}
	assert.Check(h.t, h.server.Close())
	assert.Check(h.t, h.node.Close())
	h.node = nil
}

// wipe deletes the data folder of a stopped host.
func (h *host) wipe() { assert.NilError(h.t, os.RemoveAll(h.options.DataDir)) }

// isolate starts or ends a partition between h and all other hosts, in both
// directions.
func (c *cluster) isolate(h *host, on bool) {
	for _, other := range c.hosts {
		if other != h {
			h.link.set(h.link.dropRequests, other.address, on)
			other.link.set(other.link.dropRequests, h.address, on)
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

// awaitLeader waits until one of the given hosts, or of all hosts, leads, and
// returns it.
func (c *cluster) awaitLeader(hosts ...*host) *host {
	c.t.Helper()
	if len(hosts) == 0 {
		hosts = c.hosts
	}
	var found *host
	waitFor(c.t, "a host to lead", func() bool {
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

// propose writes value through h, and repeats the proposal until it succeeds.
func (h *host) propose(value uint64) {
	h.t.Helper()
	waitFor(h.t, "a proposal to succeed", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		_, err := h.node.Propose(ctx, encodeNumber(value))
		return err == nil
	})
}

// awaitRead waits until a linearizable read through h succeeds, and checks that it
// returns value.
func (h *host) awaitRead(value uint64) {
	h.t.Helper()
	waitFor(h.t, "a read to succeed", func() bool {
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

// seesVoter reports whether the membership in force on h names a member as voter.
func (h *host) seesVoter(name string) bool {
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
	poll.WaitOn(t, check, poll.WithTimeout(testTimeout), poll.WithDelay(10*time.Millisecond))
}
