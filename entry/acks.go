package entry

import (
	"sync"
	"time"
)

// pushTimeout bounds the wait for acknowledgements of a change. Hosts that do not answer in
// time learn of the change from the next heartbeats.
const pushTimeout = time.Second

// acks holds the newest configuration version that each peer has acknowledged.
type acks struct {
	mu       sync.Mutex
	versions map[string]uint64
	updated  chan struct{}
}

func newAcks() *acks {
	return &acks{versions: make(map[string]uint64), updated: make(chan struct{})}
}

func (a *acks) record(peer string, version uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if version <= a.versions[peer] {
		return
	}
	a.versions[peer] = version
	close(a.updated)
	a.updated = make(chan struct{})
}

func (a *acks) version(peer string) uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.versions[peer]
}

// changed returns a channel that is closed at the next acknowledgement.
func (a *acks) changed() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.updated
}
