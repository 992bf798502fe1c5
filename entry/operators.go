package entry

import (
	"net/http"
	"net/http/pprof"
	"strconv"
	"time"

	"egretdrum.example/operator"
)

// operatorHandler serves the operator API, the readiness check, metrics and profiles. They
// are reachable at the operator address only.
func (h *Host) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", h.api.Handler())
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !h.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
	})
	mux.Handle("GET /metrics", h.metrics.handler())
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
	return mux
}

// updateGauges sets the gauges to the present values. It runs once a second, because the
// reporter passes values on at that interval.
func (h *Host) updateGauges() {
	now := time.Now()
	live, lost := h.node.Peers(now)
	h.metrics.gauge("running", float64(h.node.Running()))
	h.metrics.gauge("waiting", float64(h.node.Waiting()))
	h.metrics.gauge("peers_live", float64(len(live)))
	h.metrics.gauge("peers_lost", float64(len(lost)))
	h.metrics.gauge("config_version", float64(h.ConfigVersion()))
	h.metrics.gauge("epoch", float64(h.node.Epoch().Number))
	h.metrics.gauge("store_calls", float64(h.store.Calls()))
	admitting := 0.0
	if h.node.MayAdmit(now) {
		admitting = 1
	}
	h.metrics.gauge("admitting", admitting)
}

// status returns the status from the configuration, with the members and the present use of
// each team added.
func (h *Host) status() operator.Status {
	now := time.Now()
	s := operator.StatusOf(h.configManager.Config())
	s.Host, s.Epoch = h.self.Name, h.node.Epoch().Number
	live, _ := h.node.Peers(now)
	isLive := map[string]bool{}
	for _, name := range live {
		isLive[name] = true
	}
	for _, m := range h.node.Epoch().Members {
		status := operator.MemberStatus{Name: m.Name, Zone: m.Zone, Version: max(h.acks.version(m.Name), h.node.ConfigOf(m.Name)), Admitting: isLive[m.Name]}
		if m.Name == h.self.Name {
			status.Version, status.Admitting = h.ConfigVersion(), h.node.MayAdmit(now)
		}
		s.Members = append(s.Members, status)
	}
	for n := range s.Teams {
		s.Teams[n].Running, s.Teams[n].Waiting = h.node.TeamUse(s.Teams[n].Name)
	}
	return s
}

// explain returns the explanation from the configuration, with what this host knows added.
func (h *Host) explain(kind, name string) (operator.Explanation, error) {
	if kind == operator.KindRequest {
		refused, ok := h.recentRefusals.find(name)
		if !ok {
			return operator.Explanation{}, &operator.NotFoundError{Kind: kind, Name: name, Reason: "this entry host refused no such request lately"}
		}
		return operator.Explanation{Kind: kind, Name: name, Summary: "refused: " + refused.text, Facts: []operator.Fact{{Name: "team", Value: refused.team}}}, nil
	}
	e, err := operator.ExplanationOf(h.configManager.Config(), kind, name)
	if err != nil || kind != operator.KindTeam {
		return e, err
	}
	running, waiting := h.node.TeamUse(name)
	held := h.node.HeldCredits(name)
	e.Facts = append(e.Facts,
		operator.Fact{Name: "running here", Value: strconv.Itoa(running)},
		operator.Fact{Name: "waiting here", Value: strconv.Itoa(waiting)},
		operator.Fact{Name: "credits held here", Value: strconv.Itoa(held)})
	return e, nil
}
