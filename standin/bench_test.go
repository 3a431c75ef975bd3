package standin

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/jackc/pgx/v5/pgconn"
)

const benchCallers = 64

// BenchmarkRead measures one-row reads by 64 callers.
func BenchmarkRead(b *testing.B) { benchmark(b, "SELECT name FROM v WHERE id = 500") }

// BenchmarkWrite measures one-row writes by 64 callers.
func BenchmarkWrite(b *testing.B) { benchmark(b, "UPDATE v SET n = n + 1 WHERE id = 500") }

func benchmark(b *testing.B, sql string) {
	server, err := Start(Options{ConnectDelay: -1})
	if err != nil {
		b.Fatal(err)
	}
	defer server.Close()
	callers := make([]*pgconn.PgConn, benchCallers)
	for i := range callers {
		callers[i], err = pgconn.Connect(context.Background(), "postgres://u@"+server.Address()+"/db")
		if err != nil {
			b.Fatal(err)
		}
		defer callers[i].Close(context.Background())
	}
	setup := "CREATE TABLE v (id INTEGER PRIMARY KEY, name TEXT, n INTEGER); " +
		"WITH RECURSIVE c(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM c WHERE i < 1000) " +
		"INSERT INTO v SELECT i, 'name ' || i, 0 FROM c"
	if _, err := callers[0].Exec(context.Background(), setup).ReadAll(); err != nil {
		b.Fatal(err)
	}
	var next atomic.Int64
	b.SetParallelism(benchCallers)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		n := int(next.Add(1))
		if n > benchCallers {
			return
		}
		for pb.Next() {
			if _, err := callers[n-1].Exec(context.Background(), sql).ReadAll(); err != nil {
				b.Error(err)
				return
			}
		}
	})
}
