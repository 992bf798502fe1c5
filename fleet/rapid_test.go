package fleet

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"egretdrum.example/change"
	"egretdrum.example/contract"
	"egretdrum.example/property"
	"egretdrum.example/teamkey"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.nofailfile": "true", "rapid.shrinktime": "0s"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// model is the oracle: it holds only the objects and implements the rules a second time, in
// the simplest way.
type model map[string]json.RawMessage

func (m model) each(kind string, v any, visit func(name string)) {
	for key, raw := range m {
		if name, ok := strings.CutPrefix(key, kind+" "); ok {
			if json.Unmarshal(raw, v) != nil {
				panic("the oracle holds only valid objects")
			}
			visit(name)
		}
	}
}

func (m model) valid() bool {
	ok, shares, serving, ids := true, int64(0), map[string]int{}, map[string]bool{}
	pool := func(name string) { ok = ok && m["pool "+name] != nil }
	var w Worker
	m.each("worker", &w, func(string) {
		pool(w.Pool)
		if v := w.Move; v != nil {
			pool(v.From)
			pool(v.To)
			ok = ok && w.Leaving && v.From != v.To && w.Pool == map[MoveStep]string{MoveDraining: v.From, MoveHandedOver: v.To}[v.Step]
		}
		if !w.Leaving {
			serving[w.Pool]++
		}
		w = Worker{}
	})
	var s Service
	m.each("service", &s, func(string) { pool(s.Pool) })
	var p Pool
	m.each("pool", &p, func(name string) { ok = ok && p.MinAvailable >= 0 && p.MinAvailable <= serving[name] })
	var z Zone
	m.each("zone", &z, func(string) { ok = ok && !z.Since.IsZero(); z = Zone{} })
	waves := map[string]bool{}
	var v Wave
	m.each("wave", &v, func(string) {
		for _, worker := range v.Workers {
			ok = ok && (v.State == WaveEnded || !waves[worker])
			waves[worker] = waves[worker] || v.State != WaveEnded
		}
		v = Wave{}
	})
	var c contract.Contract
	m.each("contract", &c, func(name string) {
		ok = ok && c.Team == name && c.Limit >= 1
		shares += c.Share
		for _, k := range c.Keys {
			ok = ok && !ids[k.ID]
			ids[k.ID] = true
		}
		c = contract.Contract{}
	})
	return ok && shares <= contract.ShareWhole
}

var candidates = map[string][]any{
	"pool a/p": {Pool{}, Pool{}, Pool{MinAvailable: 1}, Pool{MinAvailable: 9}}, "pool b/p": {Pool{}, Pool{MinAvailable: -1}},
	"service a/s": {Service{Pool: "a/p"}, Service{Pool: "b/p", Open: true}, Service{Pool: "a/none"}},
	"worker w1":   {Worker{Pool: "a/p"}, Worker{Pool: "b/p", Slots: 8}, Worker{Pool: "a/p", Leaving: true}},
	"worker w3": {
		Worker{Pool: "a/p"},
		Worker{Pool: "a/p", Leaving: true, Move: &Move{ID: "m", From: "a/p", To: "b/p", Step: MoveDraining}},
		Worker{Pool: "a/p", Leaving: true, Move: &Move{ID: "m", From: "a/p", To: "b/p", Step: MoveHandedOver}},
		Worker{Pool: "b/p", Move: &Move{ID: "m", From: "a/p", To: "b/p", Step: MoveHandedOver}},
	},
	"zone north": {Zone{Since: time.Unix(1, 0).UTC()}, Zone{Reason: "no time"}},
	"wave x":     {testWave(WaveRunning, "w1", "w2"), testWave(WaveEnded, "w1")},
	"wave y":     {testWave(WavePaused, "w2"), testWave(WaveRunning, "w3")},
	"worker w2":  {Worker{Pool: "a/p"}, Worker{Pool: "a/none"}},
	"contract a/t": {
		contract.Contract{Team: "a/t", Limit: 4, Share: 600_000, Keys: []teamkey.Key{{ID: "k1", Hash: []byte("h")}}},
		contract.Contract{Team: "a/t", Limit: 4},
		contract.Contract{Team: "a/t"},
		contract.Contract{Team: "a/u", Limit: 4},
	},
	"contract b/t": {
		contract.Contract{Team: "b/t", Limit: 4, Share: 500_000},
		contract.Contract{Team: "b/t", Limit: 4, Keys: []teamkey.Key{{ID: "k1", Hash: []byte("h")}}},
	},
}

