package daemon

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovageslip/admission"
	"lovageslip/class"
	"lovageslip/loadgen"
)

const (
	// Two replicas of five slots execute at most 2,000 short reads a second;
	// at the peak 4,800 a second arrive. Lists have no service time of their
	// own, because it would apply to each of their rows.
	benchService = 5 * time.Millisecond
	benchRate    = 600
	benchTime    = 20 * time.Second
	benchWait    = 500 * time.Millisecond
	benchSeed    = 7
)

// comparedPolicies are the admission policies that each benchmark measures, one
// after the other in the same run.
var comparedPolicies = []struct {
	name string
	make func() admission.Policy
}{
	{"fifo", func() admission.Policy { return admission.NewFIFO() }},
	{"shortest", func() admission.Policy { return admission.NewShortestJobFirst() }},
}

// BenchmarkPeak raises an open-loop load to ten times its rate for 5 s, against
// the development set-up with each policy. Run it with -benchtime=1x -v for the
// tables.
func BenchmarkPeak(b *testing.B) {
	profile := loadgen.PendragonLloyd(benchRate, benchTime).
		WithService("short", benchService).
		WithPeak(benchTime/2-5*time.Second, 5*time.Second, 10)
	comparePolicies(b, profile)
}

// BenchmarkStragglers runs a steady open-loop load in which 1 % of the reads
// take 100 times longer than the rest.
func BenchmarkStragglers(b *testing.B) {
	profile := loadgen.PendragonLloyd(benchRate, benchTime).
		WithService("short", benchService).
		WithStragglers(0.01, 100, benchService)
	comparePolicies(b, profile)
}

func comparePolicies(b *testing.B, profile loadgen.Profile) {
	profile = profile.WithClass("", "browsing").WithClass("write", "ordering").WithWait("", benchWait)
	for range b.N {
		for _, policy := range comparedPolicies {
			result := runProfile(b, profile, policy.make)
			for _, work := range result.Work {
				b.ReportMetric(100*work.WithinTargetShare, fmt.Sprintf("%s-%s-inside-%%", policy.name, work.Name))
				b.ReportMetric(float64(work.Latency.P99.Milliseconds()), fmt.Sprintf("%s-%s-p99-ms", policy.name, work.Name))
			}
			b.Logf("policy %s", policy.name)
			assert.NilError(b, result.WriteTable(b.Output()))
			assert.NilError(b, result.WriteChart(b.Output()))
		}
	}
}

// runProfile runs a load profile against a new development set-up whose queues
// use the given policy.
func runProfile(b *testing.B, profile loadgen.Profile, policy func() admission.Policy) *loadgen.Result {
	b.Helper()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ready, ended := make(chan struct{}), make(chan error, 1)
	callers := freeAddress(b)
	options := DevOptions{
		Callers: callers, Hosts: freeAddress(b), Control: freeAddress(b), Database: "trade", Lag: 5 * time.Millisecond,
		Classes: []class.Class{
			{Name: "browsing", Wait: benchWait, Age: 5 * time.Second},
			{Name: "ordering", Wait: 10 * time.Second},
		},
		Policy: policy,
		Ready:  func() { close(ready) },
	}
	go func() { ended <- RunDev(ctx, options) }()
	select {
	case <-ready:
	case err := <-ended:
		b.Fatal(err)
	}
	assert.NilError(b, loadgen.Setup(ctx, callers, "trade"))
	result, err := loadgen.Run(ctx, loadgen.Options{
		Targets: []string{callers}, Database: "trade", Profile: profile, Sessions: 2000, Seed: benchSeed,
	})
	assert.NilError(b, err)
	stop()
	assert.NilError(b, <-ended)
	return result
}

func freeAddress(tb testing.TB) string {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(tb, err)
	defer l.Close()
	return l.Addr().String()
}
