// Package meter collects the metrics of an entry host and serves them as text.
package meter

import (
	"io"
	"net/http"
	"time"

	promclient "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const reportInterval = time.Second

// Meter holds the metrics of one host.
type Meter struct {
	// Scope creates counters, gauges and timers.
	Scope    tally.Scope
	reporter prometheus.Reporter
	closer   io.Closer
}

// New returns an empty meter. Each meter has its own registry, so that several hosts can
// run in one process, as in the demo.
func New() *Meter {
	registry := promclient.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "egretdrum", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportInterval)
	return &Meter{Scope: scope, reporter: reporter, closer: closer}
}

// Close stops reporting.
func (m *Meter) Close() error { return m.closer.Close() }

// Count increments the counter name with the tag set to value.
func (m *Meter) Count(name, tag, value string) {
	m.Scope.Tagged(map[string]string{tag: value}).Counter(name).Inc(1)
}

// Gauge sets the gauge name to v.
func (m *Meter) Gauge(name string, v float64) { m.Scope.Gauge(name).Update(v) }

// Handler serves the metrics in the Prometheus text format.
func (m *Meter) Handler() http.Handler { return m.reporter.HTTPHandler() }
