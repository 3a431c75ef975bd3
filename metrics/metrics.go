// Package metrics sets up tally with a Prometheus endpoint for the daemons, and
// defines the counters that several packages use.
package metrics

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"lovageslip/fault"
)

const reportInterval = time.Second

// NewScope returns the root scope of a process, the handler of its Prometheus
// endpoint, and a closer that flushes the scope.
func NewScope() (tally.Scope, http.Handler, io.Closer) {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "lovageslip",
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportInterval)
	return scope, promhttp.HandlerFor(registry, promhttp.HandlerOpts{}), closer
}

// OrNoop returns scope, or a scope that discards all metrics if scope is nil.
func OrNoop(scope tally.Scope) tally.Scope {
	if scope == nil {
		return tally.NoopScope
	}
	return scope
}

// CountRefusal counts a request that was refused, by class and reason.
func CountRefusal(scope tally.Scope, class string, reason fault.Reason) {
	taggedByReason(scope, class, reason).Counter("refused_total").Inc(1)
}

// CountRetry counts a retry, by class and reason.
func CountRetry(scope tally.Scope, class string, reason fault.Reason) {
	taggedByReason(scope, class, reason).Counter("retried_total").Inc(1)
}

func taggedByReason(scope tally.Scope, class string, reason fault.Reason) tally.Scope {
	return scope.Tagged(map[string]string{"class": class, "reason": string(reason)})
}
