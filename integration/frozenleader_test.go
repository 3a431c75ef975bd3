package integration

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovageslip/admin"
	"lovageslip/tlsconf"
)

const (
	controlFrozen = 5 * time.Second
	// changeWithin is an election of about 1 s and one change.
	changeWithin = 2 * time.Second
)

// controlLeader returns the control host that leads, and its term.
func (s *site) controlLeader(client *admin.Client) (host int, term uint64) {
	s.t.Helper()
	s.await("a control leader", func(ctx context.Context) error {
		status, err := client.Status(ctx)
		if err != nil {
			return err
		}
		term = status.GetTerm()
		_, err = fmt.Sscanf(status.GetLeader(), "control-%d", &host)
		host--
		return err
	})
	return host, term
}

// clientOf returns a client of some control hosts only.
func (s *site) clientOf(hosts ...int) *admin.Client {
	var addresses []string
	for _, host := range hosts {
		addresses = append(addresses, s.direct[host])
	}
	return admin.New(tlsconf.HTTPClient(nil), addresses)
}

func (s *site) otherControls(host int) []int {
	var others []int
	for i := range s.controls {
		if i != host {
			others = append(others, i)
		}
	}
	return others
}

// Guards against a control leader that goes on with its old term after it was
// frozen: it would accept changes or answer with an old configuration.
func TestFrozenControlLeaderAcceptsNothingAfterwards(t *testing.T) {
	s := startSite(t, siteOptions{controls: 3, proxies: 2})
	leader, term := s.controlLeader(s.admin)
	before := s.changeMoving(s.classVersion(), 1)
	s.controls[leader].freeze()
	t.Cleanup(s.controls[leader].thaw)
	start := time.Now()
	others := s.clientOf(s.otherControls(leader)...)
	version := before
	for change := 2; change <= 20; change++ {
		c := admin.Change{ChangeID: fmt.Sprintf("change-%d", change), Expected: version, Class: moving(change), Operator: "one"}
		next, err := s.changeUntilKnown(others, c)
		assert.NilError(t, err)
		assert.Equal(t, next, version+1)
		version = next
		if change == 2 {
			t.Logf("first change accepted after %s", time.Since(start))
			assert.Check(t, time.Since(start) < changeWithin)
		}
	}
	// These reach the frozen host before it goes on, so it handles them first.
	time.Sleep(time.Until(start.Add(controlFrozen - time.Second)))
	var waiting sync.WaitGroup
	for i := range 20 {
		waiting.Go(func() { s.checkNotOld(leader, before, version, i) })
	}
	time.Sleep(time.Until(start.Add(controlFrozen)))
	s.controls[leader].thaw()
	waiting.Wait()
	thawed := s.clientOf(leader)
	s.await("the thawed host answers", func(ctx context.Context) error {
		classes, err := thawed.ListClasses(ctx)
		if err == nil {
			assert.Equal(t, classes.GetVersion(), version)
		}
		return err
	})
	_, now := s.controlLeader(thawed)
	assert.Assert(t, now > term, "term %d after %d", now, term)
	assert.Equal(t, s.changeMoving(version, 21), version+1)
	history, err := s.admin.History(context.Background(), 25)
	assert.NilError(t, err)
	for i, c := range history.GetChanges()[:21] {
		assert.Equal(t, c.GetChangeId(), fmt.Sprintf("change-%d", 21-i))
	}
}

// checkNotOld asks one control host for the classes and for a change of an old
// version. It may fail, but not answer as if the old version was in force.
func (s *site) checkNotOld(host int, old, version uint64, i int) {
	client := s.clientOf(host)
	ctx := context.Background()
	classes, err := client.ListClasses(ctx)
	assert.Check(s.t, err != nil || classes.GetVersion() == version, "version %d from the thawed host", classes.GetVersion())
	c := admin.Change{ChangeID: fmt.Sprintf("late-%d", i), Expected: old, Class: moving(500 + i), Operator: "late"}
	_, err = client.ChangeClass(ctx, c)
	var conflict *admin.Conflict
	var unreachable *admin.Unreachable
	assert.Check(s.t, errors.As(err, &conflict) || errors.As(err, &unreachable), "late change: %v", err)
}
