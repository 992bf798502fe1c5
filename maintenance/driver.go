// Package maintenance carries out the worker moves and maintenance waves of the configuration
// document. Every entry host runs a driver. The state is in the document and each step is one
// compare-and-swap, so a driver can stop at any point and another one continues.
package maintenance

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"egretdrum.example/change"
	"egretdrum.example/fleet"
	"egretdrum.example/hostlist"
	"egretdrum.example/node"
	"egretdrum.example/wave"
)

// Interval is the time between calls of Tick.
const Interval = time.Second

// Driver carries out the due steps on one entry host. Its functions must be set before the
// first Tick.
type Driver struct {
	// Config returns the newest known document.
	Config func() *fleet.Config
	// Accept writes a change to the store and sends it to the other entry hosts.
	Accept func(ctx context.Context, c change.Change) error
	// Hosts reads the platform's host list.
	Hosts func(ctx context.Context) ([]hostlist.Host, error)
	// SlotUse returns the use of the workers' slots and the version of the document that the
	// grants are based on.
	SlotUse func(now time.Time, workers []string) (uint64, map[string]node.SlotUse)
	// LaggingHosts returns the members that do not have the given version yet.
	LaggingHosts func(version uint64) []string
	// DrivesWave reports whether this host drives the wave with this name.
	DrivesWave func(now time.Time, wave string) bool
	// Reboot requests the reboot of a worker and returns its state. The platform carries out
	// one reboot for each id.
	Reboot func(ctx context.Context, worker, id string) (wave.RebootState, error)
	Log    *zap.Logger

	absences     wave.AbsenceTracker
	wavesChecked time.Time            // time of the last check of the waves
	rebootPolled map[string]time.Time // time of the last reboot request, by worker
}

// Tick carries out the steps that are due. A step that fails is retried at the next Tick.
func (d *Driver) Tick(ctx context.Context, now time.Time) {
	d.tickMoves(ctx, now)
	d.tickDrains(ctx, now)
	d.tickWaves(ctx, now)
	d.tickPermits(ctx, now)
}

// accept submits a change of the driver. A conflict is not logged: another host did the step or
// an operator changed the object, and the next Tick continues from the new state.
func (d *Driver) accept(ctx context.Context, c change.Change) error {
	err := d.Accept(ctx, c)
	var lost *fleet.ConflictError
	if err != nil && !errors.As(err, &lost) {
		d.Log.Warn("maintenance-step-failed", zap.String("change", c.ID), zap.Error(err))
	}
	return err
}

// hosts returns the host list by worker. ok is false if the list could not be read.
func (d *Driver) hosts(ctx context.Context) (list map[string]hostlist.Host, ok bool) {
	hosts, err := d.Hosts(ctx)
	if err != nil {
		d.Log.Warn("maintenance-host-list-failed", zap.Error(err))
		return nil, false
	}
	list = make(map[string]hostlist.Host, len(hosts))
	for _, h := range hosts {
		list[h.Worker] = h
	}
	return list, true
}
