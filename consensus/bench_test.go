package consensus

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Reports the latency of proposals that are made one after another.
func BenchmarkProposeLatency(b *testing.B) {
	h := newCluster(b, "a", "b", "c").awaitLeader()
	for b.Loop() {
		_, err := h.node.Propose(context.Background(), encodeNumber(1))
		assert.NilError(b, err)
	}
}

// Reports the time per proposal with 8 concurrent proposers per processor.
func BenchmarkProposeThroughput(b *testing.B) {
	h := newCluster(b, "a", "b", "c").awaitLeader()
	b.SetParallelism(8)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			_, err := h.node.Propose(context.Background(), encodeNumber(1))
			assert.Check(b, err)
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "proposals/s")
}

// Reports how long a host takes to restart after different numbers of entries.
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
			h.awaitRead(1)
		})
	}
}

// Reports the time from a partition of the leader until another host has
// committed a change. Run it with -benchtime 20x or more.
func BenchmarkLeaderChange(b *testing.B) {
	c := newCluster(b, "a", "b", "c")
	var gaps []time.Duration
	for b.Loop() {
		b.StopTimer()
		oldLeader := c.awaitLeader()
		oldLeader.propose(1)
		b.StartTimer()
		gaps = append(gaps, c.measureFailover(oldLeader))
		b.StopTimer()
		c.isolate(oldLeader, false)
		oldLeader.awaitRead(2)
		b.StartTimer()
	}
	slices.Sort(gaps)
	b.ReportMetric(gaps[len(gaps)/2].Seconds(), "median-s")
	b.ReportMetric(gaps[len(gaps)-1].Seconds(), "worst-s")
}

// measureFailover isolates the leader and returns how long it takes until another
// leader has committed a change.
func (c *cluster) measureFailover(oldLeader *host) time.Duration {
	start := time.Now()
	c.isolate(oldLeader, true)
	newLeader := c.awaitLeader(c.others(oldLeader)...)
	newLeader.propose(2)
	return time.Since(start)
}
