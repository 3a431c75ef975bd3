package pgcaller

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/jackc/pgx/v5/pgproto3"

	"lovageslip/entry"
)

const (
	upstreamNamePrefix    = "lvs_"
	upstreamNameHashBytes = 16
)

// statement is a prepared statement of one caller.
type statement struct {
	sql  string
	oids []uint32
	// upstreamName is the name under which upstreams know the statement: a hash
	// of its text and parameter types, so that callers with equal definitions
	// share one prepared statement. The hash is cryptographic because a
	// collision would run another caller's statement.
	upstreamName string
	// local is set if the proxy answers the statement itself.
	local *localStatement
	// isTransactionEnd is true for COMMIT, END, ROLLBACK and ABORT.
	isTransactionEnd bool
}

// newStatement checks whether the proxy can run a statement text and prepares
// it for the proxy's or an upstream's answer.
// Errors: *fault.Unsupported, *fault.Invalid, *failedTransaction.
func (c *conn) newStatement(text string, oids []uint32) (*statement, error) {
	st := &statement{sql: text, oids: oids, isTransactionEnd: endsTransaction(text)}
	if c.transactionLost && !st.isTransactionEnd {
		return nil, &failedTransaction{}
	}
	if err := checkSupported(text); err != nil {
		return nil, err
	}
	local, err := parseLocal(text, c.inTransaction)
	if err != nil {
		return nil, err
	}
	st.local = local
	st.upstreamName = hashedName(text, oids)
	return st, nil
}

func hashedName(text string, oids []uint32) string {
	definition := make([]byte, 0, len(text)+4*len(oids)+1)
	definition = append(definition, text...)
	definition = append(definition, 0)
	for _, oid := range oids {
		definition = binary.BigEndian.AppendUint32(definition, oid)
	}
	sum := sha256.Sum256(definition)
	return upstreamNamePrefix + hex.EncodeToString(sum[:upstreamNameHashBytes])
}

// parseBody encodes the body of a Parse of the unnamed statement.
func (st *statement) parseBody() []byte {
	body := make([]byte, 0, len(st.sql)+4+4*len(st.oids))
	body = append(body, 0)
	body = append(body, st.sql...)
	body = append(body, 0)
	body = binary.BigEndian.AppendUint16(body, uint16(len(st.oids)))
	for _, oid := range st.oids {
		body = binary.BigEndian.AppendUint32(body, oid)
	}
	return body
}

// localStatementFor returns the proxy's own answer to a statement; nil if an
// upstream answers it.
func (c *conn) localStatementFor(st *statement) *localStatement {
	if c.transactionLost && st.isTransactionEnd {
		return endLostTransaction
	}
	return st.local
}

func endsTransaction(text string) bool {
	switch keyword, _ := entry.FirstKeyword(text); keyword {
	case "COMMIT", "END", "ROLLBACK", "ABORT":
		return true
	}
	return false
}

// localStatement is a statement that the proxy answers itself. column is set
// if it returns one row of one text column.
type localStatement struct {
	tag    string
	column string
	run    func(c *conn) (value string, err error)
}

// endLostTransaction answers the caller's COMMIT or ROLLBACK of a transaction
// that was lost. The owner has rolled it back already.
var endLostTransaction = &localStatement{tag: "ROLLBACK", run: func(c *conn) (string, error) {
	c.transactionLost = false
	return "", nil
}}

func (l *localStatement) describe(c *conn, parameters bool) error {
	if parameters {
		c.send(&pgproto3.ParameterDescription{})
	}
	if l.column == "" {
		c.send(&pgproto3.NoData{})
		return nil
	}
	c.send(l.rowDescription())
	return nil
}

const (
	textOID      = 25
	variableSize = -1
)

func (l *localStatement) rowDescription() *pgproto3.RowDescription {
	field := pgproto3.FieldDescription{Name: []byte(l.column), DataTypeOID: textOID, DataTypeSize: variableSize, TypeModifier: -1}
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{field}}
}

// execute runs the statement and sends its answer. simple adds the row
// description, which the simple protocol sends without a Describe.
func (l *localStatement) execute(c *conn, simple bool) error {
	value, err := l.run(c)
	if err != nil {
		return err
	}
	if l.column != "" {
		if simple {
			c.send(l.rowDescription())
		}
		c.send(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
	}
	c.send(&pgproto3.CommandComplete{CommandTag: []byte(l.tag)})
	return nil
}
