package relay

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"
)

// BenchmarkStatement compares a write at the relay's own proxy with one that another
// proxy sends through the relay. The upstream answers at once, and one caller sends
// one statement at a time. Both proxies share the process.
func BenchmarkStatement(b *testing.B) {
	benchProxies(b, func(b *testing.B, p *fakeProxy) {
		session := open(b, p, "latest")
		assert.Assert(b, session.Do(context.Background(), write("warm", "")).Refusal == nil)
		b.ReportAllocs()
		for b.Loop() {
			session.Do(context.Background(), write("w", ""))
		}
	})
}

// BenchmarkManyCallers runs 64 callers at a time, as BenchmarkStatement does one.
func BenchmarkManyCallers(b *testing.B) {
	benchProxies(b, func(b *testing.B, p *fakeProxy) {
		b.SetParallelism(64)
		b.RunParallel(func(loop *testing.PB) {
			session := open(b, p, "latest")
			for loop.Next() {
				session.Do(context.Background(), write("w", ""))
			}
		})
	})
}

// benchProxies runs a benchmark at the relay and at a proxy that uses it.
func benchProxies(b *testing.B, run func(*testing.B, *fakeProxy)) {
	s := newFakeSite(b, 2, 4)
	s.commandDelay = 0
	relay := s.relayFor("p1")
	for _, p := range s.proxies {
		name := "relayed"
		if p == relay {
			name = "direct"
		}
		b.Run(name, func(b *testing.B) { run(b, p) })
	}
}
