package pgcaller_test

import (
	"testing"

	"github.com/jackc/pgx/v5"
)

// BenchmarkOneRowRead measures a prepared one-row read through the proxy to a
// fake owner, per statement over all callers.
func BenchmarkOneRowRead(b *testing.B) {
	b.Run("local", func(b *testing.B) { readRows(b, startLocal(b, &fakeOwner{discardRecords: true})) })
	b.Run("remote", func(b *testing.B) { readRows(b, startRemote(b, &fakeOwner{discardRecords: true})) })
}

func readRows(b *testing.B, h *testHost) {
	b.ReportAllocs()
	b.SetParallelism(8)
	b.RunParallel(func(pb *testing.PB) {
		c, err := pgx.Connect(b.Context(), "postgres://app@"+h.address+"/shop?sslmode=disable")
		if err != nil {
			b.Error(err)
			return
		}
		defer c.Close(b.Context())
		var got string
		for pb.Next() {
			if err := c.QueryRow(b.Context(), "select 1").Scan(&got); err != nil {
				b.Error(err)
				return
			}
		}
	})
}
