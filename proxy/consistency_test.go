package proxy

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovageslip/site"
	"lovageslip/upstream"
)

func do(t *testing.T, s *Session, st *Statement) Reply {
	t.Helper()
	return s.Do(context.Background(), st)
}

// served fails the test unless an upstream answered.
func served(t *testing.T, s *Session, st *Statement) string {
	t.Helper()
	reply := do(t, s, st)
	assert.Assert(t, reply.Refusal == nil, "%v", reply.Refusal)
	return string(reply.Body)
}

// Guards against a read of a latest route that runs on an upstream which has
// lost the lead: it may lack commits of the new primary.
func TestLatestReadNeverRunsOnAReplacedPrimary(t *testing.T) {
	f := newFixture(t)
	s := f.open("latest")
	served(t, s, read("r1"))
	f.group.replicate()
	f.group.promote("r1")
	go func() {
		time.Sleep(100 * time.Millisecond)
		f.follow("r1")
	}()
	assert.Equal(t, served(t, s, read("after")), "COMPLETE r1")
	for _, id := range f.group.ran("p1") {
		assert.Assert(t, id != "after", "the read ran on the replaced primary")
	}
}

// Guards against a read that misses the session's own commit on a replica that
// lags.
func TestSessionReadsItsOwnWrites(t *testing.T) {
	f := newFixture(t)
	s := f.open("own")
	// Other sessions may be served by what was known before the commit.
	f.proxy.group("g").positions.add(upstream.Position{Term: 3, Offset: 100}, now())
	time.Sleep(2 * sampleDistance)
	served(t, s, write("w"))
	assert.Equal(t, served(t, s, read("r")), "COMPLETE p1", "no replica holds the commit yet")
	f.group.replicate()
	time.Sleep(2 * busyPause)
	for range 20 {
		served(t, s, read("later"))
	}
	assert.Assert(t, len(f.group.ran("r1"))+len(f.group.ran("r2")) > 0, "replicas are not used again")
}

// Guards against a bounded read that relies on a position learned too long ago.
func TestBoundedReadNeedsAPositionOfItsAge(t *testing.T) {
	f := newFixture(t)
	g := f.proxy.group("g")
	g.positions.samples = []sample{{upstream.Position{Term: 3, Offset: 90}, now().Add(-2 * time.Second)}}
	f.group.set("p1", func(u *fakeUpstream) { u.held = 200 })
	s := f.open("bounded")
	assert.Equal(t, served(t, s, read("r")), "COMPLETE p1", "replicas lack what the primary told now")
}

// Guards against reads on replicas while the primary cannot be asked: nobody
// knows what was acknowledged meanwhile.
func TestBoundedReadIsRefusedWithoutAFreshPosition(t *testing.T) {
	f := newFixture(t)
	f.group.set("p1", func(u *fakeUpstream) { u.dead = true })
	s := f.open("bounded")
	reply := do(t, s, read("r"))
	assert.Assert(t, reply.Refusal != nil)
	assert.Equal(t, reply.Refusal.Code, RefusedBusy)
	assert.Assert(t, reply.Refusal.RetryAfter > 0, "the caller isn't told when to come back")
	assert.Equal(t, len(f.group.ran("r1"))+len(f.group.ran("r2")), 0)
}

// Guards against a write that runs twice because its answer was lost.
func TestWriteWithALostAnswerIsNotSentAgain(t *testing.T) {
	f := newFixture(t)
	f.group.set("p1", func(u *fakeUpstream) { u.loseNext = true })
	s := f.open("latest")
	reply := do(t, s, write("w"))
	assert.Assert(t, reply.Refusal != nil)
	assert.Equal(t, reply.Refusal.Code, RefusedUnknown, "a lost answer promises nothing")
	assert.DeepEqual(t, f.group.ran("p1"), []string{"w"})
}

// Guards against a commit that is told to be aborted though it may have run.
func TestCommitWithALostAnswerIsUnknown(t *testing.T) {
	f := newFixture(t)
	s := f.open("latest")
	do(t, s, &Statement{ID: "b", Kind: KindBegin})
	served(t, s, write("w"))
	f.group.set("p1", func(u *fakeUpstream) { u.loseNext = true })
	reply := do(t, s, &Statement{ID: "c", Kind: KindCommit, Text: "COMMIT"})
	assert.Equal(t, reply.Refusal.Code, RefusedUnknown)
	assert.Equal(t, reply.State, StateIdle)
}

// Guards against a transaction whose write was lost and that is committed
// afterwards: its refusal promises that nothing is kept.
func TestTransactionThatLostItsConnectionNeverCommits(t *testing.T) {
	f := newFixture(t)
	s := f.open("latest")
	do(t, s, &Statement{ID: "b", Kind: KindBegin})
	f.group.set("p1", func(u *fakeUpstream) { u.loseNext = true })
	reply := do(t, s, write("w"))
	assert.Equal(t, reply.Refusal.Code, RefusedAborted)
	assert.Equal(t, reply.State, StateFailed)
	reply = do(t, s, &Statement{ID: "c", Kind: KindCommit, Text: "COMMIT"})
	assert.Equal(t, reply.Refusal.Code, RefusedAborted)
	f.group.mu.Lock()
	defer f.group.mu.Unlock()
	assert.Equal(t, f.group.upstreams["p1"].held, upstream.Offset(100))
}

