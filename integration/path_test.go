// Package integration tests whole sites: control hosts and proxies run as
// separate processes in front of stand-in upstreams, with a fault-injecting
// proxy on the network links between them.
package integration

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a request path that works only within one process: a write
// through one proxy must be found by a read through another one with the session
// token.
func TestWriteIsReadThroughAnotherProxy(t *testing.T) {
	s := startSite(t, siteOptions{controls: 3, proxies: 2})
	ctx := context.Background()
	writer := s.connect(0, "filing")
	_, err := writer.Exec(ctx, "INSERT INTO entries VALUES ($1, $2)", 1, "drumming after midnight")
	assert.NilError(t, err)
	token := writer.PgConn().ParameterStatus("lovageslip.session")
	assert.Assert(t, token != "", "no session token after a commit")

	reader := s.connect(1, "reading")
	_, err = reader.Exec(ctx, "SET lovageslip.session = '"+token+"'")
	assert.NilError(t, err)
	var note string
	assert.NilError(t, reader.QueryRow(ctx, "SELECT note FROM entries WHERE id = $1", 1).Scan(&note))
	assert.Equal(t, note, "drumming after midnight")
}
