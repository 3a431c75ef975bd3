package integration

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovageslip/admin"
	"lovageslip/class"
	"lovageslip/tlsconf"
)

// busy is added to time limits for a machine that runs other work.
const busy = 2 * time.Second

// leader returns the index of the control leader.
func (s *site) leader() int {
	s.t.Helper()
	leader := -1
	s.await("a control leader", func(ctx context.Context) error {
		status, err := s.admin.Status(ctx)
		if err != nil {
			return err
		}
		_, err = fmt.Sscanf(status.GetLeader(), "control-%d", &leader)
		return err
	})
	return leader - 1
}

// without returns a client of all control hosts but one, and a client of only
// that one.
func (s *site) without(host int) (others, only *admin.Client) {
	var rest []string
	for i, address := range s.direct {
		if i != host {
			rest = append(rest, address)
		}
	}
	return admin.New(tlsconf.HTTPClient(nil, nil), rest), admin.New(tlsconf.HTTPClient(nil, nil), s.direct[host:host+1])
}

func addClass(ctx context.Context, client *admin.Client, expected uint64, name string) (uint64, error) {
	return client.ChangeClass(ctx, admin.Change{
		ChangeID: "change-" + name, Expected: expected, Operator: "test",
		Class: class.Class{Name: name, Wait: 10 * time.Second},
	})
}

// Guards against a control leader that was stopped and goes on as leader with
// its old term, and against others that wait for it.
func TestFrozenControlLeaderAcceptsNothing(t *testing.T) {
	s := startSite(t, siteOptions{controls: 3, proxies: 3})
	ctx := context.Background()
	writers, stop := s.runWriters(1, false)
	defer stop()
	for _, r := range writers {
		s.awaitMore(r, 5)
	}
	classes, err := s.admin.ListClasses(ctx)
	assert.NilError(t, err)
	version := classes.GetVersion()
	frozen := s.leader()
	others, only := s.without(frozen)
	s.controls[frozen].freeze()
	began := time.Now()
	// These wait in the frozen host's sockets and are served when it goes on.
	late := make(chan error, 20)
	for i := range cap(late) {
		go func() {
			time.Sleep(time.Duration(i) * 250 * time.Millisecond)
			_, err := addClass(ctx, only, version, fmt.Sprintf("late_%d", i))
			late <- err
		}()
	}
	s.await("a change through the other hosts", func(ctx context.Context) error {
		_, err := addClass(ctx, others, version, "during")
		return err
	})
	took := time.Since(began)
	t.Logf("the other hosts accepted a change after %s", took)
	assert.Check(t, took < 2*time.Second+busy, "the other hosts accepted a change only after %s", took)
	time.Sleep(time.Until(began.Add(5 * time.Second)))
	s.controls[frozen].thaw()
	s.assertNotOlder(only, version+1)
	for range cap(late) {
		err := <-late
		var conflict *admin.Conflict
		var unreachable *admin.Unreachable
		assert.Check(t, errors.As(err, &conflict) || errors.As(err, &unreachable), "a change with the old version: %v", err)
	}
	for _, r := range writers {
		s.awaitMore(r, 5)
	}
	stop()
	for _, r := range writers {
		assert.Check(t, r.gap < 2*time.Second+busy, "a writer waited for %s", r.gap)
	}
	s.assertEachOnce(0, writers...)
}

// assertNotOlder asks a control host for its classes for a second.
func (s *site) assertNotOlder(only *admin.Client, version uint64) {
	s.t.Helper()
	answers := 0
	for end := time.Now().Add(time.Second); time.Now().Before(end); {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		classes, err := only.ListClasses(ctx)
		cancel()
		if err != nil {
			continue
		}
		answers++
		assert.Check(s.t, classes.GetVersion() >= version, "version %d after %d was accepted", classes.GetVersion(), version)
	}
	assert.Check(s.t, answers > 0, "the host answered nothing after it went on")
}

// Guards against an owner that was stopped and then runs what it had queued,
// although its callers were told that it was not run or its lease is over.
func TestFrozenOwnerRunsNothingLate(t *testing.T) {
	const frozenFor, lease, perProxy = 6 * time.Second, 3 * time.Second, 4
	s := startSite(t, siteOptions{
		controls: 3, proxies: 3, slots: 2, service: 5 * time.Millisecond,
		// Callers wait for less time than the owner is stopped.
		classes: []class.Class{{Name: "filing", Wait: 2 * time.Second}},
	})
	// More writers than slots keep the owner's queue filled.
	writers, stop := s.runWriters(perProxy, false)
	defer stop()
	for _, r := range writers {
		s.awaitMore(r, 5)
	}
	primary, _ := s.primary()
	owner := s.ownerOf(primary)
	s.proxies[owner].freeze()
	began := time.Now()
	s.await("writes elsewhere", func(context.Context) error {
		if now := s.ownerOf(primary); now == owner {
			return fmt.Errorf("still owned by the frozen proxy")
		}
		return nil
	})
	for i, r := range writers {
		if i/perProxy != owner {
			s.awaitMore(r, 1)
		}
	}
	took := time.Since(began)
	t.Logf("writes resumed after %s", took)
	assert.Check(t, took < lease+2*time.Second+busy, "writes resumed only after %s", took)
	time.Sleep(time.Until(began.Add(frozenFor)))
	var given []int
	for _, r := range writers {
		given = append(given, r.givenUp()...)
	}
	before := s.entries(s.otherProxy(owner))
	s.proxies[owner].thaw()
	for _, r := range writers {
		s.awaitMore(r, 1)
	}
	stop()
	after := s.entries(s.otherProxy(owner))
	t.Logf("%d writes were given up before the owner went on", len(given))
	assert.Check(t, len(given) > 0, "no write was given up")
	for _, id := range given {
		note := fmt.Sprintf("entry-%d", id)
		assert.Check(t, after[note] == before[note], "%s ran after its caller had its answer", note)
	}
	s.assertEachOnce(s.otherProxy(owner), writers...)
}
