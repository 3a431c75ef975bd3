package integration

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// silentLimit is the longest time until the answer to a statement that was
// sent on a silent connection.
const silentLimit = 8 * time.Second

// Guards against callers that wait without limit on a connection that stays
// open but delivers nothing in either direction, while new connections work.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	s := startSite(t, siteOptions{controls: 1, proxies: 2, relays: true})
	for _, between := range []string{"owner and upstream", "entry and owner"} {
		s.runSubtest(between, func(t *testing.T) {
			primary, _ := s.primary()
			owner := s.ownerOf(primary)
			l := s.links[primary]
			if between == "entry and owner" {
				l = s.links[fmt.Sprintf("proxy-%d", owner+1)]
			}
			entry := s.otherProxy(owner)
			for _, kind := range []string{"read", "write with a request id", "write"} {
				s.runOnSilentConnection(l, entry, kind)
			}
		})
	}
}

// runOnSilentConnection executes one statement after the link's open
// connections have gone silent.
func (s *site) runOnSilentConnection(l *link, entry int, kind string) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), setUpTimeout)
	defer cancel()
	conn := s.connect(entry, "filing")
	s.await("working connections", func(ctx context.Context) error {
		return run(ctx, conn, "SELECT count(*) FROM entries", "INSERT INTO entries (note) VALUES ('before')")
	})
	note := fmt.Sprintf("silent %d", nextID.Add(1))
	if kind == "write with a request id" {
		assert.NilError(s.t, run(ctx, conn, "SET lovageslip.request_id = '"+note+"'"))
	}
	l.relay.silence()
	start := time.Now()
	sql := "INSERT INTO entries (note) VALUES ('" + note + "')"
	if kind == "read" {
		sql = "SELECT count(*) FROM entries"
	}
	limited, stop := context.WithTimeout(ctx, 2*silentLimit)
	defer stop()
	err := run(limited, conn, sql)
	took := time.Since(start)
	s.t.Logf("%s: %v after %s", kind, err, took)
	assert.Check(s.t, took < silentLimit, "%s took %s", kind, took)
	if kind != "write" {
		assert.Check(s.t, err, "%s on a silent connection", kind)
		return
	}
	// The write may have been sent on a new connection; otherwise it was not
	// run or its outcome is unknown.
	assert.Check(s.t, err == nil || sqlState(err) == outcomeUnknownCode || sqlState(err) == notRunCode, "write: %v", err)
	if sqlState(err) == notRunCode {
		assert.Equal(s.t, s.entryCounts(entry)[note], 0, "a write that was reported as not run is in the table")
	}
}
