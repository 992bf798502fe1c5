package command

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/platform"
)

// Guards against an owner that goes on while the store is silent although that is switched off.
func TestOutageContinueIsSwitchedOff(t *testing.T) {
	within := 2 * time.Second
	qt.Assert(t, configWithin(&platform.Settings{ConfigWithin: within, ContinueOutage: true}), qt.Equals, within)
	qt.Assert(t, configWithin(&platform.Settings{ConfigWithin: within}), qt.Equals, time.Duration(0))
}
