package standin

import (
	"maps"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	readOnlySetting = "default_transaction_read_only"
	// idleInTransactionSetting has a value in milliseconds; 0 is no limit.
	idleInTransactionSetting = "idle_in_transaction_session_timeout"
)

// reportedSettings are sent to the client in ParameterStatus messages, when the
// session starts and when they change.
var reportedSettings = []string{
	"application_name", "client_encoding", "DateStyle", readOnlySetting, "integer_datetimes",
	"server_encoding", "server_version", "standard_conforming_strings", "TimeZone",
}

// knownSettings holds the default value of each setting by lower-case name. Other
// settings are accepted only if their name has a dot.
var knownSettings = map[string]string{
	"application_name":            "",
	"client_encoding":             "UTF8",
	"datestyle":                   "ISO, MDY",
	readOnlySetting:               "off",
	"extra_float_digits":          "1",
	"integer_datetimes":           "on",
	"search_path":                 "public",
	"server_encoding":             "UTF8",
	"server_version":              "16.0",
	"standard_conforming_strings": "on",
	"statement_timeout":           "0",
	"lock_timeout":                "0",
	idleInTransactionSetting:      "0",
	"timezone":                    "UTC",
	"transaction_isolation":       "serializable",
}

// settings holds a session's settings by lower-case name: the current values and
// those that the session started with, to which RESET returns.
type settings struct {
	initial map[string]string
	values  map[string]string
}

func newSettings(parameters map[string]string) settings {
	initial := maps.Clone(knownSettings)
	for name, value := range startupSettings(parameters) {
		name = strings.ToLower(name)
		if _, exists := initial[name]; exists || strings.Contains(name, ".") {
			initial[name] = value
		}
	}
	return settings{initial: initial, values: maps.Clone(initial)}
}

// startupSettings returns the parameters of the start-up message, with the
// settings from its options parameter (-c name=value) added.
func startupSettings(parameters map[string]string) map[string]string {
	merged := map[string]string{}
	for name, value := range parameters {
		if name != "options" {
			merged[name] = value
		}
	}
	for _, field := range strings.Fields(parameters["options"]) {
		field = strings.TrimPrefix(field, "-c")
		if name, value, ok := strings.Cut(field, "="); ok {
			merged[name] = value
		}
	}
	return merged
}

func (s *settings) show(name string) string { return s.values[strings.ToLower(name)] }

