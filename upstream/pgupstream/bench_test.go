package pgupstream

import (
	"context"
	"sync/atomic"
	"testing"

	"lovageslip/standin"
	"lovageslip/upstream"
)

const benchCallers = 64

// BenchmarkRead measures one-row reads over 64 connections.
func BenchmarkRead(b *testing.B) {
	benchmark(b, upstream.Batch{Mode: upstream.ModeRead, Payload: query("SELECT n FROM v WHERE id = 1")})
}

// BenchmarkWrite measures one-row writes over 64 connections.
func BenchmarkWrite(b *testing.B) {
	benchmark(b, upstream.Batch{Mode: upstream.ModeWrite, Payload: query("UPDATE v SET n = 'b' WHERE id = 1")})
}

func benchmark(b *testing.B, batch upstream.Batch) {
	server, err := standin.Start(standin.Options{ConnectDelay: -1})
	if err != nil {
		b.Fatal(err)
	}
	defer server.Close()
	conns := make([]upstream.Conn, benchCallers)
	for i := range conns {
		conns[i], err = NewDialer(Options{}).Dial(context.Background(), server.Address(), "db")
		if err != nil {
			b.Fatal(err)
		}
		defer conns[i].Close()
	}
	write(conns[0].(*Conn), createV+"; INSERT INTO v VALUES (1, 'a')", "")
	var next atomic.Int64
	b.SetParallelism(benchCallers)
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		n := int(next.Add(1))
		if n > benchCallers {
			return
		}
		sink := func([]byte) error { return nil }
		check := func(upstream.Status) error { return nil }
		for pb.Next() {
			if _, err := conns[n-1].Run(context.Background(), batch, check, sink); err != nil {
				b.Error(err)
				return
			}
		}
	})
}
