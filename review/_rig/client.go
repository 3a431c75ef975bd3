package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// session is a client's connection to a proxy.
type session struct {
	record *record
	name   string
	conn   net.Conn
	reader *bufio.Reader
}

// reply is the answer to one message.
type reply struct {
	rows     []string
	complete string // the signature, or "-"
	err      string // code and text; empty after COMPLETE
	state    string
}

var requestCount atomic.Int64

func openSession(r *record, name, address, database string) (*session, error) {
	c, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	s := &session{record: r, name: name, conn: c, reader: bufio.NewReader(c)}
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := fmt.Fprintf(c, "STARTUP %s %s\r\n", database, name); err != nil {
		return nil, err
	}
	line, err := s.reader.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY") {
		_ = c.Close()
		return nil, fmt.Errorf("session not opened: %q %v", line, err)
	}
	return s, nil
}

// query sends a statement under a new id and returns the answer.
func (s *session) query(text string) (reply, error) {
	id := fmt.Sprintf("%016x", 0x5c0e7a2100000000+requestCount.Add(1))
	s.record.printf("client %s sends %s %s", s.name, id, text)
	_ = s.conn.SetDeadline(time.Now().Add(8 * time.Second))
	if _, err := fmt.Fprintf(s.conn, "QUERY %s %s\r\n", id, text); err != nil {
		s.record.printf("client %s: no answer to %s: %v", s.name, id, err)
		return reply{}, err
	}
	var a reply
	for {
		line, err := s.reader.ReadString('\n')
		if err != nil {
			s.record.printf("client %s: no answer to %s: %v", s.name, id, err)
			return a, err
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		switch word {
		case "DATAROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.complete = rest
		case "ERROR":
			a.err = rest
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			s.record.printf("client %s is answered %s: rows %q, complete %q, error %q, state %s", s.name, id, a.rows, a.complete, a.err, a.state)
			return a, nil
		}
	}
}

func (s *session) close() { _ = s.conn.Close() }
