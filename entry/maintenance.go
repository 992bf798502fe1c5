package entry

import (
	"context"
	"time"

	"egretdrum.example/change"
	"egretdrum.example/maintenance"
	"egretdrum.example/workerapi"
)

// newMaintenanceDriver returns a driver of moves and maintenance that acts through this host.
func (h *Host) newMaintenanceDriver() *maintenance.Driver {
	return &maintenance.Driver{
		Config: h.configManager.Config, Accept: h.acceptChange, Hosts: h.store.Hosts,
		SlotUse: h.node.SlotUse, LaggingHosts: h.laggingHosts, Log: h.log,
		DrivesWave: func(now time.Time, wave string) bool { return h.node.IsFirstMember(now, "wave/"+wave) },
		Reboot:     workerapi.New(h.settings.StoreURL).Reboot,
	}
}

// acceptChange accepts a change that the maintenance driver of this host makes, under the
// same conditions as a change by an operator.
func (h *Host) acceptChange(ctx context.Context, c change.Change) error {
	if !h.node.MayAdmit(time.Now()) {
		return errNotAdmitting
	}
	cfg, err := h.configManager.Accept(ctx, c)
	if err == nil {
		h.push(ctx, cfg)
	}
	return err
}
