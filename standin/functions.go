package standin

import (
	"database/sql/driver"
	"math"
	"strconv"
	"strings"
	"time"

	"lovageslip/upstream"
)

const (
	functionPrefix = "LOVAGESLIP_"
	statusFunction = "LOVAGESLIP_STATUS"
)

var statusFields = []field{
	{"role", oidText}, {"term", oidText}, {"position", oidText}, {"fenced_term", oidText},
	{"history", oidText}, {"data_age_ms", oidText}, {"primary_contact_age_ms", oidText},
}

// statusDescription is the RowDescription of statusFields in text format.
var statusDescription = encodeStatusDescription()

func encodeStatusDescription() []byte {
	// Encode fails only for messages above 1 GiB.
	out, _ := rowDescription(statusFields, nil).Encode(nil)
	return out
}

// call is a parsed call of a platform function, which has the form
// SELECT * FROM lovageslip_name(arguments).
type call struct {
	name string
	args []string
}

// isCall reports whether the statement calls one of the platform's functions.
func isCall(st *statement) bool {
	return st.keyword == "SELECT" && len(st.tokens) >= 6 && st.tokens[1].is("*") &&
		st.tokens[2].is("FROM") && strings.HasPrefix(st.tokens[3].text, functionPrefix) && st.tokens[4].is("(")
}

func parseCall(st *statement, args []any) (call, bool, *pgError) {
	if !isCall(st) {
		return call{}, false, nil
	}
	c := call{name: st.tokens[3].text}
	for _, t := range st.tokens[5:] {
		switch {
		case t.kind == tokenParameter && parameterNumber(t) <= len(args):
			c.args = append(c.args, string(appendText(nil, args[parameterNumber(t)-1], oidText)))
		case t.kind == tokenString || t.kind == tokenNumber:
			c.args = append(c.args, unquote(t.text))
		}
	}
	return c, true, nil
}

// number returns argument i as a non-negative integer.
func (c call) number(i int) (uint64, *pgError) {
	if i >= len(c.args) {
		return 0, &pgError{Code: "42883", Message: "function " + strings.ToLower(c.name) + " needs more arguments"}
	}
	n, err := strconv.ParseUint(c.args[i], 10, 64)
	if err != nil {
		return 0, invalidText("bigint", c.args[i])
	}
	return n, nil
}

func (s *session) callFunction(c call, sink *rowSink) (string, *pgError) {
	status, failure := s.runFunction(c)
	if failure != nil {
		return "", failure
	}
	sink.startStatus()
	if err := sink.row(statusRow(status)); err != nil {
		return "", databaseError(err)
	}
	return "SELECT 1", nil
}

func (s *session) runFunction(c call) (upstream.Status, *pgError) {
	state := s.server.state
	if c.name == statusFunction {
		return state.status(), nil
	}
	n, failure := c.number(0)
	if failure != nil {
		return upstream.Status{}, failure
	}
	term := upstream.Term(n)
	switch c.name {
	case "LOVAGESLIP_WAIT":
		return s.waitFunction(c, term)
	case "LOVAGESLIP_FENCE":
		failure = state.fence(term)
	case "LOVAGESLIP_PROMOTE":
		failure = state.promote(term)
	case "LOVAGESLIP_FOLLOW":
		failure = s.followFunction(c, term)
	default:
		return upstream.Status{}, &pgError{Code: "42883", Message: "no such function: " + strings.ToLower(c.name)}
	}
	return state.status(), failure
}

func (s *session) followFunction(c call, term upstream.Term) *pgError {
	if len(c.args) < 2 {
		return &pgError{Code: "42883", Message: "lovageslip_follow needs a term and an address"}
	}
	if failure := s.server.state.follow(term, c.args[1]); failure != nil {
		return failure
	}
	s.server.closeWriters()
	return nil
}

func (s *session) waitFunction(c call, term upstream.Term) (upstream.Status, *pgError) {
	offset, failure := c.number(1)
	if failure != nil {
		return upstream.Status{}, failure
	}
	limit, failure := c.number(2)
	if failure != nil {
		return upstream.Status{}, failure
	}
	position := upstream.Position{Term: term, Offset: upstream.Offset(offset)}
	return s.awaitPosition(position, time.Duration(limit)*time.Millisecond)
}

func (s *session) awaitPosition(p upstream.Position, limit time.Duration) (upstream.Status, *pgError) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		status, changed := s.server.state.watch()
		if status.Includes(p) {
			return status, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return s.server.state.status(), nil
		case <-s.ctx.Done():
			return status, cancelledError()
		}
	}
}

func statusRow(status upstream.Status) []driver.Value {
	return []driver.Value{
		status.Role.String(),
		strconv.FormatUint(uint64(status.Term), 10),
		strconv.FormatUint(uint64(status.Offset), 10),
		strconv.FormatUint(uint64(status.FencedTerm), 10),
		formatHistory(status.History),
		formatAge(status.DataAge),
		formatAge(status.PrimaryContactAge),
	}
}

func formatHistory(history upstream.History) string {
	var out []byte
	for i, t := range history {
		if i > 0 {
			out = append(out, ',')
		}
		out = strconv.AppendUint(out, uint64(t.Term), 10)
		out = append(out, ':')
		out = strconv.AppendUint(out, uint64(t.Start), 10)
	}
	return string(out)
}

// formatAge formats an age in milliseconds. It rounds up to microseconds, because
// an age is an upper bound.
func formatAge(age time.Duration) string {
	if age == 0 {
		return "0"
	}
	micros := math.Ceil(float64(age) / float64(time.Microsecond))
	return strconv.FormatFloat(micros/1000, 'f', 3, 64)
}
