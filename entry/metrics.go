package entry

import (
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"egretdrum.example/meter"
	"egretdrum.example/refusal"
)

// metrics holds the metrics of the host. docs/OPERATIONS.md describes them.
type metrics struct {
	*meter.Meter
	attempts tally.Counter
	runTime  tally.Timer
}

func newMetrics() *metrics {
	m := meter.New()
	return &metrics{Meter: m, attempts: m.Scope.Counter("attempts_sent"), runTime: m.Scope.Timer("run_time")}
}

func (m *metrics) countAttempt()                 { m.attempts.Inc(1) }
func (m *metrics) recordRunTime(d time.Duration) { m.runTime.Record(d) }

func (m *metrics) countRefusal(reason refusal.Reason) { m.Count("refusals", "reason", string(reason)) }

func (m *metrics) gauge(name string, v float64) { m.Gauge(name, v) }

func (m *metrics) handler() http.Handler { return m.Handler() }
