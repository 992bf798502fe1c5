package entry

import (
	"sync"
	"time"

	"egretdrum.example/retry"
)

// retryBudgets holds the retry budget of each team.
type retryBudgets struct {
	mu     *sync.Mutex
	byTeam map[string]*retry.Budget
}

func newRetryBudgets() retryBudgets {
	return retryBudgets{mu: &sync.Mutex{}, byTeam: make(map[string]*retry.Budget)}
}

func (b retryBudgets) recordRequest(team string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(team).Request(now)
}

func (b retryBudgets) allowRetry(team string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(team).Retry(now)
}

func (b retryBudgets) budget(team string) *retry.Budget {
	if b.byTeam[team] == nil {
		b.byTeam[team] = &retry.Budget{}
	}
	return b.byTeam[team]
}
