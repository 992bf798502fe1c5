package job

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// encMode keeps fractions of a second. The default of the library truncates them, which makes due
// times up to a second early.
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

// Decode reads the stored form of a job. Of the fields it checks only the steps.
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
