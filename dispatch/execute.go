package dispatch

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"egretdrum.example/scheduler"
	"egretdrum.example/storekeys"
	"egretdrum.example/wait"
)

const (
	// paceTimeout is far above the usual response time of a few milliseconds.
	paceTimeout    = 400 * time.Millisecond
	callRetryDelay = 200 * time.Millisecond
	// maxQuickPolls bounds the polls in flight that do not wait for an end. A new owner polls
	// all workers at once; with thousands of them, a host with a fifth of a core would treat
	// responses that arrived in time as missing.
	maxQuickPolls = 64
	// startsPerWorker keeps the number of connections to a worker low. Above manyWorkers,
	// further workers get one start request at a time: an owner of 3,000 workers, with a poll
	// and two start requests for each, has used up its 8,192 file descriptors.
	startsPerWorker = 2
	manyWorkers     = 500
	// stopsPerWorker and pacesPerWorker leave most of the 64 connections that a worker takes from all
	// hosts together to polls, which renew the leases, to starts, and to the next owner.
	stopsPerWorker = 16
	pacesPerWorker = 4
	// maxLaneCalls bounds the connections for stops, and for paces, that a fleet of thousands of workers
	// takes from the descriptors of a host.
	maxLaneCalls = 512
	// platformTimeout bounds a call to the platform.
	platformTimeout = 1500 * time.Millisecond
)

// execute carries out actions; each response becomes an event.
func (o *Owner) execute(a scheduler.Actions) {
	for _, n := range a.LogEvents {
		o.logEvent(n)
	}
	for _, s := range a.Saves {
		o.saver.add(s)
	}
	// Logs call a poll a look.
	for _, p := range a.Polls {
		o.inBackground("look", func() { o.poll(p) })
	}
	for _, s := range a.Stops {
		o.stops.add(s.Worker.ID, func() { o.stopRun(s) })
	}
	for _, p := range a.Paces {
		o.paces.add(p.Worker.ID, func() { o.pace(p) })
	}
	for _, s := range a.Starts {
		slot := o.startSlot(s.Worker.ID)
		o.inBackground("start", func() { o.start(s, slot) })
	}
	for _, order := range a.Orders {
		o.inBackground("order", func() { o.order(order) })
	}
	for _, q := range a.Advice {
		o.inBackground("advice", func() { o.advise(q) })
	}
	for _, v := range a.Unresponsive {
		o.keyWriter.setEncoded(storekeys.UnresponsiveWorker(v.Worker), v)
	}
	for _, id := range a.UnresponsiveEnds {
		o.keyWriter.set(storekeys.UnresponsiveWorker(id), nil)
	}
	if a.PoolUse != nil {
		o.keyWriter.setEncoded(storekeys.PoolUse, a.PoolUse)
	}
	for _, w := range a.WaveStates {
		o.saveWave(w)
	}
}

func (o *Owner) startSlot(worker string) chan struct{} {
	s := o.startSlots[worker]
	if s == nil {
		limit := startsPerWorker
		if len(o.startSlots) >= manyWorkers {
			limit = 1
		}
		s = make(chan struct{}, limit)
		o.startSlots[worker] = s
	}
	return s
}

// start sends a start request if this host is still the owner, the zone of the worker is not
// under evacuation, its capacity is known and the run is still wanted.
func (o *Owner) start(a scheduler.Start, slot chan struct{}) {
	select {
	case slot <- struct{}{}:
		defer func() { <-slot }()
	case <-o.ctx.Done():
		return
	}
	if !o.term.AllowsPolls() {
		o.stop()
		return
	}
	if !o.mayStart(a) || !o.mayHaveRoom(a.Worker.Pool) || !o.termAllowsStarts() || !a.Claim() {
		o.reportNotSent(a)
		return
	}
	ctx, cancel := context.WithTimeout(o.ctx, a.Timeout)
	defer cancel()
	sent := time.Now()
	answer := o.Calls.Start(ctx, a)
	o.Meter.Scope.Timer("start_time").Record(time.Since(sent))
	if answer.Result == scheduler.StartFenced {
		o.fenced(a.Worker.ID, a.Fence)
	}
	o.post(func(now time.Time) { o.core.StartAnswered(a, answer, now) })
}

// newLanes returns lanes for the calls of the given name.
func (o *Owner) newLanes(name string, perWorker int) *lanes {
	return &lanes{ctx: o.ctx, perWorker: perWorker, maxCalls: maxLaneCalls, run: func(f func()) { o.inBackground(name, f) }}
}

