package daemon

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"lovageslip/admin"
	"lovageslip/class"
	"lovageslip/gen/lovageslip/v1/lovageslipv1connect"
	"lovageslip/internal/testcert"
	"lovageslip/settings"
	"lovageslip/tlsconf"
)

// TestSiteWithTLSOnEveryConnection guards against parts that send plaintext or
// cannot reach their peers when TLS is on, and against hosts that accept peers
// without a certificate.
func TestSiteWithTLSOnEveryConnection(t *testing.T) {
	s := startSecureSite(t)
	t.Run("reads and writes through every proxy", s.testStatements)
	t.Run("changes through every control host", s.testChanges)
	t.Run("no host has sent plaintext", s.testNoPlaintext)
	t.Run("unknown peers are refused in the handshake", s.testUnknownPeers)
	t.Run("plaintext is refused", s.testPlaintext)
	t.Run("announcement with a certificate", s.testAnnouncement)
	t.Run("announcers only announce", s.testAnnouncersOnlyAnnounce)
	t.Run("wrong password", s.testWrongPassword)
	t.Run("change of primary", s.testChangeOfPrimary)
	t.Run("no secret is logged", s.testNoSecretLogged)
}

// testStatements writes through both proxies: one of them is not the owner of
// the primary and reaches it through the other.
func (s *secureSite) testStatements(t *testing.T) {
	for i := range siteProxies {
		conn, err := s.connect(t.Context(), i, callerPassword, "filing")
		assert.NilError(t, err)
		defer conn.Close(context.Background())
		_, err = conn.Exec(t.Context(), fmt.Sprintf("INSERT INTO entries VALUES (%d, 'encrypted')", i))
		assert.NilError(t, err)
		_, err = conn.Exec(t.Context(), "SET lovageslip.class = 'reading'")
		assert.NilError(t, err)
		var count int
		assert.NilError(t, conn.QueryRow(t.Context(), "SELECT count(*) FROM entries").Scan(&count))
		assert.Equal(t, count, i+1)
	}
}

func (s *secureSite) testChanges(t *testing.T) {
	for i, address := range s.addresses(0, siteControls) {
		client := admin.New(s.client, []string{address})
		change := admin.Change{
			ChangeID: fmt.Sprintf("through-%d", i), Operator: "test",
			Class: class.Class{Name: "reading", Wait: time.Duration(i+1) * time.Second, Age: 30 * time.Second},
		}
		s.await("change through "+address, func(ctx context.Context) error {
			_, err := client.ChangeClass(ctx, change)
			return err
		})
		members, err := client.ListMembers(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(members.GetMembership().GetMembers()), siteControls)
	}
}

func (s *secureSite) testNoPlaintext(t *testing.T) {
	for _, listener := range s.hostListeners {
		encrypted, plain := listener.connections()
		assert.Assert(t, encrypted > 0, "no connection to %s", listener.Addr())
		assert.Equal(t, plain, 0, "plaintext to %s", listener.Addr())
	}
}

const refusedAnnouncement = `{"name":"intruder","database":"diary","address":"127.0.0.1:1","dataCentre":"luzon","role":"replica","term":"1","slots":5,"maxConnections":70}`

