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

// answered is the answer to an entry that was filed with a request id.
type answered struct {
	id   int
	note string
}

// fileWithID files an entry with a request id on a new connection.
func fileWithID(ctx context.Context, address, request string) (answered, error) {
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	conn, err := dialAt(ctx, address, "diary", "filing")
	if err != nil {
		return answered{}, err
	}
	defer conn.Close(ctx)
	if _, err := conn.Exec(ctx, "SET lovageslip.request_id = '"+request+"'"); err != nil {
		return answered{}, err
	}
	var a answered
	sql := "INSERT INTO entries (note) VALUES ('" + request + "') RETURNING id, note"
	err = conn.QueryRow(ctx, sql, pgx.QueryExecModeSimpleProtocol).Scan(&a.id, &a.note)
	return a, err
}

// resend sends an entry again until it is answered.
func (s *site) resend(proxy int, request string) answered {
	s.t.Helper()
	var a answered
	s.await("answer to "+request, func(ctx context.Context) error {
		var err error
		a, err = fileWithID(ctx, s.callers[proxy], request)
		return err
	})
	return a
}

// Guards against a filing that is sent again after its answer was lost and then
// runs twice, or gets another answer than the first time.
func TestFilingResentAfterLostAnswerRunsOnce(t *testing.T) {
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, 0))
	s := startSite(t, siteOptions{controls: 1, proxies: 3, lag: 20 * time.Millisecond})
	cases := []struct {
		name  string
		tries int
		// lost is true if the caller's link fails before the answer.
		lost, change bool
	}{
		{"answered", 3, false, false},
		{"answer lost", 15, true, false},
		{"answer lost and primary killed", 2, true, true},
		{"answered and primary killed", 1, false, true},
	}
	first := make(map[string]answered)
	for _, c := range cases {
		for try := range c.tries {
			request := fmt.Sprintf("%s %d", c.name, try)
			var a answered
			if c.lost {
				s.fileAndLose(request, time.Duration(random.IntN(25))*time.Millisecond)
			} else {
				a = s.resend(0, request)
			}
			var restart func()
			if c.change {
				restart = s.killPrimary()
			}
			second := s.resend(1, request)
			if !c.lost {
				assert.Equal(t, second, a, request)
			}
			first[request] = second
			if restart != nil {
				restart()
			}
		}
	}
	found := s.entries(0)
	for request, want := range first {
		assert.Check(t, found[request] == 1, "%s is there %d times", request, found[request])
		assert.Check(t, s.resend(2, request) == want, "%s has another answer now", request)
	}
}

// fileAndLose files through a link that delivers the request but no answer, and
// fails after a moment.
func (s *site) fileAndLose(request string, after time.Duration) {
	s.t.Helper()
	name := "caller of " + request
	address := s.addLink(name, s.callers[0])
	l := s.links[name]
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	conn, err := dialAt(ctx, address, "diary", "filing")
	assert.NilError(s.t, err)
	_, err = conn.Exec(ctx, "SET lovageslip.request_id = '"+request+"'")
	assert.NilError(s.t, err)
	l.toxic(s.t, "timeout", "downstream", map[string]any{"timeout": 0})
	lost := make(chan error)
	go func() {
		_, err := conn.Exec(ctx, "INSERT INTO entries (note) VALUES ('"+request+"') RETURNING id, note")
		lost <- err
	}()
	time.Sleep(after)
	l.cut()
	assert.Assert(s.t, <-lost != nil, "the answer was not lost")
}

// killPrimary waits for a change of primary after a kill. The returned function
// brings the old primary back as a replica.
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

// awaitCaughtUp waits until all upstreams are at the primary's term and have
// what it has.
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
