package pgcaller

import (
	"context"
	"errors"
	"os"
	"sync"
	"time"

	"lovageslip/entry"
)

// watchDelay is how long a batch runs before its caller's connection is watched
// for a disconnect. Most batches end earlier and cost no watcher.
const watchDelay = 10 * time.Millisecond

// runWatched runs a batch and cancels it if the caller disconnects meanwhile.
func (c *conn) runWatched(ctx context.Context, request entry.Request, a *answerRelay) (entry.Reply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := &disconnectWatcher{conn: c, cancel: cancel, done: make(chan struct{})}
	timer := time.AfterFunc(watchDelay, w.run)
	reply, err := c.session.Run(ctx, request, a.receive)
	if !timer.Stop() {
		w.stop()
	}
	return reply, err
}

// disconnectWatcher reads from the caller's connection while a batch runs, to
// see a disconnect. The bytes stay in the reader's buffer for the next message.
type disconnectWatcher struct {
	conn   *conn
	cancel context.CancelFunc
	done   chan struct{}

	mu      sync.Mutex
	reading bool // guarded by mu
	stopped bool // guarded by mu
}

func (w *disconnectWatcher) run() {
	defer close(w.done)
	if !w.startReading() {
		return
	}
	for w.conn.reader.buffered() < pooledBufferBytes {
		err := w.conn.reader.fill()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if err != nil {
			w.cancel()
			return
		}
	}
}

func (w *disconnectWatcher) startReading() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reading = !w.stopped
	return w.reading
}

// stop interrupts the read in progress and waits until run has returned.
func (w *disconnectWatcher) stop() {
	if w.interrupt() {
		// A connection that refuses the deadline fails at the next read too.
		_ = w.conn.netConn.SetReadDeadline(time.Unix(1, 0))
		<-w.done
		_ = w.conn.netConn.SetReadDeadline(time.Time{})
	}
}

func (w *disconnectWatcher) interrupt() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	return w.reading
}
