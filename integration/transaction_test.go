package integration

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a transaction that stays open or is committed after its
// caller or its proxy is gone, or is left open on a connection that other work
// then uses. The stand-in lets one transaction write at a time, so an open one
// would also block all other writers.
func TestTransactionCutOffLeavesNothing(t *testing.T) {
	cases := []struct {
		name string
		// end closes the caller's connection or kills a proxy; owner is the
		// proxy that owns the primary.
		end func(s *site, entry, owner int, disconnect func())
		// throughOwner connects the caller to the owner instead of another
		// proxy.
		throughOwner bool
	}{
		{"caller gone", func(_ *site, _, _ int, disconnect func()) { disconnect() }, false},
		{"entry killed", func(s *site, entry, _ int, _ func()) { s.proxies[entry].kill() }, false},
		{"owner killed", func(s *site, _, owner int, _ func()) { s.proxies[owner].kill() }, false},
		{"entry that is the owner killed", func(s *site, entry, _ int, _ func()) { s.proxies[entry].kill() }, true},
	}
	s := startSite(t, siteOptions{controls: 1, proxies: 3})
	for _, c := range cases {
		ok := s.runSubtest(c.name, func(*testing.T) {
			primary, _ := s.primary()
			owner := s.ownerOf(primary)
			entry := s.otherProxy(owner)
			if c.throughOwner {
				entry = owner
			}
			s.cutOffTransaction(entry, func(disconnect func()) { c.end(s, entry, owner, disconnect) })
			for i, p := range s.proxies {
				if !p.running() {
					p.start()
					s.awaitServing(i)
				}
			}
		})
		if !ok {
			return
		}
	}
}

// cutOffTransaction opens a transaction that writes, interrupts it by calling
// end, and checks that other writers go on and that none of its writes is in
// the table.
func (s *site) cutOffTransaction(entry int, end func(disconnect func())) {
	s.t.Helper()
	ctx := context.Background()
	records, stop := s.runWriters(2, true)
	defer stop()
	conn := s.connect(entry, "filing")
	const insert = "INSERT INTO entries (note) VALUES ('cut off')"
	s.await("an open transaction", func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
		defer cancel()
		if _, err := conn.Exec(ctx, "BEGIN"); err != nil {
			return err
		}
		_, err := conn.Exec(ctx, insert)
		return err
	})
	end(func() { _ = conn.PgConn().Conn().Close() })
	for proxy, p := range s.proxies {
		for caller := 0; caller < 2 && p.running(); caller++ {
			s.awaitMoreAcks(records[2*proxy+caller], 5)
		}
	}
	stop()
	reader := s.otherProxy(entry)
	assert.Equal(s.t, s.entryCounts(reader)["cut off"], 0, "part of a transaction that was cut off is in the database")
	s.assertExactlyOnce(reader, records...)
	_ = conn.Close(ctx)
}
