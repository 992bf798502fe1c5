package platformfake

import (
	"encoding/json"
	"net/http"
	"slices"

	"egretdrum.example/hostlist"
)

// RebootFault is a fault that affects the reboot of a worker.
type RebootFault int

// Faults of a reboot.
const (
	RebootNoFault RebootFault = iota
	// RebootNeverReturns: the worker does not come back.
	RebootNeverReturns
	// RebootBadState: the worker comes back in state bad and is not added to the host list.
	RebootBadState
	// RebootSlow: the worker comes back at the second call of FinishReboots.
	RebootSlow
)

// reboot is the last reboot of a worker. The host is kept so that it can be added to the
// list again.
type reboot struct {
	id, state string
	fault     RebootFault
	host      *hostlist.Host
	count     int
}

// SetRebootFault sets the fault of the next reboot of a worker.
func (p *Platform) SetRebootFault(worker string, f RebootFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rebootOf(worker).fault = f
}

// Reboots returns how often each worker was rebooted.
func (p *Platform) Reboots() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := make(map[string]int)
	for worker, r := range p.reboots {
		if r.count > 0 {
			counts[worker] = r.count
		}
	}
	return counts
}

// FinishReboots brings rebooting workers back, subject to their faults. Clients see them
// on the host list after PublishHosts.
func (p *Platform) FinishReboots() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.reboots {
		switch {
		case r.state != "rebooting" || r.fault == RebootNeverReturns:
		case r.fault == RebootSlow:
			r.fault = RebootNoFault
		case r.fault == RebootBadState:
			r.state = "bad"
		default:
			r.state = "up"
			if r.host != nil {
				p.hosts = append(p.hosts, *r.host)
			}
		}
	}
}

func (p *Platform) rebootOf(worker string) *reboot {
	if p.reboots == nil {
		p.reboots = make(map[string]*reboot)
	}
	if p.reboots[worker] == nil {
		p.reboots[worker] = &reboot{}
	}
	return p.reboots[worker]
}

func (p *Platform) reboot(w http.ResponseWriter, r *http.Request) {
	worker, id := r.PathValue("name"), r.URL.Query().Get("id")
	if id == "" {
		http.Error(w, "id is missing; accepted: a unique id of the order", http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	n := slices.IndexFunc(p.hosts, func(h hostlist.Host) bool { return h.Worker == worker })
	b := p.rebootOf(worker)
	if n < 0 && b.id != id {
		http.Error(w, "worker not found", http.StatusNotFound)
		return
	}
	if b.id != id {
		host := p.hosts[n]
		p.hosts = slices.Delete(p.hosts, n, n+1)
		b.id, b.state, b.host = id, "rebooting", &host
		b.count++
	}
	_ = json.NewEncoder(w).Encode(struct {
		State string `json:"state"`
	}{b.state})
}
