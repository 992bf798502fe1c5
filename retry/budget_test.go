package retry

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes the seed, so that every run draws the same cases.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	m.Run()
}

// Guards against retries beyond 10% of the requests in the window plus 1 per second,
// and against a budget that refuses although the window has room.
func TestBudgetMatchesCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Budget
		var requests, retries []int64
		second := int64(1000)
		count := func(times []int64) (n int) {
			for _, s := range times {
				if s > second-window {
					n++
				}
			}
			return n
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			second += rapid.Int64Range(0, 12).Draw(t, "seconds")
			now := time.Unix(second, 0)
			for range rapid.IntRange(0, 40).Draw(t, "requests") {
				b.Request(now)
				requests = append(requests, second)
			}
			for range rapid.IntRange(0, 15).Draw(t, "retries") {
				want := count(retries)+1 <= count(requests)/10+10
				if got := b.Retry(now); got != want {
					t.Fatalf("second %d: retry allowed %v, expected %v", second, got, want)
				} else if got {
					retries = append(retries, second)
				}
			}
		}
	})
}
