package proxy

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/site"
)

const (
	testMaxKeyAge = 5 * time.Second
	testKey       = "k-of-team-one"
)

// keyedFixture is a fixture of a site with teams. Its route "bounded" is open.
type keyedFixture struct {
	*fixture
	viewAge atomic.Int64 // at each check, as time.Duration
}

func newKeyedFixture(t *testing.T) *keyedFixture {
	f := &keyedFixture{fixture: newFixture(t)}
	f.proxy = f.newProxy()
	f.setHolder("one")
	return f
}

// newProxy returns a proxy that has just started.
func (f *keyedFixture) newProxy() *Proxy {
	return New(Options{
		DataCentre: "here", Dialer: f.group, MaxKeyAge: testMaxKeyAge,
		ViewConfirmedAt: func() time.Time { return now().Add(-time.Duration(f.viewAge.Load())) },
	})
}

// setHolder gives the proxy a view in which a team holds testKey; nobody does if the
// name is empty.
func (f *keyedFixture) setHolder(team string) {
	config := &pb.SiteConfig{Version: f.parts.Config.Version + 1, Groups: f.parts.Config.Groups}
	for _, r := range f.parts.Config.Routes {
		config.Routes = append(config.Routes, &pb.SiteRoute{
			Name: r.Name, Database: r.Database, Group: r.Group, Freshness: r.Freshness, TimeoutMs: r.TimeoutMs,
			TargetMs: r.TargetMs, AgeMs: r.AgeMs, Open: r.Database == "bounded",
		})
	}
	digest := site.KeyDigest(testKey)
	for _, name := range []string{"one", "two"} {
		t := &pb.SiteTeam{Name: name}
		if name == team {
			t.KeyDigests = [][]byte{digest[:]}
		}
		config.Teams = append(config.Teams, t)
	}
	f.parts.Config = config
	f.proxy.SetView(site.NewView(f.parts))
}

func (f *keyedFixture) openKeyed(database string) *Session {
	f.t.Helper()
	s, refusal := f.proxy.Open(database, testKey)
	if refusal != nil {
		f.t.Fatalf("session on %s refused: %v", database, refusal)
	}
	return s
}

func run(s *Session, kind Kind, id string) Reply {
	return s.Do(context.Background(), &Statement{ID: id, Kind: kind, Name: "s1", Value: "shape", Text: "x"})
}

func assertRefused(t *testing.T, r *Refusal, code RefusalCode, reason string) {
	t.Helper()
	assert.Assert(t, r != nil, "not refused")
	assert.Equal(t, r.Reason, reason)
	assert.Equal(t, r.Code, code, reason)
	assert.Equal(t, r.RetryAfter > 0, code == RefusedBusy || code == RefusedAborted, reason)
}

// Guards against callers without a valid key on routes that need one, and against
// callers of open routes who are asked for one.
func TestOnlyKeysOfTeamsOpenSessions(t *testing.T) {
	f := newKeyedFixture(t)
	assert.Equal(t, f.openKeyed("latest").teamName(), "one")
	for _, key := range []string{"", "other", testKey + " "} {
		_, refusal := f.proxy.Open("latest", key)
		assertRefused(t, refusal, RefusedUnknownKey, reasonUnknownKey)
		s, refusal := f.proxy.Open("bounded", key)
		assert.Assert(t, refusal == nil)
		assert.Equal(t, s.teamName(), "")
	}
	_, refusal := f.proxy.Open("nowhere", testKey)
	assertRefused(t, refusal, RefusedNoDatabase, reasonNoDatabase)
}

// withdrawals are the moments at which a key is withdrawn from an open session. Each
// runs until the statement that must be refused, and returns its reply.
var withdrawals = map[string]func(f *keyedFixture, s *Session) Reply{
	"between statements": func(f *keyedFixture, s *Session) Reply {
		f.setHolder("")
		return run(s, KindWrite, "late")
	},
	"before BEGIN": func(f *keyedFixture, s *Session) Reply {
		f.setHolder("")
		return run(s, KindBegin, "late")
	},
	"after BEGIN": func(f *keyedFixture, s *Session) Reply {
		run(s, KindBegin, "0")
		f.setHolder("")
		return run(s, KindRead, "late")
	},
	"in a transaction": func(f *keyedFixture, s *Session) Reply {
		run(s, KindBegin, "0")
		run(s, KindWrite, "1")
		f.setHolder("")
		return run(s, KindWrite, "late")
	},
	"before COMMIT": func(f *keyedFixture, s *Session) Reply {
		run(s, KindBegin, "0")
		run(s, KindWrite, "1")
		f.setHolder("")
		return run(s, KindCommit, "late")
	},
	"before EXECUTE": func(f *keyedFixture, s *Session) Reply {
		run(s, KindPrepare, "0")
		f.setHolder("")
		return run(s, KindExecute, "late")
	},
	"between attempts of a read": func(f *keyedFixture, s *Session) Reply {
		f.group.update("p1", func(u *fakeUpstream) {
			u.busy, u.onBegin = 1, func(*fakeUpstream) { f.setHolder("") }
		})
		return run(s, KindRead, "late")
	},
	"between attempts of a COMMIT": func(f *keyedFixture, s *Session) Reply {
		run(s, KindBegin, "0")
		f.group.update("p1", func(u *fakeUpstream) {
			u.busy, u.onBegin = 1, func(*fakeUpstream) { f.setHolder("") }
		})
		return run(s, KindCommit, "late")
	},
}

