package entry

import (
	"net/http"
	"time"

	"egretdrum.example/fleet"
	"egretdrum.example/refusal"
)

// serveCaller checks and authenticates one request and runs its exchange.
func (h *Host) serveCaller(w http.ResponseWriter, r *http.Request) {
	if h.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	req, err := parseRequest(r, time.Now())
	if err != nil {
		refusal.BadRequest.Write(w, req.id, refusal.RunNo, err.Error(), 0)
		return
	}
	if h.stopping.Load() {
		refusal.Draining.Write(w, req.id, refusal.RunNo, "this entry host is stopping", time.Second)
		return
	}
	cfg := h.keeper.Config()
	service, ok := cfg.Services[req.service]
	if !ok {
		refusal.ServiceUnknown.Write(w, req.id, refusal.RunNo, "no service "+req.service, 0)
		return
	}
	team, reason := authenticate(cfg, service, req.secret)
	if reason != "" {
		reason.Write(w, req.id, refusal.RunNo, "the request needs a key that is in force", 0)
		return
	}
	x := &exchange{host: h, w: w, r: r, request: req, team: team, pool: service.Pool}
	x.run()
}

// openTeam is the team of requests without a key to services that are open to all. It
// has no contract, so its limit is that of the service's open contract.
const openTeam = "open"

// authenticate returns the team of the key, or the reason for a refusal.
func authenticate(cfg *fleet.Config, s fleet.Service, secret string) (string, refusal.Reason) {
	if secret == "" {
		if s.Open {
			return openTeam, ""
		}
		return "", refusal.KeyMissing
	}
	team, ok := cfg.Authenticate(secret)
	if !ok {
		return "", refusal.KeyUnknown
	}
	return team, ""
}
