package standin

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a server that executes more statements at a time than it has
// slots.
func TestSlotsBoundExecution(t *testing.T) {
	const service = 20 * time.Millisecond
	server := start(t, Options{Slots: 2, ServiceTime: service})
	began := time.Now()
	var tasks sync.WaitGroup
	for range 8 {
		conn := dial(t, server)
		tasks.Go(func() { run(t, conn, "SELECT 1") })
	}
	tasks.Wait()
	assert.Assert(t, time.Since(began) >= 4*service)
}

// Guards against a semaphore that serves waiters out of order, or that loses a unit
// when a waiter gives up.
func TestQueueIsFirstComeFirstServed(t *testing.T) {
	f := &fifoSemaphore{capacity: 1}
	assert.NilError(t, f.acquire(t.Context()))
	var order []int
	var tasks sync.WaitGroup
	for i := range 5 {
		tasks.Go(func() {
			assert.Check(t, f.acquire(t.Context()) == nil)
			order = append(order, i)
			f.release()
		})
		eventually(t, "queued", func() bool { return f.queued() == i+1 })
	}
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Equal(t, f.acquire(cancelled), context.Canceled)
	f.release()
	tasks.Wait()
	assert.DeepEqual(t, order, []int{0, 1, 2, 3, 4})
	assert.Assert(t, f.tryAcquire())
}

// Guards against a writer that occupies a slot while it waits for the write lock,
// so that the lock's holder gets no slot and can't go on.
func TestWaitingWriterHoldsNoSlot(t *testing.T) {
	server := start(t, Options{Slots: 1})
	holder, waiter := dial(t, server), dial(t, server)
	run(t, holder, "CREATE TABLE v (id INTEGER PRIMARY KEY)")
	run(t, holder, "BEGIN; INSERT INTO v VALUES (1)")
	var done atomic.Bool
	var tasks sync.WaitGroup
	tasks.Go(func() {
		run(t, waiter, "INSERT INTO v VALUES (2)")
		done.Store(true)
	})
	eventually(t, "waiting for the lock", func() bool { return server.writeLock.queued() == 1 })
	run(t, holder, "INSERT INTO v VALUES (3)")
	assert.Assert(t, !done.Load())
	run(t, holder, "COMMIT")
	tasks.Wait()
}
