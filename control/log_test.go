package control_test

import (
	"context"
	"math"
	"sync"
	"sync/atomic"

	"lovageslip/consensus"
	"lovageslip/control/controlclient"
	"lovageslip/controlstate"
)

// memoryCluster is a replicated log in memory. Tests choose its leader.
type memoryCluster struct {
	mu      sync.Mutex
	entries [][]byte
	nodes   []*memoryLog
	leader  *memoryLog
	term    uint64
}

// memoryLog is one node's consensus.Log.
type memoryLog struct {
	cluster  *memoryCluster
	name     string
	address  string
	state    *controlstate.State
	applied  uint64
	isolated bool
	// leadershipChecks is how many more calls of Leadership may report that
	// this node leads.
	leadershipChecks atomic.Int64
	changed          chan struct{}
}

var _ consensus.Log = (*memoryLog)(nil)

func (c *memoryCluster) add(name, address string, state *controlstate.State) *memoryLog {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := &memoryLog{cluster: c, name: name, address: address, state: state, changed: make(chan struct{})}
	n.leadershipChecks.Store(math.MaxInt64)
	c.nodes = append(c.nodes, n)
	return n
}

// elect makes a node the leader of a new term; nil leaves no leader.
func (c *memoryCluster) elect(n *memoryLog) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.term++
	c.leader = n
}

// setIsolated cuts a node off from the others, or connects it again.
func (c *memoryCluster) setIsolated(n *memoryLog, isolated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n.isolated = isolated
	c.replicate()
}

func (c *memoryCluster) length() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.entries)
}

func (c *memoryCluster) replicate() {
	for _, n := range c.nodes {
		if n.isolated {
			continue
		}
		for n.applied < uint64(len(c.entries)) {
			n.applied++
			n.state.Apply(n.applied, c.entries[n.applied-1])
		}
		close(n.changed)
		n.changed = make(chan struct{})
	}
}

func (n *memoryLog) Propose(_ context.Context, command []byte) ([]byte, error) {
	c := n.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == nil || n.isolated || c.leader.isolated {
		return nil, &controlclient.Unavailable{Detail: "no quorum"}
	}
	c.entries = append(c.entries, command)
	for n.applied < uint64(len(c.entries))-1 {
		n.applied++
		n.state.Apply(n.applied, c.entries[n.applied-1])
	}
	n.applied++
	result := n.state.Apply(n.applied, command)
	c.replicate()
	return result, nil
}

func (n *memoryLog) ReadIndex(context.Context) (uint64, error) {
	c := n.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == nil || n.isolated || c.leader.isolated {
		return 0, &controlclient.Unavailable{Detail: "no quorum"}
	}
	return n.applied, nil
}

func (n *memoryLog) Leadership() (uint64, bool) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.cluster.term, n.leadershipChecks.Add(-1) >= 0 && n.cluster.leader == n && !n.isolated
}

func (n *memoryLog) Leader() (string, string, bool) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	if n.cluster.leader == nil {
		return "", "", false
	}
	return n.cluster.leader.name, n.cluster.leader.address, true
}

func (n *memoryLog) Applied() (uint64, <-chan struct{}) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.applied, n.changed
}
