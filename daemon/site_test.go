package daemon

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/tls"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"lovageslip/admin"
	"lovageslip/class"
	lovageslipv1 "lovageslip/gen/lovageslip/v1"
	"lovageslip/internal/testcert"
	"lovageslip/settings"
	"lovageslip/standin"
	"lovageslip/tlsconf"
)

const (
	siteControls     = 3
	siteProxies      = 2
	siteUpstreams    = 3
	siteDatabase     = "diary"
	callerPassword   = "password-of-the-caller"
	upstreamPassword = "password-of-the-proxies"
	siteTimeout      = 60 * time.Second
)

// firstByteListener wraps a listener and counts the connections by their first
// byte, which tells TLS from plaintext.
type firstByteListener struct {
	net.Listener
	mu     sync.Mutex
	counts map[byte]int // guarded by mu
}

func (f *firstByteListener) Accept() (net.Conn, error) {
	conn, err := f.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &firstByteConn{Conn: conn, listener: f}, nil
}

func (f *firstByteListener) record(b byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[b]++
}

// connections returns how many connections began with TLS and how many did not.
func (f *firstByteListener) connections() (encrypted, plain int) {
	const handshakeRecord = 0x16
	f.mu.Lock()
	defer f.mu.Unlock()
	for b, n := range f.counts {
		if b == handshakeRecord {
			encrypted += n
		} else {
			plain += n
		}
	}
	return encrypted, plain
}

type firstByteConn struct {
	net.Conn
	listener *firstByteListener
	once     sync.Once
}

func (c *firstByteConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.once.Do(func() { c.listener.record(p[0]) })
	}
	return n, err
}

// logBuffer collects the log of a site.
type logBuffer struct {
	mu  sync.Mutex // guards buf
	buf bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// secureSite is a site in this process, with TLS on all connections and with
// passwords for callers and upstreams.
type secureSite struct {
	t               *testing.T
	hosts           *testcert.Authority
	announcer       *testcert.Authority
	callers         *testcert.Authority
	upstreams       *testcert.Authority
	log             *logBuffer
	hostListeners   []*firstByteListener // of the control hosts, then of the proxies
	callerAddresses []string             // where proxies accept callers
	standins        []*standin.Server
	client          *http.Client // with the certificate of an operator
	admin           *admin.Client
}

func startSecureSite(t *testing.T) *secureSite {
	t.Helper()
	s := &secureSite{
		t: t, hosts: testcert.NewAuthority(t, "hosts"), callers: testcert.NewAuthority(t, "callers"),
		upstreams: testcert.NewAuthority(t, "upstreams"), announcer: testcert.NewAuthority(t, "announcers"), log: &logBuffer{},
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("log:\n%s", s.log)
		}
	})
	for range siteControls + siteProxies {
		s.hostListeners = append(s.hostListeners, &firstByteListener{Listener: openListener(t), counts: make(map[byte]int)})
	}
	s.client = s.httpClient(s.hosts.Issue(t, "operator"))
	s.admin = admin.New(s.client, s.addresses(0, siteControls))
	for i := range siteControls {
		s.startControl(i)
	}
	secret := make([]byte, 32)
	_, _ = rand.Read(secret)
	for i := range siteProxies {
		s.startProxy(i, settings.TokenKey{ID: 1, Secret: secret})
	}
	for range siteUpstreams {
		s.startUpstream()
	}
	s.awaitReady()
	return s
}

func openListener(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return listener
}

func (s *secureSite) addresses(from, to int) []string {
	var addresses []string
	for _, listener := range s.hostListeners[from:to] {
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses
}

func (s *secureSite) httpClient(files settings.TLS) *http.Client {
	s.t.Helper()
	config, err := tlsconf.Client(files)
	assert.NilError(s.t, err)
	return tlsconf.HTTPClient(config)
}

func (s *secureSite) logger(name string) *slog.Logger {
	return slog.New(slog.NewTextHandler(s.log, &slog.HandlerOptions{Level: slog.LevelDebug})).With("process", name)
}

// run runs a daemon until the test ends.
func (s *secureSite) run(name string, daemon func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := daemon(ctx); err != nil && ctx.Err() == nil {
			s.t.Errorf("%s: %v", name, err)
		}
	}()
	s.t.Cleanup(func() { cancel(); <-ended })
}

func (s *secureSite) startControl(i int) {
	var members []settings.Member
	for m, address := range s.addresses(0, siteControls) {
		members = append(members, settings.Member{Name: fmt.Sprintf("control-%d", m+1), Address: address})
	}
	control := &settings.Control{
		Name: members[i].Name, DataCentre: "luzon", Hosts: members[i].Address, Members: members, Data: s.t.TempDir(),
		TLSHosts: s.hostFiles(members[i].Name), TLSUpstreams: settings.TLS{Authority: s.upstreams.File},
		Upstreams: settings.Upstreams{User: "proxy", Password: upstreamPassword},
	}
	s.run(control.Name, func(ctx context.Context) error {
		return RunControl(ctx, control, s.hostListeners[i], s.logger(control.Name))
	})
}