// Guards against statements that run for a caller whose key was withdrawn while the
// session was open.
func TestWithdrawnKeyRunsNothing(t *testing.T) {
	for name, until := range withdrawals {
		t.Run(name, func(t *testing.T) {
			f := newKeyedFixture(t)
			s := f.openKeyed("latest")
			assertRefused(t, until(f, s).Refusal, RefusedUnknownKey, reasonUnknownKey)
			for _, id := range f.group.ran("p1") {
				assert.Assert(t, id != "late")
			}
			assert.Assert(t, s.tx == nil || s.tx.conn == nil, "the transaction holds its connection")
			run(s, KindRollback, "2")
			for kind := KindRead; kind < KindMalformed; kind++ {
				if kind != KindRollback {
					assertRefused(t, run(s, kind, "late").Refusal, RefusedUnknownKey, reasonUnknownKey)
				}
			}
			f.setHolder("one")
			assert.Assert(t, run(s, KindWrite, "3").Refusal == nil, "the key is valid again")
		})
	}
}

// Guards against a transaction that goes on in the name of a team that no longer holds
// the caller's key.
func TestMovedKeyAbortsTheTransaction(t *testing.T) {
	f := newKeyedFixture(t)
	s := f.openKeyed("latest")
	run(s, KindBegin, "0")
	run(s, KindWrite, "1")
	f.setHolder("two")
	assertRefused(t, run(s, KindWrite, "late").Refusal, RefusedAborted, reasonTeamChanged)
	assert.Equal(t, run(s, KindRollback, "2").State, StateIdle)
	assert.Assert(t, run(s, KindRead, "3").Refusal == nil)
	assert.Equal(t, s.teamName(), "two")
	assert.DeepEqual(t, f.group.ran("p1"), []string{"1", "3"})
}

// Guards against a host that serves a withdrawn key because it is cut off from the
// control hosts or was suspended, and against one that calls a key or a database
// unknown which it could not hear of.
func TestProxyWithAnOldViewTellsCallersToComeBack(t *testing.T) {
	f := newKeyedFixture(t)
	s, inTransaction := f.openKeyed("latest"), f.openKeyed("latest")
	run(inTransaction, KindBegin, "0")
	f.viewAge.Store(int64(testMaxKeyAge - time.Second))
	assert.Assert(t, run(inTransaction, KindWrite, "1").Refusal == nil)
	assert.Assert(t, f.proxy.Serves())

	f.viewAge.Store(int64(testMaxKeyAge))
	for _, key := range []string{testKey, "new", ""} {
		for _, database := range []string{"latest", "new"} {
			_, refusal := f.proxy.Open(database, key)
			assertRefused(t, refusal, RefusedBusy, reasonViewTooOld)
		}
	}
	assertRefused(t, run(s, KindRead, "late").Refusal, RefusedBusy, reasonViewTooOld)
	assert.Assert(t, run(s, KindSet, "2").Refusal == nil, "needs no upstream")
	assertRefused(t, run(inTransaction, KindCommit, "late").Refusal, RefusedAborted, reasonViewTooOld)
	assert.Equal(t, inTransaction.State(), StateIdle)
	assert.Assert(t, !f.proxy.Serves())
	assert.Assert(t, run(f.open("bounded"), KindRead, "3").Refusal == nil, "the route is open")

	f.viewAge.Store(0)
	assert.Assert(t, run(s, KindRead, "4").Refusal == nil)
	// The read of the open route ran at any upstream.
	ran := slices.DeleteFunc(f.group.ran("p1"), func(id string) bool { return id == "3" })
	assert.DeepEqual(t, ran, []string{"1", "4"})
}

// Guards against a confirmation that is taken for one of the view before: it becomes
// visible, behind its own view, between the two reads of a check.
func TestConfirmationOfANewerViewDoesNotCount(t *testing.T) {
	f := newKeyedFixture(t)
	f.viewAge.Store(int64(testMaxKeyAge - time.Second))
	s := f.openKeyed("latest")
	f.proxy.options.ViewConfirmedAt = func() time.Time {
		f.setHolder("")
		return now()
	}
	assertRefused(t, s.authorize(), RefusedUnknownKey, reasonUnknownKey)
}

// Guards against "no such database" from a proxy that has just started: 392 callers got
// this answer on one day after a loss of power.
func TestStartedProxyTellsCallersToComeBack(t *testing.T) {
	f := newKeyedFixture(t)
	for name, p := range map[string]*Proxy{"with teams": f.newProxy(), "without": New(Options{Dialer: f.group})} {
		_, refusal := p.Open("latest", testKey)
		assertRefused(t, refusal, RefusedBusy, reasonNoView)
		assert.Assert(t, !p.Serves(), name)
	}
}