func announce(client *http.Client, base, body string) (int, error) {
	url := base + lovageslipv1connect.ControlServiceAnnounceProcedure
	response, err := client.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

func (s *secureSite) assertNotRegistered(t *testing.T, upstream string) {
	t.Helper()
	status, err := s.admin.Status(t.Context())
	assert.NilError(t, err)
	for _, u := range status.GetUpstreams() {
		assert.Assert(t, u.GetName() != upstream)
	}
}

// testUnknownPeers calls each host over HTTP/1.1 and HTTP/2, without a
// certificate and with a certificate of an authority that the hosts don't trust.
func (s *secureSite) testUnknownPeers(t *testing.T) {
	otherAuthority, err := tlsconf.Client(testcert.NewAuthority(t, "foreign").Issue(t, "stranger"))
	assert.NilError(t, err)
	otherAuthority.RootCAs = s.withoutCertificate().RootCAs
	for name, config := range map[string]*tls.Config{"without certificate": s.withoutCertificate(), "of another authority": otherAuthority} {
		for _, address := range s.addresses(0, len(s.hostListeners)) {
			clients := []*http.Client{tlsconf.HTTPClient(config), {Transport: &http.Transport{TLSClientConfig: config.Clone()}}}
			for _, client := range clients {
				_, err := announce(client, "https://"+address, refusedAnnouncement)
				assert.Assert(t, err != nil, "%s is served by %s", name, address)
				client.CloseIdleConnections()
			}
			s.assertRefusedInHandshake(t, config, address)
		}
	}
	s.assertNotRegistered(t, "intruder")
}

// assertRefusedInHandshake connects without a request. In TLS 1.3 the client
// learns of the refusal at its first read.
func (s *secureSite) assertRefusedInHandshake(t *testing.T, config *tls.Config, address string) {
	t.Helper()
	dialer := &tls.Dialer{Config: config.Clone()}
	conn, err := dialer.DialContext(t.Context(), "tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(siteTimeout)))
	_, err = conn.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "remote error: tls:")
}

func (s *secureSite) testPlaintext(t *testing.T) {
	for _, address := range s.addresses(0, len(s.hostListeners)) {
		code, err := announce(&http.Client{Transport: &http.Transport{}}, "http://"+address, refusedAnnouncement)
		assert.Assert(t, err != nil || code == http.StatusBadRequest, "answered %d", code)
		_, err = announce(tlsconf.HTTPClient(nil), "http://"+address, refusedAnnouncement)
		assert.Assert(t, err != nil, "HTTP/2 without TLS is served by %s", address)
		_, err = admin.New(tlsconf.HTTPClient(nil), []string{address}).Status(t.Context())
		assert.Assert(t, err != nil, "operators are served in plaintext by %s", address)
	}
	s.assertNotRegistered(t, "intruder")
	_, err := pgx.Connect(t.Context(), "postgres://app:"+callerPassword+"@"+s.callerAddresses[0]+"/diary?sslmode=disable")
	assert.ErrorContains(t, err, "28000")
}

// testAnnouncement announces an upstream to each host with plain JSON over
// HTTP/1.1 and an announcer's certificate.
func (s *secureSite) testAnnouncement(t *testing.T) {
	config, err := tlsconf.Client(s.announcerFiles())
	assert.NilError(t, err)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: config}}
	defer client.CloseIdleConnections()
	body := strings.NewReplacer("intruder", "guest", `"diary"`, `"guests"`).Replace(refusedAnnouncement)
	for _, address := range s.addresses(0, len(s.hostListeners)) {
		s.await("announcement to "+address, func(context.Context) error {
			code, err := announce(client, "https://"+address, body)
			if err == nil && code != http.StatusOK {
				err = fmt.Errorf("answered %d", code)
			}
			return err
		})
	}
}

// testAnnouncersOnlyAnnounce calls other procedures with an announcer's
// certificate, which must be refused.
func (s *secureSite) testAnnouncersOnlyAnnounce(t *testing.T) {
	client := s.httpClient(s.announcerFiles())
	for _, address := range s.addresses(0, len(s.hostListeners)) {
		for _, procedure := range []string{
			lovageslipv1connect.ControlServiceStatusProcedure,
			lovageslipv1connect.ControlServiceChangeClassProcedure,
			lovageslipv1connect.ConsensusServiceAppendEntriesProcedure,
			lovageslipv1connect.MemberServiceRemoveMemberProcedure,
			lovageslipv1connect.ExchangeServiceRunProcedure,
		} {
			response, err := client.Post("https://"+address+procedure, "application/json", strings.NewReader("{}"))
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			assert.Equal(t, response.StatusCode, http.StatusForbidden, "%s of %s", procedure, address)
		}
	}
}

func (s *secureSite) testWrongPassword(t *testing.T) {
	_, err := s.connect(t.Context(), 0, "not-"+callerPassword, "filing")
	assert.ErrorContains(t, err, "28P01")
	assert.Assert(t, !strings.Contains(err.Error(), callerPassword), "%v", err)
}

// testChangeOfPrimary stops the primary, so that the control leader must log in
// to the other upstreams over TLS and change the primary.
func (s *secureSite) testChangeOfPrimary(t *testing.T) {
	s.standins[0].Kill()
	for i := range siteProxies {
		s.awaitWrite(i)
	}
}

func (s *secureSite) testNoSecretLogged(t *testing.T) {
	log := s.log.String()
	assert.Assert(t, strings.Contains(log, "caller refused"))
	for _, secret := range []string{callerPassword, upstreamPassword} {
		assert.Assert(t, !strings.Contains(log, secret))
	}
}

// An operator who turns on passwords without TLS must be warned in the log.
func TestPasswordsWithoutTLSAreWarnedOf(t *testing.T) {
	log := &logBuffer{}
	s := &secureSite{log: log}
	p := &proxy{settings: &settings.Proxy{Auth: settings.AuthSCRAM}, log: s.logger("proxy")}
	p.warnAboutPlaintextLogins()
	assert.Assert(t, strings.Contains(log.String(), "without TLS"))
}
