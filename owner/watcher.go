package owner

import (
	"context"
	"math/rand/v2"
	"time"

	"lovageslip/internal/pause"
	"lovageslip/upstream"
)

const (
	// watchInterval is the time between queries while no confirmation is
	// pending. They keep the confirmed age of the primary's data low.
	watchInterval = 200 * time.Millisecond
	// maxPositionWait bounds how long a wait for a commit delays a status
	// query on the same connection.
	maxPositionWait = 20 * time.Millisecond
	// minQueryInterval limits the rate of the queries that confirmations
	// cause, for example for reads of current data.
	minQueryInterval   = time.Millisecond
	memberQueryTimeout = 300 * time.Millisecond
	redialDelay        = 100 * time.Millisecond
)

// watcher queries one other member of the group, on one connection at a time,
// and hands the answers to the confirmer.
type watcher struct {
	confirmer *confirmer
	name      string
	address   string
	stop      context.CancelFunc
	wakeup    chan struct{} // buffered, capacity 1

	// latest is guarded by the confirmer's lock.
	latest statusReport
}

func (w *watcher) wake() {
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
}

func (w *watcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		w.dialAndQuery(ctx)
		pause.For(ctx, redialDelay/2+rand.N(redialDelay))
	}
}

// dialAndQuery opens one connection and queries the member on it until a query
// fails.
func (w *watcher) dialAndQuery(ctx context.Context) {
	dialCtx, cancel := context.WithTimeout(ctx, memberQueryTimeout)
	conn, err := w.confirmer.dialer.Dial(dialCtx, w.address, w.confirmer.database)
	cancel()
	if err != nil {
		return
	}
	defer closeConn(conn)
	for ctx.Err() == nil {
		sentAt := time.Now()
		status, err := w.query(ctx, conn)
		if err != nil {
			w.confirmer.log.Warn("query to a group member failed", "upstream", w.name, "err", err)
			return
		}
		w.confirmer.observe(w, statusReport{status: status, sentAt: sentAt})
		w.awaitNext(ctx, sentAt)
	}
}

// query asks for a status or, if only a position is needed, waits until the
// member has it.
func (w *watcher) query(ctx context.Context, conn upstream.Conn) (upstream.Status, error) {
	needStatus, position := w.confirmer.nextQuery(w)
	ctx, cancel := context.WithTimeout(ctx, memberQueryTimeout)
	defer cancel()
	// A member that does not answer must not block its watcher.
	defer context.AfterFunc(ctx, func() { closeConn(conn) })()
	if !needStatus && position != (upstream.Position{}) {
		return conn.Wait(ctx, position, maxPositionWait)
	}
	return conn.Status(ctx)
}

// awaitNext returns when the next query is due: after minQueryInterval if a
// confirmation needs one, otherwise after a wake or watchInterval.
func (w *watcher) awaitNext(ctx context.Context, sentAt time.Time) {
	if needStatus, position := w.confirmer.nextQuery(w); needStatus || position != (upstream.Position{}) {
		pause.For(ctx, minQueryInterval-time.Since(sentAt))
		return
	}
	timer := time.NewTimer(watchInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-w.wakeup:
	case <-timer.C:
	}
}
