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
	notRunCode  = "57L01"
	unknownCode = "40003"
)

// sqlState returns the SQLSTATE of an error, empty for a broken connection.
func sqlState(err error) string {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return pgErr.Code
	}
	return ""
}

// record is what a writer knows of its writes.
type record struct {
	mu      sync.Mutex // guards all fields
	acked   map[int]bool
	notRun  map[int]bool
	unknown map[int]bool
	// failures are the errors behind unknown, refusal is the last one behind
	// notRun.
	failures []error
	refusal  error
	// gap is the longest time between two acknowledgements, lastAck the
	// time of the last one.
	gap     time.Duration
	lastAck time.Time
}

func newRecord() *record {
	return &record{acked: map[int]bool{}, notRun: map[int]bool{}, unknown: map[int]bool{}, lastAck: time.Now()}
}

func (r *record) note(id int, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil:
		r.acked[id] = true
		r.gap = max(r.gap, time.Since(r.lastAck))
		r.lastAck = time.Now()
	case sqlState(err) == notRunCode:
		r.notRun[id] = true
		r.refusal = err
	default:
		r.unknown[id] = true
		r.failures = append(r.failures, err)
	}
}

// troubles says what a writer was told instead of an acknowledgement.
func (r *record) troubles() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := error(nil)
	if len(r.failures) > 0 {
		last = r.failures[len(r.failures)-1]
	}
	return fmt.Sprintf("%d not run, the last with: %v; %d of unknown outcome, the last with: %v",
		len(r.notRun), r.refusal, len(r.failures), last)
}

func (r *record) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.acked)
}

// nextID gives each write of a test its own id.
var nextID atomic.Int64

// writeUntil files entries, one after the other, until stop is closed. With
// request ids a write whose outcome is unknown is sent again until it is known.
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
		err := file(ctx, conn, id, requestIDs)
		r.note(id, err)
		if err == nil || !requestIDs {
			id = int(nextID.Add(1))
		}
		time.Sleep(time.Millisecond)
	}
}

func file(ctx context.Context, conn *pgx.Conn, id int, requestID bool) error {
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

// assertEachOnce checks the table against what writers were told: every
// acknowledged write is there once, no write that was not run is there, and
// nothing is there twice.
func (s *site) assertEachOnce(proxy int, records ...*record) {
	s.t.Helper()
	found := s.entries(proxy)
	for note, n := range found {
		assert.Check(s.t, n == 1, "%s is there %d times", note, n)
	}
	for _, r := range records {
		for id := range r.acked {
			assert.Check(s.t, found[fmt.Sprintf("entry-%d", id)] == 1, "acknowledged entry-%d is there %d times", id, found[fmt.Sprintf("entry-%d", id)])
		}
		for id := range r.notRun {
			if r.acked[id] || r.unknown[id] {
				continue // sent again after it was not run
			}
			assert.Check(s.t, found[fmt.Sprintf("entry-%d", id)] == 0, "entry-%d was reported as not run", id)
		}
	}
}

// entries returns how often each note is in the table, read from the primary.
func (s *site) entries(proxy int) map[string]int {
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

// awaitMore waits until a record has n acknowledgements more than now.
func (s *site) awaitMore(r *record, n int) {
	s.t.Helper()
	want := r.count() + n
	s.await(fmt.Sprintf("%d more acknowledged writes", n), func(context.Context) error {
		if got := r.count(); got < want {
			return fmt.Errorf("%d acknowledged so far; %s", got, r.troubles())
		}
		return nil
	})
}

// runWriters files entries on all proxies until the returned function is
// called.
func (s *site) runWriters(perProxy int, requestIDs bool) ([]*record, func()) {
	return s.runCallers(perProxy, func(stop <-chan struct{}, proxy int, r *record) {
		s.writeUntil(stop, proxy, requestIDs, r)
	})
}

// runCallers runs a function for each of a number of callers on each proxy. The
// returned function stops them and waits.
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
