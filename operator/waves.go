package operator

import (
	"context"
	"net/http"
	"time"

	"egretdrum.example/hostlist"
	"egretdrum.example/wave"
)

// Waves reads the progress of all waves.
func Waves(ctx context.Context, base string) (map[string]wave.Progress, error) {
	var progress map[string]wave.Progress
	err := call(ctx, http.MethodGet, base+"/waves", nil, &progress)
	return progress, err
}

func (a *API) waves(w http.ResponseWriter, r *http.Request) {
	list, err := a.hostList(r.Context())
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, err)
		return
	}
	progress := make(map[string]wave.Progress)
	cfg := a.manager.Config()
	for name := range cfg.Waves {
		progress[name] = wave.ProgressOf(cfg, time.Now().UTC(), name, list)
	}
	writeJSON(w, http.StatusOK, progress)
}

// hostList returns the host list by worker, empty if this API has none.
func (a *API) hostList(ctx context.Context) (map[string]hostlist.Host, error) {
	list := make(map[string]hostlist.Host)
	if a.Hosts == nil {
		return list, nil
	}
	hosts, err := a.Hosts(ctx)
	for _, h := range hosts {
		list[h.Worker] = h
	}
	return list, err
}
