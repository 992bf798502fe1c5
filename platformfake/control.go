package platformfake

import (
	"encoding/json"
	"net/http"
	"time"

	"egretdrum.example/hostlist"
)

// faultRequest is the body of PUT /stand-in/faults. It replaces all faults.
type faultRequest struct {
	Down   bool          `json:"down"`
	Paused bool          `json:"paused"`
	Stale  bool          `json:"stale"`
	Delay  time.Duration `json:"delay"`
	// LoseWriteResponses is the number of writes that take effect without a response; LoseKey
	// restricts them to one key.
	LoseWriteResponses int    `json:"lose-writes"`
	LoseKey            string `json:"lose-key"`
}

// Control returns the control interface for tests and trials: PUT /stand-in/faults sets
// the faults, PUT /stand-in/hosts replaces and publishes the list of hosts. The control
// interface is not affected by the faults.
func (p *Platform) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /stand-in/faults", func(w http.ResponseWriter, r *http.Request) {
		var f faultRequest
		if !decodeJSON(w, r, &f) {
			return
		}
		p.SetDelay(f.Delay)
		p.SetStale(f.Stale)
		p.LoseWriteResponsesOf(f.LoseKey, f.LoseWriteResponses)
		p.SetDown(f.Down)
		p.SetPaused(f.Paused)
	})
	mux.HandleFunc("PUT /stand-in/hosts", func(w http.ResponseWriter, r *http.Request) {
		var hosts []hostlist.Host
		if !decodeJSON(w, r, &hosts) {
			return
		}
		p.SetHosts(hosts)
		p.PublishHosts()
	})
	return mux
}

func decodeJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
