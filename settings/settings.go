// Package settings reads the INI settings of the daemons. A file is checked
// whole: every problem is reported with its file, section, key and the allowed
// range, and unknown sections and keys are refused.
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

// TokenKey signs or verifies session tokens.
type TokenKey struct {
	ID     uint32
	Secret []byte
}

// Auth selects how callers prove who they are.
type Auth string

// Ways to authenticate callers.
const (
	AuthTrust Auth = "trust"
	AuthSCRAM Auth = "scram"
)

// Log selects what is logged and how.
type Log struct {
	Level  slog.Level
	Format logging.Format
}

// TLS names PEM files. All fields are empty if TLS is off.
type TLS struct {
	Certificate string
	Key         string
	Authority   string
	// Announcers is the authority of upstreams that may announce themselves
	// and nothing else; empty if upstreams have certificates of hosts.
	Announcers string
}

// On reports whether TLS is configured.
func (t TLS) On() bool { return t.Certificate != "" || t.Authority != "" }

// Upstreams holds how hosts log in to upstreams. The zero value is the default
// user without a password.
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

// Kind tells which daemon a settings file is for.
type Kind string

// Kinds of settings files.
const (
	KindProxy   Kind = "proxy"
	KindControl Kind = "control"
)

// Check reads a settings file of either kind. The kind follows from the key
// host.role.
func Check(file string) (Kind, error) {
	p, err := open(file)
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

// DefaultUpstreamUser is the user that hosts are to upstreams.
const DefaultUpstreamUser = "lovageslip"

const (
	minShutdown = time.Second
	maxShutdown = time.Hour
)

// LoadProxy reads the settings of a proxy host. The error is of type Problems.
func LoadProxy(file string) (*Proxy, error) {
	p, err := open(file)
	if err != nil {
		return nil, err
	}
	s := &Proxy{}
	p.role(KindProxy)
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
	s.ShutdownDeadline = optional(p, "shutdown", "deadline", minShutdown.String()+" to "+maxShutdown.String(),
		30*time.Second, durationBetween(minShutdown, maxShutdown))
	s.Log = p.log()
	s.TLSCallers = p.tls("tls_callers", "certificate", "key")
	s.TLSHosts = p.tlsHosts()
	s.TLSUpstreams = p.tls("tls_upstreams", "authority")
	if s.Auth == AuthSCRAM && len(s.Passwords) == 0 {
		p.problem("callers", "password_file", "", "is required with auth = scram", allowedPassword)
	}
	if s.RequireTLS && !s.TLSCallers.On() {
		p.problem("callers", "require_tls", "", "needs [tls_callers] certificate and key", "")
	}
	return s, p.finish()
}

// LoadControl reads the settings of a control host. The error is of type
// Problems.
func LoadControl(file string) (*Control, error) {
	p, err := open(file)
	if err != nil {
		return nil, err
	}
	s := &Control{}
	p.role(KindControl)
	s.Name = required(p, "host", "name", allowedName, parseName)
	s.DataCentre = required(p, "host", "data_centre", allowedName, parseName)
	s.Hosts = required(p, "listen", "hosts", allowedAddress, parseAddress)
	s.Metrics = optional(p, "listen", "metrics", allowedAddress, "", parseAddress)
	s.Members = required(p, "control", "members", allowedMembers, parseMembers)
	s.Data = required(p, "control", "data", allowedFolder, parseFolder)
	s.Upstreams = p.upstreams()
	s.Log = p.log()
	s.TLSHosts = p.tlsHosts()
	s.TLSUpstreams = p.tls("tls_upstreams", "authority")
	return s, p.finish()
}
