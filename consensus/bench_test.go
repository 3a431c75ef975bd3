package consensus

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Reports the latency of one proposal at a time.
func BenchmarkProposeLatency(b *testing.B) {
	h := newCluster(b, "a", "b", "c").leader()
	for b.Loop() {
		_, err := h.node.Propose(context.Background(), number(1))
		assert.NilError(b, err)
	}
}

// Reports the time per proposal with 64 proposers.
func BenchmarkProposeThroughput(b *testing.B) {
	h := newCluster(b, "a", "b", "c").leader()
	b.SetParallelism(8)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			_, err := h.node.Propose(context.Background(), number(1))
			assert.Check(b, err)
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "proposals/s")
}

// Reports how long a restart takes for several lengths of the history.
func BenchmarkRestart(b *testing.B) {
	for _, total := range []int{500, 5_000, 50_000} {
		b.Run(fmt.Sprintf("entries=%d", total), func(b *testing.B) {
			c := newCluster(b, "a")
			h := c.hosts[0]
			proposeMany(b, h, total)
			for b.Loop() {
				b.StopTimer()
				h.stop()
				b.StartTimer()
				h.start()
			}
			h.readsBack(1)
		})
	}
}

// Reports the time from the loss of the leader until another host has
// committed a change. Run with -benchtime 20x or more.
func BenchmarkLeaderChange(b *testing.B) {
	c := newCluster(b, "a", "b", "c")
	var gaps []time.Duration
	for b.Loop() {
		b.StopTimer()
		old := c.leader()
		old.propose(1)
		b.StartTimer()
		gaps = append(gaps, c.changeLeader(old))
		b.StopTimer()
		c.isolate(old, false)
		old.readsBack(2)
		b.StartTimer()
	}
	slices.Sort(gaps)
	b.ReportMetric(gaps[len(gaps)/2].Seconds(), "median-s")
	b.ReportMetric(gaps[len(gaps)-1].Seconds(), "worst-s")
}

func (c *cluster) changeLeader(old *host) time.Duration {
	start := time.Now()
	c.isolate(old, true)
	fresh := c.leader(c.others(old)...)
	fresh.propose(2)
	return time.Since(start)
}
