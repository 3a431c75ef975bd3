package pgcaller

import (
	"context"
	"errors"
	"os"
	"sync"
	"time"

	"lovageslip/entry"
)

// watchDelay is how long a batch runs before its caller is watched for
// leaving. Most batches are over by then and cost no watcher.
const watchDelay = 10 * time.Millisecond

// runWatched runs a batch, and cancels it if the caller leaves meanwhile.
func (c *conn) runWatched(ctx context.Context, request entry.Request, a *answer) (entry.Reply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := &watcher{conn: c, cancel: cancel, done: make(chan struct{})}
	timer := time.AfterFunc(watchDelay, w.run)
	reply, err := c.session.Run(ctx, request, a.take)
	if !timer.Stop() {
		w.stop()
	}
	return reply, err
}

// watcher reads ahead while a batch runs. What it reads stays in the buffer.
type watcher struct {
	conn   *conn
	cancel context.CancelFunc
	done   chan struct{}

	mu      sync.Mutex
	reading bool // guarded by mu
	stopped bool // guarded by mu
}

func (w *watcher) run() {
	defer close(w.done)
	if !w.begin() {
		return
	}
	for w.conn.reader.buffered() < busyBuffer {
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

func (w *watcher) begin() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reading = !w.stopped
	return w.reading
}

// stop ends the reading and waits for it.
func (w *watcher) stop() {
	if w.interrupt() {
		// A failing deadline shows at the next read.
		_ = w.conn.network.SetReadDeadline(time.Unix(1, 0))
		<-w.done
		_ = w.conn.network.SetReadDeadline(time.Time{})
	}
}

func (w *watcher) interrupt() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	return w.reading
}
