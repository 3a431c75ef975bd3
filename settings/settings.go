// Package settings reads the INI settings files of the proxy and control daemons.
// It reports all mistakes in a file at once, each with its file, section, key and
// the allowed values. Unknown sections and keys are mistakes too.
package settings

import (
	"fmt"
	"log/slog"
	"strings"
	"time"

	"lovageslip/logging"
)

// Member is a control host of the initial membership.
type Member struct {
	Name    string
	Address string // IP number and port
}

// TokenKey is a key that signs and verifies session tokens.
type TokenKey struct {
	ID     uint32
	Secret []byte
}

// Auth selects how callers authenticate.
type Auth string

// Authentication methods of callers. AuthTrust accepts every user without a
// password.
const (
	AuthTrust Auth = "trust"
	AuthSCRAM Auth = "scram"
)

// Log holds the log level and the format of log lines.
type Log struct {
	Level  slog.Level
	Format logging.Format
}

// TLS holds the paths of PEM files. All fields are empty if TLS is off.
type TLS struct {
	Certificate string
	Key         string
	Authority   string
	// Announcers is the certificate authority of upstreams that may announce
	// themselves and call nothing else. It is empty if the upstreams have
	// certificates of the hosts' authority.
	Announcers string
}

// Enabled reports whether TLS is configured.
func (t TLS) Enabled() bool { return t.Certificate != "" || t.Authority != "" }

// Upstreams holds the user and password with which hosts log in to upstreams. The
// zero value means the default user without a password.
type Upstreams struct {
	User     string
	Password string
}

// Proxy holds the settings of a proxy host.
type Proxy struct {
	Name             string
	DataCentre       string
	Callers          string // IP number and port for callers
	Hosts            string // IP number and port to listen on for other hosts
	Advertise        string // IP number and port under which other hosts reach Hosts
	Metrics          string // IP number and port for metrics and health
	Control          []string
	TokenKeys        []TokenKey
	Auth             Auth
	Passwords        map[string]string
	RequireTLS       bool // refuse callers without TLS
	Upstreams        Upstreams
	ShutdownDeadline time.Duration
	Log              Log
	TLSCallers       TLS
	TLSHosts         TLS
	TLSUpstreams     TLS
}

// Control holds the settings of a control host.
type Control struct {
	Name         string
	DataCentre   string
	Hosts        string // IP number and port for other hosts
	Metrics      string // IP number and port for metrics and health
	Members      []Member
	Data         string
	Upstreams    Upstreams
	Log          Log
	TLSHosts     TLS
	TLSUpstreams TLS
}

// Problem is one mistake in a settings file.
type Problem struct {
	File    string
	Section string
	Key     string
	Value   string
	Detail  string
	Allowed string
}

func (p *Problem) Error() string {
	text := fmt.Sprintf("%s: [%s] %s: %s", p.File, p.Section, p.Key, p.Detail)
	if p.Value != "" {
		text += fmt.Sprintf(" %q", p.Value)
	}
	if p.Allowed != "" {
		text += "; allowed: " + p.Allowed
	}
	return text
}

// Problems lists every mistake in a settings file.
type Problems []*Problem

func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.Error())
	}
	return strings.Join(lines, "\n")
}

// Kind is the kind of daemon that a settings file configures.
type Kind string

// Kinds of settings files.
const (
	KindProxy   Kind = "proxy"
	KindControl Kind = "control"
)

// Check reads a settings file of either kind and returns its kind, which the key
// host.role states. The error is of type Problems.
func Check(file string) (Kind, error) {
	p, err := newParser(file)
	if err != nil {
		return "", err
	}
	if p.file.Section("host").Key("role").String() == string(KindControl) {
		_, err := LoadControl(file)
		return KindControl, err
	}
	_, err = LoadProxy(file)
	return KindProxy, err
}

// DefaultUpstreamUser is the user with which hosts log in to upstreams by default.
const DefaultUpstreamUser = "lovageslip"

const (
	minShutdownDeadline = time.Second
	maxShutdownDeadline = time.Hour
)

// LoadProxy reads the settings of a proxy host. The error is of type Problems.
func LoadProxy(file string) (*Proxy, error) {
	p, err := newParser(file)
	if err != nil {
		return nil, err
	}
	s := &Proxy{}
	p.checkRole(KindProxy)
	s.Name = required(p, "host", "name", allowedName, parseName)
	s.DataCentre = required(p, "host", "data_centre", allowedName, parseName)
	s.Callers = required(p, "listen", "callers", allowedAddress, parseAddress)
	s.Hosts = required(p, "listen", "hosts", allowedAddress, parseAddress)
	s.Advertise = optional(p, "listen", "advertise", allowedAddress, s.Hosts, parseAddress)
	s.Metrics = optional(p, "listen", "metrics", allowedAddress, "", parseAddress)
	s.Control = required(p, "control", "hosts", allowedHosts, parseAddresses)
	s.TokenKeys = required(p, "session", "key_file", allowedKeyFile, parseKeys)
	s.Auth = optional(p, "callers", "auth", allowedAuth, AuthTrust, parseAuth)
	s.Passwords = optional(p, "callers", "password_file", allowedPassword, nil, parsePasswords)
	s.RequireTLS = optional(p, "callers", "require_tls", allowedBool, false, parseBool)
	s.Upstreams = p.upstreams()
	s.ShutdownDeadline = optional(p, "shutdown", "deadline", minShutdownDeadline.String()+" to "+maxShutdownDeadline.String(),
		30*time.Second, durationBetween(minShutdownDeadline, maxShutdownDeadline))
	s.Log = p.log()
	s.TLSCallers = p.tls("tls_callers", "certificate", "key")
	s.TLSHosts = p.tlsHosts()
	s.TLSUpstreams = p.tls("tls_upstreams", "authority")
	if s.Auth == AuthSCRAM && len(s.Passwords) == 0 {
		p.addProblem("callers", "password_file", "", "is required with auth = scram", allowedPassword)
	}
	if s.RequireTLS && !s.TLSCallers.Enabled() {
		p.addProblem("callers", "require_tls", "", "needs [tls_callers] certificate and key", "")
	}
	return s, p.finish()
}

// LoadControl reads the settings of a control host. The error is of type
// Problems.
func LoadControl(file string) (*Control, error) {
	p, err := newParser(file)
	if err != nil {
		return nil, err
	}
	s := &Control{}
	p.checkRole(KindControl)
	s.Name = required(p, "host", "name", allowedName, parseName)
	s.DataCentre = required(p, "host", "data_centre", allowedName, parseName)
	s.Hosts = required(p, "listen", "hosts", allowedAddress, parseAddress)
	s.Metrics = optional(p, "listen", "metrics", allowedAddress, "", parseAddress)
	s.Members = required(p, "control", "members", allowedMembers, parseMembers)
	s.Data = required(p, "control", "data", allowedPath, parseFolder)
	s.Upstreams = p.upstreams()
	s.Log = p.log()
	s.TLSHosts = p.tlsHosts()
	s.TLSUpstreams = p.tls("tls_upstreams", "authority")
	return s, p.finish()
}
