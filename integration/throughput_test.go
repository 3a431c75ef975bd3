package integration

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"
)

const (
	throughputCallers = 64
	throughputTime    = 3 * time.Second
)

// BenchmarkProxiedAgainstDirect compares one-row reads of 64 callers through a
// proxy with the same reads directly at one upstream, in one run: through the
// proxy that owns the upstream ("local") and through another one ("forwarded").
// Callers use one upstream's worth of slots in both cases.
func BenchmarkProxiedAgainstDirect(b *testing.B) {
	for _, service := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond} {
		b.Run(fmt.Sprintf("service=%s", service), func(b *testing.B) { compareDirect(b, service) })
	}
}

func compareDirect(b *testing.B, service time.Duration) {
	s := startSite(b, siteOptions{proxies: 2, service: service})
	name, server := s.primary()
	local := s.ownerOf(name)
	direct := fmt.Sprintf("postgres://caller@%s/diary?sslmode=disable", server.Address())
	proxied := func(proxy int) string {
		return fmt.Sprintf("postgres://caller@%s/diary?sslmode=disable&lovageslip.class=filing", s.callers[proxy])
	}
	for range b.N {
		base := readFor(b, direct)
		near := readFor(b, proxied(local))
		far := readFor(b, proxied(1-local))
		b.ReportMetric(near.rate()/base.rate(), "local-ratio")
		b.ReportMetric(far.rate()/base.rate(), "forwarded-ratio")
		b.ReportMetric(base.rate(), "direct/s")
		b.ReportMetric(near.rate(), "local/s")
		b.ReportMetric(far.rate(), "forwarded/s")
	}
	base, near, far := readAlone(b, direct), readAlone(b, proxied(local)), readAlone(b, proxied(1-local))
	for _, quantile := range []float64{50, 99} {
		b.ReportMetric(near.at(quantile)-base.at(quantile), fmt.Sprintf("local-added-p%.0f-µs", quantile))
		b.ReportMetric(far.at(quantile)-base.at(quantile), fmt.Sprintf("forwarded-added-p%.0f-µs", quantile))
	}
}

// ownerOf returns the proxy that owns an upstream.
func (s *site) ownerOf(name string) int {
	s.t.Helper()
	owner := -1
	s.await("owner of "+name, func(ctx context.Context) error {
		status, err := s.admin.Status(ctx)
		if err != nil {
			return err
		}
		for _, u := range status.GetUpstreams() {
			if u.GetName() == name {
				_, err = fmt.Sscanf(u.GetOwner(), "proxy-%d", &owner)
			}
		}
		owner--
		return err
	})
	return owner
}

// readings are the latencies of reads, in microseconds.
type readings struct {
	histogram *hdrhistogram.Histogram
	elapsed   time.Duration
}

func (r readings) rate() float64 { return float64(r.histogram.TotalCount()) / r.elapsed.Seconds() }

func (r readings) at(quantile float64) float64 {
	return float64(r.histogram.ValueAtQuantile(quantile)) / float64(time.Microsecond)
}

func newReadings() readings {
	return readings{histogram: hdrhistogram.New(1, int64(time.Minute), 3)}
}

// readFor lets 64 callers read one row each, one after the other.
func readFor(b *testing.B, url string) readings {
	b.Helper()
	all := newReadings()
	var mu sync.Mutex // guards all.histogram
	var done sync.WaitGroup
	start := time.Now()
	for range throughputCallers {
		done.Go(func() {
			one := readOneCaller(b, url, start.Add(throughputTime))
			mu.Lock()
			defer mu.Unlock()
			all.histogram.Merge(one.histogram)
		})
	}
	done.Wait()
	all.elapsed = time.Since(start)
	return all
}

// readAlone reads with a single caller, so that nothing queues.
func readAlone(b *testing.B, url string) readings {
	b.Helper()
	return readOneCaller(b, url, time.Now().Add(throughputTime))
}

func readOneCaller(b *testing.B, url string, until time.Time) readings {
	ctx := context.Background()
	r := newReadings()
	conn, err := pgx.Connect(ctx, url)
	if !assert.Check(b, err) {
		return r
	}
	defer conn.Close(ctx)
	for time.Now().Before(until) {
		sent := time.Now()
		var n int
		if !assert.Check(b, conn.QueryRow(ctx, "SELECT count(*) FROM entries").Scan(&n)) {
			return r
		}
		_ = r.histogram.RecordValue(int64(time.Since(sent)))
	}
	return r
}
