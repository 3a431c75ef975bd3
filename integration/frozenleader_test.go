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
	leaderFreezeTime = 5 * time.Second
	// firstChangeLimit allows for an election of about 1 s and one change.
	firstChangeLimit = 2 * time.Second
)

// controlLeader returns the index of the leader of the control hosts, and its
// term.
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

// clientOf returns a client that asks only the given control hosts.
func (s *site) clientOf(hosts ...int) *admin.Client {
	var addresses []string
	for _, host := range hosts {
		addresses = append(addresses, s.controlAddresses[host])
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

// Guards against a control leader that continues to lead in its old term after a
// freeze: it would accept changes or answer with an old configuration.
func TestFrozenControlLeaderAcceptsNothingAfterwards(t *testing.T) {
	s := startSite(t, siteOptions{controls: 3, proxies: 2})
	leader, term := s.controlLeader(s.admin)
	before := s.changeClass(s.classVersion(), 1)
	s.controls[leader].freeze()
	t.Cleanup(s.controls[leader].unfreeze)
	start := time.Now()
	others := s.clientOf(s.otherControls(leader)...)
	version := before
	for change := 2; change <= 20; change++ {
		c := admin.Change{ChangeID: fmt.Sprintf("change-%d", change), Expected: version, Class: classForChange(change), Operator: "one"}
		next, err := s.changeUntilAnswered(others, c)
		assert.NilError(t, err)
		assert.Equal(t, next, version+1)
		version = next
		if change == 2 {
			t.Logf("first change accepted after %s", time.Since(start))
			assert.Check(t, time.Since(start) < firstChangeLimit)
		}
	}
	// These requests arrive while the host is frozen, so it handles them first
	// when it runs again.
	time.Sleep(time.Until(start.Add(leaderFreezeTime - time.Second)))
	var waiting sync.WaitGroup
	for i := range 20 {
		waiting.Go(func() { s.checkOldVersionUnused(leader, before, version, i) })
	}
	time.Sleep(time.Until(start.Add(leaderFreezeTime)))
	s.controls[leader].unfreeze()
	waiting.Wait()
	unfrozen := s.clientOf(leader)
	s.await("the unfrozen host answers", func(ctx context.Context) error {
		classes, err := unfrozen.ListClasses(ctx)
		if err == nil {
			assert.Equal(t, classes.GetVersion(), version)
		}
		return err
	})
	_, newTerm := s.controlLeader(unfrozen)
	assert.Assert(t, newTerm > term, "the leader has term %d after the freeze and had %d before", newTerm, term)
	assert.Equal(t, s.changeClass(version, 21), version+1)
	history, err := s.admin.History(context.Background(), 25)
	assert.NilError(t, err)
	for i, c := range history.GetChanges()[:21] {
		assert.Equal(t, c.GetChangeId(), fmt.Sprintf("change-%d", 21-i))
	}
}

// checkOldVersionUnused asks one control host for the classes, and for a
// change that expects an old version. The host may fail both requests, but not
// answer as if the old version were in force.
func (s *site) checkOldVersionUnused(host int, old, version uint64, i int) {
	client := s.clientOf(host)
	ctx := context.Background()
	classes, err := client.ListClasses(ctx)
	assert.Check(s.t, err != nil || classes.GetVersion() == version, "version %d from the unfrozen host", classes.GetVersion())
	c := admin.Change{ChangeID: fmt.Sprintf("late-%d", i), Expected: old, Class: classForChange(500 + i), Operator: "late"}
	_, err = client.ChangeClass(ctx, c)
	var conflict *admin.Conflict
	var unreachable *admin.Unreachable
	assert.Check(s.t, errors.As(err, &conflict) || errors.As(err, &unreachable), "answer to a change that expects an old version: %v", err)
}
