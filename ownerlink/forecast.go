package ownerlink

import (
	"context"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
)

const (
	// forecastTimeout is after how long a host accepts a job without a forecast.
	forecastTimeout = 50 * time.Millisecond
	// shortageInterval is how often an owner says which pools are short of room, maxShortageAge how
	// long a host goes by it: a few messages may be late or lost.
	shortageInterval = 200 * time.Millisecond
	maxShortageAge   = 4 * shortageInterval
	// maxForecastBytes keeps large jobs, which are rare, from holding up other messages.
	maxForecastBytes = 32 << 10
)

// Forecast is what the owner expects of a job that arrives now.
type Forecast struct {
	// Refuse is set if the result of the job would be of no use.
	Refuse bool `cbor:"1,keyasint,omitempty"`
	// DoneIn is the expected time until the job would be done, Objective the time in which it is to be done.
	DoneIn    time.Duration `cbor:"2,keyasint,omitempty"`
	Objective time.Duration `cbor:"3,keyasint,omitempty"`
	// ErrorFactor is the factor by which run times may differ from the expectation.
	ErrorFactor float64 `cbor:"4,keyasint,omitempty"`
	// RoomIn is the time after which such a job is expected to be of use again.
	RoomIn time.Duration `cbor:"5,keyasint,omitempty"`
	// PlanAge is the age of the plan on which the forecast is based.
	PlanAge time.Duration `cbor:"6,keyasint,omitempty"`
}

// shortage has the names of the pools that are short of room, none if all have room again.
type shortage struct {
	Pools []string `cbor:"1,keyasint,omitempty"`
}

// forecasts holds the queries for forecasts and the last shortage that the owner has sent. The mutex of
// the connection guards it.
type forecasts struct {
	pending map[uint64]chan Forecast
	short   []string
	shortAt time.Time
}

// answer passes on a forecast, or keeps a shortage.
func (f *forecasts) answer(r *reply) {
	if r.Shortage != nil {
		f.short, f.shortAt = r.Shortage.Pools, time.Now()
	}
	if answer := f.pending[r.ID]; answer != nil {
		delete(f.pending, r.ID)
		if r.Forecast == nil {
			close(answer)
			return
		}
		answer <- *r.Forecast
	}
}

// end ends the queries whose answers will not arrive any more.
func (f *forecasts) end() {
	for id, answer := range f.pending {
		delete(f.pending, id)
		close(answer)
	}
}

// Short reports whether the owner has said lately that a pool is short of room.
func (l *Link) Short(pool string) bool {
	c := l.current()
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.forecasts.shortAt) < maxShortageAge && slices.Contains(c.forecasts.short, pool)
}

// Forecast asks the owner when an encoded job would be done. It returns false if the owner does not answer
// within 50 ms, or not at all for such a job.
func (l *Link) Forecast(ctx context.Context, job []byte) (Forecast, bool) {
	c := l.current()
	if c == nil || len(job) > maxForecastBytes {
		return Forecast{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, forecastTimeout)
	defer cancel()
	answer := make(chan Forecast, 1)
	c.mu.Lock()
	c.lastID++
	id := c.lastID
	if c.forecasts.pending == nil {
		c.forecasts.pending = make(map[uint64]chan Forecast)
	}
	c.forecasts.pending[id] = answer
	c.mu.Unlock()
	// A late forecast is no sign of a dead connection, which the other queries notice.
	defer func() {
		c.mu.Lock()
		delete(c.forecasts.pending, id)
		c.mu.Unlock()
	}()
	if !c.enqueue(message{ID: id, Forecast: job}, l.log) {
		return Forecast{}, false
	}
	select {
	case f, ok := <-answer:
		return f, ok
	case <-ctx.Done():
		return Forecast{}, false
	}
}

// forecast answers a query for a forecast. Without one, the answer says only that the owner has none.
func (s *Server) forecast(id uint64, job []byte, out chan<- []byte) {
	answer := func(f *Forecast) { s.sendReply(reply{ID: id, Forecast: f}, out) }
	if s.Forecast == nil {
		answer(nil)
		return
	}
	s.Forecast(job, answer)
}

// announceShortage tells a host which pools are short of room: repeatedly while there are any, and once when
// there are none any more.
func (s *Server) announceShortage(ctx context.Context, out chan<- []byte) error {
	if s.ShortPools == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	ticker := time.NewTicker(shortageInterval)
	defer ticker.Stop()
	for announced := false; ; {
		if pools := s.ShortPools(); len(pools) > 0 || announced {
			sent := s.sendReply(reply{Shortage: &shortage{pools}}, out)
			// What could not be sent is sent with the next tick.
			announced = len(pools) > 0 || !sent
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// sendReply queues a reply. It returns false if the queue is full, which the host bears: it does without
// forecasts after a time.
func (s *Server) sendReply(r reply, out chan<- []byte) bool {
	b, err := cbor.Marshal(r)
	if err != nil {
		s.Log.Error("forecast-not-encoded", zap.Error(err))
		return false
	}
	select {
	case out <- b:
		return true
	default:
		return false
	}
}
