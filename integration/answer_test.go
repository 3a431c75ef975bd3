package integration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"
)

const (
	longRows   = 300
	longColumn = 1000
	longBytes  = longRows * longColumn
	// bufferedBytes is more than an owner or entry buffers of a long answer
	// before it passes on the first part.
	bufferedBytes = 40_000
)

// longQuery returns a query for longRows rows that contain a tag.
func longQuery(tag string) string {
	return fmt.Sprintf("WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n WHERE i < %d) "+
		"SELECT CAST(i AS TEXT), '%s ' || hex(zeroblob(%d)) FROM n", longRows, tag, longColumn/2)
}

// checkLongAnswer executes longQuery(tag) and returns the query's error. It
// fails the test if the answer holds rows of another request, or is incomplete
// although there was no error.
func checkLongAnswer(ctx context.Context, t testing.TB, conn *pgx.Conn, tag string) error {
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	rows, err := conn.Query(ctx, longQuery(tag))
	if err != nil {
		return err
	}
	defer rows.Close()
	n := 0
	want := tag + " " + strings.Repeat("0", longColumn)
	for rows.Next() {
		var i, text string
		if err := rows.Scan(&i, &text); err != nil {
			return err
		}
		n++
		if i != strconv.Itoa(n) || text != want {
			t.Errorf("%s: row %d is row %s of %.40s", tag, n, i, text)
		}
	}
	if rows.Err() == nil && n != longRows {
		t.Errorf("%s: short answer of %d rows without an error", tag, n)
	}
	return rows.Err()
}

// Guards against an answer that reaches the caller truncated but without an
// error, because a connection closed in the middle of it.
func TestTruncatedAnswerIsAnError(t *testing.T) {
	s := startSite(t, siteOptions{controls: 1, proxies: 2})
	for _, between := range []string{"owner and upstream", "entry and owner"} {
		for _, bytes := range []int{200, 5000, bufferedBytes, longBytes / 2, longBytes - 500} {
			primary, _ := s.primary()
			owner := s.ownerOf(primary)
			l := s.links[primary]
			if between == "entry and owner" {
				l = s.links[fmt.Sprintf("proxy-%d", owner+1)]
			}
			conn := s.connect(s.otherProxy(owner), "filing")
			s.await("a whole answer", func(ctx context.Context) error { return checkLongAnswer(ctx, t, conn, "whole") })
			remove := l.addToxic(t, "limit_data", "downstream", map[string]any{"bytes": bytes})
			err := checkLongAnswer(context.Background(), t, conn, "cut")
			remove()
			// The read may be retried elsewhere until the first part of its
			// answer has been passed on; later it can only fail.
			assert.Check(t, err != nil || bytes < bufferedBytes, "cut between %s after %d bytes: no error", between, bytes)
			t.Logf("cut between %s after %d bytes: %v", between, bytes, err)
		}
	}
}

// Guards against an answer that arrives late and is delivered to another request.
func TestLateAnswersReachNoOtherRequest(t *testing.T) {
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, 0))
	s := startSite(t, siteOptions{controls: 1, proxies: 3})
	var whole, failed atomic.Int64
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for proxy := range s.proxies {
		for caller := range 8 {
			name := fmt.Sprintf("caller %d of proxy %d", caller, proxy)
			class := []string{"filing", "reading"}[caller%2]
			callers.Go(func() { s.readTaggedRows(stop, proxy, class, name, &whole, &failed) })
		}
	}
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); {
		s.injectFault(random)
	}
	close(stop)
	callers.Wait()
	t.Logf("%d whole answers, %d failed", whole.Load(), failed.Load())
	assert.Assert(t, whole.Load() > 50 && failed.Load() > 10, "too few answers or too few failures for a conclusion")
}

// readTaggedRows sends queries, each with a tag of its own in its rows, until
// stop is closed. Every seventh has a timeout of 5 ms.
func (s *site) readTaggedRows(stop <-chan struct{}, proxy int, class, name string, whole, failed *atomic.Int64) {
	var conn *pgx.Conn
	for i := 0; !closed(stop); i++ {
		ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
		var err error
		if conn == nil || conn.IsClosed() {
			conn, err = s.dial(ctx, proxy, s.options.databases[0], class)
		}
		if i%7 == 6 {
			// The answer arrives after the caller has given up.
			cancel()
			ctx, cancel = context.WithTimeout(context.Background(), 5*time.Millisecond)
		}
		if err == nil {
			err = checkLongAnswer(ctx, s.t, conn, fmt.Sprintf("%s request %d", name, i))
		}
		cancel()
		if err != nil {
			failed.Add(1)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		whole.Add(1)
	}
	if conn != nil {
		_ = conn.Close(context.Background())
	}
}

// injectFault slows down or cuts a random link to a proxy or an upstream for
// 50 to 200 ms.
func (s *site) injectFault(random *rand.Rand) {
	names := []string{"proxy-1", "proxy-2", "proxy-3", "diary-1", "diary-2", "diary-3"}
	l := s.links[names[random.IntN(len(names))]]
	duration := time.Duration(50+random.IntN(150)) * time.Millisecond
	var remove func()
	switch random.IntN(4) {
	case 0:
		l.cut()
		remove = func() { l.heal(s.t) }
	case 1:
		remove = l.addToxic(s.t, "latency", "downstream", map[string]any{"latency": 20, "jitter": 20})
	case 2:
		remove = l.addToxic(s.t, "bandwidth", "downstream", map[string]any{"rate": 1000})
	case 3:
		remove = l.addToxic(s.t, "limit_data", "downstream", map[string]any{"bytes": random.IntN(2 * longBytes)})
	}
	time.Sleep(duration)
	remove()
	time.Sleep(50 * time.Millisecond)
}
