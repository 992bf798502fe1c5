package answerlimit_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/answerlimit"
)

// Guards against more answers than the limit at a time, against a place that is not returned or
// is returned twice, and against a call that waits for itself.
func TestAnswersWaitForAPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := answerlimit.New(1)
		short, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		first, releaseFirst := l.Hold(short)
		inner, releaseInner := l.Hold(first)
		qt.Assert(t, answerlimit.Admit(first), qt.IsNil)
		qt.Assert(t, answerlimit.Admit(inner), qt.IsNil)
		releaseInner()
		second, releaseSecond := l.Hold(short)
		qt.Assert(t, answerlimit.Admit(second), qt.ErrorIs, context.DeadlineExceeded)
		releaseSecond()
		qt.Assert(t, answerlimit.Admit(context.Background()), qt.IsNil)
		releaseFirst()
		releaseFirst()
		third, releaseThird := l.Hold(context.Background())
		for range 2 {
			qt.Assert(t, answerlimit.Admit(third), qt.IsNil)
			releaseThird()
		}
	})
}
