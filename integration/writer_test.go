package integration

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"
)

const (
	notRunCode         = "57L01"
	outcomeUnknownCode = "40003"
)

// sqlState returns the SQLSTATE of an error, empty for a broken connection.
func sqlState(err error) string {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return pgErr.Code
	}
	return ""
}

// record holds the answers that one caller got to its statements, by the id of the
// entry or, for a reader, by the number of the read.
type record struct {
	mu      sync.Mutex // guards all fields
	acked   map[int]bool
	notRun  map[int]bool
	unknown map[int]bool
	// failures are the errors of the statements in unknown, lastRefusal is the
	// last error of those in notRun.
	failures    []error
	lastRefusal error
	// longestGap is the longest time between two acknowledgements, lastAck the
	// time of the last one.
	longestGap time.Duration
	lastAck    time.Time
}

func newRecord() *record {
	return &record{acked: map[int]bool{}, notRun: map[int]bool{}, unknown: map[int]bool{}, lastAck: time.Now()}
}

func (r *record) add(id int, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil:
		r.acked[id] = true
		r.longestGap = max(r.longestGap, time.Since(r.lastAck))
		r.lastAck = time.Now()
	case sqlState(err) == notRunCode:
		r.notRun[id] = true
		r.lastRefusal = err
	default:
		r.unknown[id] = true
		r.failures = append(r.failures, err)
	}
}

// failureSummary describes the answers that were no acknowledgements.
func (r *record) failureSummary() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := error(nil)
	if len(r.failures) > 0 {
		last = r.failures[len(r.failures)-1]
	}
	return fmt.Sprintf("%d not run, the last with: %v; %d of unknown outcome, the last with: %v",
		len(r.notRun), r.lastRefusal, len(r.failures), last)
}

func (r *record) ackCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.acked)
}

// nextID numbers the entries, so that each has an id of its own.
var nextID atomic.Int64

// writeUntil inserts entries, one after the other, until stop is closed. With
// request ids, an insert that failed is resent until it is acknowledged.
func (s *site) writeUntil(stop <-chan struct{}, proxy int, requestIDs bool, r *record) {
	ctx := context.Background()
	var conn *pgx.Conn
	for id := int(nextID.Add(1)); !closed(stop); {
		if conn == nil || conn.IsClosed() {
			var err error
			conn, err = s.dial(ctx, proxy, s.options.databases[0], "filing")
			if err != nil {
				time.Sleep(10 * time.Millisecond)
				continue
			}
		}
		err := insertEntry(ctx, conn, id, requestIDs)
		r.add(id, err)
		if err == nil || !requestIDs {
			id = int(nextID.Add(1))
		}
		time.Sleep(time.Millisecond)
	}
}

func insertEntry(ctx context.Context, conn *pgx.Conn, id int, requestID bool) error {
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	if requestID {
		if _, err := conn.Exec(ctx, fmt.Sprintf("SET lovageslip.request_id = 'entry-%d'", id)); err != nil {
			return err
		}
	}
	_, err := conn.Exec(ctx, "INSERT INTO entries (note) VALUES ($1)", fmt.Sprintf("entry-%d", id))
	return err
}

// assertExactlyOnce compares the table with the answers that writers got: it
// must hold every acknowledged entry once, no entry that was reported as not
// run, and no entry twice.
func (s *site) assertExactlyOnce(proxy int, records ...*record) {
	s.t.Helper()
	found := s.entryCounts(proxy)
	for note, n := range found {
		assert.Check(s.t, n == 1, "%s is in the table %d times", note, n)
	}
	for _, r := range records {
		for id := range r.acked {
			assert.Check(s.t, found[fmt.Sprintf("entry-%d", id)] == 1, "acknowledged entry-%d is in the table %d times", id, found[fmt.Sprintf("entry-%d", id)])
		}
		for id := range r.notRun {
			if r.acked[id] || r.unknown[id] {
				continue // the entry was resent
			}
			assert.Check(s.t, found[fmt.Sprintf("entry-%d", id)] == 0, "entry-%d was reported as not run but is in the table", id)
		}
	}
}

// entryCounts returns how often each note is in the table. It reads through a
// proxy with the class filing, whose reads run at the primary.
func (s *site) entryCounts(proxy int) map[string]int {
	s.t.Helper()
	found := make(map[string]int)
	s.await("reading all entries", func(ctx context.Context) error {
		clear(found)
		conn, err := s.dial(ctx, proxy, s.options.databases[0], "filing")
		if err != nil {
			return err
		}
		defer conn.Close(ctx)
		rows, err := conn.Query(ctx, "SELECT note FROM entries")
		if err != nil {
			return err
		}
		notes, err := pgx.CollectRows(rows, pgx.RowTo[string])
		for _, note := range notes {
			found[note]++
		}
		return err
	})
	return found
}

// awaitMoreAcks waits until a record has n more acknowledgements than at the
// call.
func (s *site) awaitMoreAcks(r *record, n int) {
	s.t.Helper()
	want := r.ackCount() + n
	s.await(fmt.Sprintf("%d more acknowledged statements", n), func(context.Context) error {
		if got := r.ackCount(); got < want {
			return fmt.Errorf("%d acknowledged so far; %s", got, r.failureSummary())
		}
		return nil
	})
}

// runWriters inserts entries through all proxies until the returned function is
// called.
func (s *site) runWriters(perProxy int, requestIDs bool) ([]*record, func()) {
	return s.runCallers(perProxy, func(stop <-chan struct{}, proxy int, r *record) {
		s.writeUntil(stop, proxy, requestIDs, r)
	})
}

// runCallers runs perProxy callers on each proxy. Each calls run, which must
// return when stop is closed. The returned function stops the callers and
// waits for them.
func (s *site) runCallers(perProxy int, run func(stop <-chan struct{}, proxy int, r *record)) ([]*record, func()) {
	stop := make(chan struct{})
	var records []*record
	var done sync.WaitGroup
	for proxy := range s.proxies {
		for range perProxy {
			r := newRecord()
			records = append(records, r)
			done.Go(func() { run(stop, proxy, r) })
		}
	}
	var once sync.Once
	end := func() { once.Do(func() { close(stop); done.Wait() }) }
	s.t.Cleanup(end)
	return records, end
}

func closed(stop <-chan struct{}) bool {
	select {
	case <-stop:
		return true
	default:
		return false
	}
}
