package standin

import (
	"bufio"
	"io"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// messageReader reads the client's messages. It reuses its buffers, so a message
// is valid only until the next one is read.
type messageReader struct {
	r        *bufio.Reader
	body     []byte
	query    pgproto3.Query
	parse    pgproto3.Parse
	bind     pgproto3.Bind
	execute  pgproto3.Execute
	describe pgproto3.Describe
	close    pgproto3.Close
}

const (
	readBufferBytes      = 8 << 10
	maxMessageBytes      = 64 << 20
	maxRetainedBodyBytes = 64 << 10
)

func (m *messageReader) next() (byte, []byte, error) {
	header, err := m.r.Peek(5)
	if err != nil {
		return 0, nil, err
	}
	kind := header[0]
	length := int(header[1])<<24 | int(header[2])<<16 | int(header[3])<<8 | int(header[4])
	if length < 4 || length > maxMessageBytes {
		return 0, nil, &pgError{Code: codeProtocol, Severity: "FATAL", Message: "invalid message length"}
	}
	_, _ = m.r.Discard(5)
	body := m.buffer(length - 4)
	_, err = io.ReadFull(m.r, body)
	return kind, body, err
}

func (m *messageReader) buffer(n int) []byte {
	if n > cap(m.body) || cap(m.body) > maxRetainedBodyBytes {
		m.body = make([]byte, max(n, readBufferBytes))
	}
	return m.body[:n]
}

// decode decodes the body of a message of the given kind.
// Errors: *pgError if the kind is unknown or the body is malformed.
func (m *messageReader) decode(kind byte, body []byte) (pgproto3.FrontendMessage, error) {
	var message pgproto3.FrontendMessage
	switch kind {
	case 'Q':
		message = &m.query
	case 'P':
		message = &m.parse
	case 'B':
		message = &m.bind
	case 'E':
		message = &m.execute
	case 'D':
		message = &m.describe
	case 'C':
		message = &m.close
	case 'S':
		return &pgproto3.Sync{}, nil
	case 'H':
		return &pgproto3.Flush{}, nil
	case 'X':
		return &pgproto3.Terminate{}, nil
	default:
		text := "unexpected message type " + string(rune(kind))
		return nil, &pgError{Code: codeProtocol, Severity: "FATAL", Message: text}
	}
	if err := message.Decode(body); err != nil {
		return nil, &pgError{Code: codeProtocol, Severity: "FATAL", Message: strings.TrimSpace(err.Error())}
	}
	return message, nil
}
