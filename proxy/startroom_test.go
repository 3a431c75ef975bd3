package proxy

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "lovageslip/gen/lovageslip/v1"
)

// Guards against the start of all hosts at once after a loss of power, while the
// upstreams still count the connections of before: the relays of six data centres,
// each with a backlog, spent their dials and an upstream's time on refusals, and some
// took all the room that was left.
func TestAllHostsStartWhileUpstreamsCountOldConnections(t *testing.T) {
	const dataCentres, backlog, room = 6, 20, 8
	g := &fakeGroup{upstreams: map[string]*fakeUpstream{}}
	u := &fakeUpstream{group: g, id: "p1", primary: true, room: room}
	g.upstreams["p1"] = u
	var ended sync.WaitGroup
	var served [dataCentres]atomic.Int64
	ctx, stop := context.WithCancel(context.Background())
	for i := range served {
		pl := newPool(g, &pb.SiteUpstream{Id: "p1"}, relayQuota(46, dataCentres))
		for range backlog {
			ended.Go(func() {
				for ctx.Err() == nil {
					if c, err := pl.acquire(ctx, highestUrgency(), "", time.Second); err == nil {
						time.Sleep(2 * time.Millisecond)
						served[i].Add(1)
						pl.release(c)
					}
				}
			})
		}
	}
	time.Sleep(time.Second)
	stop()
	ended.Wait()
	without := 0
	for i := range served {
		if served[i].Load() == 0 {
			without++
		}
	}
	assert.Check(t, without == 0, "%d data centres got no connection", without)
	assert.Check(t, u.refused <= 5*dataCentres, "%d dials were refused", u.refused)
}
