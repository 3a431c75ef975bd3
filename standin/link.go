package standin

import (
	"context"
	"encoding/gob"
	"net"
	"sync"
	"time"

	"github.com/mattn/go-sqlite3"
	"github.com/sourcegraph/conc"

	"lovageslip/upstream"
)

// link is one replication connection of a replica to its primary. One goroutine
// pulls entries, another applies them once the replication lag has passed.
type link struct {
	server  *Server
	target  target
	conn    net.Conn
	encoder *gob.Encoder
	decoder *gob.Decoder
	// pullQueued is signalled when a pull is added to queue.
	pullQueued chan struct{}

	// mu guards queue.
	mu    sync.Mutex
	queue []queuedPull
}

// queuedPull is an answered pull that is queued until the replication lag has
// passed.
type queuedPull struct {
	sentAt time.Time
	// dueAt is when the replication lag has passed.
	dueAt   time.Time
	entries []entry
	history upstream.History
	more    bool
}

func (l *link) run(ctx context.Context, cancel context.CancelFunc) error {
	firstReply, err := l.pull(pullRequest{First: true, History: l.target.history, From: l.target.offset})
	if err != nil {
		return err
	}
	if err := l.server.alignLogWithPrimary(l.target, firstReply); err != nil {
		return err
	}
	var tasks conc.WaitGroup
	tasks.Go(func() {
		defer cancel()
		if err := l.apply(ctx); err != nil {
			l.server.log.Warn("applying replicated entries failed", "error", err)
		}
	})
	err = l.fetch(ctx, firstReply.Keep)
	cancel()
	tasks.Wait()
	return err
}

func (l *link) pull(request pullRequest) (pullReply, error) {
	request.Term = l.target.term
	var reply pullReply
	_ = l.conn.SetDeadline(time.Now().Add(pullTimeout))
	if err := l.encoder.Encode(request); err != nil {
		return reply, err
	}
	if err := l.decoder.Decode(&reply); err != nil {
		return reply, err
	}
	if reply.Refused != "" {
		return reply, &linkRefused{detail: reply.Refused}
	}
	l.server.state.recordContact(l.target.linkNumber)
	return reply, nil
}

func (l *link) fetch(ctx context.Context, from upstream.Offset) error {
	for ctx.Err() == nil && l.server.state.isCurrentLink(l.target.linkNumber) {
		sentAt := time.Now()
		reply, err := l.pull(pullRequest{From: from})
		if err != nil {
			return err
		}
		from += upstream.Offset(len(reply.Entries))
		due := time.Now().Add(time.Duration(l.server.lag.Load()))
		l.enqueue(queuedPull{sentAt: sentAt, dueAt: due, entries: reply.Entries, history: reply.History, more: reply.More})
	}
	return ctx.Err()
}

func (l *link) enqueue(p queuedPull) {
	l.mu.Lock()
	l.queue = append(l.queue, p)
	l.mu.Unlock()
	select {
	case l.pullQueued <- struct{}{}:
	default:
	}
}

// dequeueDue removes the pulls whose lag has passed from the queue. It also
// returns how long to wait for the next one, or 0 if the queue is empty.
func (l *link) dequeueDue(now time.Time) ([]queuedPull, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for n < len(l.queue) && !l.queue[n].dueAt.After(now) {
		n++
	}
	ready := l.queue[:n:n]
	l.queue = l.queue[n:]
	if len(l.queue) == 0 {
		return ready, 0
	}
	return ready, l.queue[0].dueAt.Sub(now)
}

func (l *link) apply(ctx context.Context) error {
	db, _, err := l.server.store.open()
	if err != nil {
		return err
	}
	defer db.Close()
	for ctx.Err() == nil {
		ready, wait := l.dequeueDue(time.Now())
		if len(ready) == 0 {
			l.waitForPull(ctx, wait)
			continue
		}
		if err := l.server.applyPulled(db, l.target, ready); err != nil {
			return err
		}
	}
	return nil
}

func (l *link) waitForPull(ctx context.Context, wait time.Duration) {
	if wait > 0 {
		waitFor(ctx, nil, wait)
		return
	}
	select {
	case <-ctx.Done():
	case <-l.pullQueued:
	}
}

// applyPulled applies the entries of pulls whose lag has passed. It fails with
// *linkRefused if the link has been dropped or replaced since.
func (s *Server) applyPulled(db *sqlite3.SQLiteConn, t target, ready []queuedPull) error {
	s.state.commit.Lock()
	defer s.state.commit.Unlock()
	if !s.state.isCurrentLink(t.linkNumber) {
		return &linkRefused{detail: "the link was dropped or replaced before its entries were applied"}
	}
	var entries []entry
	for _, p := range ready {
		entries = append(entries, p.entries...)
	}
	if len(entries) > 0 {
		if err := applyEntries(db, entries); err != nil {
			return err
		}
		s.recordSchemaChanges(entries)
	}
	last := ready[len(ready)-1]
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	s.state.log = append(s.state.log, entries...)
	if !last.more {
		s.state.upToDateAt = last.sentAt
	}
	s.state.updateHistory(last.history)
	if len(entries) > 0 {
		s.state.notify()
	}
	return nil
}

func (s *Server) recordSchemaChanges(entries []entry) {
	for _, e := range entries {
		for _, logged := range e.Statements {
			if logged.Schema {
				s.store.incrementSchemaVersion()
				return
			}
		}
	}
}
