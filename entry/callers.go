package entry

import (
	"net/http"
	"strings"
	"time"

	"egretdrum.example/fleet"
	"egretdrum.example/refusal"
)

// serveCaller validates and authenticates one request and runs its exchange.
func (h *Host) serveCaller(w http.ResponseWriter, r *http.Request) {
	if h.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	req, err := parseRequest(r, time.Now())
	if err != nil {
		h.refuse(w, req.id, refusal.BadRequest, err.Error(), 0)
		return
	}
	if h.stopping.Load() {
		h.refuse(w, req.id, refusal.Draining, "this entry host is stopping", time.Second)
		return
	}
	cfg := h.configManager.Config()
	service, ok := cfg.Services[req.service]
	if !ok {
		h.refuse(w, req.id, refusal.ServiceUnknown, "no service "+req.service, 0)
		return
	}
	team, reason := authenticate(cfg, req.service, req.secret)
	if reason != "" {
		h.refuse(w, req.id, reason, "the request needs a key that is in force", 0)
		return
	}
	x := &exchange{host: h, w: w, r: r, request: req, team: team, pool: service.Pool}
	x.run()
}

// refuse answers a request that did not become an exchange. The refusal is counted but not
// logged, so that callers without a key cannot fill the log.
func (h *Host) refuse(w http.ResponseWriter, id string, reason refusal.Reason, detail string, after time.Duration) {
	h.metrics.countRefusal(reason)
	reason.Write(w, id, refusal.RunNo, detail, after)
}

// openTeam is the name, without the side, of the team that requests without a key belong to
// at open services. Its contract, for example tengri/open, needs no keys; it bounds what
// unauthenticated callers may run.
const openTeam = "open"

// authenticate returns the team that the key belongs to, or the reason for a refusal.
func authenticate(cfg *fleet.Config, service, secret string) (string, refusal.Reason) {
	if secret == "" {
		side, _, _ := strings.Cut(service, "/")
		team := side + "/" + openTeam
		if _, ok := cfg.Contracts[team]; ok && cfg.Services[service].Open {
			return team, ""
		}
		return "", refusal.KeyMissing
	}
	team, ok := cfg.Authenticate(secret)
	if !ok {
		return "", refusal.KeyUnknown
	}
	return team, ""
}
