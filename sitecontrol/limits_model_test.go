package sitecontrol

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovageslip/quota"
)

// outage is a time in which the control host that counts a team does not answer.
type outage struct {
	from, to time.Duration
	restart  bool // it has forgotten what it granted
}

// mostInAWindow returns how many operations of a team that sends many times its limit
// run in one window of the options, with outages of the control host that counts it.
// Proxies ask its substitute until avoidance after they were first not answered.
func mostInAWindow(o quota.Options, limit quota.Limit, outages []outage) int {
	const step, avoidance = 20 * time.Millisecond, 2 * time.Second
	siteStart := time.Unix(1000, 0)
	hotAt := siteStart.Add(time.Minute)
	first, substitute := quota.New(counterQuota(o)), quota.New(counterQuota(o))
	firstStart := siteStart
	avoidUntil := time.Duration(-1)
	var ran []int
	sum, most := 0, 0
	for at := time.Duration(0); at < 14*time.Second; at += step {
		answers := true
		for _, out := range outages {
			if at >= out.from && at < out.to {
				answers = false
				if out.restart && at-out.from < step {
					first, firstStart = quota.New(counterQuota(o)), hotAt.Add(out.to)
				}
			}
		}
		if at >= avoidUntil && !answers {
			avoidUntil = at + avoidance
		}
		counter := first
		if at < avoidUntil {
			counter = substitute
		}
		share, terms := counterTerms(limit, at < avoidUntil, firstStart)
		admitted, _ := counter.Admit(hotAt.Add(at), "team", terms, share, 100)
		ran = append(ran, admitted)
		sum += admitted
		if i := len(ran) - 1 - int(o.Window/step); i >= 0 {
			sum -= ran[i]
		}
		most = max(most, sum)
	}
	return most
}

// Guards against a team that runs more than its limit and the tolerance while the
// control host that counts it is suspended or restarted, once or twice.
func TestLostCounterAndItsSubstituteKeepTheLimit(t *testing.T) {
	o := quota.Options{Window: 5 * time.Second, Over: 0.1, Slack: 20, Draw: func() float64 { return 0.5 }}
	for _, limit := range []quota.Limit{{RatePerSecond: 1, Burst: 1}, {RatePerSecond: 4, Burst: 4}, {RatePerSecond: 10, Burst: 10}, {RatePerSecond: 60, Burst: 60}, {RatePerSecond: 200, Burst: 200}} {
		for _, restart := range []bool{false, true} {
			most, worst := 0, ""
			for a := time.Duration(0); a < 5*time.Second; a += 500 * time.Millisecond {
				for b := a + 3*time.Second; b < a+8*time.Second; b += 500 * time.Millisecond {
					for _, length := range []time.Duration{time.Second, 2500 * time.Millisecond} {
						outages := []outage{{a, a + length, restart}, {b, b + length, restart}}
						if n := mostInAWindow(o, limit, outages); n > most {
							most, worst = n, fmt.Sprint(outages)
						}
					}
				}
			}
			allowed := (limit.RatePerSecond*o.Window.Seconds()+limit.Burst)*(1+o.Over) + o.Slack
			t.Logf("%+v: at most %d of %.1f, %s", limit, most, allowed, worst)
			assert.Check(t, float64(most) <= allowed, "%+v: %d of %.1f allowed, %s", limit, most, allowed, worst)
		}
	}
}
