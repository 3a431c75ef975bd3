package integration

import (
	"context"
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/jackc/pgx/v5"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"lovageslip/admin"
	"lovageslip/class"
	lovageslipv1 "lovageslip/gen/lovageslip/v1"
	"lovageslip/standin"
	"lovageslip/tlsconf"
)

// setUpTimeout bounds the start of a whole site on a busy machine.
const setUpTimeout = 60 * time.Second

// siteOptions shapes a site. Zero fields take small defaults.
type siteOptions struct {
	controls  int
	proxies   int
	databases []string
	lag       time.Duration
	service   time.Duration
	slots     int
	// places are the data centres that hosts and upstreams are spread over.
	places  []string
	classes []class.Class
	// relays puts a relay before each link.
	relays bool
}

// site is a set of control and proxy processes before stand-in upstreams that
// run in the test's process. The links to upstreams, to proxies from other
// hosts and to control hosts from proxies pass through a fault-injecting proxy.
type site struct {
	t         testing.TB
	dir       string
	options   siteOptions
	links     map[string]*link
	controls  []*process
	proxies   []*process
	callers   []string // addresses for callers, by proxy
	metrics   []string // addresses for metrics and health, by proxy
	upstreams map[string]*standin.Server
	direct    []string // addresses of the control hosts without a link
	admin     *admin.Client
	toxi      *toxiproxy.ApiServer
}

// link is one address behind the fault-injecting proxy.
type link struct {
	proxy *toxiproxy.Proxy
	relay *relay // nil without siteOptions.relays
}

// cut drops all connections and refuses new ones.
func (l *link) cut() { l.proxy.Stop() }

// heal lets connections through again.
func (l *link) heal(t testing.TB) {
	t.Helper()
	assert.NilError(t, l.proxy.Start())
}

func (o *siteOptions) fill() {
	if o.controls == 0 {
		o.controls = 1
	}
	if o.proxies == 0 {
		o.proxies = 2
	}
	if o.databases == nil {
		o.databases = []string{"diary"}
	}
	if o.slots == 0 {
		o.slots = 5
	}
	if o.places == nil {
		o.places = []string{"luzon"}
	}
	if o.classes == nil {
		o.classes = []class.Class{
			{Name: "filing", Wait: 10 * time.Second},
			{Name: "reading", Wait: 5 * time.Second, Age: 30 * time.Second},
			{Name: "reviewing", Wait: 5 * time.Second, Age: time.Second},
		}
	}
}

// startSite starts a site and returns once every upstream has an owner, every
// group a primary, and the classes are in force on every proxy.
func startSite(t testing.TB, options siteOptions) *site {
	t.Helper()
	options.fill()
	s := &site{t: t, dir: t.TempDir(), options: options, links: make(map[string]*link), upstreams: make(map[string]*standin.Server)}
	key := base64.StdEncoding.EncodeToString([]byte(strings.Repeat("k", 32)))
	s.write("session.key", "1 "+key+"\n")
	s.startControls()
	s.startProxies()
	s.startUpstreams()
	s.awaitReady()
	return s
}

