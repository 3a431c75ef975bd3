package relay

import (
	"fmt"
	"math"
	"testing"
	"time"

	"lovageslip/quota"
)

// BenchmarkRefusedBelowTheLimit reports which part of the operations of a team is
// refused that sends its usual, 1 / 1.6 of its limit, at random times and places, in
// 10 s on 6 data centres with 23 proxies each.
func BenchmarkRefusedBelowTheLimit(b *testing.B) {
	for _, kind := range []string{"calm", "four lists in each data centre", "all restarted", "half killed", "restarted one after another",
		"a data centre's callers move", "uneven data centres", "one data centre"} {
		for _, usual := range []float64{1, 3, 10, 50, 200} {
			b.Run(fmt.Sprintf("%s/%v", kind, usual), func(b *testing.B) {
				refused, all := 0, 0
				for seed := range uint64(20 * b.N) {
					s := newModelSite(seed, 6, 23, quota.Limit{RatePerSecond: 1.6 * usual, Burst: 1.6 * usual})
					s.playAtRandom(5*time.Second, usual, kind)
					s.ran, s.refused = nil, nil
					if kind == "four lists in each data centre" {
						s.moveTo(s.proxies, func() int { return 100 + s.random.IntN(4) })
					}
					s.disturb(kind)
					s.playAtRandom(10*time.Second, usual, kind)
					refused += len(s.refused)
					all += len(s.refused) + len(s.ran)
				}
				b.ReportMetric(100*float64(refused)/float64(all), "%refused")
			})
		}
	}
}

// playAtRandom sends operations at independent times.
func (s *modelSite) playAtRandom(d time.Duration, perSecond float64, kind string) {
	for end := s.now.Add(d); s.now.Before(end); {
		next := s.now.Add(time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second)))
		for ; s.now.Before(next); s.now = s.now.Add(min(modelTick, next.Sub(s.now))) {
			s.runDue()
		}
		s.operation(s.proxyOf(kind))
	}
}

// proxyOf returns the proxy of a random caller.
func (s *modelSite) proxyOf(kind string) *modelProxy {
	i := s.random.IntN(len(s.proxies))
	dataCentre := s.proxies[i].dataCentre
	chosen := dataCentre
	switch {
	case kind == "a data centre's callers move" && dataCentre == 0:
		chosen = 1
	case kind == "uneven data centres":
		// The first has about four times as many as the last.
		chosen = int(math.Pow(s.random.Float64(), 1.6) * float64(s.dataCentres))
	case kind == "one data centre":
		chosen = 0
	}
	return s.proxies[i-dataCentre+chosen]
}
