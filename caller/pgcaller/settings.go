package pgcaller

import (
	"slices"
	"strings"

	"lovageslip/entry"
	"lovageslip/fault"
)

// Parameters of the proxy.
const (
	settingPrefix    = "lovageslip."
	settingClass     = "lovageslip.class"
	settingSession   = "lovageslip.session"
	settingRequestID = "lovageslip.request_id"
)

// fixed are the parameters that drivers set when they connect. The proxy
// answers them itself and accepts only values that pooled connections have:
// the first one is the value shown. An empty list accepts any value, because
// it has no effect on answers.
var fixed = map[string][]string{
	"application_name":                    {},
	"extra_float_digits":                  {},
	"client_min_messages":                 {},
	"client_encoding":                     {"UTF8", "UTF-8", "UNICODE"},
	"datestyle":                           {"ISO, MDY", "ISO", "ISO,MDY"},
	"timezone":                            {"UTC", "GMT", "Etc/UTC"},
	"intervalstyle":                       {"postgres"},
	"standard_conforming_strings":         {"on", "true", "1"},
	"integer_datetimes":                   {"on"},
	"bytea_output":                        {"hex"},
	"search_path":                         {`"$user", public`, "public", `"$user",public`},
	"default_transaction_read_only":       {"off", "false", "0"},
	"default_transaction_isolation":       {"read committed"},
	"statement_timeout":                   {"0"},
	"lock_timeout":                        {"0"},
	"idle_in_transaction_session_timeout": {"0"},
}

// shown are the values of the parameters that accept any, until they are set.
var shown = map[string]string{
	"application_name":    "",
	"extra_float_digits":  "1",
	"client_min_messages": "notice",
}

// reported are the parameters whose changes a server reports.
var reported = map[string]string{"application_name": "application_name"}

// maxSetting bounds the value of a parameter that accepts any, in bytes.
const maxSetting = 256

// set changes a parameter.
// Errors: *fault.Invalid, *fault.Unsupported, and those of entry.Session.
func (c *conn) set(name, value string) error {
	name = strings.ToLower(name)
	switch name {
	case settingClass:
		return c.setClass(value)
	case settingSession:
		return c.session.SetToken(value)
	case settingRequestID:
		return c.session.SetRequestID(value)
	}
	if strings.HasPrefix(name, settingPrefix) {
		return &unknownSetting{name: name}
	}
	allowed, known := fixed[name]
	if !known {
		return &fault.Unsupported{Feature: "the session parameter " + name}
	}
	if len(allowed) == 0 {
		return c.keep(name, value)
	}
	matches := func(a string) bool { return strings.EqualFold(a, value) }
	if !slices.ContainsFunc(allowed, matches) {
		return &fault.Invalid{Field: name, Value: value, Allowed: strings.Join(allowed, " or ")}
	}
	return nil
}

func (c *conn) setClass(value string) error {
	if err := c.session.SetClass(value); err != nil {
		return err
	}
	c.status(settingClass, c.session.Class())
	return nil
}

func (c *conn) keep(name, value string) error {
	if len(value) > maxSetting {
		return &fault.Invalid{Field: name, Value: value[:maxSetting], Allowed: "at most 256 bytes"}
	}
	if c.settings == nil {
		c.settings = make(map[string]string)
	}
	c.settings[name] = value
	if as, report := reported[name]; report {
		c.status(as, value)
	}
	return nil
}

// show returns the value of a parameter that the proxy keeps.
func (c *conn) show(name string) (value string, err error) {
	switch name {
	case settingClass:
		return c.session.Class(), nil
	case settingSession:
		return c.session.Token(), nil
	case settingRequestID:
		return c.session.RequestID(), nil
	}
	if value, set := c.settings[name]; set {
		return value, nil
	}
	if value, known := shown[name]; known {
		return value, nil
	}
	if allowed := fixed[name]; len(allowed) > 0 {
		return allowed[0], nil
	}
	return "", &unknownSetting{name: name}
}

// reset goes back to the parameter's value for a new session.
func (c *conn) reset(name string) error {
	switch name {
	case "all":
		return c.resetAll()
	case settingClass, settingSession, settingRequestID:
		return c.set(name, "")
	}
	if _, known := fixed[name]; !known {
		return &fault.Unsupported{Feature: "the session parameter " + name}
	}
	delete(c.settings, name)
	return nil
}

