package entry

import (
	"context"
	"time"

	"egretdrum.example/change"
	"egretdrum.example/maintenance"
	"egretdrum.example/workerapi"
)

// newDriver connects the driver of moves and maintenance to this host.
func (h *Host) newDriver() *maintenance.Driver {
	return &maintenance.Driver{
		Config: h.keeper.Config, Accept: h.acceptStep, Hosts: h.store.Hosts,
		Use: h.node.SlotUse, Behind: h.behind, Log: h.log,
		Leads:  func(now time.Time, wave string) bool { return h.node.Leads(now, "wave/"+wave) },
		Reboot: workerapi.New(h.settings.StoreURL).Reboot,
	}
}

// acceptStep accepts a change that this host itself makes, under the same conditions as
// a change by an operator.
func (h *Host) acceptStep(ctx context.Context, c change.Change) error {
	if !h.node.MayAdmit(time.Now()) {
		return errNotAdmitting
	}
	cfg, err := h.keeper.Accept(ctx, c)
	if err == nil {
		h.push(ctx, cfg)
	}
	return err
}
