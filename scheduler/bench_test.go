package scheduler

import (
	"fmt"
	"testing"
	"time"

	"egretdrum.example/job"
)

// BenchmarkTick measures a pass of the scheduler after one end, with all workers full and
// as many waiting jobs as workers.
func BenchmarkTick(b *testing.B) {
	for _, workers := range []int{50, 350, 3500} {
		b.Run(fmt.Sprintf("%d workers", workers), func(b *testing.B) {
			g := newStage(workers)
			g.duration = time.Hour
			g.catalog.Accounts["arbiters"].Limit.CPU = 0
			for range 50 {
				g.step()
			}
			for n := range 2 * workers {
				g.submit(fmt.Sprintf("j%05d", n), job.Step{Count: 4, Need: small, Estimate: time.Second})
			}
			g.core.Tick(g.now)
			g.core.Take()
			b.ResetTimer()
			for b.Loop() {
				g.now = g.now.Add(time.Millisecond)
				g.core.changed["desk"] = true
				g.core.Tick(g.now)
				g.core.Take()
			}
		})
	}
}
