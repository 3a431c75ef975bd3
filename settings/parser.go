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

// parser reads the keys of one settings file and collects the problems found.
type parser struct {
	fileName  string
	file      *ini.File
	knownKeys map[string]bool
	problems  Problems
}

func newParser(file string) (*parser, error) {
	f, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true}, file)
	if err != nil {
		return nil, Problems{{File: file, Section: "-", Key: "-", Detail: loadErrorDetail(err)}}
	}
	return &parser{fileName: file, file: f, knownKeys: make(map[string]bool)}, nil
}

// loadErrorDetail says why a file cannot be loaded as settings. It leaves out the
// contents of the lines, because someone may have passed a password file by
// mistake.
func loadErrorDetail(err error) string {
	var unreadable *fs.PathError
	switch {
	case ini.IsErrDelimiterNotFound(err):
		return "a line has neither = nor :"
	case errors.As(err, &unreadable):
		return unreadable.Error()
	}
	return "is not an INI file"
}

// path resolves a path relative to the folder of the settings file.
func (p *parser) path(value string) string {
	if filepath.IsAbs(value) {
		return value
	}
	return filepath.Join(filepath.Dir(p.fileName), value)
}

func (p *parser) addProblem(section, key, value, detail, allowed string) {
	p.problems = append(p.problems, &Problem{
		File: p.fileName, Section: section, Key: key, Value: value, Detail: detail, Allowed: allowed,
	})
}

func (p *parser) checkRole(kind Kind) {
	p.knownKeys["host.role"] = true
	role := p.file.Section("host").Key("role").String()
	if role != string(kind) {
		p.addProblem("host", "role", role, "is not the role of this file", string(kind))
	}
}

// upstreams reads the user and password with which hosts log in to upstreams. The
// password file may have passwords of other users too.
func (p *parser) upstreams() Upstreams {
	user := optional(p, "upstreams", "user", allowedUser, DefaultUpstreamUser, parseUser)
	passwords := optional(p, "upstreams", "password_file", allowedPassword, nil, parsePasswords)
	password, found := passwords[user]
	if passwords != nil && !found {
		p.addProblem("upstreams", "password_file", "", "has no password of user "+user, allowedPassword)
	}
	return Upstreams{User: user, Password: password}
}

func (p *parser) log() Log {
	return Log{
		Level:  optional(p, "log", "level", allowedLevel, slog.LevelInfo, parseLevel),
		Format: optional(p, "log", "format", allowedFormat, logging.FormatText, parseFormat),
	}
}

// tls reads the keys of a TLS section. Either all of them must be set or none.
func (p *parser) tls(section string, keys ...string) TLS {
	values := make(map[string]string, len(keys))
	for _, key := range keys {
		values[key] = optional(p, section, key, allowedFile, "", parseFile)
	}
	keysSet := 0
	for _, key := range keys {
		if p.file.Section(section).HasKey(key) {
			keysSet++
		}
	}
	if keysSet != 0 && keysSet != len(keys) {
		p.addProblem(section, strings.Join(keys, ", "), "", "must be set together", allowedFile)
	}
	return TLS{Certificate: values["certificate"], Key: values["key"], Authority: values["authority"]}
}

// tlsHosts reads the TLS section of connections between hosts.
func (p *parser) tlsHosts() TLS {
	files := p.tls("tls_hosts", "certificate", "key", "authority")
	files.Announcers = optional(p, "tls_hosts", "announcers", allowedFile, "", parseFile)
	if files.Announcers != "" && !files.Enabled() {
		p.addProblem("tls_hosts", "announcers", "", "needs certificate, key and authority", "")
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
	if !p.knownKeys[section+"."+key.Name()] {
		p.addProblem(section, key.Name(), p.reportableValue(section, key), "is not a known setting", "")
	}
	if len(key.ValueWithShadows()) > 1 {
		p.addProblem(section, key.Name(), "", "is set more than once", "")
	}
}

// reportableValue returns the value of an unknown setting, or "" if the value may
// be a secret. This is the case in the sections of secret settings, and in unknown
// sections, because someone may have passed a password file by mistake.
func (p *parser) reportableValue(section string, key *ini.Key) string {
	if slices.Contains(sectionsWithSecrets, section) {
		return ""
	}
	for knownKey := range p.knownKeys {
		if strings.HasPrefix(knownKey, section+".") {
			return key.String()
		}
	}
	return ""
}

// sectionsWithSecrets are the sections in which the value of a misspelt key may be
// a secret.
var sectionsWithSecrets = []string{"callers", "upstreams", "session", "tls_callers", "tls_hosts", "tls_upstreams"}

// parseFunc converts the value of a key and reports whether the value is valid.
type parseFunc[T any] func(*parser, string) (T, bool)

// required returns the value of a key. It adds a problem if the key is missing or
// its value is not valid.
func required[T any](p *parser, section, key, allowed string, parse parseFunc[T]) T {
	if !p.file.Section(section).HasKey(key) {
		p.knownKeys[section+"."+key] = true
		p.addProblem(section, key, "", "is required", allowed)
		var zero T
		return zero
	}
	var zero T
	return optional(p, section, key, allowed, zero, parse)
}

// optional returns the value of a key, or fallback if the key is missing. It adds
// a problem if the value is not valid.
func optional[T any](p *parser, section, key, allowed string, fallback T, parse parseFunc[T]) T {
	p.knownKeys[section+"."+key] = true
	if !p.file.Section(section).HasKey(key) {
		return fallback
	}
	text := p.file.Section(section).Key(key).String()
	value, ok := parse(p, text)
	if !ok {
		p.addProblem(section, key, text, "is not valid:", allowed)
		return fallback
	}
	return value
}
