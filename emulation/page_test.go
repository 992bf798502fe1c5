package emulation

import (
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// rows returns the names and defaults of keys.
func rows[T any](keys []key[T]) [][2]string {
	var r [][2]string
	for _, k := range keys {
		r = append(r, [2]string{k.name, k.defaultValue})
	}
	return r
}

// Guards against settings that the page does not name, and against other defaults on the page.
func TestSettingsPage(t *testing.T) {
	b, err := os.ReadFile("../docs/emulator.md")
	qt.Assert(t, err, qt.IsNil)
	var keys [][2]string
	for _, r := range [][][2]string{
		rows(emulationKeys), rows(storeKeys), rows(workerKeys), rows(machineKeys), rows(poolKeys), rows(queueKeys), rows(accountKeys),
	} {
		keys = append(keys, r...)
	}
	for _, k := range keys {
		found := false
		for line := range strings.Lines(string(b)) {
			found = found || strings.Contains(line, "`"+k[0]+"`") && strings.Contains(line, k[1])
		}
		qt.Check(t, found, qt.IsTrue, qt.Commentf("%s, default %s", k[0], k[1]))
	}
}
