package proxy

import (
	"context"
	"crypto/sha256"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/site"
)

// fakeLimits admits a number of operations.
type fakeLimits struct{ left, asked int }

func (l *fakeLimits) Admit(context.Context, *site.Team) (ok bool, retryAfter time.Duration) {
	l.asked++
	l.left--
	return l.left >= 0, time.Second
}

// newLimitedSession returns a session of a team that has a limit, or none.
func newLimitedSession(t *testing.T, operations int, limited bool) (*fixture, *fakeLimits, *Session) {
	f := newFixture(t)
	limits := &fakeLimits{left: operations}
	f.proxy.options.Limits = limits
	digest := sha256.Sum256([]byte("key"))
	team := &pb.SiteTeam{Name: "t", KeyDigests: [][]byte{digest[:16]}}
	if limited {
		rate := 1.0
		team.RatePerSecond = &rate
	}
	f.parts.Config.Teams = []*pb.SiteTeam{team}
	f.proxy.SetView(site.NewView(f.parts))
	s, refusal := f.proxy.Open("latest", "key")
	assert.Assert(t, refusal == nil)
	s.team, _ = f.proxy.View().TeamByName("t")
	return f, limits, s
}

func (s *Session) doKind(kind Kind) Reply {
	return s.Do(context.Background(), &Statement{ID: "k", Kind: kind, Name: "n", Value: "v"})
}

// loseRoleOnce makes an upstream refuse the first statement of a transaction, so that
// the transaction is opened a second time.
func loseRoleOnce(f *fixture) func(*fakeUpstream) {
	return func(u *fakeUpstream) {
		u.onBegin, u.primary = nil, false
		time.AfterFunc(20*time.Millisecond, func() { f.group.promote(u.id) })
	}
}

// Guards against operations that are counted for each attempt or each statement.
func TestOperationCountsOnce(t *testing.T) {
	f, limits, s := newLimitedSession(t, 100, true)
	f.group.update("p1", func(u *fakeUpstream) { u.busy = 3 })
	assert.Assert(t, s.Do(context.Background(), write("w1")).Refusal == nil)
	assert.Equal(t, limits.asked, 1)

	s.doKind(KindSet)
	s.doKind(KindPrepare)
	s.doKind(KindBegin)
	assert.Equal(t, limits.asked, 1, "counted before anything was sent to an upstream")
	f.group.update("p1", func(u *fakeUpstream) { u.onBegin = loseRoleOnce(f) })
	for _, id := range []string{"w2", "w3"} {
		assert.Assert(t, s.Do(context.Background(), write(id)).Refusal == nil)
	}
	s.doKind(KindCommit)
	assert.Equal(t, limits.asked, 2)
}

// Guards against operations beyond the limit that run or wait.
func TestOperationBeyondTheLimitIsRefusedAtOnce(t *testing.T) {
	f, limits, s := newLimitedSession(t, 0, true)
	checkRefused := func(reply Reply) {
		t.Helper()
		assert.Assert(t, reply.Refusal != nil)
		assert.Equal(t, reply.Refusal.Code, RefusedBusy)
		assert.Equal(t, reply.Refusal.Reason, reasonTeamOverLimit)
		assert.Assert(t, reply.Refusal.RetryAfter >= time.Second && reply.Refusal.RetryAfter <= 1500*time.Millisecond)
	}
	checkRefused(s.Do(context.Background(), write("w1")))
	checkRefused(s.Do(context.Background(), read("r1")))
	s.doKind(KindBegin)
	checkRefused(s.Do(context.Background(), write("w2")))
	assert.Equal(t, s.State(), StateFailed)
	assert.Equal(t, limits.asked, 3)
	assert.Equal(t, len(f.group.ran("p1")), 0)

	limits.left = 1
	s.doKind(KindRollback)
	assert.Assert(t, s.Do(context.Background(), write("w3")).Refusal == nil)
}

func TestTeamsWithoutALimitAreNotCounted(t *testing.T) {
	_, limits, s := newLimitedSession(t, 0, false)
	assert.Assert(t, s.Do(context.Background(), write("w1")).Refusal == nil)
	assert.Equal(t, limits.asked, 0)
}
