package evacuation

import (
	"fmt"
	"maps"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"egretdrum.example/property"
)

func TestMain(m *testing.M) { property.Main(m, "seed=1", "shrinktime=0s", "checks=2000") }

// Guards against an evacuation that is lost, or a restored zone that is evacuated again, by
// notices that are lost, late, repeated or overtaken by a list.
func TestNoticesConverge(t *testing.T) { rapid.Check(t, converge) }

// Guards against a property test that doesn't notice when a rule is missing.
func TestMutantsAreDetected(t *testing.T) {
	property.CheckMutants(t, map[string]*bool{
		"older notices replace newer ones":     &mutation.ignoreRevision,
		"zones that a list does not have stay": &mutation.keepMissing,
	}, func(t testing.TB) { rapid.Check(t, converge) })
}

// change is an evacuation or a restoration as the store has recorded it.
type change struct {
	zone      string
	evacuated bool
}

// converge changes zones in a store while a process learns of them by a watch whose events may be
// lost or repeated, by late notices, and by lists of which each page has its own time.
func converge(t *rapid.T) {
	var history []change // the change at index i has revision i+1
	truth := make(map[string]int64)
	var z Zones
	// known is the number of changes that the process has certainly heard of.
	known := 0
	check := func(t *rapid.T, after string) {
		if got := z.Evacuated(); known == len(history) && !maps.Equal(got, truth) {
			t.Fatalf("after %s: %v, in the store %v", after, got, truth)
		}
	}
	write := func(t *rapid.T) {
		c := change{fmt.Sprintf("zone-%d", rapid.IntRange(0, 2).Draw(t, "zone")), rapid.Bool().Draw(t, "evacuated")}
		if _, evacuated := truth[c.zone]; evacuated == c.evacuated {
			return
		}
		history = append(history, c)
		if c.evacuated {
			truth[c.zone] = int64(len(history))
		} else {
			delete(truth, c.zone)
		}
	}
	read := func(t *rapid.T) {
		// The list is read over two pages with a change in between; the revision is that of the
		// first one, from which the watch goes on.
		from, listed := int64(len(history)), make(map[string]int64)
		for _, zone := range []string{"zone-0", "zone-1", "zone-2"} {
			if revision, ok := truth[zone]; ok {
				listed[zone] = revision
			}
			if zone == "zone-1" {
				write(t)
			}
		}
		z.Listed(listed, from)
		for revision := from; revision < int64(len(history)); revision++ {
			z.Set(history[revision].zone, history[revision].evacuated, revision+1)
		}
		known = len(history)
		check(t, "a list and the events since")
	}
	t.Repeat(map[string]func(*rapid.T){
		"write": write,
		"read":  read,
		"late notice": func(t *rapid.T) {
			if n := rapid.IntRange(0, len(history)).Draw(t, "revision"); n > 0 {
				z.Set(history[n-1].zone, history[n-1].evacuated, int64(n))
			}
			check(t, "a late notice")
		},
	})
}

// Guards against a key without a zone that bars all workers whose zone is not known.
func TestNamelessZoneIsIgnored(t *testing.T) {
	var z Zones
	qt.Assert(t, z.Set("", true, 1), qt.IsFalse)
	qt.Assert(t, z.Evacuated(), qt.HasLen, 0)
}
