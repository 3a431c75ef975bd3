package exchange

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against streams that stay open to owners that are no longer used.
func TestIdleStreamsAndUnusedOwnersExpire(t *testing.T) {
	clock := time.Unix(1000, 0)
	now = func() time.Time { return clock }
	defer func() { now = time.Now }()
	client := NewClient(ClientOptions{})
	unused := client.peer("127.0.0.1:1")
	unused.release(unused.dial())
	assert.Equal(t, len(unused.idle), 1)
	clock = clock.Add(maxLinkIdle + time.Second)
	used := client.peer("127.0.0.1:2")
	assert.Equal(t, len(unused.idle), 0)
	assert.Equal(t, len(client.peers), 1)
	assert.Assert(t, client.peers["127.0.0.1:2"] == used)
}
