package latency_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/latency"
)

const (
	least = 100 * time.Millisecond
	most  = 400 * time.Millisecond
)

func ExampleEstimate() {
	var e latency.Estimate
	fmt.Println(e.Timeout(least, most, 0))
	e.Answered(30 * time.Millisecond)
	fmt.Println(e.Timeout(least, most, 0), e.Timeout(least, most, 1))
	// Output:
	// 400ms
	// 240ms 400ms
}

// Guards against an estimate that one slow answer spoils for good, and against bounds that do
// not hold.
func TestEstimateForgets(t *testing.T) {
	var e latency.Estimate
	e.Answered(time.Second)
	qt.Assert(t, e.Timeout(least, most, 0), qt.Equals, most)
	for range 1000 {
		e.Answered(3 * time.Millisecond)
	}
	qt.Assert(t, e.Timeout(least, most, 0), qt.Equals, least)
	qt.Assert(t, e.Timeout(least, most, 100), qt.Equals, most)
}

// Guards against timeouts that stay short when all answers have become slow, and against ones
// that grow because single answers are lost.
func TestMissedAnswers(t *testing.T) {
	var e latency.Estimate
	e.Answered(3 * time.Millisecond)
	e.Missed()
	e.Missed()
	qt.Assert(t, e.Timeout(least, most, 0), qt.Equals, 4*least)
	e.Answered(3 * time.Millisecond)
	qt.Assert(t, e.Timeout(least, most, 0), qt.Equals, least)
}
