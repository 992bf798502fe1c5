// Package operator implements the HTTP API that an entry host offers to operators, and a client
// for it.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"egretdrum.example/change"
	"egretdrum.example/fleet"
	"egretdrum.example/hostlist"
	"egretdrum.example/rollout"
)

const maxChangeBytes = 1 << 20

var errInvalidVersion = errors.New("version is missing or not a number; accepted: /behind?version=N")

// API serves the requests of operators.
type API struct {
	manager *rollout.ConfigManager
	// Push sends an accepted version to the other entry hosts and returns those that
	// have not acknowledged it yet.
	Push func(ctx context.Context, cfg *fleet.Config) (lagging []string)
	// Admitting returns an error when this entry host must not accept changes, because
	// the other hosts could not learn of them in time. If it is nil, changes are accepted.
	Admitting func() error
	// LaggingHosts returns the entry hosts that do not have version yet. If it is nil, the
	// answer covers only this entry host.
	LaggingHosts func(ctx context.Context, version uint64) ([]string, error)
	// Status returns the state of the fleet. If it is nil, the answer is StatusOf the
	// configuration.
	Status func(ctx context.Context) (Status, error)
	// Explain explains an object; a team name is passed fully qualified. If it is nil, the
	// answer is ExplanationOf the configuration.
	Explain func(ctx context.Context, kind, name string) (Explanation, error)
	// Hosts reads the platform's host list. If it is nil, the list counts as empty.
	Hosts func(ctx context.Context) ([]hostlist.Host, error)
}

// answeringHost names the answering entry host in the list of lagging hosts.
const answeringHost = "the answering entry host"

// New returns an API for the configuration that manager holds.
func New(manager *rollout.ConfigManager) *API {
	return &API{manager: manager, Push: func(context.Context, *fleet.Config) []string { return nil }}
}

// Handler returns the HTTP interface.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /config", a.config)
	mux.HandleFunc("POST /changes", a.acceptChange)
	mux.HandleFunc("GET /audit", a.audit)
	mux.HandleFunc("GET /behind", a.lagging)
	mux.HandleFunc("GET /status", a.status)
	mux.HandleFunc("GET /waves", a.waves)
	mux.HandleFunc("GET /explain/{kind}/{name...}", a.explain)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	return mux
}

func (a *API) config(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, a.manager.Config())
}

func (a *API) acceptChange(w http.ResponseWriter, r *http.Request) {
	var c change.Change
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxChangeBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	if a.Admitting != nil {
		if err := a.Admitting(); err != nil {
			writeError(w, http.StatusServiceUnavailable, err)
			return
		}
	}
	cfg, err := a.manager.Accept(r.Context(), c)
	if err != nil {
		writeError(w, httpStatus(err), err)
		return
	}
	writeJSON(w, http.StatusOK, lagAnswer{Version: cfg.Version, Lagging: a.Push(r.Context(), cfg)})
}

func (a *API) audit(w http.ResponseWriter, r *http.Request) {
	trail, err := a.manager.Audit(r.Context())
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, err)
		return
	}
	writeJSON(w, http.StatusOK, trail)
}

func (a *API) lagging(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, errInvalidVersion)
		return
	}
	lagging := []string{}
	switch {
	case a.LaggingHosts != nil:
		lagging, err = a.LaggingHosts(r.Context(), version)
	case a.manager.Config().Version < version:
		lagging = []string{answeringHost}
	}
	respond(w, lagAnswer{Version: version, Lagging: lagging}, err)
}

func (a *API) status(w http.ResponseWriter, r *http.Request) {
	if a.Status == nil {
		writeJSON(w, http.StatusOK, StatusOf(a.manager.Config()))
		return
	}
	s, err := a.Status(r.Context())
	respond(w, s, err)
}

func (a *API) explain(w http.ResponseWriter, r *http.Request) {
	kind, name := r.PathValue("kind"), r.PathValue("name")
	var err error
	switch kind {
	case KindRequest, KindHost, KindMove, KindWave, KindZone:
	case KindTeam:
		name, err = a.manager.Config().Resolve(change.KindContract, name)
	default:
		err = &NotFoundError{Kind: kind, Name: name, Reason: "is not a kind that can be explained; accepted: request, host, team, move, wave, zone"}
	}
	if err != nil {
		writeError(w, httpStatus(err), err)
		return
	}
	explain := a.Explain
	if explain == nil {
		explain = func(_ context.Context, kind, name string) (Explanation, error) {
			return ExplanationOf(a.manager.Config(), kind, name)
		}
	}
	if kind == KindWave {
		explain = func(ctx context.Context, _, name string) (Explanation, error) { return a.explainWave(ctx, name) }
	}
	e, err := explain(r.Context(), kind, name)
	if err == nil && (kind == KindHost || kind == KindMove || kind == KindWave) {
		a.addHistory(r.Context(), &e)
	}
	respond(w, e, err)
}

func httpStatus(err error) int {
	var conflict *fleet.ConflictError
	var accept *rollout.ConfigError
	var missing *NotFoundError
	switch {
	case errors.As(err, &conflict):
		return http.StatusConflict
	case errors.As(err, &accept):
		return http.StatusServiceUnavailable
	case errors.As(err, &missing):
		return http.StatusNotFound
	default:
		return http.StatusUnprocessableEntity
	}
}

// lagAnswer lists the entry hosts that do not have a version yet.
type lagAnswer struct {
	Version uint64   `json:"version"`
	Lagging []string `json:"behind"`
}

// respond answers with v, or with err if there is one.
func respond(w http.ResponseWriter, v any, err error) {
	if err != nil {
		writeError(w, httpStatus(err), err)
		return
	}
	writeJSON(w, http.StatusOK, v)
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
