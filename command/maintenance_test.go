package command

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/zap"

	"egretdrum.example/hostlist"
	"egretdrum.example/maintenance"
	"egretdrum.example/node"
	"egretdrum.example/platformfake"
	"egretdrum.example/store"
	"egretdrum.example/workerapi"
)

// newFleet is a bench with the driver of one entry host, which runs after each command,
// and eight workers in two zones and four racks.
func newFleet(t *testing.T) *bench {
	b := newBench(t)
	kv := httptest.NewServer(b.platform.Handler())
	t.Cleanup(kv.Close)
	client := store.New(kv.URL, time.Minute)
	b.keeper.Check = maintenance.Check(client.Hosts)
	b.api.Hosts = client.Hosts
	var hosts []hostlist.Host
	for n := range 8 {
		hosts = append(hosts, hostlist.Host{Worker: fmt.Sprint("w", n+1), Zone: fmt.Sprint("z", n/4+1), Rack: fmt.Sprint("r", n/2+1)})
	}
	b.platform.SetHosts(hosts)
	b.platform.PublishHosts()
	driver := &maintenance.Driver{
		Config: b.keeper.Config, Accept: b.accept, Hosts: client.Hosts, Log: zap.NewNop(),
		Behind: func(uint64) []string { return nil },
		Leads:  func(time.Time, string) bool { return true }, Reboot: workerapi.New(kv.URL).Reboot,
		Use: func(_ time.Time, workers []string) (uint64, map[string]node.SlotUse) {
			use := make(map[string]node.SlotUse)
			for _, w := range workers {
				use[w] = node.SlotUse{Owned: true}
			}
			return b.keeper.Config().Version, use
		},
	}
	b.platform.SetRebootFault("w4", platformfake.RebootBad)
	now := time.Now().UTC()
	b.after = func() {
		now = now.Add(10 * time.Second)
		driver.Tick(context.Background(), now)
		b.platform.FinishReboots()
		b.platform.PublishHosts()
	}
	return b
}

// TestMaintenancePage guards against a page whose commands or outputs are out of date.
func TestMaintenancePage(t *testing.T) { newFleet(t).checkPage(t, "maintenance.md") }
