package entry

import (
	"net/http"
	"time"

	promclient "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"egretdrum.example/refusal"
)

const reportInterval = time.Second

// meter holds the metrics of the host. docs/operations.md explains each of them.
type meter struct {
	scope    tally.Scope
	reporter prometheus.Reporter
	attempts tally.Counter
	runTime  tally.Timer
}

func newMeter() *meter {
	// A registry of its own lets several hosts run in one process, as in the demo.
	registry := promclient.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "egretdrum", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportInterval)
	return &meter{
		scope: scope, reporter: reporter,
		attempts: scope.Counter("attempts_sent"),
		runTime:  scope.Timer("run_time"),
	}
}

func (m *meter) sent()               { m.attempts.Inc(1) }
func (m *meter) ran(d time.Duration) { m.runTime.Record(d) }

func (m *meter) refused(reason refusal.Reason) {
	m.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("refusals").Inc(1)
}

func (m *meter) gauge(name string, v float64) { m.scope.Gauge(name).Update(v) }

func (m *meter) handler() http.Handler { return m.reporter.HTTPHandler() }
