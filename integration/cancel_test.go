package integration

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
)

// Guards against a cancel request without effect because a load balancer sent
// it to another proxy than the one that runs the caller's statement.
func TestCancelRequestAtAnotherProxy(t *testing.T) {
	s := startSite(t, siteOptions{proxies: 2})
	conn := s.connect(0, "filing")
	key := conn.PgConn().SecretKey()
	ended := make(chan error, 1)
	start := time.Now()
	go func() {
		_, err := conn.Exec(context.Background(), "SELECT pg_sleep(50)")
		ended <- err
	}()
	request := &pgproto3.CancelRequest{ProcessID: conn.PgConn().PID(), SecretKey: key}
	packet, err := request.Encode(nil)
	assert.NilError(t, err)
	// The cancel request is repeated because it has no effect before the
	// statement has started.
	s.await("the statement is cancelled", func(context.Context) error {
		other, err := net.Dial("tcp", s.callerAddresses[1])
		assert.NilError(t, err)
		defer other.Close()
		_, err = other.Write(packet)
		assert.NilError(t, err)
		select {
		case err := <-ended:
			assert.Equal(t, sqlState(err), "57014", "%v", err)
			return nil
		case <-time.After(100 * time.Millisecond):
			return fmt.Errorf("the statement is still running")
		}
	})
	assert.Assert(t, time.Since(start) < 40*time.Second)
}
