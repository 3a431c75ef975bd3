package integration

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a transaction whose caller or proxy has gone that is kept,
// committed, or left open on a connection that other work then uses. The
// stand-in lets one transaction write at a time, so an open one would also stop
// all other writers.
func TestTransactionCutOffLeavesNothing(t *testing.T) {
	cases := []struct {
		name string
		// end ends the transaction from outside; owner owns the primary.
		end func(s *site, entry, owner int, hangUp func())
		// owned opens the transaction through the owner itself.
		owned bool
	}{
		{"caller gone", func(_ *site, _, _ int, hangUp func()) { hangUp() }, false},
		{"entry killed", func(s *site, entry, _ int, _ func()) { s.proxies[entry].kill() }, false},
		{"owner killed", func(s *site, _, owner int, _ func()) { s.proxies[owner].kill() }, false},
		{"entry that is the owner killed", func(s *site, entry, _ int, _ func()) { s.proxies[entry].kill() }, true},
	}
	s := startSite(t, siteOptions{controls: 1, proxies: 3})
	for _, c := range cases {
		ok := s.in(c.name, func(*testing.T) {
			primary, _ := s.primary()
			owner := s.ownerOf(primary)
			entry := s.otherProxy(owner)
			if c.owned {
				entry = owner
			}
			s.cutOffTransaction(entry, func(hangUp func()) { c.end(s, entry, owner, hangUp) })
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

// cutOffTransaction opens a transaction, ends it with end, and checks that
// others go on and that nothing of it is there.
func (s *site) cutOffTransaction(entry int, end func(hangUp func())) {
	s.t.Helper()
	ctx := context.Background()
	records, stop := s.runWriters(2, true)
	defer stop()
	conn := s.connect(entry, "filing")
	const left = "INSERT INTO entries (note) VALUES ('cut off')"
	s.await("an open transaction", func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
		defer cancel()
		if _, err := conn.Exec(ctx, "BEGIN"); err != nil {
			return err
		}
		_, err := conn.Exec(ctx, left)
		return err
	})
	end(func() { _ = conn.PgConn().Conn().Close() })
	for proxy, p := range s.proxies {
		for caller := 0; caller < 2 && p.running(); caller++ {
			s.awaitMore(records[2*proxy+caller], 5)
		}
	}
	stop()
	reader := s.otherProxy(entry)
	assert.Equal(s.t, s.entries(reader)["cut off"], 0, "part of a transaction that was cut off is in the database")
	s.assertEachOnce(reader, records...)
	_ = conn.Close(ctx)
}
