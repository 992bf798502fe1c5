package measure

import (
	"testing"

	"egretdrum.example/fleet"
	"egretdrum.example/wave"
)

// BenchmarkNext measures one tick of one wave on the document of the whole fleet.
func BenchmarkNext(b *testing.B) {
	p := newCyclePool(0)
	for n := range cyclePools {
		p.fill(n, fleet.Pool{MinAvailable: 8, MaxAbsentPerRack: 2})
	}
	for b.Loop() {
		p.watch.Observe(p.now, p.cfg, p.hosts)
		if changes, err := wave.Next(p.cfg, p.now, "x00", wave.Facts{Hosts: p.hosts}); err != nil || len(changes) != 8 {
			b.Fatal(len(changes), err)
		}
	}
}
