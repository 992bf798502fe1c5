package emulation_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/emulation"
	"egretdrum.example/resource"
	"egretdrum.example/settings"
)

const content = `[emulation]
seed = 9
[workers]
heartbeat = 2s
[pool.rounds]
workers = 6
cores = 0.5
zones = zone-a, zone-b
[pool.idle]
standby = true
[queue.rounds]
host = rounds.example
prefix = /rounds/
pool = rounds
[account.arbiters]
keys = key-1, key-2
cores = 2.5
`

func parse(t *testing.T, content string) (*emulation.File, *emulation.Settings) {
	f, s, err := emulation.Parse("emulation.ini", []byte(content))
	qt.Assert(t, err, qt.IsNil)
	return f, s
}

// Guards against values that are read into the wrong place or unit, and against lost defaults.
func TestSettings(t *testing.T) {
	_, s := parse(t, content)
	qt.Assert(t, s.Seed, qt.Equals, int64(9))
	qt.Assert(t, s.Workers.Heartbeat, qt.Equals, 2*time.Second)
	qt.Assert(t, s.Workers.StopTime, qt.Equals, 900*time.Millisecond)
	qt.Assert(t, s.Pools, qt.HasLen, 2)
	qt.Assert(t, s.Pools[1].Capacity, qt.Equals, resource.Amount{CPU: 500, Memory: 8192})
	qt.Assert(t, s.Pools[1].Zones, qt.DeepEquals, []string{"zone-a", "zone-b"})
	c := s.Catalog(4)
	qt.Assert(t, c.Version, qt.Equals, int64(4))
	qt.Assert(t, c.Find("rounds.example", "/rounds/1").Pool, qt.Equals, "rounds")
	qt.Assert(t, c.ByKey("key-2").Limit, qt.Equals, resource.Amount{CPU: 2500})
	qt.Assert(t, c.Pools["idle"].Standby, qt.IsTrue)
}

// Guards against the example file that no longer loads.
func TestExample(t *testing.T) {
	_, _, err := emulation.Load("../examples/emulation.ini")
	qt.Assert(t, err, qt.IsNil)
}

// faults returns the places of the faults in an error, as SECTION.KEY.
func faults(t *testing.T, err error) []string {
	var all *settings.FaultsError
	qt.Assert(t, errors.As(err, &all), qt.IsTrue, qt.Commentf("%v", err))
	var places []string
	for _, f := range all.Faults {
		places = append(places, strings.Trim(f.Section+" "+f.Key, " "))
	}
	return places
}

// Guards against faulty settings that are accepted, and against a report that stops at the first fault.
func TestFaults(t *testing.T) {
	for name, c := range map[string]struct {
		old, new string
		want     []string
	}{
		"bad number":         {"workers = 6", "workers = many", []string{"pool.rounds workers"}},
		"bad duration":       {"heartbeat = 2s", "heartbeat = 2", []string{"workers heartbeat"}},
		"no rate":            {"heartbeat = 2s", "remote-factor = 0", []string{"workers remote-factor"}},
		"clock too slow":     {"heartbeat = 2s", "slowest-clock = 0.9", []string{"workers slowest-clock"}},
		"empty":              {"seed = 9", "seed =", []string{"emulation seed"}},
		"twice":              {"seed = 9", "seed = 9\nseed = 8", []string{"emulation seed"}},
		"public address":     {"seed = 9", "address = 192.0.2.1", []string{"emulation address"}},
		"port":               {"seed = 9", "control-port = 70000", []string{"emulation control-port"}},
		"unknown key":        {"seed = 9", "sead = 9", []string{"emulation sead"}},
		"unknown section":    {"[workers]", "[worker]", []string{"worker"}},
		"bad name":           {"[pool.idle]", "[pool.Idle pool]", []string{"pool.Idle pool"}},
		"outside":            {"[emulation]", "", []string{"seed"}},
		"missing":            {"prefix = /rounds/\n", "", []string{"queue.rounds prefix"}},
		"bad prefix":         {"/rounds/", "rounds", []string{"queue.rounds prefix"}},
		"unknown pool":       {"pool = rounds", "pool = other", []string{"queue.rounds pool"}},
		"same route":         {"[account.arbiters]", "[queue.other]\nhost = rounds.example\nprefix = /rounds/\npool = rounds\n[account.arbiters]", []string{"queue.rounds prefix"}},
		"key of two":         {"[account.arbiters]", "[account.other]\nkeys = key-1\n[account.arbiters]", []string{"account.other keys"}},
		"several, all shown": {"workers = 6\ncores = 0.5", "workers = x\ncores = y\nracks = 0", []string{"pool.rounds workers", "pool.rounds cores", "pool.rounds racks"}},
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := emulation.Parse("emulation.ini", []byte(strings.Replace(content, c.old, c.new, 1)))
			qt.Assert(t, faults(t, err), qt.DeepEquals, c.want)
		})
	}
	_, _, err := emulation.Parse("emulation.ini", nil)
	qt.Assert(t, faults(t, err), qt.HasLen, 1)
}

// Guards against changes that are lost, that stay after an error, or that reach other sections.
func TestChange(t *testing.T) {
	f, _ := parse(t, content)
	s, err := f.Change(map[string]map[string]string{"queue.rounds": {"max-attempts": "7"}, "account.new": {"keys": "key-9"}}, []string{"pool.idle"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, s.Queues[0].MaxAttempts, qt.Equals, 7)
	qt.Assert(t, s.Queues[0].Host, qt.Equals, "rounds.example")
	qt.Assert(t, s.Pools, qt.HasLen, 1)
	qt.Assert(t, s.Accounts, qt.HasLen, 2)
	_, err = f.Change(nil, []string{"pool.rounds"})
	qt.Assert(t, faults(t, err), qt.Contains, "queue.rounds pool")
	_, err = f.Change(map[string]map[string]string{"store": {"history": "1s"}}, nil)
	qt.Assert(t, faults(t, err), qt.DeepEquals, []string{"store"})
	s, err = f.Change(map[string]map[string]string{"queue.rounds": {"max-attempts": "8"}}, nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, s.Queues[0].MaxAttempts, qt.Equals, 8)
	qt.Assert(t, s.Pools, qt.HasLen, 1)
	qt.Assert(t, s.Accounts, qt.HasLen, 2)
}
