package command

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"egretdrum.example/answerlimit"
	"egretdrum.example/callermemory"
	"egretdrum.example/dispatch"
	"egretdrum.example/eventlog"
	"egretdrum.example/jobhost"
	"egretdrum.example/meter"
	"egretdrum.example/platform"
	"egretdrum.example/scheduler"
	"egretdrum.example/wait"
)

const (
	// gcMemoryShare is the share of the host's memory limit that the garbage collector aims
	// at, as the soft memory limit of the Go runtime; the rest is for sockets and stacks.
	gcMemoryShare = 0.7
	// drainShare is the share of the time between the signal and the kill in which callers
	// with open connections are still served. The platform needs two seconds to notice that
	// a host is not ready.
	drainShare = 0.55
	// referenceDelay is the election delay of a host that has referenceCPU, referenceMemory
	// and referenceDescriptors. A host with a fifth of one of them waits five times as long,
	// which is longer than an election among hosts with several times as much takes. An
	// owner of 3,000 workers was observed to use 266 MB and 6,600 descriptors.
	referenceDelay       = 20 * time.Millisecond
	referenceCPU         = 1.0
	referenceMemory      = 512 << 20
	referenceDescriptors = 8000
	// maxAgeDelay is added to the election delay of a host that has run for maxDelayAge or longer.
	maxAgeDelay = 60 * time.Millisecond
	// idleDescriptorShare is the share of the descriptors for idle connections to workers.
	// Without this limit, an owner of thousands of workers keeps three idle ones for each.
	idleDescriptorShare = 0.25
	// settingsPollInterval is the interval at which the settings file is read, since it may
	// change without a signal.
	settingsPollInterval = 2 * time.Second
	// minCapacityRatio limits the election delay of hosts without usable limits in the settings.
	minCapacityRatio = 0.1
	maxDelayAge      = time.Minute
)

func platformHostCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform-host",
		Usage: "run an entry host on the users' platform; the settings file is named by the environment variable " + platform.SettingsVariable,
		Action: func(ctx context.Context, _ *cli.Command) error {
			s, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
			if err != nil {
				return err
			}
			return newPlatformHost(s).run(ctx)
		},
	}
}

// platformHost is an entry host that runs on the platform of the users.
type platformHost struct {
	// startSettings were read at the start; currentSettings are in force.
	startSettings   *platform.Settings
	currentSettings atomic.Pointer[platform.Settings]
	log             *zap.Logger
	logClosed       <-chan struct{}
	closeLog        context.CancelFunc
	meter           *meter.Meter
	jobs            *jobhost.Host
	memory          *callermemory.Budget
	draining        atomic.Bool
	// lastSettingsError is the last error in the settings file, so that it is logged only once.
	lastSettingsError string
}

func newPlatformHost(s *platform.Settings) *platformHost {
	logCtx, closeLog := context.WithCancel(context.Background())
	out := eventlog.NewBuffered(logCtx, os.Stdout)
	h := &platformHost{startSettings: s, log: eventlog.New(out), logClosed: out.Done(), closeLog: closeLog, meter: meter.New()}
	h.apply(s)
	h.memory = &callermemory.Budget{Limits: func() callermemory.Limits { return callerMemory(h.currentSettings.Load()) }}
	client := platform.NewClient(s.Host)
	client.SetMaxIdleConns(max(1, int(idleDescriptorShare*float64(s.Descriptors))))
	machines := &platform.Machines{Client: client, Address: s.Machines}
	h.jobs = jobhost.New(&jobhost.Config{
		Name: s.Host, Store: client.Store(s.Store),
		OperatorPrefix: platform.OperatorPrefix, ConfigKey: platform.ConfigKey, DecodeOperator: platform.DecodeOperator,
		EvacuationPrefix: platform.EvacuationPrefix,
		Calls: dispatch.Calls{
			Start: client.Start, Stop: client.Stop, Pace: client.Pace, Poll: client.Poll,
			Advise:       (&platform.Advice{Client: client, Address: s.Advice}).Query,
			ListMachines: machines.List, Order: machines.Order,
			DecodeWorker: platform.DecodeWorker, WorkerPrefix: platform.WorkerPrefix,
			WaveStatus: platform.EncodeWaveStatus, WaveStatusPrefix: platform.WaveStatusPrefix,
		},
		LinkAddress:    s.Link,
		RevokeWithin:   func() time.Duration { return h.currentSettings.Load().RevokeWithin },
		KeepResults:    func() time.Duration { return h.currentSettings.Load().KeepResults },
		EvacuateWithin: func() time.Duration { return h.currentSettings.Load().EvacuateWithin },
		Answers:        answerlimit.New(int(answerMemoryShare * float64(s.MemoryBytes) / answerMemory)),
		Relay:          func() bool { return h.currentSettings.Load().OutageRelay },
		Refuse:         func() bool { return h.currentSettings.Load().RefuseUseless },
		Limits:         func() scheduler.Limits { return schedulerLimits(h.currentSettings.Load()) },
		ConfigWithin:   func() time.Duration { return configWithin(h.currentSettings.Load()) },
		ElectionDelay:  ownershipDelay(capacityRatio(s), time.Now()),
		Log:            h.log, Meter: h.meter,
	})
	return h
}

