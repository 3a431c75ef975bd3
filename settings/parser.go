package settings

import (
	"errors"
	"io/fs"
	"log/slog"
	"path/filepath"
	"slices"
	"strings"

	"gopkg.in/ini.v1"

	"lovageslip/logging"
)

type parser struct {
	name     string
	file     *ini.File
	known    map[string]bool
	problems Problems
}

func open(file string) (*parser, error) {
	f, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true}, file)
	if err != nil {
		return nil, Problems{{File: file, Section: "-", Key: "-", Detail: loadDetail(err)}}
	}
	return &parser{name: file, file: f, known: make(map[string]bool)}, nil
}

// loadDetail says why a file is no settings file. It leaves out the contents of
// lines, because the file may be one of passwords, given by mistake.
func loadDetail(err error) string {
	var unreadable *fs.PathError
	switch {
	case ini.IsErrDelimiterNotFound(err):
		return "a line has neither = nor :"
	case errors.As(err, &unreadable):
		return unreadable.Error()
	}
	return "is not an INI file"
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

// upstreams reads the login to upstreams. The password file may hold other
// users too.
func (p *parser) upstreams() Upstreams {
	user := optional(p, "upstreams", "user", allowedUser, DefaultUpstreamUser, parseUser)
	passwords := optional(p, "upstreams", "password_file", allowedPassword, nil, parsePasswords)
	password, found := passwords[user]
	if passwords != nil && !found {
		p.problem("upstreams", "password_file", "", "has no password of user "+user, allowedPassword)
	}
	return Upstreams{User: user, Password: password}
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

// tlsHosts reads the TLS section of connections between hosts.
func (p *parser) tlsHosts() TLS {
	files := p.tls("tls_hosts", "certificate", "key", "authority")
	files.Announcers = optional(p, "tls_hosts", "announcers", allowedFile, "", parseFile)
	if files.Announcers != "" && !files.On() {
		p.problem("tls_hosts", "announcers", "", "needs certificate, key and authority", "")
	}
	return files
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
		p.problem(section, key.Name(), p.showable(section, key), "is not a known setting", "")
	}
	if len(key.ValueWithShadows()) > 1 {
		p.problem(section, key.Name(), "", "is set more than once", "")
	}
}

// showable returns the value of an unknown setting, or nothing where it may be
// a secret: in sections about secrets, and in sections that no settings file
// has, because the file may be one of passwords, given by mistake.
func (p *parser) showable(section string, key *ini.Key) string {
	if slices.Contains(secretSections, section) {
		return ""
	}
	for known := range p.known {
		if strings.HasPrefix(known, section+".") {
			return key.String()
		}
	}
	return ""
}

// secretSections may hold a secret under a mistaken key.
var secretSections = []string{"callers", "upstreams", "session", "tls_callers", "tls_hosts", "tls_upstreams"}

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
