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

// setUpTimeout limits each wait for a state of the site. It is long enough for
// the start of a whole site on a busy machine.
const setUpTimeout = 60 * time.Second

// siteOptions configures startSite. Zero fields get the defaults of setDefaults.
type siteOptions struct {
	controls    int
	proxies     int
	databases   []string
	lag         time.Duration
	serviceTime time.Duration
	slots       int
	// dataCentres are the data centres that hosts and upstreams are spread over.
	dataCentres []string
	classes     []class.Class
	// relays puts a relay in front of each link, so that a test can silence the
	// link's open connections.
	relays bool
}

// site is a set of control and proxy processes in front of stand-in upstreams
// that run in the test's process. Connections to upstreams, from other hosts
// to proxies and from proxies to control hosts pass through a fault-injecting
// proxy.
type site struct {
	t                testing.TB
	dir              string
	options          siteOptions
	links            map[string]*link
	controls         []*process
	proxies          []*process
	callerAddresses  []string // addresses for callers, by proxy
	metricsAddresses []string // addresses for metrics and health, by proxy
	upstreams        map[string]*standin.Server
	controlAddresses []string // addresses of the control hosts, not through a link
	admin            *admin.Client
	toxiproxyServer  *toxiproxy.ApiServer
}

// link is an address whose connections pass through the fault-injecting proxy.
type link struct {
	proxy *toxiproxy.Proxy
	relay *relay // nil without siteOptions.relays
}

// cut closes all connections of the link and refuses new ones.
func (l *link) cut() { l.proxy.Stop() }

// heal accepts connections again after cut.
func (l *link) heal(t testing.TB) {
	t.Helper()
	assert.NilError(t, l.proxy.Start())
}

func (o *siteOptions) setDefaults() {
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
	if o.dataCentres == nil {
		o.dataCentres = []string{"luzon"}
	}
	if o.classes == nil {
		o.classes = []class.Class{
			{Name: "filing", Wait: 10 * time.Second},
			{Name: "reading", Wait: 5 * time.Second, Age: 30 * time.Second},
			{Name: "reviewing", Wait: 5 * time.Second, Age: time.Second},
		}
	}
}

// startSite starts a site. It returns when every upstream has an owner, every
// group has a primary and every proxy accepts writes of the class filing.
func startSite(t testing.TB, options siteOptions) *site {
	t.Helper()
	options.setDefaults()
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

// Range of the ports that tests listen on. It lies below the system's range for
// outgoing connections, from which a free port may be taken before it is used.
const (
	firstPort = 10000
	portCount = 20000
)

var nextPort atomic.Uint32

func init() { nextPort.Store(rand.Uint32N(portCount)) }

// freeAddress returns a loopback address that no process listened on when it was
// tried.
func (s *site) freeAddress() string {
	s.t.Helper()
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%portCount)
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

// addLink puts the fault-injecting proxy in front of the address to, and returns
// the address to connect to instead.
func (s *site) addLink(name, to string) string {
	s.t.Helper()
	if s.toxiproxyServer == nil {
		s.toxiproxyServer = toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	}
	proxy := toxiproxy.NewProxy(s.toxiproxyServer, name, s.freeAddress(), to)
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

func (s *site) dataCentre(i int) string { return s.options.dataCentres[i%len(s.options.dataCentres)] }

func (s *site) startControls() {
	s.t.Helper()
	var members []string
	for i := range s.options.controls {
		s.controlAddresses = append(s.controlAddresses, s.freeAddress())
		members = append(members, fmt.Sprintf("control-%d=%s", i+1, s.controlAddresses[i]))
	}
	for i := range s.options.controls {
		s.controls = append(s.controls, s.newControl(i, strings.Join(members, ", ")))
		s.controls[i].start()
	}
	s.admin = admin.New(tlsconf.HTTPClient(nil), s.controlAddresses)
}

func (s *site) newControl(i int, members string) *process {
	s.t.Helper()
	name := fmt.Sprintf("control-%d", i+1)
	file := s.write(name+".ini", fmt.Sprintf(
		"[host]\nrole = control\nname = %s\ndata_centre = %s\n[listen]\nhosts = %s\n[control]\nmembers = %s\ndata = %s\n",
		name, s.dataCentre(i), s.controlAddresses[i], members, name))
	return newProcess(s.t, name, "lovageslip-control", file)
}

func (s *site) startProxies() {
	s.t.Helper()
	for i := range s.options.proxies {
		name := fmt.Sprintf("proxy-%d", i+1)
		callers, hosts, metrics := s.freeAddress(), s.freeAddress(), s.freeAddress()
		advertise := s.addLink(name, hosts)
		var control []string
		for c, address := range s.controlAddresses {
			control = append(control, s.addLink(fmt.Sprintf("%s to control-%d", name, c+1), address))
		}
		file := s.write(name+".ini", fmt.Sprintf(
			"[host]\nrole = proxy\nname = %s\ndata_centre = %s\n[listen]\ncallers = %s\nhosts = %s\nadvertise = %s\nmetrics = %s\n"+
				"[control]\nhosts = %s\n[session]\nkey_file = session.key\n[shutdown]\ndeadline = 20s\n",
			name, s.dataCentre(i), callers, hosts, advertise, metrics, strings.Join(control, ", ")))
		s.callerAddresses = append(s.callerAddresses, callers)
		s.metricsAddresses = append(s.metricsAddresses, metrics)
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
				Name: name, Database: database, DataCentre: s.dataCentre(i), Address: address, Advertise: advertise,
				Primary: primary, Lag: s.options.lag, ServiceTime: s.options.serviceTime, Slots: s.options.slots,
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
	for _, address := range s.controlAddresses {
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
		return s.checkReady(status)
	})
	for i := range s.proxies {
		s.awaitServing(i)
	}
}

// checkReady returns an error unless each upstream has an owner and each group a
// primary and all of its members.
func (s *site) checkReady(status *lovageslipv1.StatusResponse) error {
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

// awaitServing waits until a proxy executes a write on each database. The write
// creates the table entries, unless it exists.
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

// await calls f until it returns no error. The test fails after setUpTimeout.
func (s *site) await(description string, f func(context.Context) error) {
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
			s.t.Fatalf("%s: not reached within %s, last error: %v", description, setUpTimeout, err)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// dial connects to a proxy as a caller of a class.
func (s *site) dial(ctx context.Context, proxy int, database, class string) (*pgx.Conn, error) {
	return dialAt(ctx, s.callerAddresses[proxy], database, class)
}

func dialAt(ctx context.Context, address, database, class string) (*pgx.Conn, error) {
	return pgx.Connect(ctx, fmt.Sprintf("postgres://caller@%s/%s?sslmode=disable&lovageslip.class=%s",
		address, database, class))
}

// connect dials a proxy for the first database. It fails the test on an error,
// and closes the connection at the end of the test.
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

// group returns the group of a database as the control hosts report it.
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
