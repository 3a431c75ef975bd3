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
// Proxies ask its substitute until avoidance after they were first not answered. If
// connected, that is the leader, which passes requests on once it has checked that the
// first one answers; otherwise a host that reaches neither.
func mostInAWindow(o quota.Options, limit quota.Limit, outages []outage, connected bool) int {
	const step, avoidance = 20 * time.Millisecond, 2 * time.Second
	siteStart := time.Unix(1000, 0)
	hotAt := siteStart.Add(time.Minute)
	first, substitute := quota.New(counterQuota(o)), quota.New(counterQuota(o))
	firstStart := siteStart
	avoidUntil := time.Duration(-1)
	silentFrom, answersFrom := time.Duration(0), -reachInterval
	var ran []int
	sum, most := 0, 0
	for at := time.Duration(0); at < 14*time.Second; at += step {
		answers := true
		for _, out := range outages {
			if at >= out.from && at < out.to {
				answers, silentFrom, answersFrom = false, out.from, out.to
				if out.restart && at-out.from < step {
					first, firstStart = quota.New(counterQuota(o)), hotAt.Add(out.to)
				}
			}
		}
		if at >= avoidUntil && !answers {
			avoidUntil = at + avoidance
		}
		counter, as := first, roleFirst
		if at < avoidUntil && !(connected && answers && at >= answersFrom+reachInterval) {
			counter, as = substitute, substituteRole(connected && !answers, at-silentFrom)
		}
		share, terms := counterTerms(limit, as, firstStart)
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
// control host that counts it is suspended or restarted, once or twice, briefly or for
// so long that the leader takes its place.
func TestLostCounterAndItsSubstituteKeepTheLimit(t *testing.T) {
	o := quota.Options{Window: 5 * time.Second, Over: 0.1, Slack: 20, Draw: func() float64 { return 0.5 }}
	brief := []time.Duration{time.Second, 2500 * time.Millisecond}
	long := append(brief, 4*time.Second, 7*time.Second)
	for _, limit := range []quota.Limit{{RatePerSecond: 1, Burst: 1}, {RatePerSecond: 4, Burst: 4}, {RatePerSecond: 10, Burst: 10}, {RatePerSecond: 60, Burst: 60}, {RatePerSecond: 200, Burst: 200}} {
		for _, restart := range []bool{false, true} {
			checkOutages(t, o, limit, restart, false, brief)
			checkOutages(t, o, limit, restart, true, long)
		}
	}
}

func checkOutages(t *testing.T, o quota.Options, limit quota.Limit, restart, connected bool, lengths []time.Duration) {
	t.Helper()
	most, worst := 0, ""
	for a := time.Duration(0); a < 5*time.Second; a += 500 * time.Millisecond {
		for _, length := range lengths {
			for b := a + max(3*time.Second, length+500*time.Millisecond); b < a+8*time.Second; b += 500 * time.Millisecond {
				outages := []outage{{a, a + length, restart}, {b, b + length, restart}}
				if n := mostInAWindow(o, limit, outages, connected); n > most {
					most, worst = n, fmt.Sprint(outages)
				}
			}
		}
	}
	allowed := (limit.RatePerSecond*o.Window.Seconds()+limit.Burst)*(1+o.Over) + o.Slack
	t.Logf("%+v, connected %t: at most %d of %.1f, %s", limit, connected, most, allowed, worst)
	assert.Check(t, float64(most) <= allowed, "%+v: %d of %.1f allowed, %s", limit, most, allowed, worst)
}

// Guards against a team that is refused below its limit for as long as the control host
// that counts it is suspended: its callers send 0.8 of the limit in an outage of 7 s.
func TestLeaderGrantsWhatALostCounterWould(t *testing.T) {
	o := quota.Options{Window: 5 * time.Second, Over: 0.1, Slack: 20, Draw: func() float64 { return 0.5 }}
	limit := quota.Limit{RatePerSecond: 100, Burst: 100}
	leader := quota.New(counterQuota(o))
	asked, refused := 0, 0
	for at := time.Duration(0); at < 7*time.Second; at += 25 * time.Millisecond {
		share, terms := counterTerms(limit, substituteRole(true, at), time.Time{})
		admitted, _ := leader.Admit(time.Unix(1000, 0).Add(at), "team", terms, share, 2)
		if at >= firstLostAfter+time.Second {
			asked, refused = asked+2, refused+2-admitted
		}
	}
	assert.Assert(t, refused <= asked/50, "%d of %d refused", refused, asked)
}
