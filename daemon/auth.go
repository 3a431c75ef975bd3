package daemon

import (
	"log/slog"

	"github.com/uber-go/tally/v4"

	"lovageslip/caller/pgcaller"
	"lovageslip/settings"
	"lovageslip/tlsconf"
	"lovageslip/upstream"
	"lovageslip/upstream/pgupstream"
)

func newAuthenticator(s *settings.Proxy) (pgcaller.Authenticator, error) {
	if s.Auth != settings.AuthSCRAM {
		return pgcaller.Trust{}, nil
	}
	return pgcaller.NewSCRAM(s.Passwords)
}

// newDialer returns the dialer of upstreams for proxies and control hosts.
func newDialer(login settings.Upstreams, files settings.TLS, log *slog.Logger, scope tally.Scope) (upstream.Dialer, error) {
	config, err := tlsconf.Client(files)
	if err != nil {
		return nil, err
	}
	return pgupstream.NewDialer(pgupstream.Options{
		Log: log, Metrics: scope, User: login.User, Password: login.Password, TLS: config,
	}), nil
}

// warnAboutPlaintextLogins logs a warning if callers log in with passwords but
// without TLS: SCRAM hides the password, but not what is sent after the login,
// and an active attacker can take over the connection once the login is done.
func (p *proxy) warnAboutPlaintextLogins() {
	if p.settings.Auth == settings.AuthSCRAM && !p.settings.TLSCallers.Enabled() {
		p.log.Warn("callers log in with passwords but without TLS; set [tls_callers]")
	}
}