func (s *site) write(name, content string) string {
	s.t.Helper()
	path := filepath.Join(s.dir, name)
	assert.NilError(s.t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

// Ports below the range from which the system takes the ports of outgoing
// connections. A port from that range may be taken between the look and its use.
const (
	firstPort = 10000
	ports     = 20000
)

var nextPort atomic.Uint32

func init() { nextPort.Store(rand.Uint32N(ports)) }

// freeAddress returns a loopback address that was free a moment ago.
func (s *site) freeAddress() string {
	s.t.Helper()
	for range ports {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%ports)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		return address
	}
	s.t.Fatal("no free port")
	return ""
}

// addLink puts the fault-injecting proxy before an address and returns the
// address to use instead.
func (s *site) addLink(name, to string) string {
	s.t.Helper()
	if s.toxi == nil {
		s.toxi = toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	}
	proxy := toxiproxy.NewProxy(s.toxi, name, s.freeAddress(), to)
	assert.NilError(s.t, proxy.Start())
	s.t.Cleanup(proxy.Stop)
	l := &link{proxy: proxy}
	s.links[name] = l
	if !s.options.relays {
		return proxy.Listen
	}
	l.relay = startRelay(s.t, proxy.Listen)
	return l.relay.address()
}

func (s *site) place(i int) string { return s.options.places[i%len(s.options.places)] }

func (s *site) startControls() {
	s.t.Helper()
	var members []string
	for i := range s.options.controls {
		s.direct = append(s.direct, s.freeAddress())
		members = append(members, fmt.Sprintf("control-%d=%s", i+1, s.direct[i]))
	}
	for i := range s.options.controls {
		s.controls = append(s.controls, s.newControl(i, strings.Join(members, ", ")))
		s.controls[i].start()
	}
	s.admin = admin.New(tlsconf.HTTPClient(nil), s.direct)
}

func (s *site) newControl(i int, members string) *process {
	s.t.Helper()
	name := fmt.Sprintf("control-%d", i+1)
	file := s.write(name+".ini", fmt.Sprintf(
		"[host]\nrole = control\nname = %s\ndata_centre = %s\n[listen]\nhosts = %s\n[control]\nmembers = %s\ndata = %s\n",
		name, s.place(i), s.direct[i], members, name))
	return newProcess(s.t, name, "lovageslip-control", file)
}

func (s *site) startProxies() {
	s.t.Helper()
	for i := range s.options.proxies {
		name := fmt.Sprintf("proxy-%d", i+1)
		callers, hosts, metrics := s.freeAddress(), s.freeAddress(), s.freeAddress()
		advertise := s.addLink(name, hosts)
		var control []string
		for c, address := range s.direct {
			control = append(control, s.addLink(fmt.Sprintf("%s to control-%d", name, c+1), address))
		}
		file := s.write(name+".ini", fmt.Sprintf(
			"[host]\nrole = proxy\nname = %s\ndata_centre = %s\n[listen]\ncallers = %s\nhosts = %s\nadvertise = %s\nmetrics = %s\n"+
				"[control]\nhosts = %s\n[session]\nkey_file = session.key\n[shutdown]\ndeadline = 20s\n",
			name, s.place(i), callers, hosts, advertise, metrics, strings.Join(control, ", ")))
		s.callers = append(s.callers, callers)
		s.metrics = append(s.metrics, metrics)
		s.proxies = append(s.proxies, newProcess(s.t, name, "lovageslip-proxy", file))
		s.proxies[i].start()
	}
}

const upstreamsPerDatabase = 3

func (s *site) startUpstreams() {
	s.t.Helper()
	for _, database := range s.options.databases {
		primary := ""
		for i := range upstreamsPerDatabase {
			name := fmt.Sprintf("%s-%d", database, i+1)
			address := s.freeAddress()
			advertise := s.addLink(name, address)
			server, err := standin.Start(standin.Options{
				Name: name, Database: database, DataCentre: s.place(i), Address: address, Advertise: advertise,
				Primary: primary, Lag: s.options.lag, ServiceTime: s.options.service, Slots: s.options.slots,
				MaxConnections: 70, AnnounceTo: s.announceTo(),
			})
			assert.NilError(s.t, err)
			s.t.Cleanup(server.Close)
			s.upstreams[name] = server
			if i == 0 {
				primary = address
			}
		}
	}
}

func (s *site) announceTo() []string {
	var urls []string
	for _, address := range s.direct {
		urls = append(urls, "http://"+address)
	}
	return urls
}

func (s *site) awaitReady() {
	s.t.Helper()
	for _, c := range s.options.classes {
		change := admin.Change{ChangeID: "set-up-" + c.Name, Class: c, Operator: "test"}
		s.await("class "+c.Name+" accepted", func(ctx context.Context) error {
			_, err := s.admin.ChangeClass(ctx, change)
			return err
		})
	}
	s.await("owners and primaries", func(ctx context.Context) error {
		status, err := s.admin.Status(ctx)
		if err != nil {
			return err
		}
		return s.settled(status)
	})
	for i := range s.proxies {
		s.awaitServing(i)
	}
}

// settled returns an error that says what is missing.
func (s *site) settled(status *lovageslipv1.StatusResponse) error {
	owned, primaries := 0, 0
	for _, u := range status.GetUpstreams() {
		if u.GetOwner() != "" {
			owned++
		}
	}
	for _, g := range status.GetGroups() {
		if g.GetPrimary() != "" && len(g.GetMembers()) == upstreamsPerDatabase {
			primaries++
		}
	}
	if owned < len(s.upstreams) || primaries < len(s.options.databases) {
		return fmt.Errorf("%d of %d upstreams have an owner, %d of %d groups a primary",
			owned, len(s.upstreams), primaries, len(s.options.databases))
	}
	return nil
}

// awaitServing waits until a proxy answers a read and a write statement of
// each database.
func (s *site) awaitServing(proxy int) {
	s.t.Helper()
	for _, database := range s.options.databases {
		s.await(fmt.Sprintf("proxy-%d serves %s", proxy+1, database), func(ctx context.Context) error {
			conn, err := s.dial(ctx, proxy, database, "filing")
			if err != nil {
				return err
			}
			defer conn.Close(ctx)
			_, err = conn.Exec(ctx, "CREATE TABLE IF NOT EXISTS entries (id INTEGER PRIMARY KEY, note TEXT)")
			return err
		})
	}
}

// await repeats f until it succeeds.
func (s *site) await(what string, f func(context.Context) error) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), setUpTimeout)
	defer cancel()
	for {
		err := f(ctx)
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
			s.t.Fatalf("%s: not within %s: %v", what, setUpTimeout, err)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// dial connects a caller of a class to a proxy.
func (s *site) dial(ctx context.Context, proxy int, database, class string) (*pgx.Conn, error) {
	return dialAt(ctx, s.callers[proxy], database, class)
}

func dialAt(ctx context.Context, address, database, class string) (*pgx.Conn, error) {
	return pgx.Connect(ctx, fmt.Sprintf("postgres://caller@%s/%s?sslmode=disable&lovageslip.class=%s",
		address, database, class))
}

// connect is dial for callers that must succeed.
func (s *site) connect(proxy int, class string) *pgx.Conn {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), setUpTimeout)
	defer cancel()
	conn, err := s.dial(ctx, proxy, s.options.databases[0], class)
	assert.NilError(s.t, err)
	s.t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = conn.Close(ctx)
	})
	return conn
}

// group returns the control state of a database.
func (s *site) group(database string) *lovageslipv1.Group {
	s.t.Helper()
	var found *lovageslipv1.Group
	s.await("group "+database, func(ctx context.Context) error {
		status, err := s.admin.Status(ctx)
		if err != nil {
			return err
		}
		for _, g := range status.GetGroups() {
			if g.GetDatabase() == database {
				found = g
				return nil
			}
		}
		return fmt.Errorf("no group %s", database)
	})
	return found
}
