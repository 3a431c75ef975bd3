package proxy

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"
)

// maxUpstreamSeries bounds the upstreams with metrics of their own, because each has some
// 2 KB of them, which are kept until the process ends. Others share the name "other".
const maxUpstreamSeries = 256

// upstreamMetrics are the metrics of one upstream. Its parts are made once, because each
// look-up by tags allocates.
type upstreamMetrics struct {
	// outcomes counts the statements that were sent, by what became of them.
	outcomes [CodeOther + 1]tally.Counter
	// choice and forced count the statements of this proxy's callers that were served:
	// those that others of the group could have run, and those that only a primary
	// can run.
	choice, forced tally.Counter
	// expectedWait is what a read is expected to wait, and queueDelay how long statements
	// wait in the upstream's own queue.
	expectedWait, queueDelay tally.Gauge
}

// newUpstreamMetrics returns the metrics of an upstream to which commands go on a path:
// "direct" or "relay".
func newUpstreamMetrics(scope tally.Scope, upstreamID, path string) *upstreamMetrics {
	scope = scope.Tagged(map[string]string{"upstream": upstreamID})
	onPath := scope.Tagged(map[string]string{"path": path})
	m := &upstreamMetrics{expectedWait: onPath.Gauge("upstream_expected_wait_seconds"), queueDelay: onPath.Gauge("upstream_queue_delay_seconds")}
	for code := range m.outcomes {
		m.outcomes[code] = scope.Tagged(map[string]string{"path": path, "outcome": Code(code).outcome()}).Counter("upstream_statements_total")
	}
	served := func(choice bool) tally.Counter {
		return scope.Tagged(map[string]string{"choice": strconv.FormatBool(choice)}).Counter("upstream_served_total")
	}
	m.choice, m.forced = served(true), served(false)
	return m
}

// outcome names what became of a statement, for metrics.
func (c Code) outcome() string {
	switch c {
	case CodeNone:
		return "ran"
	case CodeBusy:
		return "busy"
	case CodeNoStatement:
		return "no_statement"
	case CodeLagging:
		return "lagging"
	case CodeReadOnly:
		return "not_primary"
	case CodeWrongUpstream:
		return "wrong_upstream"
	case CodeTooManyConnections:
		return "too_many_connections"
	case CodeNoConnection:
		return "no_connection"
	case CodeUnreachable:
		return "unreachable"
	default:
		return "failed"
	}
}

func (m *upstreamMetrics) countOutcome(code Code) {
	m.outcomes[min(max(code, CodeNone), CodeOther)].Inc(1)
}

func (m *upstreamMetrics) countServed(choice bool) {
	if choice {
		m.choice.Inc(1)
		return
	}
	m.forced.Inc(1)
}

func (m *upstreamMetrics) updateWait(wait time.Duration) { m.expectedWait.Update(wait.Seconds()) }

func (m *upstreamMetrics) updateQueueDelay(delay time.Duration) {
	m.queueDelay.Update(max(delay, 0).Seconds())
}

// upstreamMetricsLocked returns the metrics for a new pool. The caller holds the lock.
func (p *Proxy) upstreamMetricsLocked(upstreamID, path string) *upstreamMetrics {
	if !p.withMetrics[upstreamID] && len(p.withMetrics) >= maxUpstreamSeries {
		upstreamID = "other"
	}
	p.withMetrics[upstreamID] = true
	return newUpstreamMetrics(p.metrics, upstreamID, path)
}
