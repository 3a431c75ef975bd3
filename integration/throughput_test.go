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
	throughputCallers  = 64
	throughputDuration = 3 * time.Second
)

// BenchmarkProxiedAgainstDirect compares one-row reads of 64 callers directly
// at one upstream with the same reads through the proxy that owns the upstream
// ("local") and through another proxy ("forwarded"), in one run. In all cases
// the callers use the slots of one upstream.
func BenchmarkProxiedAgainstDirect(b *testing.B) {
	for _, service := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond} {
		b.Run(fmt.Sprintf("service=%s", service), func(b *testing.B) { compareDirect(b, service) })
	}
}

func compareDirect(b *testing.B, service time.Duration) {
	s := startSite(b, siteOptions{proxies: 2, serviceTime: service})
	name, server := s.primary()
	owner := s.ownerOf(name)
	directURL := fmt.Sprintf("postgres://caller@%s/diary?sslmode=disable", server.Address())
	proxiedURL := func(proxy int) string {
		return fmt.Sprintf("postgres://caller@%s/diary?sslmode=disable&lovageslip.class=filing", s.callerAddresses[proxy])
	}
	for range b.N {
		direct := readConcurrently(b, directURL)
		local := readConcurrently(b, proxiedURL(owner))
		forwarded := readConcurrently(b, proxiedURL(1-owner))
		b.ReportMetric(local.rate()/direct.rate(), "local-ratio")
		b.ReportMetric(forwarded.rate()/direct.rate(), "forwarded-ratio")
		b.ReportMetric(direct.rate(), "direct/s")
		b.ReportMetric(local.rate(), "local/s")
		b.ReportMetric(forwarded.rate(), "forwarded/s")
	}
	direct, local, forwarded := readAsSingleCaller(b, directURL), readAsSingleCaller(b, proxiedURL(owner)), readAsSingleCaller(b, proxiedURL(1-owner))
	for _, quantile := range []float64{50, 99} {
		b.ReportMetric(local.quantileMicros(quantile)-direct.quantileMicros(quantile), fmt.Sprintf("local-added-p%.0f-µs", quantile))
		b.ReportMetric(forwarded.quantileMicros(quantile)-direct.quantileMicros(quantile), fmt.Sprintf("forwarded-added-p%.0f-µs", quantile))
	}
}

// ownerOf returns the index of the proxy that owns an upstream.
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

// latencies holds the latencies of reads, in nanoseconds. elapsed is the time until
// all callers had finished; only readConcurrently sets it.
type latencies struct {
	histogram *hdrhistogram.Histogram
	elapsed   time.Duration
}

func (l latencies) rate() float64 { return float64(l.histogram.TotalCount()) / l.elapsed.Seconds() }

func (l latencies) quantileMicros(quantile float64) float64 {
	return float64(l.histogram.ValueAtQuantile(quantile)) / float64(time.Microsecond)
}

func newLatencies() latencies {
	return latencies{histogram: hdrhistogram.New(1, int64(time.Minute), 3)}
}

// readConcurrently runs throughputCallers callers at the same time. Each sends
// its reads one after the other.
func readConcurrently(b *testing.B, url string) latencies {
	b.Helper()
	all := newLatencies()
	var mu sync.Mutex // guards all.histogram
	var done sync.WaitGroup
	start := time.Now()
	for range throughputCallers {
		done.Go(func() {
			one := readUntil(b, url, start.Add(throughputDuration))
			mu.Lock()
			defer mu.Unlock()
			all.histogram.Merge(one.histogram)
		})
	}
	done.Wait()
	all.elapsed = time.Since(start)
	return all
}

// readAsSingleCaller reads with a single caller, so that no request waits in a
// queue.
func readAsSingleCaller(b *testing.B, url string) latencies {
	b.Helper()
	return readUntil(b, url, time.Now().Add(throughputDuration))
}

// readUntil sends reads on one connection until the given time.
func readUntil(b *testing.B, url string, until time.Time) latencies {
	ctx := context.Background()
	l := newLatencies()
	conn, err := pgx.Connect(ctx, url)
	if !assert.Check(b, err) {
		return l
	}
	defer conn.Close(ctx)
	for time.Now().Before(until) {
		sent := time.Now()
		var n int
		if !assert.Check(b, conn.QueryRow(ctx, "SELECT count(*) FROM entries").Scan(&n)) {
			return l
		}
		_ = l.histogram.RecordValue(int64(time.Since(sent)))
	}
	return l
}