// stopRun sends a stop unless the run has ended while the stop waited for its turn.
func (o *Owner) stopRun(a scheduler.Stop) {
	if !o.awaitPolls("stop", a.Task.String()) {
		return
	}
	if !a.Claim() {
		o.post(func(now time.Time) {
			o.core.StopAnswered(a, scheduler.StopAnswer{Result: scheduler.StopNotSent}, now)
		})
		return
	}
	o.Log.Info("run-stopped", zap.String("request", a.Task.Job), zap.Stringer("task", a.Task), zap.Int64("run", a.Run), zap.String("worker", a.Worker.ID), zap.String("reason", a.Reason))
	ctx, cancel := context.WithTimeout(o.ctx, a.Timeout)
	defer cancel()
	answer := o.Calls.Stop(ctx, a)
	if answer.Result == scheduler.StopFenced {
		o.fenced(a.Worker.ID, a.Fence)
	}
	report := func() { o.post(func(now time.Time) { o.core.StopAnswered(a, answer, now) }) }
	if answer.Result == scheduler.StopAccepted {
		report()
		return
	}
	o.afterDelay(report)
}

// afterDelay calls f once a call that had no effect may be repeated. Other calls to the worker go on
// meanwhile.
func (o *Owner) afterDelay(f func()) {
	o.inBackground("call-retry", func() {
		wait.For(o.ctx, callRetryDelay)
		f()
	})
}

func (o *Owner) pace(a scheduler.Pace) {
	if !o.awaitPolls("pace", a.Task.String()) {
		return
	}
	ctx, cancel := context.WithTimeout(o.ctx, paceTimeout)
	defer cancel()
	ok := o.Calls.Pace(ctx, a)
	report := func() { o.post(func(now time.Time) { o.core.PaceAnswered(a, ok, now) }) }
	if ok {
		report()
		return
	}
	o.afterDelay(report)
}

func (o *Owner) poll(a scheduler.Poll) {
	if a.Wait == 0 {
		select {
		case o.quickPollSlots <- struct{}{}:
			defer func() { <-o.quickPollSlots }()
		case <-o.ctx.Done():
			return
		}
	}
	if !o.awaitPolls("poll", a.Worker.ID) {
		return
	}
	ctx, cancel := context.WithTimeout(o.ctx, a.Wait+a.Timeout)
	defer cancel()
	listing, otherIncarnation, err := o.Calls.Poll(ctx, a)
	if err != nil && o.ctx.Err() == nil {
		o.Log.Info("look-failed", zap.String("worker", a.Worker.ID), zap.Int64("fence", a.Fence), zap.Error(err))
	}
	if errors.Is(err, scheduler.ErrFenced) {
		o.fenced(a.Worker.ID, a.Fence)
	}
	o.post(func(now time.Time) { o.core.PollAnswered(a, listing, otherIncarnation, now) })
}

func (o *Owner) advise(q scheduler.AdviceRequest) {
	ctx, cancel := context.WithTimeout(o.ctx, q.Timeout)
	defer cancel()
	tickets, err := o.Calls.Advise(ctx, q)
	o.Log.Info("advice-answered", zap.String("request", q.Step.Job), zap.String("step", q.Step.StepName()), zap.Int("asked", len(q.Workers)), zap.Int("good", len(tickets)), zap.Error(err))
	o.post(func(now time.Time) { o.core.AdviceAnswered(q, tickets, err == nil, now) })
}

func (o *Owner) order(a scheduler.MachineOrder) {
	if !o.awaitTerm("order", a.Machine) {
		return
	}
	ctx, cancel := context.WithTimeout(o.ctx, platformTimeout)
	defer cancel()
	result, err := o.Calls.Order(ctx, a)
	o.Log.Info("machine-ordered", zap.String("machine", a.Machine), zap.String("pool", a.Pool), zap.Int64("wave", a.Wave), zap.Int64("fence", a.Fence), zap.Bool("accepted", result == scheduler.OrderAccepted), zap.Error(err))
	o.post(func(now time.Time) { o.core.MachineOrderAnswered(a, result, now) })
}

func (o *Owner) logEvent(n scheduler.LogEvent) {
	fields := make([]zap.Field, 0, 8)
	if n.Job != "" {
		fields = append(fields, zap.String("request", n.Job))
	}
	if n.Task.Job != "" {
		fields = append(fields, zap.Stringer("task", n.Task))
	}
	if n.Run != 0 {
		fields = append(fields, zap.Int64("run", n.Run))
	}
	if n.Worker != "" {
		fields = append(fields, zap.String("worker", n.Worker))
	}
	if n.Reason != "" {
		fields = append(fields, zap.String("reason", n.Reason))
	}
	if n.AffectedCount != 0 {
		fields = append(fields, zap.Int("affected", n.AffectedCount), zap.Bool("by-time", n.AfterDeadline))
	}
	if n.WaitReason != "" {
		fields = append(fields, zap.Duration("waited", n.Waited), zap.String("cause", n.WaitReason))
	}
	if n.Took != 0 {
		fields = append(fields, zap.Duration("took", n.Took), zap.Duration("objective", n.Objective))
	}
	if c := n.Capacity; c != nil {
		fields = append(fields, zap.Stringer("from", c.From), zap.Stringer("to", c.To), zap.Stringer("in-use", c.Used))
	}
	o.Log.Info(n.Event, fields...)
}
