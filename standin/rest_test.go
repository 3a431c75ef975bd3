package standin

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a session that holds the write lock for as long as its client
// is frozen.
func TestRestingTransactionEndsItsSession(t *testing.T) {
	server := start(t, Options{})
	a, b := dial(t, server), dial(t, server)
	run(t, a, "CREATE TABLE v (n INTEGER); INSERT INTO v VALUES (1)")
	run(t, a, "SET idle_in_transaction_session_timeout = '100'")
	run(t, a, "BEGIN")
	run(t, a, "UPDATE v SET n = 1")
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err := b.Exec(ctx, "UPDATE v SET n = 2")
	assert.NilError(t, err)
	_, err = a.Exec(ctx, "COMMIT")
	assert.Assert(t, err != nil, "the transaction outlived its limit")
}