// Guards against a write that is refused although the primary only had no room
// for a moment, and against a refused one that ran.
func TestBusyWriteIsTriedAgainAndRunsOnce(t *testing.T) {
	f := newFixture(t)
	f.group.set("p1", func(u *fakeUpstream) { u.busy = 3 })
	s := f.open("latest")
	served(t, s, write("w"))
	assert.DeepEqual(t, f.group.ran("p1"), []string{"w"})
}

// Guards against a read that fails at one upstream and is given up although
// others serve it.
func TestFailedReadRunsElsewhere(t *testing.T) {
	f := newFixture(t)
	for _, id := range []string{"r1", "r2"} {
		f.group.set(id, func(u *fakeUpstream) { u.failNext = 1 })
	}
	s := f.open("bounded")
	served(t, s, read("r"))
}

// Guards against statements of a transaction on different connections, and
// against its values leaking into another session.
func TestTransactionKeepsItsConnectionAndValues(t *testing.T) {
	f := newFixture(t)
	first, second := f.open("latest"), f.open("latest")
	do(t, first, &Statement{ID: "s1", Kind: KindSet, Name: "lang", Value: "tl"})
	do(t, first, &Statement{ID: "b", Kind: KindBegin})
	served(t, first, write("w1"))
	served(t, second, read("other"))
	served(t, first, write("w2"))
	served(t, first, &Statement{ID: "c", Kind: KindCommit, Text: "COMMIT"})
	served(t, second, read("again"))
	f.group.mu.Lock()
	defer f.group.mu.Unlock()
	p1 := f.group.upstreams["p1"]
	want := map[string]string{"w1": "tl", "w2": "tl", "c": "tl", "other": "", "again": ""}
	for i, id := range p1.ran {
		assert.Equal(t, p1.values[i]["lang"], want[id], id)
	}
	assert.Equal(t, p1.held, upstream.Offset(101))
}

// Guards against two callers whose prepared statements share a name and a
// connection.
func TestPreparedNamesOfCallersDoNotCollide(t *testing.T) {
	f := newFixture(t)
	first, second := f.open("bounded"), f.open("bounded")
	do(t, first, &Statement{ID: "p1", Kind: KindPrepare, Name: "s", Value: "q1", ReadOnly: true})
	do(t, second, &Statement{ID: "p2", Kind: KindPrepare, Name: "s", Value: "q2", ReadOnly: true})
	execute := func(id string) *Statement { return &Statement{ID: id, Kind: KindExecute, Name: "s", Value: "x"} }
	for range 3 {
		served(t, first, execute("e1"))
		served(t, second, execute("e2"))
	}
	a := preparedStatement{readOnly: true, shape: "q1"}
	b := preparedStatement{readOnly: true, shape: "q2"}
	assert.Assert(t, a.upstreamName() != b.upstreamName())
	do(t, first, &Statement{ID: "d", Kind: KindDeallocate, Name: "s"})
	assert.Equal(t, do(t, first, execute("e3")).Refusal.Code, RefusedNoStatement)
	served(t, second, execute("e4"))
}

// Guards against a caller who rests in a transaction and keeps a connection.
func TestRestingTransactionIsEnded(t *testing.T) {
	f := newFixture(t)
	s := f.open("latest")
	do(t, s, &Statement{ID: "b", Kind: KindBegin})
	assert.Equal(t, s.IdleLimit(), time.Duration(0), "a transaction without a statement holds nothing")
	served(t, s, write("w"))
	assert.Equal(t, s.IdleLimit(), 3*time.Second)
	s.Expire()
	reply := do(t, s, write("w2"))
	assert.Equal(t, reply.Refusal.Code, RefusedAborted)
	assert.Equal(t, reply.State, StateIdle)
}

// Guards against a dropped route that is used on: the next statement of an open
// session must not run.
func TestDroppedRouteIsRefused(t *testing.T) {
	f := newFixture(t)
	s := f.open("latest")
	f.parts.Config.Routes = f.parts.Config.Routes[1:]
	f.proxy.SetView(site.NewView(f.parts))
	assert.Equal(t, do(t, s, read("r")).Refusal.Code, RefusedNoDatabase)
	_, refusal := f.proxy.Open("latest")
	assert.Assert(t, refusal != nil)
}

// Guards against a statement whose context has ended and that is tried again and
// again without a pause until it may be held no longer.
func TestEndedContextEndsTheAttempts(t *testing.T) {
	f := newFixture(t)
	f.proxy.group("g").positions.add(upstream.Position{Term: 3, Offset: 100}, now())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, pl := range f.proxy.pools {
		pl.allowance.limit = 0.5
		pl.allowance.cutAt = now().Add(time.Minute) // nothing gets its turn
	}
	begunAt := now()
	reply := f.open("bounded").Do(ctx, read("r"))
	assert.Assert(t, reply.Refusal != nil)
	assert.Assert(t, since(begunAt) < holdLimit/2, "ended after %v", since(begunAt))
}
