// Package property supports property tests and checks them by mutation testing: a test of a rule is
// useful only if it fails when the rule is switched off. Only tests use it.
package property

import (
	"runtime"
	"testing"
)

// recorder records the failure of a test that is expected to fail, and reports nothing.
type recorder struct {
	testing.TB
	failed bool
}

func (r *recorder) Logf(string, ...any)   {}
func (r *recorder) Errorf(string, ...any) { r.failed = true }
func (r *recorder) Fatalf(string, ...any) { r.failed = true; runtime.Goexit() }
func (r *recorder) Error(...any)          { r.failed = true }
func (r *recorder) Fatal(...any)          { r.failed = true; runtime.Goexit() }
func (r *recorder) FailNow()              { r.failed = true; runtime.Goexit() }
func (r *recorder) Failed() bool          { return r.failed }

// Fails reports whether a test fails.
func Fails(t testing.TB, test func(testing.TB)) bool {
	r, ended := &recorder{TB: t}, make(chan struct{})
	go func() {
		defer close(ended)
		test(r)
	}()
	<-ended
	return r.failed
}

// CheckMutants switches on each mutation alone and expects that the test fails.
func CheckMutants(t *testing.T, mutations map[string]*bool, test func(testing.TB)) {
	for name, mutation := range mutations {
		t.Run(name, func(t *testing.T) {
			*mutation = true
			defer func() { *mutation = false }()
			if !Fails(t, test) {
				t.Error("the test passes in spite of the mutation")
			}
		})
	}
}
