// Package settings reads the INI settings of the daemons. A file is checked
// whole: every problem is reported with its file, section, key and the allowed
// range, and unknown sections and keys are refused.
package settings

import (
	"fmt"
	"log/slog"
	"path/filepath"
	"strings"
	"time"

	"gopkg.in/ini.v1"

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
}

// On reports whether TLS is configured.
func (t TLS) On() bool { return t.Certificate != "" || t.Authority != "" }

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
	s.ShutdownDeadline = optional(p, "shutdown", "deadline", minShutdown.String()+" to "+maxShutdown.String(),
		30*time.Second, durationBetween(minShutdown, maxShutdown))
	s.Log = p.log()
	s.TLSCallers = p.tls("tls_callers", "certificate", "key")
	s.TLSHosts = p.tls("tls_hosts", "certificate", "key", "authority")
	s.TLSUpstreams = p.tls("tls_upstreams", "authority")
	if s.Auth == AuthSCRAM && len(s.Passwords) == 0 {
		p.problem("callers", "password_file", "", "is required with auth = scram", allowedPassword)
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
	s.Log = p.log()
	s.TLSHosts = p.tls("tls_hosts", "certificate", "key", "authority")
	s.TLSUpstreams = p.tls("tls_upstreams", "authority")
	return s, p.finish()
}

type parser struct {
	name     string
	file     *ini.File
	known    map[string]bool
	problems Problems
}

func open(file string) (*parser, error) {
	f, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true}, file)
	if err != nil {
		return nil, Problems{{File: file, Section: "-", Key: "-", Detail: err.Error()}}
	}
	return &parser{name: file, file: f, known: make(map[string]bool)}, nil
}

// path resolves a path relative to the settings file.
func (p *parser) path(value string) string {
	if filepath.IsAbs(value) {
		return value
	}
	return filepath.Join(filepath.Dir(p.name), value)
}

func (p *parser) problem(section, key, value, detail, allowed string) {
	p.problems = append(p.problems, &Problem{
		File: p.name, Section: section, Key: key, Value: value, Detail: detail, Allowed: allowed,
	})
}

func (p *parser) role(want Kind) {
	p.known["host.role"] = true
	role := p.file.Section("host").Key("role").String()
	if role != string(want) {
		p.problem("host", "role", role, "is not the role of this file", string(want))
	}
}

func (p *parser) log() Log {
	return Log{
		Level:  optional(p, "log", "level", allowedLevel, slog.LevelInfo, parseLevel),
		Format: optional(p, "log", "format", allowedFormat, logging.FormatText, parseFormat),
	}
}

// tls reads a TLS section. Either all of its keys are set or none.
func (p *parser) tls(section string, keys ...string) TLS {
	values := make(map[string]string, len(keys))
	for _, key := range keys {
		values[key] = optional(p, section, key, allowedFile, "", parseFile)
	}
	set := 0
	for _, key := range keys {
		if p.file.Section(section).HasKey(key) {
			set++
		}
	}
	if set != 0 && set != len(keys) {
		p.problem(section, strings.Join(keys, ", "), "", "must be set together", allowedFile)
	}
	return TLS{Certificate: values["certificate"], Key: values["key"], Authority: values["authority"]}
}

func (p *parser) finish() error {
	for _, section := range p.file.Sections() {
		for _, key := range section.Keys() {
			p.checkKnown(section.Name(), key)
		}
	}
	if len(p.problems) == 0 {
		return nil
	}
	return p.problems
}

func (p *parser) checkKnown(section string, key *ini.Key) {
	if !p.known[section+"."+key.Name()] {
		p.problem(section, key.Name(), key.String(), "is not a known setting", "")
	}
	if len(key.ValueWithShadows()) > 1 {
		p.problem(section, key.Name(), "", "is set more than once", "")
	}
}

type parse[T any] func(*parser, string) (T, bool)

func required[T any](p *parser, section, key, allowed string, parse parse[T]) T {
	if !p.file.Section(section).HasKey(key) {
		p.known[section+"."+key] = true
		p.problem(section, key, "", "is required", allowed)
		var zero T
		return zero
	}
	var zero T
	return optional(p, section, key, allowed, zero, parse)
}

func optional[T any](p *parser, section, key, allowed string, fallback T, parse parse[T]) T {
	p.known[section+"."+key] = true
	if !p.file.Section(section).HasKey(key) {
		return fallback
	}
	text := p.file.Section(section).Key(key).String()
	value, ok := parse(p, text)
	if !ok {
		p.problem(section, key, text, "is not valid:", allowed)
		return fallback
	}
	return value
}
