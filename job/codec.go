package job

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// encMode keeps fractions of a second, which the default of the library cuts off: due
// times would come up to a second early.
var encMode = newEncMode()

func newEncMode() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		panic(fmt.Sprintf("constant options: %v", err))
	}
	return mode
}

// Encode returns the stored form of the job. Times are kept to the microsecond.
func (j *Job) Encode() ([]byte, error) { return encMode.Marshal(j) }

// Decode reads the stored form of a job. It does not check the job.
func Decode(b []byte) (*Job, error) {
	j := new(Job)
	if err := cbor.Unmarshal(b, j); err != nil {
		return nil, err
	}
	for i := range j.Steps {
		if err := j.Steps[i].check(i); err != nil {
			return nil, err
		}
	}
	return j, nil
}
