package entry

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"go.uber.org/zap"

	"egretdrum.example/fleet"
	"egretdrum.example/hostlist"
	"egretdrum.example/refusal"
	"egretdrum.example/teamkey"
)

// serveCaller runs one request: check, authenticate, choose a minion, send, relay.
func (h *Host) serveCaller(w http.ResponseWriter, r *http.Request) {
	req, err := parseRequest(r, time.Now())
	if err != nil {
		refusal.BadRequest.Write(w, req.id, refusal.RunNo, err.Error(), 0)
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
		refusal.Reason(reason).Write(w, req.id, refusal.RunNo, "the request needs a key that is in force", 0)
		return
	}
	host, ok := h.pick(cfg, service)
	if !ok {
		refusal.NoMinion.Write(w, req.id, refusal.RunNo, "no minion of "+req.service+" is available", time.Second)
		return
	}
	defer h.release(host.Worker)
	h.relay(w, r, req, team, host)
}

// authenticate returns the team of the key, or the reason for a refusal.
func authenticate(cfg *fleet.Config, s fleet.Service, secret string) (string, refusal.Reason) {
	if secret == "" {
		if s.Open {
			return "", ""
		}
		return "", refusal.KeyMissing
	}
	id, ok := teamkey.ID(secret)
	if !ok {
		return "", refusal.KeyUnknown
	}
	for team, c := range cfg.Contracts {
		for _, k := range c.Keys {
			if k.ID == id && k.Verify(secret) {
				return team, ""
			}
		}
	}
	return "", refusal.KeyUnknown
}

func (h *Host) pick(cfg *fleet.Config, s fleet.Service) (hostlist.Host, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var best hostlist.Host
	found := false
	for _, host := range h.hosts {
		if host.Leaving || cfg.Workers[host.Worker].Pool != s.Pool || h.running[host.Worker] >= host.Slots {
			continue
		}
		if !found || h.running[host.Worker] < h.running[best.Worker] {
			best, found = host, true
		}
	}
	if found {
		h.running[best.Worker]++
	}
	return best, found
}

func (h *Host) release(worker string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running[worker]--
}

func (h *Host) relay(w http.ResponseWriter, r *http.Request, req request, team string, host hostlist.Host) {
	ctx, cancel := context.WithDeadline(r.Context(), req.deadline)
	defer cancel()
	out := r.Clone(ctx)
	out.Header.Del(refusal.HeaderKey)
	out.Header.Set(refusal.HeaderRequestID, req.id)
	out.Header.Set(refusal.HeaderTeam, team)
	out.Header.Set(refusal.HeaderTimeout, time.Until(req.deadline).String())
	out.URL = &url.URL{Path: req.path, RawQuery: r.URL.RawQuery}
	resp, err := h.minions.Do(ctx, host.Address, out)
	if err != nil {
		h.log.Warn("request-failed", zap.String("request-id", req.id), zap.String("worker", host.Worker), zap.Error(err))
		refusal.OutcomeUnknown.Write(w, req.id, refusal.RunUnknown, "the minion gave no answer", 0)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	for name, values := range resp.Header {
		w.Header()[name] = values
	}
	w.Header().Set(refusal.HeaderRequestID, req.id)
	w.Header().Set(refusal.HeaderRun, refusal.RunYes)
	w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(w, resp.Body); err != nil {
		// An answer that broke off must not look whole to the caller.
		panic(http.ErrAbortHandler)
	}
}