func (c *conn) resetAll() error {
	c.settings = nil
	for _, name := range []string{settingSession, settingRequestID} {
		if err := c.set(name, ""); err != nil {
			return err
		}
	}
	return c.resetClass()
}

// resetClass forgets the class even if there is no default class.
func (c *conn) resetClass() error {
	if c.session.Class() == "" {
		return nil
	}
	return c.set(settingClass, "")
}

// parseLocal returns how the proxy answers a statement; nil if an upstream
// answers it. Errors: *fault.Unsupported, *fault.Invalid.
func parseLocal(text string, inTransaction bool) (*localStatement, error) {
	keyword, rest := entry.FirstKeyword(text)
	switch keyword {
	case "SET":
		return parseSet(rest, inTransaction)
	case "SHOW":
		return parseShow(rest), nil
	case "RESET":
		return parseReset(rest)
	case "DISCARD":
		return parseDiscard(rest)
	case "DEALLOCATE":
		return parseDeallocate(rest), nil
	}
	return nil, nil
}

func parseSet(rest string, inTransaction bool) (*localStatement, error) {
	words := newWords(rest)
	name := words.name()
	switch name {
	case "transaction", "constraints":
		return nil, nil
	case "local":
		return parseSetLocal(words, inTransaction)
	case "session":
		name = words.name()
	}
	switch name {
	case "time":
		return parseTimeZone(words)
	case "names":
		return setLocally("client_encoding", words)
	case "characteristics", "authorization", "role":
		return nil, &fault.Unsupported{Feature: "SET " + strings.ToUpper(name)}
	}
	if !words.assign() {
		// The server reports the syntax error.
		return nil, nil
	}
	return setLocally(name, words)
}

// parseSetLocal leaves SET LOCAL to the transaction's connection.
func parseSetLocal(words *words, inTransaction bool) (*localStatement, error) {
	name := words.name()
	if strings.HasPrefix(name, settingPrefix) {
		return nil, &fault.Unsupported{Feature: "SET LOCAL " + name}
	}
	if !inTransaction {
		return nil, &fault.Unsupported{Feature: "SET LOCAL outside a transaction"}
	}
	return nil, nil
}

func parseTimeZone(words *words) (*localStatement, error) {
	if words.name() != "zone" {
		return nil, nil
	}
	return setLocally("timezone", words)
}

func setLocally(name string, words *words) (*localStatement, error) {
	value, err := words.value()
	if err != nil {
		return nil, err
	}
	run := func(c *conn) (string, error) {
		if strings.EqualFold(value, "default") {
			return "", c.reset(name)
		}
		return "", c.set(name, value)
	}
	return &localStatement{tag: "SET", run: run}, nil
}

func parseShow(rest string) *localStatement {
	words := newWords(rest)
	name := words.name()
	if name == "time" && words.name() == "zone" {
		name = "timezone"
	}
	_, keeps := fixed[name]
	if !keeps && !strings.HasPrefix(name, settingPrefix) {
		return nil
	}
	run := func(c *conn) (string, error) { return c.show(name) }
	return &localStatement{tag: "SHOW", column: name, run: run}
}

func parseReset(rest string) (*localStatement, error) {
	name := newWords(rest).name()
	run := func(c *conn) (string, error) { return "", c.reset(name) }
	return &localStatement{tag: "RESET", run: run}, nil
}

func parseDiscard(rest string) (*localStatement, error) {
	what := newWords(rest).name()
	if what != "all" {
		return nil, &fault.Unsupported{Feature: "DISCARD " + strings.ToUpper(what)}
	}
	run := func(c *conn) (string, error) {
		c.dropStatements()
		return "", c.resetAll()
	}
	return &localStatement{tag: "DISCARD ALL", run: run}, nil
}

func parseDeallocate(rest string) *localStatement {
	words := newWords(rest)
	name := words.name()
	if name == "prepare" {
		name = words.name()
	}
	if name == "all" {
		run := func(c *conn) (string, error) {
			c.dropStatements()
			return "", nil
		}
		return &localStatement{tag: "DEALLOCATE ALL", run: run}
	}
	run := func(c *conn) (string, error) {
		if c.statements[name] == nil {
			return "", &noStatement{name: name}
		}
		c.dropStatement(name)
		return "", nil
	}
	return &localStatement{tag: "DEALLOCATE", run: run}
}

func (c *conn) dropStatements() {
	c.statements = nil
	c.textBytes = 0
}
