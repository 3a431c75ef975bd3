package proxy

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/site"
)

const testLeavingPeriod = 7 * time.Second

// leave gives the proxy a view in which all upstreams leave, acknowledged no earlier
// than some time ago.
func (f *fixture) leave(ago time.Duration) {
	f.parts.LeavingNotBefore = map[string]time.Time{}
	var leaving []*pb.SiteUpstream
	for _, u := range f.parts.Upstreams {
		leaving = append(leaving, &pb.SiteUpstream{Id: u.Id, Group: u.Group, Address: u.Address, DataCentre: u.DataCentre, Slots: u.Slots, Leaving: true})
		f.parts.LeavingNotBefore[u.Id] = now().Add(-ago)
	}
	f.parts.Upstreams = leaving
	f.proxy.SetView(site.NewView(f.parts))
}

func (f *fixture) ranAnywhere() int {
	return len(f.group.ran("p1")) + len(f.group.ran("r1")) + len(f.group.ran("r2"))
}

// newWork are the kinds of new work: each sends its first statement and returns the reply.
var newWork = map[string]func(f *fixture) Reply{
	"write":        func(f *fixture) Reply { return f.open("latest").Do(context.Background(), write("1")) },
	"latest read":  func(f *fixture) Reply { return f.open("latest").Do(context.Background(), read("1")) },
	"bounded read": func(f *fixture) Reply { return f.open("bounded").Do(context.Background(), read("1")) },
	"own read":     func(f *fixture) Reply { return f.open("own").Do(context.Background(), read("1")) },
	"transaction":  func(f *fixture) Reply { return f.beginAndDo(false, write("1")) },
	"read-only transaction": func(f *fixture) Reply {
		return f.beginAndDo(true, read("1"))
	},
	"empty transaction": func(f *fixture) Reply { return f.beginAndDo(false, &Statement{ID: "1", Kind: KindCommit}) },
}

func (f *fixture) beginAndDo(readOnly bool, st *Statement) Reply {
	s := f.open("bounded")
	s.Do(context.Background(), &Statement{ID: "0", Kind: KindBegin, ReadOnly: readOnly})
	return s.Do(context.Background(), st)
}

// Guards against new work of any kind at the last upstreams of a group once their
// leaving period is over: the primary, and replicas if all leave, had no limit.
func TestNoNewWorkAfterTheLeavingPeriod(t *testing.T) {
	for name, send := range newWork {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			f.proxy.options.LeavingPeriod = testLeavingPeriod
			f.leave(testLeavingPeriod / 2)
			assert.Check(t, send(f).Refusal == nil, "refused within the period")
			assert.Check(t, f.ranAnywhere() > 0)
			before := f.ranAnywhere()
			f.leave(testLeavingPeriod)
			reply := send(f)
			assert.Check(t, reply.Refusal != nil, "served after the period")
			assert.Equal(t, f.ranAnywhere(), before)
		})
	}
}

// Guards against new work at an upstream that has left for a time that the proxy does
// not know, because it was started or cut off meanwhile.
func TestNoNewWorkIfTheLeavingPeriodMayBeOver(t *testing.T) {
	f := newFixture(t)
	f.leave(0)
	f.parts.LeavingNotBefore = nil
	f.proxy.SetView(site.NewView(f.parts))
	assert.Assert(t, newWork["write"](f).Refusal != nil)
	assert.Equal(t, f.ranAnywhere(), 0)
}

// Guards against transactions that are cut off at the end of the leaving period, and
// against first statements that are sent after it, because the upstream was busy.
func TestOpenTransactionsOutlastTheLeavingPeriod(t *testing.T) {
	f := newFixture(t)
	ctx := context.Background()
	begun, running := f.open("latest"), f.open("latest")
	begun.Do(ctx, &Statement{ID: "0", Kind: KindBegin})
	running.Do(ctx, &Statement{ID: "0", Kind: KindBegin})
	assert.Assert(t, running.Do(ctx, write("1")).Refusal == nil)
	f.group.update("p1", func(u *fakeUpstream) {
		u.busy = 1
		u.onBegin = func(*fakeUpstream) { go f.leave(testLeavingPeriod) }
	})
	reply := begun.Do(ctx, write("2"))
	assert.Assert(t, reply.Refusal != nil && reply.Refusal.Code != RefusedUnknown, "%v", reply.Refusal)
	f.group.update("p1", func(u *fakeUpstream) { u.busy = 1 })
	assert.Assert(t, running.Do(ctx, write("3")).Refusal == nil)
	assert.Assert(t, running.Do(ctx, &Statement{ID: "4", Kind: KindCommit}).Refusal == nil)
	assert.DeepEqual(t, f.group.ran("p1"), []string{"1", "3", "4"})
}

// Guards against a relay that passes on new work of other proxies after the leaving
// period, and that calls the upstream unreachable then.
func TestRelayGivesNoConnectionAfterTheLeavingPeriod(t *testing.T) {
	f := newFixture(t)
	f.leave(testLeavingPeriod)
	r := f.proxy.OpenRelayed("p1", "p1", 0)
	answers, err := r.Run(context.Background(), Turn{MaxWait: time.Second}, time.Second, []Command{{Kind: CommandForward, Statement: write("1")}})
	assert.NilError(t, err)
	assert.Equal(t, answers[0].Code, CodeNoConnection)
	assert.Equal(t, f.ranAnywhere(), 0)
}

// Guards against statements that wait for seconds and are then refused, although their
// group has no upstream that could serve them.
func TestRefusedAtOnceWithoutAnyUpstream(t *testing.T) {
	const atOnce = 500 * time.Millisecond // the target of the routes
	for name, send := range newWork {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			f.leave(testLeavingPeriod)
			begun := time.Now()
			reply := send(f)
			assert.Check(t, reply.Refusal != nil && reply.Refusal.RetryAfter > 0, "%v", reply.Refusal)
			assert.Check(t, time.Since(begun) < atOnce, "refused after %v", time.Since(begun))
			f.parts.Upstreams = nil
			f.proxy.SetView(site.NewView(f.parts))
			begun = time.Now()
			assert.Check(t, send(f).Refusal != nil)
			assert.Check(t, time.Since(begun) < atOnce, "refused after %v", time.Since(begun))
		})
	}
}
