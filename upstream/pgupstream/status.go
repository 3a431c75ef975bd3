package pgupstream

import (
	"strconv"
	"strings"
	"time"

	"lovageslip/upstream"
)

const statusColumns = 7

// parseStatus decodes the row that the lovageslip functions return; see
// docs/design.md section 6 for its columns.
func parseStatus(row [][]byte) (upstream.Status, error) {
	var status upstream.Status
	if len(row) != statusColumns {
		return status, &protocolError{detail: "status with a wrong number of columns"}
	}
	if string(row[0]) == upstream.RolePrimary.String() {
		status.Role = upstream.RolePrimary
	}
	p := statusParser{}
	status.Term = upstream.Term(p.number(row[1]))
	status.Offset = upstream.Offset(p.number(row[2]))
	status.FencedTerm = upstream.Term(p.number(row[3]))
	status.History = p.history(string(row[4]))
	status.DataAge = p.millis(row[5])
	status.PrimaryContactAge = p.millis(row[6])
	return status, p.err
}

type statusParser struct {
	err error
}

func (p *statusParser) fail(text string) {
	p.err = &protocolError{detail: "status field " + strconv.Quote(text)}
}

func (p *statusParser) number(field []byte) uint64 {
	n, err := strconv.ParseUint(string(field), 10, 64)
	if err != nil {
		p.fail(string(field))
	}
	return n
}

// millis parses milliseconds, with or without a fraction.
func (p *statusParser) millis(field []byte) time.Duration {
	ms, err := strconv.ParseFloat(string(field), 64)
	if err != nil {
		p.fail(string(field))
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// history parses a list of the form term:start,term:start.
func (p *statusParser) history(text string) upstream.History {
	history := make(upstream.History, 0, strings.Count(text, ",")+1)
	for text != "" {
		var item string
		item, text, _ = strings.Cut(text, ",")
		term, start, _ := strings.Cut(item, ":")
		history = append(history, upstream.TermStart{
			Term:  upstream.Term(p.number([]byte(term))),
			Start: upstream.Offset(p.number([]byte(start))),
		})
	}
	return history
}
