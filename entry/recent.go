package entry

import "sync"

// recentRefusals bounds the refusals that can be explained; 4,096 of them take about 1 MB.
const recentRefusals = 4096

// recent remembers why the latest refused requests were refused.
type recent struct {
	mu    sync.Mutex
	notes map[string]note
	order []string
	next  int
}

type note struct{ team, text string }

func newRecent() *recent {
	return &recent{notes: make(map[string]note), order: make([]string, recentRefusals)}
}

func (r *recent) note(id, team, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.notes, r.order[r.next])
	r.order[r.next] = id
	r.next = (r.next + 1) % recentRefusals
	r.notes[id] = note{team, text}
}

func (r *recent) find(id string) (note, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n, ok := r.notes[id]
	return n, ok
}
