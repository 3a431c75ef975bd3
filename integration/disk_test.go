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

// loseDisk kills a control host and deletes its data folder.
func (s *site) loseDisk(host int) {
	s.t.Helper()
	s.controls[host].kill()
	data := filepath.Join(s.dir, s.controls[host].name)
	_, err := os.Stat(data)
	assert.NilError(s.t, err)
	assert.NilError(s.t, os.RemoveAll(data))
}

// member returns what a host knows of a control host; nil if it is no member.
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

func (s *site) makeChanges(version uint64, from, to int) uint64 {
	s.t.Helper()
	for change := from; change <= to; change++ {
		version = s.changeMoving(version, change)
	}
	return version
}

// Guards against a control host that lost its disk and helps to elect a leader
// without the accepted changes, and against one that cannot be replaced.
func TestControlHostThatLostItsDiskIsReplaced(t *testing.T) {
	s := startSite(t, siteOptions{controls: 3, proxies: 2})
	version := s.makeChanges(s.classVersion(), 1, 20)
	leader, _ := s.controlLeader(s.admin)
	others := s.otherControls(leader)
	wiped, second := others[0], others[1]
	name := s.controls[wiped].name
	old := s.member(s.admin, name)
	s.loseDisk(wiped)
	s.controls[wiped].start()
	rest := s.clientOf(leader, second)
	version = s.makeChanges(version, 21, 30)
	s.assertNoVoter(wiped, second, leader, old)

	s.await("removal of "+name, func(ctx context.Context) error {
		_, err := rest.RemoveMember(ctx, name)
		return err
	})
	assert.Assert(t, s.member(rest, name) == nil)
	s.await("addition of "+name, func(ctx context.Context) error {
		_, err := rest.AddMember(ctx, name, s.direct[wiped])
		return err
	})
	s.await(name+" votes", func(context.Context) error {
		if m := s.member(s.clientOf(wiped), name); !m.GetVoter() || m.GetIncarnation() == old.GetIncarnation() {
			return fmt.Errorf("member is %v", m)
		}
		return nil
	})
	version = s.makeChanges(version, 31, 40)
	// Without the vote of the replaced host there is no quorum now.
	s.loseDisk(second)
	s.assertNoneLost(version, 40)
	s.controls[leader].restart()
	s.assertNoneLost(version, 40)
	s.makeChanges(version, 41, 50)
}

// assertNoVoter checks that a wiped host and one other form no quorum: while the
// leader is frozen for several election timeouts, no change is accepted.
func (s *site) assertNoVoter(wiped, second, leader int, old *lovageslipv1.Member) {
	s.t.Helper()
	s.controls[leader].freeze()
	defer s.controls[leader].thaw()
	client := s.clientOf(second, wiped)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
		ctx, cancel := context.WithDeadline(context.Background(), end)
		classes, err := client.ListClasses(ctx)
		cancel()
		assert.Assert(s.t, err != nil, "a wiped host and one other answer with version %d", classes.GetVersion())
		time.Sleep(100 * time.Millisecond)
	}
	m := s.member(s.clientOf(second), old.GetName())
	assert.Equal(s.t, m.GetIncarnation(), old.GetIncarnation(), "the wiped host took the place of the voter")
}

// assertNoneLost checks that the latest accepted changes are there.
func (s *site) assertNoneLost(version uint64, changes int) {
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
