package consensus

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a single host that waits for peers it doesn't have.
func TestSingleMemberAcceptsChangesAtOnce(t *testing.T) {
	c := newCluster(t, "a")
	h := c.hosts[0]
	result, err := h.node.Propose(context.Background(), number(7))
	assert.NilError(t, err)
	assert.DeepEqual(t, result, number(1))
	h.stop()
	h.start()
	h.readsBack(7)
}

// Guards against followers that neither forward nor confirm.
func TestEveryMemberProposesAndReads(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	for i, h := range c.hosts {
		h.propose(uint64(i) + 1)
		for _, reader := range c.hosts {
			reader.readsBack(uint64(i) + 1)
		}
	}
}
