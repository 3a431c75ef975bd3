package integration

import (
	"context"
	"encoding/base64"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"lovageslip/session"
	"lovageslip/upstream"
)

const badTokenCode = "28L01"

// insertForToken inserts an entry and returns the session token that came with
// the commit.
func (s *site) insertForToken(conn *pgx.Conn, note string) string {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	_, err := conn.Exec(ctx, "INSERT INTO entries (note) VALUES ($1)", note)
	assert.NilError(s.t, err)
	token := conn.PgConn().ParameterStatus("lovageslip.session")
	assert.Assert(s.t, token != "", "no session token after a commit")
	return token
}

func countNote(ctx context.Context, conn *pgx.Conn, note string) (int, error) {
	n := 0
	err := conn.QueryRow(ctx, "SELECT count(*) FROM entries WHERE note = $1", note).Scan(&n)
	return n, err
}

// Guards against reads on another proxy that miss the session's own write while
// replicas lag, and against answers that are older than the class allows.
func TestReadsWithTokenWhileReplicasLag(t *testing.T) {
	s := startSite(t, siteOptions{controls: 1, proxies: 3, dataCentres: []string{"luzon", "visayas", "mindanao"}})
	// Only the replica in the reading proxy's data centre lags. The other one
	// confirms commits at once, so that the reads below begin before the lag has
	// passed. The latency of 30 ms on the link to proxy-3 keeps the reading proxy
	// from using that other replica without need.
	s.upstreams["diary-2"].SetLag(2 * time.Second)
	s.links["proxy-3"].addToxic(t, "latency", "downstream", map[string]any{"latency": 30})
	ctx := context.Background()
	writer, withToken, withoutToken, reviewer := s.connect(0, "filing"), s.connect(1, "reading"), s.connect(1, "reading"), s.connect(1, "reviewing")
	insertedAt := make(map[string]time.Time)
	staleReads := 0
	for i := range 30 {
		note := fmt.Sprintf("lag %d", i)
		token := s.insertForToken(writer, note)
		insertedAt[note] = time.Now()
		// The read without a token comes first, because the router avoids the
		// lagging replica once that has refused a read with a token.
		n, err := countNote(ctx, withoutToken, note)
		assert.NilError(t, err)
		staleReads += 1 - n
		_, err = withToken.Exec(ctx, "SET lovageslip.session = '"+token+"'")
		assert.NilError(t, err)
		n, err = countNote(ctx, withToken, note)
		assert.NilError(t, err)
		assert.Equal(t, n, 1, "%s: a read with the session token misses the write", note)
		s.checkMaxAge(reviewer, insertedAt, time.Second)
		time.Sleep(50 * time.Millisecond)
	}
	assert.Assert(t, staleReads > 0, "no read without a token was stale, so the reads with a token prove nothing")
}

// checkMaxAge reads all entries and fails the test if one that was inserted
// longer ago than age is missing.
func (s *site) checkMaxAge(conn *pgx.Conn, insertedAt map[string]time.Time, age time.Duration) {
	s.t.Helper()
	asked := time.Now()
	rows, err := conn.Query(context.Background(), "SELECT note FROM entries")
	assert.NilError(s.t, err)
	notes, err := pgx.CollectRows(rows, pgx.RowTo[string])
	assert.NilError(s.t, err)
	answer := strings.Join(notes, "\n") + "\n"
	for note, at := range insertedAt {
		if asked.Sub(at) > age {
			assert.Check(s.t, strings.Contains(answer, note+"\n"), "%s was inserted %s ago and is missing", note, asked.Sub(at))
		}
	}
}

// Guards against a read with the session token that misses the session's write
// after a change of primary, because replicas lagged when the old primary was
// lost.
func TestReadsWithTokenAcrossChangeOfPrimary(t *testing.T) {
	s := startSite(t, siteOptions{controls: 1, proxies: 2, lag: 100 * time.Millisecond})
	for i := range 2 {
		note := fmt.Sprintf("change %d", i)
		token := s.insertForToken(s.connect(0, "filing"), note)
		name, server := s.primary()
		server.Kill()
		// Reads may be refused during the change of primary, but must never miss
		// the write.
		end := time.Now().Add(setUpTimeout)
		for changed, answered := false, 0; !changed || answered < 20; {
			assert.Assert(t, time.Now().Before(end), "reads with the session token are still refused")
			n, err := s.readWithToken(1, token, note)
			if err == nil {
				assert.Equal(t, n, 1, "a read with the token misses the write")
				answered++
			} else {
				assert.Equal(t, sqlState(err), notRunCode, "%v", err)
			}
			primary := s.group("diary").GetPrimary()
			changed = primary != "" && primary != name
			time.Sleep(10 * time.Millisecond)
		}
		assert.NilError(t, server.Restart())
		s.awaitCaughtUp()
	}
}

func (s *site) readWithToken(proxy int, token, note string) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	conn, err := s.dial(ctx, proxy, "diary", "reading")
	if err != nil {
		return 0, err
	}
	defer conn.Close(ctx)
	if _, err := conn.Exec(ctx, "SET lovageslip.session = '"+token+"'"); err != nil {
		return 0, err
	}
	return countNote(ctx, conn, note)
}

// Guards against session tokens that are accepted although they were signed with
// another key, belong to another database, or were damaged.
func TestForgedAndDamagedTokensAreRefused(t *testing.T) {
	s := startSite(t, siteOptions{controls: 1, proxies: 2})
	token := s.insertForToken(s.connect(0, "filing"), "token")
	forger, err := session.NewSigner(session.Key{ID: 1, Secret: []byte(strings.Repeat("f", 32))})
	assert.NilError(t, err)
	genuine, err := session.NewSigner(session.Key{ID: 1, Secret: []byte(strings.Repeat("k", 32))})
	assert.NilError(t, err)
	badTokens := map[string]string{
		"forged":                forger.Sign("diary", upstream.Position{Term: 1, Offset: 1}),
		"of another database":   genuine.Sign("ledger", upstream.Position{Term: 1, Offset: 1}),
		"cut short":             token[:len(token)-2],
		"continued":             token + "AA",
		"not a token":           "x",
		"without its signature": base64.RawURLEncoding.EncodeToString(make([]byte, 21)),
	}
	for i := range token {
		other := "A"
		if token[i] == 'A' {
			other = "B"
		}
		badTokens[fmt.Sprintf("changed at %d", i)] = token[:i] + other + token[i+1:]
	}
	conn := s.connect(1, "reading")
	for name, text := range badTokens {
		_, err := conn.Exec(context.Background(), "SET lovageslip.session = '"+text+"'")
		assert.Check(t, sqlState(err) == badTokenCode, "%s: %v", name, err)
	}
	_, err = pgx.Connect(context.Background(), fmt.Sprintf(
		"postgres://caller@%s/diary?sslmode=disable&lovageslip.class=reading&lovageslip.session=%s", s.callerAddresses[1], badTokens["forged"]))
	assert.Equal(t, sqlState(err), badTokenCode, "%v", err)
	_, err = conn.Exec(context.Background(), "SET lovageslip.session = '"+token+"'")
	assert.NilError(t, err)
}