func (s *secureSite) startProxy(i int, key settings.TokenKey) {
	callers, hosts := openListener(s.t), s.hostListeners[siteControls+i]
	name := fmt.Sprintf("proxy-%d", i+1)
	tlsCallers := s.callers.Issue(s.t, name)
	tlsCallers.Authority = "" // callers have passwords, not certificates
	proxy := &settings.Proxy{
		Name: name, DataCentre: "luzon", Hosts: hosts.Addr().String(), Advertise: hosts.Addr().String(),
		Control: s.addresses(0, siteControls), TokenKeys: []settings.TokenKey{key}, ShutdownDeadline: time.Second,
		Auth: settings.AuthSCRAM, Passwords: map[string]string{"app": callerPassword}, RequireTLS: true,
		TLSCallers: tlsCallers, TLSHosts: s.hostFiles(name), TLSUpstreams: settings.TLS{Authority: s.upstreams.File},
		Upstreams: settings.Upstreams{User: "proxy", Password: upstreamPassword},
	}
	s.callerAddresses = append(s.callerAddresses, callers.Addr().String())
	s.run(name, func(ctx context.Context) error {
		return RunProxy(ctx, proxy, ProxyOptions{Callers: callers, Hosts: hosts}, s.logger(name))
	})
}

// hostFiles returns the certificate of a host and the authorities of its peers.
func (s *secureSite) hostFiles(name string) settings.TLS {
	files := s.hosts.Issue(s.t, name)
	files.Announcers = s.announcer.File
	return files
}

// announcerFiles returns the certificate of an upstream that announces itself
// and the authority of the hosts.
func (s *secureSite) announcerFiles() settings.TLS {
	files := s.announcer.Issue(s.t, "announcer")
	files.Authority = s.hosts.File
	return files
}

// startUpstream starts a stand-in that announces itself with a certificate of
// the announcers' authority.
func (s *secureSite) startUpstream() {
	s.t.Helper()
	files := s.upstreams.Issue(s.t, "upstream")
	config, err := tlsconf.Server(settings.TLS{Certificate: files.Certificate, Key: files.Key})
	assert.NilError(s.t, err)
	options := standin.Options{
		Name: fmt.Sprintf("%s-%d", siteDatabase, len(s.standins)+1), Database: siteDatabase, DataCentre: "luzon",
		Slots: 5, MaxConnections: 70, TLS: config, Passwords: map[string]string{"proxy": upstreamPassword},
		HTTPClient: s.httpClient(s.announcerFiles()),
	}
	for _, address := range s.addresses(0, len(s.hostListeners)) {
		options.AnnounceTo = append(options.AnnounceTo, "https://"+address)
	}
	if len(s.standins) > 0 {
		options.Primary = s.standins[0].Address()
	}
	server, err := standin.Start(options)
	assert.NilError(s.t, err)
	s.t.Cleanup(server.Close)
	s.standins = append(s.standins, server)
}

func (s *secureSite) await(what string, f func(context.Context) error) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		ctx, cancel := context.WithTimeout(context.Background(), siteTimeout)
		defer cancel()
		if err := f(ctx); err != nil {
			return poll.Continue("%s: %v", what, err)
		}
		return poll.Success()
	}, poll.WithTimeout(siteTimeout), poll.WithDelay(20*time.Millisecond))
}

func (s *secureSite) awaitReady() {
	s.t.Helper()
	for _, c := range []class.Class{{Name: "filing", Wait: 10 * time.Second}, {Name: "reading", Wait: 5 * time.Second, Age: 30 * time.Second}} {
		s.await("class "+c.Name, func(ctx context.Context) error {
			_, err := s.admin.ChangeClass(ctx, admin.Change{ChangeID: "set-up-" + c.Name, Class: c, Operator: "test"})
			return err
		})
	}
	for i := range siteProxies {
		s.awaitWrite(i)
	}
	s.await("owners", func(ctx context.Context) error {
		for _, u := range s.status(ctx).GetUpstreams() {
			if u.GetOwner() == "" {
				return fmt.Errorf("%s has no owner", u.GetName())
			}
		}
		return nil
	})
}

func (s *secureSite) status(ctx context.Context) *lovageslipv1.StatusResponse {
	status, err := s.admin.Status(ctx)
	if err != nil {
		return nil
	}
	return status
}

// awaitWrite waits until a write through a proxy succeeds.
func (s *secureSite) awaitWrite(proxy int) {
	s.t.Helper()
	s.await(fmt.Sprintf("proxy %d writes", proxy+1), func(ctx context.Context) error {
		conn, err := s.connect(ctx, proxy, callerPassword, "filing")
		if err != nil {
			return err
		}
		defer conn.Close(ctx)
		_, err = conn.Exec(ctx, "CREATE TABLE IF NOT EXISTS entries (id INTEGER PRIMARY KEY, note TEXT)")
		return err
	})
}

func (s *secureSite) connect(ctx context.Context, proxy int, password, class string) (*pgx.Conn, error) {
	return pgx.Connect(ctx, fmt.Sprintf("postgres://app:%s@%s/%s?sslmode=verify-full&sslrootcert=%s&lovageslip.class=%s",
		password, s.callerAddresses[proxy], siteDatabase, s.callers.File, class))
}

// withoutCertificate returns the configuration of a client that trusts the
// hosts, but has no certificate of its own.
func (s *secureSite) withoutCertificate() *tls.Config {
	s.t.Helper()
	config, err := tlsconf.Client(settings.TLS{Authority: s.hosts.File})
	assert.NilError(s.t, err)
	return config
}
