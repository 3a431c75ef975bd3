package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against callers of a team that are refused below its limit because all of
// them are in one data centre, and against more requests than operations.
func TestTeamInOneDataCentreUsesItsWholeLimit(t *testing.T) {
	for _, usual := range []float64{1, 5, 40} {
		limit := Limit{RatePerSecond: 1.6 * usual, Burst: 1.6 * usual}
		site := New(Options{Window: 5 * time.Second, Over: 0.1, Slack: 20})
		var r Reserve
		now := time.Unix(1000, 0)
		operations, requests, refused := 0, 0, 0
		for end := now.Add(30 * time.Second); now.Before(end); now = now.Add(time.Duration(float64(time.Second) / usual)) {
			operations++
			taken, denied, _ := r.Take(now, 1)
			if taken == 0 && !denied {
				requests++
				want := r.Want(now, 1)
				granted, retryAfter := site.Admit(now, "team", limit, Fixed(1), want)
				r.Grant(now, now.Add(40*time.Millisecond), want, granted, retryAfter)
				taken, _, _ = r.Take(now, 1)
			}
			refused += 1 - taken
		}
		assert.Equal(t, refused, 0, "usual rate %v", usual)
		assert.Assert(t, float64(requests) <= 30*6, "%d requests for %d operations", requests, operations)
	}
}

// Guards against a hot team that gets more than its limit because its data centres
// hold grants of the window before, and against a request for each of its operations.
func TestHotTeamInAllDataCentresKeepsItsLimit(t *testing.T) {
	const usualRate = 60
	const usual, window = float64(usualRate), 5 * time.Second
	limit := Limit{RatePerSecond: 1.6 * usual, Burst: 1.6 * usual}
	site := New(Options{Window: window, Over: 0.1, Slack: 20})
	reserves := make([]Reserve, 6)
	start := time.Unix(1000, 0)
	var admitted []time.Time
	requests := 0
	step := time.Second / (7 * usualRate)
	for now, i := start, 0; now.Sub(start) < 20*time.Second; now, i = now.Add(step), i+1 {
		r := &reserves[i%len(reserves)]
		taken, denied, _ := r.Take(now, 1)
		if taken == 0 && !denied {
			requests++
			want := r.Want(now, 1)
			granted, retryAfter := site.Admit(now, "team", limit, Fixed(1), want)
			r.Grant(now, now, want, granted, retryAfter)
			taken, _, _ = r.Take(now, 1)
		}
		if taken == 1 {
			admitted = append(admitted, now)
		}
	}
	bound := (limit.RatePerSecond*window.Seconds()+limit.Burst)*1.1 + 20
	for i := range admitted {
		n := 0
		for _, at := range admitted[i:] {
			if at.Sub(admitted[i]) < window {
				n++
			}
		}
		assert.Assert(t, float64(n) <= bound, "%d in one window, bound %v", n, bound)
	}
	assert.Assert(t, float64(len(admitted)) >= 0.95*limit.RatePerSecond*20, "%d admitted", len(admitted))
	assert.Assert(t, requests < 20*20*len(reserves), "%d requests", requests)
}

// Guards against grants that are used long after they were counted: a window would then
// hold those of two.
func TestGrantsExpire(t *testing.T) {
	var r Reserve
	now := time.Unix(1000, 0)
	r.Grant(now, now, 5, 5, 0)
	taken, refused, _ := r.Take(now.Add(reserveLifetime), 1)
	assert.Equal(t, taken, 0)
	assert.Assert(t, !refused)
}

// Guards against a large hot team that gets a fraction of its limit: a data centre that was
// refused asked for one operation at a time, a few times a second.
func TestLargeHotTeamGetsItsLimit(t *testing.T) {
	const dataCentres, roundTrip, step = 6, 40 * time.Millisecond, 5 * time.Millisecond
	limit := Limit{RatePerSecond: 350, Burst: 350}
	site := New(Options{Window: 5 * time.Second, Over: 0.1, Slack: 20})
	start := time.Unix(1000, 0)
	share := Fixed(1)
	share.Since = start.Add(-time.Minute)
	type centre struct {
		reserve  Reserve
		waiting  int
		nextAsk  time.Time
		admitted int
	}
	var centres [dataCentres]centre
	const perStep = 7 // operations of a data centre: 1,400 a second, four times the limit in all
	for now := start; now.Sub(start) < 15*time.Second; now = now.Add(step) {
		for i := range centres {
			c := &centres[i]
			c.waiting += perStep / 6
			if i == 0 {
				c.waiting++
			}
			taken, refused, _ := c.reserve.Take(now, c.waiting)
			c.admitted += taken
			c.waiting -= taken
			if refused {
				c.waiting = 0
			}
			if c.waiting == 0 || now.Before(c.nextAsk) {
				continue
			}
			c.nextAsk = now.Add(roundTrip)
			want := c.reserve.Want(now, c.waiting)
			granted, retryAfter := site.Admit(now, "team", limit, share, want)
			c.reserve.Grant(now, now, want, granted, retryAfter)
		}
	}
	total := 0
	for _, c := range centres {
		total += c.admitted
	}
	assert.Assert(t, float64(total) >= 0.95*limit.RatePerSecond*15, "%d of %v admitted", total, limit.RatePerSecond*15)
}
