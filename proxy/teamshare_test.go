package proxy

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// teamLoad is what a team sends: each caller one statement after the other, with a
// pause before each.
type teamLoad struct {
	team    string
	callers int
	pause   time.Duration
}

// sendLoads sends for so long with so many statements in flight and returns the
// longest wait for a connection and the number of statements served of each team.
func sendLoads(t *testing.T, p *pool, inFlight int, lasts time.Duration, loads ...teamLoad) (longest map[string]time.Duration, sent map[string]int) {
	p.concurrency = concurrencyLimit{limit: float64(inFlight), fixed: true}
	longest, sent = map[string]time.Duration{}, map[string]int{}
	var mu sync.Mutex
	var callers sync.WaitGroup
	end := now().Add(lasts)
	for _, l := range loads {
		for i := range l.callers {
			rng := rand.New(rand.NewPCG(uint64(i), uint64(len(l.team))))
			callers.Go(func() {
				for now().Before(end) {
					time.Sleep(time.Duration(rng.ExpFloat64() * float64(l.pause)))
					begun := now()
					c, err := p.acquire(context.Background(), urgency{arrivedAt: begun, target: time.Second}, l.team, 10*time.Second)
					if err != nil {
						continue
					}
					mu.Lock()
					longest[l.team] = max(longest[l.team], now().Sub(begun))
					sent[l.team]++
					mu.Unlock()
					time.Sleep(30 * time.Millisecond)
					p.release(c)
				}
			})
		}
	}
	callers.Wait()
	return longest, sent
}

// shareTarget is the shortest time within which the operations of usual routes
// should end.
const shareTarget = 500 * time.Millisecond

// Guards against teams that wait longer than callers do, or for ever, where more
// teams wait than there are connections.
func TestEveryTeamGetsItsTurn(t *testing.T) {
	var loads []teamLoad
	for i := range 30 {
		loads = append(loads, teamLoad{team: fmt.Sprint(i), callers: 1, pause: 50 * time.Millisecond})
	}
	loads = append(loads, teamLoad{team: "large", callers: 8, pause: 100 * time.Millisecond})
	inVirtualTime(t, 6, func(p *pool, u *teamUpstream) {
		longest, sent := sendLoads(t, p, 8, 20*time.Second, loads...)
		statements := 0
		for team, wait := range longest {
			statements += sent[team]
			assert.Check(t, wait < 2*shareTarget, "team %s waited %v", team, wait)
		}
		t.Logf("longest wait %v of the large team, %v of a small one; %d connections for %d statements",
			longest["large"], longest["3"], u.dials, statements)
	})
}

// Guards against one team that suddenly sends many times its usual and takes every
// slot, so that the statements of others wait as long as its own.
func TestFloodOfOneTeamDoesNotDelayOthers(t *testing.T) {
	var others []teamLoad
	for i := range 8 {
		others = append(others, teamLoad{team: fmt.Sprint(i), callers: 1, pause: 300 * time.Millisecond})
	}
	inVirtualTime(t, 21, func(p *pool, _ *teamUpstream) {
		usual := append(others, teamLoad{team: "flood", callers: 8, pause: 300 * time.Millisecond})
		sendLoads(t, p, 4, 3*time.Minute, usual...)
		flooded := append(others, teamLoad{team: "flood", callers: 64, pause: 30 * time.Millisecond})
		longest, sent := sendLoads(t, p, 4, time.Minute, flooded...)
		for _, l := range others {
			assert.Check(t, longest[l.team] < shareTarget/2, "team %s waited %v", l.team, longest[l.team])
			assert.Check(t, sent[l.team] > 140, "team %s sent %d", l.team, sent[l.team])
		}
		t.Logf("longest wait %v of the flood, %v of another team", longest["flood"], longest["3"])
	})
}

// Guards against a large team that waits for many small ones although it sends no
// more than usual and there is room for all.
func TestLargeTeamIsServedWithinItsUsualLoad(t *testing.T) {
	loads := []teamLoad{{team: "large", callers: 16, pause: 200 * time.Millisecond}}
	for i := range 15 {
		loads = append(loads, teamLoad{team: fmt.Sprint(i), callers: 1, pause: 500 * time.Millisecond})
	}
	inVirtualTime(t, 21, func(p *pool, _ *teamUpstream) {
		longest, sent := sendLoads(t, p, 4, time.Minute, loads...)
		all := 0
		for _, n := range sent {
			all += n
		}
		t.Logf("longest wait %v for %d of %d statements", longest["large"], sent["large"], all)
		assert.Check(t, longest["large"] < shareTarget)
	})
}
