package promises

import (
	"fmt"
	"time"
)

// machineRecord is the newest order for a machine.
type machineRecord struct {
	holder string
	fence  int64
}

// waveRecord is a maintenance wave.
type waveRecord struct {
	machines map[string]bool
	limit    int
	absent   map[string]bool
	begun    map[string]bool
	reported bool
}

// Order records an order for a machine, whether or not it is accepted.
func (r *Recorder) Order(at time.Time, machine, holder string, fence int64) {
	m := r.machines[machine]
	if m == nil {
		m = &machineRecord{}
		r.machines[machine] = m
	}
	if m.holder != "" && fence == m.fence && holder != m.holder {
		r.violate(at, MachineFence, Violation{Worker: machine, Detail: fmt.Sprintf("hosts %s and %s both use fencing token %d", m.holder, holder, fence)})
	}
	if fence >= m.fence {
		m.holder, m.fence = holder, fence
	}
}

// RequestWave records that an operator has requested a maintenance wave.
func (r *Recorder) RequestWave(number int64, machines []string, limit int) {
	w := &waveRecord{machines: make(map[string]bool), limit: limit, absent: make(map[string]bool), begun: make(map[string]bool)}
	for _, m := range machines {
		w.machines[m] = true
	}
	r.waves[number] = w
}

// BeginMaintenance records that a machine is absent for a wave.
func (r *Recorder) BeginMaintenance(at time.Time, wave int64, machine string) {
	w := r.waves[wave]
	if w == nil {
		return
	}
	if len(w.absent) >= w.limit {
		r.violate(at, WaveLimit, Violation{Worker: machine, Detail: fmt.Sprintf("%d machines of wave %d are absent", len(w.absent), wave)})
	}
	w.absent[machine], w.begun[machine] = true, true
}

// EndMaintenance records that a machine is back.
func (r *Recorder) EndMaintenance(wave int64, machine string) {
	if w := r.waves[wave]; w != nil {
		delete(w.absent, machine)
	}
}

// RemoveMachine records that a machine has left for good.
func (r *Recorder) RemoveMachine(machine string) {
	for _, w := range r.waves {
		delete(w.machines, machine)
		delete(w.absent, machine)
	}
}

// FinishWave records that a wave is said to have succeeded.
func (r *Recorder) FinishWave(at time.Time, wave int64) {
	w := r.waves[wave]
	if w == nil || w.reported {
		return
	}
	for m := range w.machines {
		if !w.begun[m] {
			w.reported = true
			r.violate(at, EarlyWaveEnd, Violation{Worker: m, Detail: fmt.Sprintf("wave %d has succeeded without this machine", wave)})
		}
	}
}
