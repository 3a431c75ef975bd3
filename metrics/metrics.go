// Package metrics sets up tally with a Prometheus endpoint and names the
// counters that several parts share.
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

// NewScope returns the root scope of a process and the handler of its
// Prometheus endpoint. Closing the closer flushes the scope.
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

// OrNoop returns scope, or a scope that drops everything if it is nil.
func OrNoop(scope tally.Scope) tally.Scope {
	if scope == nil {
		return tally.NoopScope
	}
	return scope
}

// Refused counts a request that was refused, by class and reason.
func Refused(scope tally.Scope, class string, reason fault.Reason) {
	byReason(scope, class, reason).Counter("refused_total").Inc(1)
}

// Retried counts a retry, by class and reason.
func Retried(scope tally.Scope, class string, reason fault.Reason) {
	byReason(scope, class, reason).Counter("retried_total").Inc(1)
}

func byReason(scope tally.Scope, class string, reason fault.Reason) tally.Scope {
	return scope.Tagged(map[string]string{"class": class, "reason": string(reason)})
}
