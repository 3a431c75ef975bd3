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

type registerInput struct {
	write bool
	value uint64
}

var registerModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		in := input.(registerInput)
		if in.write {
			return true, in.value
		}
		return output.(uint64) == state.(uint64), state
	},
}

// history collects the operations of all clients.
type history struct {
	start     time.Time
	lastValue atomic.Uint64
	done      atomic.Int64
	mu        sync.Mutex
	ops       []porcupine.Operation
}

// running is a host as clients see it; a restart replaces it.
type running struct {
	node  *Node
	state *register
}

func (h *history) now() int64 { return int64(time.Since(h.start)) }

func (h *history) add(client int, in registerInput, call int64, out uint64, end int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.done.Add(1)
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: end})
}

func (h *history) writeOnce(client int, r *running) {
	ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer cancel()
	in := registerInput{write: true, value: h.lastValue.Add(1)}
	call := h.now()
	_, err := r.node.Propose(ctx, number(in.value))
	end := h.now()
	var notRun *fault.NotRun
	if errors.As(err, &notRun) {
		return
	}
	if err != nil {
		// It may take effect at any later time.
		end = int64(24 * time.Hour)
	}
	h.add(client, in, call, 0, end)
}

func (h *history) readOnce(client int, r *running) {
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

// Guards against old reads, lost writes and writes that take effect after they
// were reported as not run, under partitions, one-way cuts and restarts.
func TestHistoryIsLinearizable(t *testing.T) {
	const rounds, clients = 8, 4
	seed := testSeed(t)
	c := newCluster(t, "a", "b", "c")
	c.leader()
	table := make([]atomic.Pointer[running], len(c.hosts))
	for i, h := range c.hosts {
		table[i].Store(&running{h.node, h.state})
	}
	h := &history{start: time.Now()}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for id := range clients {
		random := rand.New(rand.NewPCG(seed, uint64(id)))
		group.Go(func() { h.runClient(id, random, table, stop) })
	}
	random := rand.New(rand.NewPCG(seed, clients))
	for range rounds {
		c.disturb(random, h, table)
	}
	close(stop)
	group.Wait()
	result := porcupine.CheckOperationsTimeout(registerModel, h.ops, 2*time.Minute)
	t.Logf("%d operations", len(h.ops))
	assert.Equal(t, result, porcupine.Ok)
}

func (h *history) runClient(id int, random *rand.Rand, table []atomic.Pointer[running], stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.IntN(10)) * time.Millisecond):
		}
		r := table[random.IntN(len(table))].Load()
		if random.IntN(2) == 0 {
			h.writeOnce(id, r)
		} else {
			h.readOnce(id, r)
		}
	}
}

// disturb makes one fault, lets clients go on under it, and ends it.
func (c *cluster) disturb(random *rand.Rand, h *history, table []atomic.Pointer[running]) {
	position := random.IntN(len(c.hosts))
	victim := c.hosts[position]
	switch random.IntN(4) {
	case 0:
		c.isolate(victim, true)
		h.waitOps(c.t, 20)
		c.isolate(victim, false)
	case 1:
		c.deafen(victim, true)
		h.waitOps(c.t, 20)
		c.deafen(victim, false)
	case 2:
		other := c.others(victim)[random.IntN(len(c.hosts)-1)]
		victim.link.set(victim.link.cut, other.address, true)
		h.waitOps(c.t, 20)
		victim.link.set(victim.link.cut, other.address, false)
	case 3:
		victim.stop()
		victim.start()
		table[position].Store(&running{victim.node, victim.state})
	}
	h.waitOps(c.t, 20)
}

func (c *cluster) deafen(h *host, on bool) {
	for _, other := range c.others(h) {
		h.link.set(h.link.deaf, other.address, on)
	}
}

func (h *history) waitOps(t testing.TB, count int64) {
	t.Helper()
	target := h.done.Load() + count
	waitFor(t, "operations", func() bool { return h.done.Load() >= target })
}
