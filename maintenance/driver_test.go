package maintenance

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"egretdrum.example/change"
	"egretdrum.example/fleet"
	"egretdrum.example/hostlist"
	"egretdrum.example/move"
	"egretdrum.example/node"
	"egretdrum.example/platformfake"
	"egretdrum.example/rollout"
	"egretdrum.example/store"
)

// bench is a platform with entry hosts, each of which has a keeper and a driver. The
// test says who owns the slots and how many grants are outstanding.
type bench struct {
	t        *testing.T
	platform *platformfake.Platform
	url      string
	keepers  []*rollout.Keeper
	drivers  []*Driver
	owner    int
	running  int
	now      time.Time
	n        int
}

func newBench(t *testing.T, hosts int) *bench {
	b := &bench{t: t, platform: platformfake.New(), now: time.Unix(0, 0).UTC()}
	server := httptest.NewUnstartedServer(b.platform.Handler())
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.Start()
	t.Cleanup(server.Close)
	b.url = server.URL
	for h := range hosts {
		b.keepers, b.drivers = append(b.keepers, nil), append(b.drivers, nil)
		b.restart(h)
	}
	return b
}

// restart replaces a host by a new incarnation without state.
func (b *bench) restart(h int) {
	client := store.New(b.url, time.Minute)
	k := rollout.New(client)
	b.keepers[h] = k
	b.drivers[h] = &Driver{
		Config: k.Config, Hosts: client.Hosts, Log: zap.NewNop(),
		Accept: func(ctx context.Context, c change.Change) error { _, err := k.Accept(ctx, c); return err },
		Use: func(_ time.Time, workers []string) (uint64, map[string]node.SlotUse) {
			use := make(map[string]node.SlotUse)
			for _, w := range workers {
				use[w] = node.SlotUse{Owned: h == b.owner, Outstanding: b.running}
			}
			return k.Config().Version, use
		},
		Behind: func(version uint64) (behind []string) {
			for other, k := range b.keepers {
				if k.Config().Version < version {
					behind = append(behind, fmt.Sprint("entry-", other))
				}
			}
			return behind
		},
	}
}

func (b *bench) set(kind, name string, v any) {
	b.t.Helper()
	k := b.keepers[0]
	before, err := k.Config().Object(kind, name)
	qt.Assert(b.t, err, qt.IsNil)
	after, err := json.Marshal(v)
	qt.Assert(b.t, err, qt.IsNil)
	b.n++
	b.accept(change.Change{ID: fmt.Sprint("set-", b.n), Operator: "op", Kind: kind, Name: name, Before: before, After: after}, nil)
}

func (b *bench) accept(c change.Change, err error) {
	b.t.Helper()
	qt.Assert(b.t, err, qt.IsNil)
	_, err = b.keepers[0].Accept(context.Background(), c)
	qt.Assert(b.t, err, qt.IsNil)
}

func (b *bench) publish(hosts ...hostlist.Host) {
	b.platform.SetHosts(hosts)
	b.platform.PublishHosts()
}

// tick lets all hosts read the store and then drive.
func (b *bench) tick(times int) {
	for range times {
		for _, k := range b.keepers {
			_ = k.Refresh(context.Background())
		}
		for _, d := range b.drivers {
			d.Tick(context.Background(), b.now)
		}
		b.now = b.now.Add(Interval)
	}
}

func (b *bench) worker(name string) fleet.Worker { return b.keepers[0].Config().Workers[name] }

// TestMoveThroughFaults guards against a move that is lost or done twice when answers
// are lost, the store is down and the driving host crashes.
func TestMoveThroughFaults(t *testing.T) {
	b := newBench(t, 3)
	b.set(change.KindPool, "a/p", fleet.Pool{})
	b.set(change.KindPool, "a/q", fleet.Pool{})
	b.set(change.KindWorker, "w1", fleet.Worker{Pool: "a/p"})
	b.publish(hostlist.Host{Worker: "w1"})
	b.running = 1
	b.accept(move.Start(b.keepers[0].Config(), b.now, "m1", "w1", "a/q", false))
	b.tick(3)
	qt.Check(t, b.worker("w1").Move.Step, qt.Equals, fleet.MoveDraining)

	b.running = 0
	b.platform.LoseWrites(1)
	b.drivers[0].Tick(context.Background(), b.now)
	b.restart(0)
	b.owner = 1
	b.platform.SetDown(true)
	b.tick(2)
	b.platform.SetDown(false)
	b.publish()
	b.tick(4)
	qt.Check(t, b.worker("w1").Move.Step, qt.Equals, fleet.MoveHandedOver)
	qt.Check(t, b.worker("w1").Pool, qt.Equals, "a/q")
	b.now = b.now.Add(move.StuckAfter)
	b.tick(3)
	qt.Check(t, b.worker("w1").Move.Stuck, qt.Equals, "the worker is not in the host list")

	b.publish(hostlist.Host{Worker: "w1"})
	b.tick(2)
	qt.Check(t, b.worker("w1"), qt.DeepEquals, fleet.Worker{Pool: "a/q"})
	trail, err := b.keepers[0].Audit(context.Background())
	qt.Assert(t, err, qt.IsNil)
	var actions []string
	for _, c := range trail[3:] {
		actions = append(actions, c.Action)
	}
	qt.Check(t, actions, qt.DeepEquals, []string{"start-move", "confirm-empty-move", "hand-over-move", "report-stuck-move", "admit-move"})
	qt.Check(t, slices.IsSortedFunc(trail, func(x, y change.Change) int { return int(x.Version) - int(y.Version) }), qt.IsTrue)
}

// TestPermitRelease guards against a permit that ends before its worker serves, or never,
// and against a change that is accepted without the host list.
func TestPermitRelease(t *testing.T) {
	b := newBench(t, 2)
	client := store.New(b.url, time.Minute)
	for _, k := range b.keepers {
		k.Check = Check(client.Hosts)
	}
	b.set(change.KindPool, "a/p", fleet.Pool{})
	b.set(change.KindWorker, "w1", fleet.Worker{Pool: "a/p", Leaving: true, Permit: &fleet.Permit{ID: "p1"}})
	b.set(change.KindWorker, "w1", fleet.Worker{Pool: "a/p", Permit: &fleet.Permit{ID: "p1"}})
	b.tick(2)
	qt.Check(t, b.worker("w1").Permit, qt.IsNotNil)
	b.publish(hostlist.Host{Worker: "w1", Leaving: true})
	b.tick(2)
	qt.Check(t, b.worker("w1").Permit, qt.IsNotNil)
	b.publish(hostlist.Host{Worker: "w1"})
	b.platform.LoseWrites(1)
	b.tick(2)
	qt.Check(t, b.worker("w1").Permit, qt.IsNil)
	unread := Check(func(context.Context) ([]hostlist.Host, error) { return nil, io.EOF })
	cfg := b.keepers[0].Config()
	qt.Check(t, unread(context.Background(), cfg, cfg, change.Change{Kind: change.KindWorker}), qt.ErrorMatches, ".*EOF")
}
