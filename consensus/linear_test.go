package consensus

import (
	"context"
	"errors"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"lovageslip/fault"
)

// registerInput is an operation on the register; value is that of a write.
type registerInput struct {
	write bool
	value uint64
}

var registerModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		operation := input.(registerInput)
		if operation.write {
			return true, operation.value
		}
		return output.(uint64) == state.(uint64), state
	},
}

// history collects the operations of all clients for the check by porcupine.
type history struct {
	start     time.Time
	lastValue atomic.Uint64
	completed atomic.Int64
	mu        sync.Mutex
	ops       []porcupine.Operation
}

// runningHost is the node and state machine of a host between two restarts.
type runningHost struct {
	node  *Node
	state *register
}

func (h *history) now() int64 { return int64(time.Since(h.start)) }

func (h *history) add(client int, input registerInput, call int64, output uint64, end int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.completed.Add(1)
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: input, Call: call, Output: output, Return: end})
}

func (h *history) writeOnce(client int, r *runningHost) {
	ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer cancel()
	input := registerInput{write: true, value: h.lastValue.Add(1)}
	call := h.now()
	_, err := r.node.Propose(ctx, encodeNumber(input.value))
	end := h.now()
	var notRun *fault.NotRun
	if errors.As(err, &notRun) {
		return
	}
	if err != nil {
		// The outcome is unknown: the write may take effect at any later
		// time, or never.
		end = int64(24 * time.Hour)
	}
	h.add(client, input, call, 0, end)
}

func (h *history) readOnce(client int, r *runningHost) {
	ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer cancel()
	call := h.now()
	if _, err := r.node.ReadIndex(ctx); err != nil {
		return
	}
	value, _ := r.state.read()
	h.add(client, registerInput{}, call, value, h.now())
}

func testSeed(t *testing.T) uint64 {
	seed := rand.Uint64()
	if text := os.Getenv("CONSENSUS_SEED"); text != "" {
		var err error
		seed, err = strconv.ParseUint(text, 10, 64)
		assert.NilError(t, err)
	}
	t.Logf("seed: CONSENSUS_SEED=%d", seed)
	return seed
}

// Guards against stale reads, lost writes and writes that take effect although they
// were reported as not run, under partitions, one-way loss of requests or responses,
// and restarts.
func TestHistoryIsLinearizable(t *testing.T) {
	const rounds, clients = 8, 4
	seed := testSeed(t)
	c := newCluster(t, "a", "b", "c")
	c.awaitLeader()
	hosts := make([]atomic.Pointer[runningHost], len(c.hosts))
	for i, h := range c.hosts {
		hosts[i].Store(&runningHost{h.node, h.state})
	}
	h := &history{start: time.Now()}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for id := range clients {
		random := rand.New(rand.NewPCG(seed, uint64(id)))
		group.Go(func() { h.runClient(id, random, hosts, stop) })
	}
	random := rand.New(rand.NewPCG(seed, clients))
	for range rounds {
		c.injectFault(random, h, hosts)
	}
	close(stop)
	group.Wait()
	result := porcupine.CheckOperationsTimeout(registerModel, h.ops, 2*time.Minute)
	t.Logf("%d operations", len(h.ops))
	assert.Equal(t, result, porcupine.Ok)
}

func (h *history) runClient(id int, random *rand.Rand, hosts []atomic.Pointer[runningHost], stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.IntN(10)) * time.Millisecond):
		}
		r := hosts[random.IntN(len(hosts))].Load()
		if random.IntN(2) == 0 {
			h.writeOnce(id, r)
		} else {
			h.readOnce(id, r)
		}
	}
}

// injectFault starts a random fault, waits until clients have completed operations
// under it, and ends it.
func (c *cluster) injectFault(random *rand.Rand, h *history, hosts []atomic.Pointer[runningHost]) {
	position := random.IntN(len(c.hosts))
	victim := c.hosts[position]
	switch random.IntN(4) {
	case 0:
		c.isolate(victim, true)
		h.awaitOperations(c.t, 20)
		c.isolate(victim, false)
	case 1:
		c.dropResponsesTo(victim, true)
		h.awaitOperations(c.t, 20)
		c.dropResponsesTo(victim, false)
	case 2:
		other := c.others(victim)[random.IntN(len(c.hosts)-1)]
		victim.link.set(victim.link.dropRequests, other.address, true)
		h.awaitOperations(c.t, 20)
		victim.link.set(victim.link.dropRequests, other.address, false)
	case 3:
		victim.stop()
		victim.start()
		hosts[position].Store(&runningHost{victim.node, victim.state})
	}
	h.awaitOperations(c.t, 20)
}

// dropResponsesTo starts or ends the loss of all responses to h's requests.
func (c *cluster) dropResponsesTo(h *host, on bool) {
	for _, other := range c.others(h) {
		h.link.set(h.link.dropResponses, other.address, on)
	}
}

func (h *history) awaitOperations(t testing.TB, count int64) {
	t.Helper()
	target := h.completed.Load() + count
	waitFor(t, "operations to complete", func() bool { return h.completed.Load() >= target })
}
