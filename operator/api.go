// Package operator is the HTTP interface for operators on an entry host, with its client.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"egretdrum.example/change"
	"egretdrum.example/fleet"
	"egretdrum.example/rollout"
)

const maxChangeBytes = 1 << 20

// API answers operators' requests.
type API struct {
	keeper *rollout.Keeper
	// Push sends an accepted version to the other entry hosts and returns those that
	// have not acknowledged it yet.
	Push func(ctx context.Context, cfg *fleet.Config) (behind []string)
}

// New returns an API on top of keeper.
func New(keeper *rollout.Keeper) *API {
	return &API{keeper: keeper, Push: func(context.Context, *fleet.Config) []string { return nil }}
}

// Handler returns the HTTP interface.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /config", a.config)
	mux.HandleFunc("POST /changes", a.accept)
	mux.HandleFunc("GET /audit", a.audit)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	return mux
}

func (a *API) config(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, a.keeper.Config())
}

func (a *API) accept(w http.ResponseWriter, r *http.Request) {
	var c change.Change
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxChangeBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	cfg, err := a.keeper.Accept(r.Context(), c)
	if err != nil {
		writeError(w, statusOf(err), err)
		return
	}
	writeJSON(w, http.StatusOK, struct {
		Version uint64   `json:"version"`
		Behind  []string `json:"behind"`
	}{cfg.Version, a.Push(r.Context(), cfg)})
}

func (a *API) audit(w http.ResponseWriter, r *http.Request) {
	trail, err := a.keeper.Audit(r.Context())
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, err)
		return
	}
	writeJSON(w, http.StatusOK, trail)
}

func statusOf(err error) int {
	var conflict *fleet.ConflictError
	var accept *rollout.AcceptError
	switch {
	case errors.As(err, &conflict):
		return http.StatusConflict
	case errors.As(err, &accept):
		return http.StatusServiceUnavailable
	default:
		return http.StatusUnprocessableEntity
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, status int, err error) {
	writeJSON(w, status, struct {
		Error string `json:"error"`
	}{err.Error()})
}
