package route_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovageslip/class"
	"lovageslip/exchange"
	"lovageslip/fault"
	"lovageslip/registry"
	"lovageslip/route"
	"lovageslip/upstream"
)

// clock is a clock that only tests advance.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time          { return c.now }
func (c *clock) advance(d time.Duration) { c.now = c.now.Add(d) }

func newRouter() (*route.Router, *clock) {
	c := &clock{now: time.Unix(1000, 0)}
	return route.New(route.Options{DataCentre: "luzon", Now: c.Now}), c
}

// view returns a view of one group with a replica in the router's data centre,
// and a primary and another replica in others.
func view() *registry.View {
	newUpstream := func(name, dataCentre string) registry.Upstream {
		return registry.Upstream{Name: name, Database: "shop", DataCentre: dataCentre, Owner: "p", OwnerAddress: "127.0.0.1:1"}
	}
	return &registry.View{
		Upstreams: map[string]registry.Upstream{
			"primary": newUpstream("primary", "visayas"), "near": newUpstream("near", "luzon"), "far": newUpstream("far", "mindanao"),
		},
		Groups: map[string]registry.Group{"shop": {Database: "shop", Primary: "primary"}},
	}
}

func read(v *registry.View) route.Request {
	return route.Request{
		View: v, Database: "shop", Mode: upstream.ModeRead, Remaining: time.Second,
		Class: class.Class{Name: "report", Wait: time.Second, Age: 100 * time.Millisecond},
	}
}

func chosen(t testing.TB, r *route.Router, request route.Request) string {
	t.Helper()
	choice, err := r.Choose(request)
	assert.NilError(t, err)
	return choice.Upstream.Name
}

func hint(name string, age time.Duration, offset upstream.Offset) exchange.Hint {
	return exchange.Hint{Upstream: name, DataAge: age, Position: upstream.Position{Term: 1, Offset: offset}}
}

func TestReadWithoutHintsGoesToTheNearestReplica(t *testing.T) {
	r, _ := newRouter()
	assert.Equal(t, chosen(t, r, read(view())), "near")
}

func TestWriteAndAgeZeroGoToThePrimary(t *testing.T) {
	r, _ := newRouter()
	write := read(view())
	write.Mode = upstream.ModeWrite
	assert.Equal(t, chosen(t, r, write), "primary")
	current := read(view())
	current.Class.Age = 0
	assert.Equal(t, chosen(t, r, current), "primary")
}

func TestLeavingExcludedAndOwnerlessUpstreamsAreNotChosen(t *testing.T) {
	r, _ := newRouter()
	v := view()
	near := v.Upstreams["near"]
	near.Leaving = true
	v.Upstreams["near"] = near
	far := v.Upstreams["far"]
	far.OwnerAddress = ""
	v.Upstreams["far"] = far
	request := read(v)
	assert.Equal(t, chosen(t, r, request), "primary")
	request.Exclude = []string{"primary"}
	_, err := r.Choose(request)
	var notRun *fault.NotRun
	assert.Assert(t, errors.As(err, &notRun))
	assert.Equal(t, notRun.Reason, fault.ReasonNoUpstream)
}

func TestReplicaThatWasTooOldIsChosenAgainBelowFourFifthsOfTheAge(t *testing.T) {
	r, _ := newRouter()
	request := read(view())
	r.RecordHint(hint("near", 100*time.Millisecond, 1))
	assert.Equal(t, chosen(t, r, request), "far")
	r.RecordHint(hint("near", 90*time.Millisecond, 1))
	assert.Equal(t, chosen(t, r, request), "far")
	r.RecordHint(hint("near", 79*time.Millisecond, 1))
	assert.Equal(t, chosen(t, r, request), "near")
}

func TestOldHintIsForgottenAndTheReplicaIsTriedAgain(t *testing.T) {
	r, c := newRouter()
	r.RecordHint(hint("near", time.Hour, 1))
	assert.Equal(t, chosen(t, r, read(view())), "far")
	c.advance(2 * time.Second)
	assert.Equal(t, chosen(t, r, read(view())), "near")
}

func TestReadWaitsForOrAvoidsReplicaBehindTheSessionPosition(t *testing.T) {
	r, _ := newRouter()
	request := read(view())
	request.Exclude = []string{"far"}
	request.MinPosition = upstream.Position{Term: 1, Offset: 10}
	r.RecordHint(hint("near", 30*time.Millisecond, 9))
	choice, err := r.Choose(request)
	assert.NilError(t, err)
	assert.Equal(t, choice.Upstream.Name, "near")
	assert.Equal(t, choice.Delay, 30*time.Millisecond)
	request.Remaining = 40 * time.Millisecond
	assert.Equal(t, chosen(t, r, request), "primary")
	request.MinPositionAge = 35 * time.Millisecond
	assert.Equal(t, chosen(t, r, request), "near")
}

func TestReplicaThatRefusedAStaleReadIsAvoidedForAWhile(t *testing.T) {
	r, c := newRouter()
	request := read(view())
	r.RecordStale("near", request)
	assert.Equal(t, chosen(t, r, request), "far")
	c.advance(time.Second)
	assert.Equal(t, chosen(t, r, request), "near")
	request.MinPosition = upstream.Position{Term: 1, Offset: 10}
	request.MinPositionAge = time.Second
	r.RecordStale("near", request)
	assert.Equal(t, chosen(t, r, request), "far")
}

func TestReadAvoidsBusyReplicaAndUsesPrimaryIfWaitIsShort(t *testing.T) {
	r, _ := newRouter()
	busy := hint("near", 0, 1)
	busy.ExpectedWait = 200 * time.Millisecond
	r.RecordHint(busy)
	assert.Equal(t, chosen(t, r, read(view())), "far")
	request := read(view())
	request.Exclude = []string{"far"}
	assert.Equal(t, chosen(t, r, request), "near")
	request.Remaining = 300 * time.Millisecond
	assert.Equal(t, chosen(t, r, request), "primary")
}

// Guards against a lost replica that stays the first choice of every read and
// so uses up their retries.
func TestLostReplicaGetsNoReadsForAWhile(t *testing.T) {
	r, c := newRouter()
	request := read(view())
	r.RecordUnavailable("near")
	assert.Equal(t, chosen(t, r, request), "far")
	r.RecordUnavailable("far")
	assert.Equal(t, chosen(t, r, request), "primary")
	c.advance(100 * time.Millisecond)
	assert.Equal(t, chosen(t, r, request), "near")
	r.RecordUnavailable("near")
	c.advance(100 * time.Millisecond)
	assert.Assert(t, chosen(t, r, request) != "near", "the second backoff must be longer than the first")
	r.RecordHint(hint("near", 0, 1))
	assert.Equal(t, chosen(t, r, request), "near")
}
