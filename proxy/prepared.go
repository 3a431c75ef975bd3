package proxy

import (
	"crypto/sha256"
	"encoding/base64"
	"strconv"
)

// preparedStatement is the definition of a prepared statement. Equal definitions have
// equal ids and no others do, so that callers share what is prepared on a connection,
// and none runs the statement of another.
type preparedStatement struct {
	readOnly bool
	shape    string
	id       definitionID
}

// definitionID identifies a definition: its SHA-256 digest.
type definitionID [sha256.Size]byte

func newPreparedStatement(shape string, readOnly bool) preparedStatement {
	access := "w"
	if readOnly {
		access = "r"
	}
	return preparedStatement{readOnly: readOnly, shape: shape, id: sha256.Sum256([]byte(access + shape))}
}

// prepare returns the command that prepares a statement on a connection under a name of
// its own, and reports false if the connection has prepared it already.
func (c *conn) prepare(p preparedStatement) (Command, bool) {
	if _, ok := c.prepared[p.id]; ok {
		return Command{}, false
	}
	// Names are given out again only after all were reset together.
	name := "s" + strconv.Itoa(len(c.prepared)+1)
	if c.pool.relays != nil {
		// Relays of an earlier version know a statement by this name on connections
		// that they share between proxies.
		name = base64.RawURLEncoding.EncodeToString(p.id[:])
	}
	c.prepared[p.id] = name
	return Command{Kind: CommandPrepare, Name: name, Value: p.shape, ReadOnly: p.readOnly}, true
}
