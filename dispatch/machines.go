package dispatch

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"egretdrum.example/kv"
	"egretdrum.example/scheduler"
	"egretdrum.example/storekeys"
	"egretdrum.example/subscription"
	"egretdrum.example/wait"
)

const (
	// machineListInterval is how often machines are listed while the scheduler needs the
	// list for waves, moves or crashed workers.
	machineListInterval = 400 * time.Millisecond
	// machineListShare bounds the fraction of the owner's time that listing uses, estimated
	// at machineListCost for each machine: listing 3,000 machines every 400 ms used a tenth
	// of a core.
	machineListShare = 0.03
	machineListCost  = 12 * time.Microsecond
	// idleMachineListInterval is how often machines are listed otherwise.
	idleMachineListInterval = 2 * time.Second
)

// waveRecord is the stored progress of a wave.
type waveRecord struct {
	// Due is the deadline of the wave, as Unix time in milliseconds.
	Due      int64    `cbor:"1,keyasint"`
	Done     []string `cbor:"2,keyasint,omitempty"`
	Finished bool     `cbor:"3,keyasint,omitempty"`
	// Begun are the machines that may have been ordered to maintenance.
	Begun []string `cbor:"4,keyasint,omitempty"`
}

// pollMachines lists the machines periodically and passes them to the scheduler.
func (o *Owner) pollMachines() {
	lost := false
	for o.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(o.ctx, platformTimeout)
		asked := time.Now()
		list, err := o.Calls.ListMachines(ctx)
		cancel()
		pause := max(machineListInterval, time.Duration(float64(time.Duration(len(list))*machineListCost)/machineListShare))
		if err == nil {
			needed := make(chan bool, 1)
			o.post(func(now time.Time) {
				o.core.SetMachines(list, asked, now)
				needed <- o.core.NeedsMachineList()
			})
			select {
			case need := <-needed:
				if !need {
					pause = idleMachineListInterval
				}
			case <-o.ctx.Done():
				return
			}
		}
		if lost != (err != nil) {
			lost = err != nil
			o.Log.Info("machine-list", zap.Bool("lost", lost), zap.Error(err))
		}
		wait.For(o.ctx, pause)
	}
}

func (o *Owner) loadWaves(items []kv.Item) {
	for _, item := range items {
		o.keys.setRevision(item.Key, item.Revision)
		number, err := strconv.ParseInt(strings.TrimPrefix(item.Key, storekeys.Waves), 10, 64)
		var r waveRecord
		if err := errors.Join(err, cbor.Unmarshal(item.Value, &r)); err != nil {
			o.Log.Warn("wave-not-decoded", zap.String("key", item.Key), zap.Error(err))
			continue
		}
		o.waves[number] = r
	}
}

// setWave passes a wave that operators requested to the scheduler. Its deadline counts from
// the time at which the first owner learned of it.
func (o *Owner) setWave(w subscription.Wave, now time.Time) {
	r, known := o.waves[w.Number]
	if !known {
		r.Due = now.Add(w.Term).UnixMilli()
		o.waves[w.Number] = r
	}
	deadline := now.Add(time.Duration(r.Due-now.UnixMilli()) * time.Millisecond)
	o.core.SetWave(w.Machines, deadline, w.Limit, scheduler.WaveState{Wave: w.Number, Finished: r.Finished, Done: r.Done, Begun: r.Begun}, now)
}

// saveWave records the progress of a wave and schedules its write.
func (o *Owner) saveWave(state scheduler.WaveState) {
	r := o.waves[state.Wave]
	r.Done, r.Begun, r.Finished = state.Done, state.Begun, state.Finished
	o.waves[state.Wave] = r
	o.changedWaves[state.Wave] = true
	select {
	case o.wavesChanged <- struct{}{}:
	default:
		// A wake-up is already pending.
	}
}

// writeWaves stores the progress of waves, and their status for operators. It writes one
// change after the other, so that an earlier state never replaces a later one.
func (o *Owner) writeWaves() {
	for {
		select {
		case <-o.wavesChanged:
		case <-o.ctx.Done():
			return
		}
		numbers := make(chan []int64, 1)
		o.post(func(time.Time) {
			numbers <- slices.Sorted(maps.Keys(o.changedWaves))
			clear(o.changedWaves)
		})
		select {
		case changed := <-numbers:
			for _, number := range changed {
				o.writeWave(number)
			}
		case <-o.ctx.Done():
			return
		}
	}
}

func (o *Owner) writeWave(number int64) {
	for o.ctx.Err() == nil {
		r := o.latestWave(number)
		value, err := cbor.Marshal(r)
		status, err2 := o.Calls.WaveStatus(r.Finished)
		if err := errors.Join(err, err2); err != nil {
			o.Log.Error("wave-not-encoded", zap.Int64("wave", number), zap.Error(err))
			return
		}
		ctx, cancel := context.WithTimeout(o.ctx, saveTimeout)
		err = o.keys.commit(ctx, []kv.Put{
			{Key: storekeys.Wave(number), Value: value},
			{Key: o.Calls.WaveStatusPrefix + strconv.FormatInt(number, 10), Value: status},
		}, nil)
		cancel()
		if kv.Rejected(err) {
			o.Log.Error("value-rejected", zap.String("key", storekeys.Wave(number)), zap.Int("bytes", len(value)), zap.Error(err))
			return
		}
		var replaced *ownerReplacedError
		if err == nil || errors.As(err, &replaced) {
			o.Log.Info("wave-stored", zap.Int64("wave", number), zap.Int("done", len(r.Done)), zap.Int("begun", len(r.Begun)), zap.Bool("finished", r.Finished), zap.Error(err))
			if err == nil {
				state := scheduler.WaveState{Wave: number, Finished: r.Finished, Done: r.Done, Begun: r.Begun}
				o.post(func(now time.Time) { o.core.WaveStored(state, now) })
			}
			return
		}
		wait.For(o.ctx, saveRetryDelay)
	}
}

// latestWave reads the newest state of a wave from the loop.
func (o *Owner) latestWave(number int64) waveRecord {
	answer := make(chan waveRecord, 1)
	o.post(func(time.Time) { answer <- o.waves[number] })
	select {
	case r := <-answer:
		return r
	case <-o.ctx.Done():
		return waveRecord{}
	}
}
