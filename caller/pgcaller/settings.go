package pgcaller

import (
	"slices"
	"strings"

	"lovageslip/entry"
	"lovageslip/fault"
)

// Session parameters that the proxy itself defines.
const (
	parameterPrefix    = "lovageslip."
	parameterClass     = "lovageslip.class"
	parameterSession   = "lovageslip.session"
	parameterRequestID = "lovageslip.request_id"
)

// driverParameters are the parameters that drivers set when they connect, with
// their allowed values. The proxy answers SET and SHOW of them itself and
// accepts only the values that pooled connections have; SHOW returns the first
// one. An empty list accepts any value, because the parameter has no effect on
// answers.
var driverParameters = map[string][]string{
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

// defaultValues are the initial values of the parameters that accept any value.
var defaultValues = map[string]string{
	"application_name":    "",
	"extra_float_digits":  "1",
	"client_min_messages": "notice",
}

// reportedNames maps the parameters whose changes PostgreSQL reports by
// ParameterStatus to the names in the report.
var reportedNames = map[string]string{"application_name": "application_name"}

// maxParameterBytes bounds the length of a value where any value is accepted.
const maxParameterBytes = 256

// setParameter sets a session parameter.
// Errors: *fault.Invalid, *fault.Unsupported, and those of entry.Session.
func (c *conn) setParameter(name, value string) error {
	name = strings.ToLower(name)
	switch name {
	case parameterClass:
		return c.setClass(value)
	case parameterSession:
		return c.session.SetToken(value)
	case parameterRequestID:
		return c.session.SetRequestID(value)
	}
	if strings.HasPrefix(name, parameterPrefix) {
		return &unknownParameter{name: name}
	}
	allowed, known := driverParameters[name]
	if !known {
		return &fault.Unsupported{Feature: "the session parameter " + name}
	}
	if len(allowed) == 0 {
		return c.storeParameter(name, value)
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
	c.sendParameterStatus(parameterClass, c.session.Class())
	return nil
}

func (c *conn) storeParameter(name, value string) error {
	if len(value) > maxParameterBytes {
		return &fault.Invalid{Field: name, Value: value[:maxParameterBytes], Allowed: "at most 256 bytes"}
	}
	if c.parameters == nil {
		c.parameters = make(map[string]string)
	}
	c.parameters[name] = value
	if reportedName, report := reportedNames[name]; report {
		c.sendParameterStatus(reportedName, value)
	}
	return nil
}

// parameterValue returns the value that SHOW reports. Errors: *unknownParameter.
func (c *conn) parameterValue(name string) (value string, err error) {
	switch name {
	case parameterClass:
		return c.session.Class(), nil
	case parameterSession:
		return c.session.Token(), nil
	case parameterRequestID:
		return c.session.RequestID(), nil
	}
	if value, set := c.parameters[name]; set {
		return value, nil
	}
	if value, known := defaultValues[name]; known {
		return value, nil
	}
	if allowed := driverParameters[name]; len(allowed) > 0 {
		return allowed[0], nil
	}
	return "", &unknownParameter{name: name}
}

// resetParameter sets a parameter back to its value in a new session.
func (c *conn) resetParameter(name string) error {
	switch name {
	case "all":
		return c.resetAllParameters()
	case parameterClass, parameterSession, parameterRequestID:
		return c.setParameter(name, "")
	}
	if _, known := driverParameters[name]; !known {
		return &fault.Unsupported{Feature: "the session parameter " + name}
	}
	delete(c.parameters, name)
	return nil
}

func (c *conn) resetAllParameters() error {
	c.parameters = nil
	for _, name := range []string{parameterSession, parameterRequestID} {
		if err := c.setParameter(name, ""); err != nil {
			return err
		}
	}
	return c.resetClass()
}

// resetClass returns to the default class. A session without a class is left
// alone, because setting the empty class fails if no default class exists.
func (c *conn) resetClass() error {
	if c.session.Class() == "" {
		return nil
	}
	return c.setParameter(parameterClass, "")
}

// parseLocal returns the proxy's own answer to a SET, SHOW, RESET, DISCARD or
// DEALLOCATE; nil if an upstream answers the statement.
// Errors: *fault.Unsupported, *fault.Invalid.
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
	scanner := newParameterScanner(rest)
	name := scanner.name()
	switch name {
	case "transaction", "constraints":
		return nil, nil
	case "local":
		return parseSetLocal(scanner, inTransaction)
	case "session":
		name = scanner.name()
	}
	switch name {
	case "time":
		return parseTimeZone(scanner)
	case "names":
		return parseSetValue("client_encoding", scanner)
	case "characteristics", "authorization", "role":
		return nil, &fault.Unsupported{Feature: "SET " + strings.ToUpper(name)}
	}
	if !scanner.assignment() {
		// Not a valid SET: the upstream reports the syntax error.
		return nil, nil
	}
	return parseSetValue(name, scanner)
}

// parseSetLocal refuses SET LOCAL of the proxy's own parameters, and any SET
// LOCAL outside a transaction. Others go to the transaction's connection.
func parseSetLocal(scanner *parameterScanner, inTransaction bool) (*localStatement, error) {
	name := scanner.name()
	if strings.HasPrefix(name, parameterPrefix) {
		return nil, &fault.Unsupported{Feature: "SET LOCAL " + name}
	}
	if !inTransaction {
		return nil, &fault.Unsupported{Feature: "SET LOCAL outside a transaction"}
	}
	return nil, nil
}

func parseTimeZone(scanner *parameterScanner) (*localStatement, error) {
	if scanner.name() != "zone" {
		return nil, nil
	}
	return parseSetValue("timezone", scanner)
}

func parseSetValue(name string, scanner *parameterScanner) (*localStatement, error) {
	value, err := scanner.value()
	if err != nil {
		return nil, err
	}
	run := func(c *conn) (string, error) {
		if strings.EqualFold(value, "default") {
			return "", c.resetParameter(name)
		}
		return "", c.setParameter(name, value)
	}
	return &localStatement{tag: "SET", run: run}, nil
}

func parseShow(rest string) *localStatement {
	scanner := newParameterScanner(rest)
	name := scanner.name()
	if name == "time" && scanner.name() == "zone" {
		name = "timezone"
	}
	_, known := driverParameters[name]
	if !known && !strings.HasPrefix(name, parameterPrefix) {
		return nil
	}
	run := func(c *conn) (string, error) { return c.parameterValue(name) }
	return &localStatement{tag: "SHOW", column: name, run: run}
}

func parseReset(rest string) (*localStatement, error) {
	name := newParameterScanner(rest).name()
	run := func(c *conn) (string, error) { return "", c.resetParameter(name) }
	return &localStatement{tag: "RESET", run: run}, nil
}

func parseDiscard(rest string) (*localStatement, error) {
	target := newParameterScanner(rest).name()
	if target != "all" {
		return nil, &fault.Unsupported{Feature: "DISCARD " + strings.ToUpper(target)}
	}
	run := func(c *conn) (string, error) {
		c.dropAllStatements()
		return "", c.resetAllParameters()
	}
	return &localStatement{tag: "DISCARD ALL", run: run}, nil
}

func parseDeallocate(rest string) *localStatement {
	scanner := newParameterScanner(rest)
	name := scanner.name()
	if name == "prepare" {
		name = scanner.name()
	}
	if name == "all" {
		run := func(c *conn) (string, error) {
			c.dropAllStatements()
			return "", nil
		}
		return &localStatement{tag: "DEALLOCATE ALL", run: run}
	}
	run := func(c *conn) (string, error) {
		if c.statements[name] == nil {
			return "", &statementNotFound{name: name}
		}
		c.dropStatement(name)
		return "", nil
	}
	return &localStatement{tag: "DEALLOCATE", run: run}
}

func (c *conn) dropAllStatements() {
	c.statements = nil
	c.statementTextBytes = 0
}
