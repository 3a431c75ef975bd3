package pgcaller_test

import (
	"net"
	"runtime"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sourcegraph/conc/pool"
	"gotest.tools/v3/assert"
)

// maxIdleBytes is the limit on the memory that one idle caller may take.
const maxIdleBytes = 16 << 10

// idleCallers is the number of connections that the measurement holds open. Each
// takes two file descriptors of this process.
const idleCallers = 3000

// TestIdleCallerStaysUnderItsMemoryLimit guards against buffers that are kept
// while a caller is idle. Both ends of each connection are in this process, so
// the figure is an upper bound.
func TestIdleCallerStaysUnderItsMemoryLimit(t *testing.T) {
	perCaller := measureIdle(t, idleCallers)
	t.Logf("%d bytes per idle caller", perCaller)
	assert.Assert(t, perCaller < maxIdleBytes, "%d bytes per idle caller", perCaller)
}

func measureIdle(t testing.TB, callers int) uint64 {
	h := startLocal(t, &fakeOwner{})
	before := memoryInUse()
	connections := make([]net.Conn, callers)
	workers := pool.New().WithMaxGoroutines(16)
	for i := range connections {
		workers.Go(func() { connections[i] = idleCaller(t, h.address) })
	}
	workers.Wait()
	after := memoryInUse()
	runtime.KeepAlive(connections)
	return (after - before) / uint64(callers)
}

// idleCaller connects, runs a statement, reads the answer and stays connected.
func idleCaller(t testing.TB, address string) net.Conn {
	netConn, err := net.Dial("tcp", address)
	assert.Check(t, err)
	t.Cleanup(func() { netConn.Close() })
	startup, _ := (&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{"user": "app", "database": "shop"}}).Encode(nil)
	roundTrip(t, netConn, startup)
	query, _ := (&pgproto3.Query{String: "select 1"}).Encode(nil)
	roundTrip(t, netConn, query)
	return netConn
}

// roundTrip reads up to ReadyForQuery, which ends an answer.
func roundTrip(t testing.TB, netConn net.Conn, message []byte) {
	_, err := netConn.Write(message)
	assert.Check(t, err)
	buffer := make([]byte, 4096)
	n := 0
	for n < 6 || buffer[n-6] != 'Z' {
		read, err := netConn.Read(buffer[n:])
		if err != nil {
			assert.Check(t, err)
			return
		}
		n += read
	}
}

// memoryInUse returns the bytes in use by heap and stacks. It runs several
// garbage collections first, because each only halves a stack.
func memoryInUse() uint64 {
	for range 4 {
		runtime.GC()
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

func BenchmarkIdleCaller(b *testing.B) {
	for b.Loop() {
		b.ReportMetric(float64(measureIdle(b, idleCallers)), "bytes/conn")
	}
}
