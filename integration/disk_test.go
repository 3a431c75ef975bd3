package integration

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovageslip/admin"
	lovageslipv1 "lovageslip/gen/lovageslip/v1"
)

// killAndWipe kills a control host and deletes its data directory.
func (s *site) killAndWipe(host int) {
	s.t.Helper()
	s.controls[host].kill()
	data := filepath.Join(s.dir, s.controls[host].name)
	_, err := os.Stat(data)
	assert.NilError(s.t, err)
	assert.NilError(s.t, os.RemoveAll(data))
}

// member returns a control host from the members that the client's hosts list, or
// nil if it is no member.
func (s *site) member(client *admin.Client, name string) *lovageslipv1.Member {
	s.t.Helper()
	var found *lovageslipv1.Member
	s.await("members", func(ctx context.Context) error {
		members, err := client.ListMembers(ctx)
		for _, m := range members.GetMembership().GetMembers() {
			if m.GetName() == name {
				found = m
			}
		}
		return err
	})
	return found
}

// makeChanges makes a range of changes, its ends included, and returns the new
// version.
func (s *site) makeChanges(version uint64, from, to int) uint64 {
	s.t.Helper()
	for change := from; change <= to; change++ {
		version = s.changeClass(version, change)
	}
	return version
}

// Guards against a control host that lost its disk and still votes, so that a
// leader without the accepted changes is elected, and against one that can't
// be replaced.
func TestControlHostThatLostItsDiskIsReplaced(t *testing.T) {
	s := startSite(t, siteOptions{controls: 3, proxies: 2})
	version := s.makeChanges(s.classVersion(), 1, 20)
	leader, _ := s.controlLeader(s.admin)
	others := s.otherControls(leader)
	wiped, follower := others[0], others[1]
	name := s.controls[wiped].name
	old := s.member(s.admin, name)
	s.killAndWipe(wiped)
	s.controls[wiped].start()
	remaining := s.clientOf(leader, follower)
	version = s.makeChanges(version, 21, 30)
	s.assertNotVoting(wiped, follower, leader, old)

	s.await("removal of "+name, func(ctx context.Context) error {
		_, err := remaining.RemoveMember(ctx, name)
		return err
	})
	assert.Assert(t, s.member(remaining, name) == nil)
	s.await("addition of "+name, func(ctx context.Context) error {
		_, err := remaining.AddMember(ctx, name, s.controlAddresses[wiped])
		return err
	})
	s.await(name+" votes", func(context.Context) error {
		if m := s.member(s.clientOf(wiped), name); !m.GetVoter() || m.GetIncarnation() == old.GetIncarnation() {
			return fmt.Errorf("member is %v", m)
		}
		return nil
	})
	version = s.makeChanges(version, 31, 40)
	// From here on, a quorum needs the vote of the replaced host.
	s.killAndWipe(follower)
	s.assertNoChangeLost(version, 40)
	s.controls[leader].restart()
	s.assertNoChangeLost(version, 40)
	s.makeChanges(version, 41, 50)
}

// assertNotVoting checks that a wiped host and the remaining follower form no
// quorum: while the leader is frozen for several election timeouts, quorum
// reads fail, and the wiped host doesn't replace its former member entry.
func (s *site) assertNotVoting(wiped, follower, leader int, old *lovageslipv1.Member) {
	s.t.Helper()
	s.controls[leader].freeze()
	defer s.controls[leader].unfreeze()
	client := s.clientOf(follower, wiped)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
		ctx, cancel := context.WithDeadline(context.Background(), end)
		classes, err := client.ListClasses(ctx)
		cancel()
		assert.Assert(s.t, err != nil, "a wiped host and one follower answered with version %d", classes.GetVersion())
		time.Sleep(100 * time.Millisecond)
	}
	m := s.member(s.clientOf(follower), old.GetName())
	assert.Equal(s.t, m.GetIncarnation(), old.GetIncarnation(), "the wiped host replaced the voter of the same name")
}

// assertNoChangeLost checks the version of the classes, and that the history
// holds all accepted changes in their order.
func (s *site) assertNoChangeLost(version uint64, changes int) {
	s.t.Helper()
	assert.Equal(s.t, s.classVersion(), version)
	var history *lovageslipv1.HistoryResponse
	s.await("history", func(ctx context.Context) error {
		var err error
		history, err = s.admin.History(ctx, uint32(changes))
		return err
	})
	assert.Equal(s.t, len(history.GetChanges()), changes)
	for i, c := range history.GetChanges() {
		assert.Equal(s.t, c.GetChangeId(), fmt.Sprintf("change-%d", changes-i))
	}
}
