package job

import (
	"testing"
	"time"

	"egretdrum.example/property"
	"egretdrum.example/resource"
)

// storedJob is what commit 7e6a023 writes for jobOf7e6a023.
const storedJob = "a90170356330653761323164393462333666380266726f756e6473036861726269746572730466626f617264730582a8010402a3011901f4021901000301031a35a4e90005f506f507f50a61610b6472312d33aa011402a1011907d004810008f509f50c020d6770616972696e670e1a04c4b4000ff51001060307fb41d954fc400fffff081b00000004a817c80009fb41d954fc3d87e76d"

func jobOf7e6a023() *Job {
	return &Job{
		ID: "5c0e7a21d94b36f8", Queue: "rounds", Account: "arbiters", Payload: "boards", Repeat: 3,
		Start: time.UnixMilli(1_700_000_000_250), Interval: 20 * time.Second, Accepted: time.UnixMicro(1_699_999_990_123_500),
		Steps: []Step{
			{Count: 4, Need: resource.Amount{CPU: 500, Memory: 256, Accelerators: 1}, Estimate: 900 * time.Millisecond, Checkpointing: true, Gang: true, Colocated: true, Label: "a", Rack: "r1-3"},
			{Count: 20, Need: resource.Amount{CPU: 2000}, After: []int{0}, Speculative: true, LongRunning: true, MaxPerWorker: 2, Image: "pairing", LatencyTarget: 80 * time.Millisecond, Background: true, MayMiss: 1},
		},
	}
}

// Guards against an entry host that can't read, or reads otherwise, a job that a host of another build
// has accepted.
func TestJobsOfOtherBuildsAreRead(t *testing.T) {
	property.CheckEncoding(t, storedJob, jobOf7e6a023(), (*Job).Encode, decodeRounded)
}

// decodeRounded decodes a job with times to the microsecond, as they are stored as floating-point
// numbers of seconds, which are a part of a microsecond off.
func decodeRounded(b []byte) (*Job, error) {
	j, err := Decode(b)
	if err != nil {
		return nil, err
	}
	j.Start, j.Accepted = j.Start.Round(time.Microsecond), j.Accepted.Round(time.Microsecond)
	return j, nil
}
