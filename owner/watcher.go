package owner

import (
	"context"
	"math/rand/v2"
	"time"

	"lovageslip/internal/pause"
	"lovageslip/upstream"
)

const (
	// watchInterval keeps the age of a primary low without any request.
	watchInterval = 200 * time.Millisecond
	// waitChunk bounds how long a wait for a commit delays a status query on
	// the same connection.
	waitChunk = 20 * time.Millisecond
	// statusSpacing bounds the status queries that fresh reads cause.
	statusSpacing = time.Millisecond
	watchTimeout  = 300 * time.Millisecond
	rewatchPause  = 100 * time.Millisecond
)

// watcher follows one other member of the group on one connection.
type watcher struct {
	confirmer *confirmer
	name      string
	address   string
	stop      context.CancelFunc
	kick      chan struct{} // buffered, capacity 1

	// latest is guarded by the confirmer's lock.
	latest report
}

func (w *watcher) wake() {
	select {
	case w.kick <- struct{}{}:
	default:
	}
}

func (w *watcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		w.session(ctx)
		pause.For(ctx, rewatchPause/2+rand.N(rewatchPause))
	}
}

// session asks on one connection until it fails.
func (w *watcher) session(ctx context.Context) {
	dialCtx, cancel := context.WithTimeout(ctx, watchTimeout)
	conn, err := w.confirmer.dialer.Dial(dialCtx, w.address, w.confirmer.database)
	cancel()
	if err != nil {
		return
	}
	defer closeConn(conn)
	for ctx.Err() == nil {
		began := time.Now()
		status, err := w.ask(ctx, conn)
		if err != nil {
			w.confirmer.log.Warn("member does not answer", "upstream", w.name, "err", err)
			return
		}
		w.confirmer.observe(w, report{status: status, began: began})
		w.idle(ctx, began)
	}
}

// ask sends what is needed most.
func (w *watcher) ask(ctx context.Context, conn upstream.Conn) (upstream.Status, error) {
	status, position := w.confirmer.demand(w)
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	// A member that does not answer must not block its watcher.
	defer context.AfterFunc(ctx, func() { closeConn(conn) })()
	if !status && position != (upstream.Position{}) {
		return conn.Wait(ctx, position, waitChunk)
	}
	return conn.Status(ctx)
}

// idle returns once something is needed or the interval has passed.
func (w *watcher) idle(ctx context.Context, began time.Time) {
	if status, position := w.confirmer.demand(w); status || position != (upstream.Position{}) {
		pause.For(ctx, statusSpacing-time.Since(began))
		return
	}
	timer := time.NewTimer(watchInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-w.kick:
	case <-timer.C:
	}
}