// idleInTransactionTimeout returns how long an open transaction may wait for the
// client's next message; 0 for no limit.
func (s *settings) idleInTransactionTimeout() time.Duration {
	ms, err := strconv.Atoi(s.values[idleInTransactionSetting])
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

func (s *settings) readOnly() bool { return s.values[readOnlySetting] == "on" }

// set changes a setting. The value DEFAULT returns it to its initial value.
func (s *settings) set(name, value string) *pgError {
	name = strings.ToLower(name)
	_, exists := s.values[name]
	if !exists && !strings.Contains(name, ".") {
		return unknownSetting(name)
	}
	if strings.EqualFold(value, "default") {
		value = s.initial[name]
	}
	if name == readOnlySetting {
		on, failure := decodeTextBool(value)
		if failure != nil {
			return &pgError{Code: codeInvalidParameter, Message: "parameter " + name + " requires a Boolean value"}
		}
		value = map[any]string{int64(1): "on", int64(0): "off"}[on]
	}
	s.values[name] = value
	return nil
}

func unknownSetting(name string) *pgError {
	return &pgError{Code: codeUnknownSetting, Message: "unrecognized configuration parameter " + name}
}

// setStatement runs SET.
func (s *session) setStatement(st *statement) (string, *pgError) {
	words := st.tokens[1:]
	if len(words) > 0 && (words[0].is("SESSION") || words[0].is("LOCAL")) {
		words = words[1:]
	}
	if len(words) > 0 && words[0].is("TRANSACTION") {
		s.setAccessMode(st)
		return "SET", nil
	}
	if len(words) > 0 && words[0].is("CHARACTERISTICS") {
		return "SET", s.setCharacteristics(st)
	}
	name, value, ok := settingAssignment(st, words)
	if !ok {
		return "", &pgError{Code: "42601", Message: "syntax error in SET"}
	}
	return "SET", s.changeSetting(name, value)
}

func (s *session) setCharacteristics(st *statement) *pgError {
	value := "off"
	if st.word(len(st.tokens)-1) == "ONLY" {
		value = "on"
	}
	return s.changeSetting(readOnlySetting, value)
}

// settingAssignment parses name TO value, name = value or TIME ZONE value. A name
// may have several parts, separated by dots.
func settingAssignment(st *statement, words []token) (string, string, bool) {
	for i, t := range words {
		if i == 0 || i+1 == len(words) || !t.is("TO") && !t.is("=") {
			continue
		}
		name := ""
		for _, part := range words[:i] {
			name += unquote(part.text)
		}
		base := st.tokens[0].start
		raw := st.source[words[i+1].start-base:]
		return name, unquote(strings.TrimSpace(raw)), true
	}
	if len(words) > 2 && words[0].is("TIME") && words[1].is("ZONE") {
		return "timezone", unquote(words[2].text), true
	}
	return "", "", false
}

func unquote(text string) string {
	if len(text) >= 2 && (text[0] == '\'' || text[0] == '"') && text[len(text)-1] == text[0] {
		quote := text[:1]
		return strings.ReplaceAll(text[1:len(text)-1], quote+quote, quote)
	}
	return text
}

// changeSetting changes a setting of the session or of the server, and sends a
// ParameterStatus if it is one of reportedSettings and its value differs.
func (s *session) changeSetting(name, value string) *pgError {
	if applied, failure := s.applyServerSetting(name, value); applied {
		return failure
	}
	before := s.settings.show(name)
	if failure := s.settings.set(name, value); failure != nil {
		return failure
	}
	after := s.settings.show(name)
	if after != before {
		s.reportSetting(name, after)
	}
	return nil
}

func (s *session) reportSetting(name, value string) {
	for _, reported := range reportedSettings {
		if strings.EqualFold(reported, name) {
			s.send(&pgproto3.ParameterStatus{Name: reported, Value: value})
		}
	}
}

// resetStatement runs RESET name and RESET ALL.
func (s *session) resetStatement(st *statement) (string, *pgError) {
	if st.word(1) == "ALL" {
		s.resetSettings()
		return "RESET", nil
	}
	return "RESET", s.changeSetting(st.word(1), "default")
}

func (s *session) resetSettings() {
	for name, value := range s.settings.values {
		initial, ok := s.settings.initial[name]
		if !ok {
			delete(s.settings.values, name)
			continue
		}
		if value != initial {
			s.settings.values[name] = initial
			s.reportSetting(name, initial)
		}
	}
}

// discardAll returns the session to its initial state.
func (s *session) discardAll() (string, *pgError) {
	if s.tx.explicit {
		return "", &pgError{Code: codeActiveTransaction, Message: "DISCARD ALL cannot run inside a transaction block"}
	}
	s.resetSettings()
	clear(s.statements)
	clear(s.portals)
	return "DISCARD ALL", nil
}

func warning(code, message string) *pgproto3.NoticeResponse {
	return &pgproto3.NoticeResponse{
		Severity:            "WARNING",
		SeverityUnlocalized: "WARNING",
		Code:                code,
		Message:             message,
	}
}

func (s *settings) lookup(name string) (string, bool) {
	value, ok := s.values[strings.ToLower(name)]
	return value, ok
}

// settingName returns a setting's name as PostgreSQL spells it: lower case, except
// for some of reportedSettings.
func settingName(name string) string {
	for _, reported := range reportedSettings {
		if strings.EqualFold(reported, name) {
			return reported
		}
	}
	return strings.ToLower(name)
}
