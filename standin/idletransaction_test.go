package standin

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a session that holds the write lock for as long as its client
// sends nothing: idle_in_transaction_session_timeout must end it.
func TestIdleTransactionEndsItsSession(t *testing.T) {
	server := start(t, Options{})
	idle, writer := dial(t, server), dial(t, server)
	run(t, idle, "CREATE TABLE v (n INTEGER); INSERT INTO v VALUES (1)")
	run(t, idle, "SET idle_in_transaction_session_timeout = '100'")
	run(t, idle, "BEGIN")
	run(t, idle, "UPDATE v SET n = 1")
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err := writer.Exec(ctx, "UPDATE v SET n = 2")
	assert.NilError(t, err)
	_, err = idle.Exec(ctx, "COMMIT")
	assert.Assert(t, err != nil, "the transaction was still open after idle_in_transaction_session_timeout")
}
