package entry

import "sync"

// maxRecentRefusals is the number of latest refusals that can be explained; 4,096 of them
// need about 1 MB.
const maxRecentRefusals = 4096

// recentRefusals holds the reasons of the latest refusals, by request id. The ids form a ring
// buffer, so that a new refusal replaces the oldest one.
type recentRefusals struct {
	mu   sync.Mutex
	byID map[string]refusedRequest
	ids  []string
	next int
}

type refusedRequest struct{ team, text string }

func newRecentRefusals() *recentRefusals {
	return &recentRefusals{byID: make(map[string]refusedRequest), ids: make([]string, maxRecentRefusals)}
}

func (r *recentRefusals) add(id, team, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byID, r.ids[r.next])
	r.ids[r.next] = id
	r.next = (r.next + 1) % maxRecentRefusals
	r.byID[id] = refusedRequest{team, text}
}

func (r *recentRefusals) find(id string) (refusedRequest, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	refused, ok := r.byID[id]
	return refused, ok
}
