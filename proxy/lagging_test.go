package proxy

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovageslip/upstream"
)

// Guards against hosts that each ask a replica, which they reach through one relay, for a
// position that it has just lacked.
func TestRelayAnswersForAReplicaThatIsBehind(t *testing.T) {
	f := newFixture(t)
	at := func(offset upstream.Offset) upstream.Position { return upstream.Position{Term: 3, Offset: offset} }
	run := func(r *RelayedConn, needed upstream.Position) Answer {
		answers, err := r.Run(context.Background(), Turn{MaxWait: time.Second}, time.Second,
			[]Command{{Kind: CommandSet, Name: "a", Value: "b"}, {Kind: CommandForward, Statement: read("r"), MinPosition: needed}})
		assert.NilError(t, err)
		return answers[1]
	}
	begun := now()
	for range 20 {
		a := run(f.proxy.OpenRelayed("r1", "r1", 0), at(150))
		assert.Equal(t, a.Code, CodeLagging)
		assert.Equal(t, a.Position, at(100))
	}
	lagged := func() (n int) { f.group.update("r1", func(u *fakeUpstream) { n = u.lagged }); return n }
	assert.Check(t, lagged() <= 1+int(now().Sub(begun)/laggingPauseMin), "%d of 20 reads were sent", lagged())

	r := f.proxy.OpenRelayed("r1", "r1", 0)
	assert.Equal(t, run(r, at(100)).Code, CodeNone, "a read that needs less")
	f.group.update("r1", func(u *fakeUpstream) { u.offset = 200 })
	time.Sleep(2 * laggingPauseMin)
	assert.Equal(t, run(r, at(150)).Code, CodeNone, "the replica has caught up")
	assert.Equal(t, run(r, at(190)).Code, CodeNone)
}

// lagRule decides whether a read is sent to a replica that may be behind.
type lagRule interface {
	mayTry(needed upstream.Position, at time.Time) bool
	lagging(needed, held upstream.Position, age time.Duration, at time.Time)
	fine(needed, held upstream.Position, behind time.Duration)
}

func (l *replicaLag) mayTry(needed upstream.Position, at time.Time) bool {
	return !l.lacks(needed, at) && l.claim(needed, at)
}

func (l *replicaLag) lagging(needed, held upstream.Position, age time.Duration, at time.Time) {
	l.refused(needed, held, age, at)
}

func (l *replicaLag) fine(needed, held upstream.Position, behind time.Duration) {
	l.served(needed, held, behind)
}

// ownPause is the rule before this file: each host pauses for itself, and any answer
// ends the pause.
type ownPause struct {
	held  upstream.Position
	until time.Time
	pause time.Duration
}

func (p *ownPause) mayTry(needed upstream.Position, at time.Time) bool {
	return !at.Before(p.until) || !p.held.Before(needed)
}

func (p *ownPause) lagging(_, held upstream.Position, _ time.Duration, at time.Time) {
	p.held = held
	if !at.Before(p.until) {
		p.pause = min(max(2*p.pause, laggingPauseMin), 400*time.Millisecond)
		p.until = at.Add(p.pause)
	}
}

func (p *ownPause) fine(upstream.Position, upstream.Position, time.Duration) {
	p.pause, p.until = 0, time.Time{}
}

// noRelay sends each read on.
type noRelay struct{}

func (noRelay) mayTry(upstream.Position, time.Time) bool                               { return true }
func (noRelay) lagging(upstream.Position, upstream.Position, time.Duration, time.Time) {}
func (noRelay) fine(upstream.Position, upstream.Position, time.Duration)               {}

// lagOutcome is what a play of a replica that falls behind shows.
type lagOutcome struct {
	reads, refused int
	// withheld counts the reads that the replica did not get though it had caught up.
	withheld int
}

// playLag lets hosts, which share a relay in each of six data centres, send 60 reads a second to a
// replica that is 2 s behind for 10 s: half need what was committed 1.2 s ago, the
// others 2.2 s ago. A fiftieth need the newest commit. Answers take 20 ms.
func playLag(hosts int, host func() lagRule, relay func() lagRule) (o lagOutcome) {
	const (
		caughtUpAt  = 10_000 // ms
		length      = 14_000
		rate        = 0.06 // reads each ms
		answerTime  = 20
		dataCentres = 6
	)
	rng := rand.New(rand.NewPCG(11, uint64(hosts)))
	start := time.Unix(1000, 0)
	position := func(ms int) upstream.Position {
		return upstream.Position{Term: 1, Offset: upstream.Offset(max(ms+10_000, 0) / 40)}
	}
	type path struct{ rules [2]lagRule } // of the host and of its relay
	paths, relays := make([]path, hosts), make([]lagRule, dataCentres)
	for i := range relays {
		relays[i] = relay()
	}
	for i := range paths {
		paths[i].rules = [2]lagRule{host(), relays[i%dataCentres]}
	}
	pending := map[int][]func(){}
	for ms := range length {
		for _, answer := range pending[ms] {
			answer()
		}
		delete(pending, ms)
		if rng.Float64() >= rate {
			continue
		}
		o.reads++
		p := &paths[rng.IntN(hosts)]
		ago := 1200 + 1000*rng.IntN(2)
		if rng.IntN(50) == 0 {
			ago = 0
		}
		needed, behind := position(ms-ago), 2000
		if ms >= caughtUpAt {
			behind = 50
		}
		held := position(ms - behind)
		at := start.Add(time.Duration(ms) * time.Millisecond)
		asked := 0
		for asked < len(p.rules) && p.rules[asked].mayTry(needed, at) {
			asked++
		}
		arrived := asked == len(p.rules)
		lags := !arrived || held.Before(needed)
		switch {
		case arrived && lags:
			o.refused++
		case !arrived && !held.Before(needed) && ms >= caughtUpAt:
			o.withheld++
		}
		if asked == 0 {
			continue
		}
		pending[ms+answerTime] = append(pending[ms+answerTime], func() {
			for i := range min(asked+1, len(p.rules)) {
				if lags {
					p.rules[i].lagging(needed, held, time.Duration(ago)*time.Millisecond, start.Add(time.Duration(ms+answerTime)*time.Millisecond))
				} else {
					p.rules[i].fine(needed, held, time.Duration(behind)*time.Millisecond)
				}
			}
		})
	}
	return o
}

// Guards against hosts that each find out again and again that a replica is behind, while
// another read has just shown it.
func TestReplicaThatIsBehindIsAskedSeldom(t *testing.T) {
	for _, hosts := range []int{32, 115, 295} {
		t.Run(fmt.Sprintf("%d hosts", hosts), func(t *testing.T) {
			rule := func(pauseMax time.Duration) func() lagRule {
				return func() lagRule { return &replicaLag{pauseMax: pauseMax} }
			}
			o := playLag(hosts, rule(relayedPauseMax), rule(laggingPauseMax))
			before := playLag(hosts, func() lagRule { return &ownPause{} }, func() lagRule { return noRelay{} })
			t.Logf("%+v; each host for itself: %+v", o, before)
			assert.Check(t, o.refused <= before.refused/2)
			// One that has caught up is used again within a second: 60 reads.
			assert.Check(t, o.withheld <= 60)
		})
	}
}