// capacityRatio is the capacity of a host relative to the reference host, by the resource
// that it has least of. It says how suitable the host is as owner.
func capacityRatio(s *platform.Settings) float64 {
	return min(s.CPU/referenceCPU, float64(s.MemoryBytes)/referenceMemory, float64(s.Descriptors)/referenceDescriptors)
}

// ownershipDelay returns the delay before a host stands for election. It prefers hosts with
// more capacity and, among them, those started last, since a rolling restart is done with them.
func ownershipDelay(capacityRatio float64, started time.Time) func() time.Duration {
	capacityDelay := time.Duration(float64(referenceDelay) / max(capacityRatio, minCapacityRatio))
	return func() time.Duration {
		age := min(time.Since(started), maxDelayAge)
		return capacityDelay + time.Duration(float64(maxAgeDelay)*age.Seconds()/maxDelayAge.Seconds())
	}
}

// configWithin returns the time within which a new configuration has to be in force, zero if the owner
// must not go on while the store is silent.
func configWithin(s *platform.Settings) time.Duration {
	if !s.ContinueOutage {
		return 0
	}
	return s.ConfigWithin
}

func schedulerLimits(s *platform.Settings) scheduler.Limits {
	limits := scheduler.DefaultLimits()
	limits.Lease, limits.MaxLease = min(limits.Lease, s.MaxLease), s.MaxLease
	limits.Maintenance, limits.Stop = s.MaintenanceTime, s.StopTime
	limits.RunTimeQuantiles = s.RunTimeQuantiles
	limits.OrderByDue = s.OrderByDue
	return limits
}

// run serves until SIGTERM or SIGINT, and then drains the host.
func (h *platformHost) run(ctx context.Context) error {
	defer func() { h.closeLog(); <-h.logClosed }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stopCtx, release := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer release()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	h.log.Info("host-started", zap.String("host", h.startSettings.Host), zap.String("version", Version), zap.String("availability-zone", h.startSettings.AvailabilityZone))
	servers := h.servers()
	failed := make(chan error, len(servers))
	for _, server := range servers {
		if err := server.serve(ctx, failed); err != nil {
			return err
		}
	}
	callers := servers[0]
	ownership, resign := context.WithCancel(ctx)
	defer resign()
	jobsDone := make(chan struct{})
	go func() { defer close(jobsDone); h.jobs.Run(ctx, ownership) }()
	settingsTicker := time.NewTicker(settingsPollInterval)
	defer settingsTicker.Stop()
	for {
		select {
		case err := <-failed:
			return err
		case <-settingsTicker.C:
			h.reportCallers(callers)
			h.reload(false)
		case <-reload:
			h.reload(true)
		case <-stopCtx.Done():
			h.drain(resign, callers.http)
			cancel()
			<-jobsDone
			h.log.Info("host-stopped", zap.String("host", h.startSettings.Host))
			return nil
		}
	}
}

// apply makes s the settings in force.
func (h *platformHost) apply(s *platform.Settings) {
	debug.SetMemoryLimit(int64(gcMemoryShare * float64(s.MemoryBytes)))
	h.currentSettings.Store(s)
}

// reload reads the settings file again, after a signal or at intervals. Time limits and the
// memory limit take effect at once. Addresses, the CPU share and the number of descriptors
// are fixed until the process restarts, so a change of them is only logged.
func (h *platformHost) reload(signalled bool) {
	s, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		if signalled || h.lastSettingsError != err.Error() {
			h.log.Warn("settings-not-reloaded", zap.Error(err))
		}
		h.lastSettingsError = err.Error()
		return
	}
	h.lastSettingsError = ""
	changed := *s != *h.currentSettings.Load()
	if !signalled && !changed {
		return
	}
	h.apply(s)
	h.log.Info("settings-reloaded", zap.Bool("told", signalled), zap.Bool("changed", changed), zap.Bool("restart-needed", !s.CanReload(h.startSettings)))
}

// drain gives up the ownership, lets callers finish and closes their connections.
func (h *platformHost) drain(resign context.CancelFunc, callers *http.Server) {
	grace := h.currentSettings.Load().Grace
	h.log.Info("host-draining", zap.Duration("grace", grace))
	h.draining.Store(true)
	resign()
	drainTime := time.Duration(drainShare * float64(grace))
	wait.For(context.Background(), drainTime)
	ctx, cancel := context.WithTimeout(context.Background(), grace-drainTime-time.Second/2)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		h.log.Warn("callers-cut", zap.Error(err))
	}
}
