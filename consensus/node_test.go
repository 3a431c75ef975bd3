package consensus

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a single host that waits for responses of other members.
func TestSingleMemberAcceptsChangesAtOnce(t *testing.T) {
	c := newCluster(t, "a")
	h := c.hosts[0]
	result, err := h.node.Propose(context.Background(), encodeNumber(7))
	assert.NilError(t, err)
	assert.DeepEqual(t, result, encodeNumber(1))
	h.stop()
	h.start()
	h.awaitRead(7)
}

// Guards against followers that don't forward proposals to the leader or don't ask
// it for the commit index before a read.
func TestEveryMemberProposesAndReads(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	for i, h := range c.hosts {
		h.propose(uint64(i) + 1)
		for _, reader := range c.hosts {
			reader.awaitRead(uint64(i) + 1)
		}
	}
}
