package dispatch

import (
	"time"

	"egretdrum.example/job"
	"egretdrum.example/ownerlink"
)

// ShortPools returns the names of the pools that are short of room, none while this host is not the
// owner or its lease is not confirmed.
func (o *Owner) ShortPools() []string {
	l, pools := o.linkTerm.Load(), o.shortPools.Load()
	if l == nil || pools == nil || !l.term.Valid() {
		return nil
	}
	return *pools
}

// noteShortPools publishes which pools are short of room.
func (o *Owner) noteShortPools(now time.Time) {
	pools := o.core.ShortPools(now)
	if last := o.shortPools.Load(); len(pools) > 0 || last != nil && len(*last) > 0 {
		o.shortPools.Store(&pools)
		o.Meter.Gauge("short_pools", float64(len(pools)))
	}
}

// Forecast answers when an encoded job would be done by calling reply, from the scheduling loop; nil
// stands for no forecast. If the queue of queries is full, there is none.
func (o *Owner) Forecast(encoded []byte, reply func(*ownerlink.Forecast)) {
	l := o.linkTerm.Load()
	j, err := job.Decode(encoded)
	if l == nil || err != nil {
		reply(nil)
		return
	}
	select {
	case l.queries <- func() { reply(o.forecast(j, time.Now())) }:
	default:
		reply(nil)
	}
}

func (o *Owner) forecast(j *job.Job, now time.Time) *ownerlink.Forecast {
	f, ok := o.core.Forecast(j, now)
	if !ok || !o.term.Valid() {
		return nil
	}
	return &ownerlink.Forecast{Refuse: f.Refuse, DoneIn: f.DoneIn, Objective: f.Objective, ErrorFactor: f.ErrorFactor, RoomIn: f.RoomIn, PlanAge: f.PlanAge}
}
