package integration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"
)

// insertAnswer is the row that an INSERT with a request id returned.
type insertAnswer struct {
	id   int
	note string
}

// insertWithRequestID inserts an entry with a request id on a new connection.
func insertWithRequestID(ctx context.Context, address, request string) (insertAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	conn, err := dialAt(ctx, address, "diary", "filing")
	if err != nil {
		return insertAnswer{}, err
	}
	defer conn.Close(ctx)
	if _, err := conn.Exec(ctx, "SET lovageslip.request_id = '"+request+"'"); err != nil {
		return insertAnswer{}, err
	}
	var a insertAnswer
	sql := "INSERT INTO entries (note) VALUES ('" + request + "') RETURNING id, note"
	err = conn.QueryRow(ctx, sql, pgx.QueryExecModeSimpleProtocol).Scan(&a.id, &a.note)
	return a, err
}

// resend sends an insert with its request id until it is answered.
func (s *site) resend(proxy int, request string) insertAnswer {
	s.t.Helper()
	var a insertAnswer
	s.await("answer to "+request, func(ctx context.Context) error {
		var err error
		a, err = insertWithRequestID(ctx, s.callerAddresses[proxy], request)
		return err
	})
	return a
}

// Guards against an insert that is resent with its request id after its answer
// was lost, and then runs twice or gets another answer than the first time.
func TestInsertResentAfterLostAnswerRunsOnce(t *testing.T) {
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, 0))
	s := startSite(t, siteOptions{controls: 1, proxies: 3, lag: 20 * time.Millisecond})
	cases := []struct {
		name  string
		tries int
		// loseAnswer cuts the caller's link before the answer arrives;
		// losePrimary kills the primary before the insert is resent.
		loseAnswer, losePrimary bool
	}{
		{"answered", 3, false, false},
		{"answer lost", 15, true, false},
		{"answer lost and primary killed", 2, true, true},
		{"answered and primary killed", 1, false, true},
	}
	answers := make(map[string]insertAnswer)
	for _, c := range cases {
		for try := range c.tries {
			request := fmt.Sprintf("%s %d", c.name, try)
			var a insertAnswer
			if c.loseAnswer {
				s.insertAndLoseAnswer(request, time.Duration(random.IntN(25))*time.Millisecond)
			} else {
				a = s.resend(0, request)
			}
			var restart func()
			if c.losePrimary {
				restart = s.killPrimary()
			}
			second := s.resend(1, request)
			if !c.loseAnswer {
				assert.Equal(t, second, a, request)
			}
			answers[request] = second
			if restart != nil {
				restart()
			}
		}
	}
	found := s.entryCounts(0)
	for request, want := range answers {
		assert.Check(t, found[request] == 1, "%s is in the table %d times", request, found[request])
		assert.Check(t, s.resend(2, request) == want, "%s got another answer than before", request)
	}
}

// insertAndLoseAnswer inserts an entry through a link that delivers the
// request but no answer, and that is cut after the given time.
func (s *site) insertAndLoseAnswer(request string, after time.Duration) {
	s.t.Helper()
	name := "caller of " + request
	address := s.addLink(name, s.callerAddresses[0])
	l := s.links[name]
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	conn, err := dialAt(ctx, address, "diary", "filing")
	assert.NilError(s.t, err)
	_, err = conn.Exec(ctx, "SET lovageslip.request_id = '"+request+"'")
	assert.NilError(s.t, err)
	l.addToxic(s.t, "timeout", "downstream", map[string]any{"timeout": 0})
	lost := make(chan error)
	go func() {
		_, err := conn.Exec(ctx, "INSERT INTO entries (note) VALUES ('"+request+"') RETURNING id, note")
		lost <- err
	}()
	time.Sleep(after)
	l.cut()
	assert.Assert(s.t, <-lost != nil, "the answer was not lost")
}

// killPrimary kills the primary and waits for the change of primary. The
// returned function restarts the old primary and waits until it has caught up
// as a replica.
func (s *site) killPrimary() (restart func()) {
	s.t.Helper()
	name, server := s.primary()
	server.Kill()
	s.awaitOtherPrimary(name)
	return func() {
		assert.NilError(s.t, server.Restart())
		s.awaitCaughtUp()
	}
}

// awaitCaughtUp waits until all upstreams have the primary's term and its present
// offset.
func (s *site) awaitCaughtUp() {
	s.t.Helper()
	s.await("all upstreams caught up", func(context.Context) error {
		_, primary := s.primary()
		want := primary.Status()
		for name, server := range s.upstreams {
			if got := server.Status(); got.Term != want.Term || got.Offset < want.Offset {
				return fmt.Errorf("%s is at %d of term %d, the primary at %d of term %d",
					name, got.Offset, got.Term, want.Offset, want.Term)
			}
		}
		return nil
	})
}