func testWave(state WaveState, workers ...string) Wave {
	return Wave{ID: "id", Workers: workers, To: time.Unix(1, 0).UTC(), State: state}
}

func drawChange(t *rapid.T, n int, m model) change.Change {
	objects := make([]string, 0, len(candidates))
	for key := range candidates {
		objects = append(objects, key)
	}
	key := rapid.SampledFrom(sorted(objects)).Draw(t, "object")
	after := mustEncode(rapid.SampledFrom(append([]any{nil}, candidates[key]...)).Draw(t, "after"))
	before := m[key]
	if rapid.IntRange(0, 4).Draw(t, "outdated") == 0 {
		before = mustEncode(rapid.SampledFrom(candidates[key]).Draw(t, "before"))
	}
	kind, name, _ := strings.Cut(key, " ")
	return change.Change{ID: fmt.Sprint(n), Operator: "op", Kind: kind, Name: name, Before: before, After: after}
}

func mustEncode(v any) json.RawMessage {
	if v == nil {
		return nil
	}
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

func encode(t *rapid.T, cfg *Config) string {
	b, err := cfg.Encode()
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	return string(b)
}

// checkDocument applies random changes and compares the result with the oracle.
func checkDocument(t *rapid.T) {
	m, cfg := model{}, &Config{}
	history := []*Config{cfg}
	for n := range rapid.IntRange(1, 150).Draw(t, "changes") {
		c := drawChange(t, n, m)
		key, old := c.Kind+" "+c.Name, m[c.Kind+" "+c.Name]
		conflict, previous := string(c.Before) != string(old), encode(t, cfg)
		if m[key] = c.After; c.After == nil {
			delete(m, key)
		}
		want := !conflict && m.valid()
		next, err := cfg.Apply(c)
		if (err == nil) != want {
			t.Fatalf("change %+v: error %v, expected acceptance %v", c, err, want)
		}
		var conflictErr *ConflictError
		if conflict != (errors.As(err, &conflictErr) && conflictErr.Current == string(old)) {
			t.Fatalf("change %+v: %v does not show the current value %s", c, err, old)
		}
		if encode(t, cfg) != previous {
			t.Fatalf("the former version was altered")
		}
		if err != nil {
			if m[key] = old; old == nil {
				delete(m, key)
			}
			continue
		}
		if next.Version != cfg.Version+1 || !next.HasChange(c.ID) {
			t.Fatalf("version %d after %d", next.Version, cfg.Version)
		}
		cfg = next
		history = append(history, cfg)
	}
	checkDelta(t, cfg, history)
}

func checkDelta(t *rapid.T, cfg *Config, history []*Config) {
	from := rapid.SampledFrom(history).Draw(t, "from")
	delta, ok := cfg.Changes(from.Version)
	if incomplete := int(cfg.Version-from.Version) > len(cfg.Recent); ok == incomplete {
		t.Fatalf("Changes(%d) of version %d: ok %v", from.Version, cfg.Version, ok)
	}
	if len(delta) == 0 {
		return
	}
	got, err := from.ApplyDelta(delta)
	if err != nil || encode(t, got) != encode(t, cfg) {
		t.Fatalf("a delta leads to another document: %v", err)
	}
	if again, err := got.ApplyDelta(delta); err != nil || again != got {
		t.Fatalf("a repeated delta is not harmless: %v", err)
	}
	if len(delta) > 1 {
		gap := rapid.IntRange(0, len(delta)-2).Draw(t, "gap")
		_, err = from.ApplyDelta(append(delta[:gap:gap], delta[gap+1:]...))
		var gapErr *GapError
		if !errors.As(err, &gapErr) {
			t.Fatalf("a delta without change %d gives %v", gap, err)
		}
	}
}

// TestDocument guards against accepting an invalid or outdated change, against altering a
// version that other goroutines read, and against deltas that result in another document.
func TestDocument(t *testing.T) { rapid.Check(t, checkDocument) }

// TestDocumentMutants shows that TestDocument fails without each of the rules.
func TestDocumentMutants(t *testing.T) {
	property.CheckMutants(t, map[string]*bool{
		"the value that the operator saw is not compared": &mutation.ignoreBefore,
		"a delta with a gap is applied":                   &mutation.acceptGap,
		"the result is not validated":                     &mutation.skipValidation,
		"a worker in a move may be in any pool and serve": &mutation.skipMoveCheck,
		"a worker may be in two open waves":               &mutation.skipOverlapCheck,
	}, func(t testing.TB) { rapid.Check(t, checkDocument) })
}
