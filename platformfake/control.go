package platformfake

import (
	"encoding/json"
	"net/http"
	"time"

	"egretdrum.example/hostlist"
)

// control is the body of PUT /stand-in/faults. It replaces all faults.
type control struct {
	Down   bool          `json:"down"`
	Paused bool          `json:"paused"`
	Stale  bool          `json:"stale"`
	Delay  time.Duration `json:"delay"`
	// LoseWrites is the number of writes that take effect without an answer; LoseKey
	// limits them to one key.
	LoseWrites int    `json:"lose-writes"`
	LoseKey    string `json:"lose-key"`
}

// Control returns the control interface for tests and trials: PUT /stand-in/faults sets
// the faults, PUT /stand-in/hosts replaces and publishes the list of hosts. The faults do
// not affect it.
func (p *Platform) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /stand-in/faults", func(w http.ResponseWriter, r *http.Request) {
		var c control
		if !decode(w, r, &c) {
			return
		}
		p.SetDelay(c.Delay)
		p.SetStale(c.Stale)
		p.LoseWritesOf(c.LoseKey, c.LoseWrites)
		p.SetDown(c.Down)
		p.SetPaused(c.Paused)
	})
	mux.HandleFunc("PUT /stand-in/hosts", func(w http.ResponseWriter, r *http.Request) {
		var hosts []hostlist.Host
		if !decode(w, r, &hosts) {
			return
		}
		p.SetHosts(hosts)
		p.PublishHosts()
	})
	return mux
}

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
