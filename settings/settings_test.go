package settings

import (
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/platform"
)

// fixture holds the values of a valid settings file, by "section key", and a directory for
// the files that it names.
type fixture struct {
	dir    string
	values map[string]string
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{dir: t.TempDir()}
	server := httptest.NewTLSServer(nil)
	defer server.Close()
	pair := server.TLS.Certificates[0]
	key, err := x509.MarshalPKCS8PrivateKey(pair.PrivateKey)
	qt.Assert(t, err, qt.IsNil)
	certificate := f.writeFile(t, "host.pem", string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: pair.Certificate[0]})))
	f.values = map[string]string{
		"entry name": "entry-1", "entry zone": "a", "entry callers-address": "127.0.0.1:8080", "entry operator-address": "[::1]:8081",
		"entry stop-timeout": "30s", "store url": "http://127.0.0.1:7000/", "store timeout": "250ms",
		"peers address": "127.0.0.1:8082", "peers secret-file": f.writeFile(t, "secret", "0123456789abcdef\n"),
		"tls certificate-file": certificate, "tls peer-ca-file": certificate,
		"tls key-file":          f.writeFile(t, "key.pem", string(pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: key}))),
		"limits max-body-bytes": "1048576", "limits max-connections": "500", "limits header-timeout": "5s",
	}
	return f
}

func (f *fixture) writeFile(t *testing.T, name, content string) string {
	path := filepath.Join(f.dir, name)
	qt.Assert(t, os.WriteFile(path, []byte(content), 0o600), qt.IsNil)
	return path
}

// load writes the settings file with more appended and loads it.
func (f *fixture) load(t *testing.T, more string) (*Settings, []*FaultError) {
	var text strings.Builder
	for _, section := range sectionNames() {
		fmt.Fprintf(&text, "[%s]\n", section)
		for _, k := range keys {
			if v, ok := f.values[k.section+" "+k.name]; ok && k.section == section {
				fmt.Fprintf(&text, "%s = %s\n", k.name, v)
			}
		}
	}
	s, err := Load(f.writeFile(t, "entry.ini", text.String()+more))
	if err == nil {
		return s, nil
	}
	var faults *FaultsError
	qt.Assert(t, errors.As(err, &faults), qt.IsTrue)
	qt.Check(t, strings.Count(err.Error(), "\n")+1, qt.Equals, len(faults.Faults))
	return nil, faults.Faults
}

// checkOneFault checks that there is exactly one fault, with these fields and error text.
func checkOneFault(t *testing.T, faults []*FaultError, section, key, reason, accepted string) {
	t.Helper()
	qt.Assert(t, faults, qt.HasLen, 1, qt.Commentf("%v", faults))
	f := faults[0]
	qt.Check(t, []string{f.Section, f.Key, f.Accepted}, qt.DeepEquals, []string{section, key, accepted})
	qt.Check(t, f.Reason, qt.Contains, reason)
	for _, part := range []string{"entry.ini: ", section, key, reason, "; accepted: " + accepted} {
		qt.Check(t, f.Error(), qt.Contains, part)
	}
}

var invalidValues = map[string][]string{
	"entry name": {"A", "a b", "-a", strings.Repeat("a", 64)}, "entry zone": {"Z", "a/b"},
	"entry callers-address": {"localhost:80", "127.0.0.1", "127.0.0.1:99999"}, "entry operator-address": {":8081", "x"},
	"entry stop-timeout": {"0s", "11m", "10"},
	"store url":          {"127.0.0.1:7000", "ftp://127.0.0.1:7000", "http://store:7000", "http://127.0.0.1:7000/kv", "http://a@127.0.0.1:7000"},
	"store timeout":      {"9ms", "31s", "soon"}, "peers address": {"peer:1"}, "peers secret-file": {"/none/secret"},
	"tls certificate-file": {"/none/host.pem"}, "tls key-file": {"/none/key.pem"}, "tls peer-ca-file": {"/none/ca.pem", "."},
	"limits max-body-bytes": {"0", "1GB", "1099511627777"}, "limits max-connections": {"0", "1000001", "-5"}, "limits header-timeout": {"99ms", "6m"},
}

// TestEachKeyIsValidated guards, for each key, against an invalid, empty, repeated or missing
// value that is accepted, or whose fault does not name file, section, key, reason and
// accepted form.
func TestEachKeyIsValidated(t *testing.T) {
	for _, k := range keys {
		name := k.section + " " + k.name
		t.Run(name, func(t *testing.T) {
			qt.Check(t, len(invalidValues[name]) > 0, qt.IsTrue)
			for _, v := range invalidValues[name] {
				f := newFixture(t)
				f.values[name] = v
				_, faults := f.load(t, "")
				checkOneFault(t, faults, k.section, k.name, "", k.accepted)
			}
			f := newFixture(t)
			good := f.values[name]
			f.values[name] = ""
			_, faults := f.load(t, "")
			checkOneFault(t, faults, k.section, k.name, "is empty", k.accepted)
			f.values[name] = good + "\n" + k.name + " = " + good
			_, faults = f.load(t, "")
			checkOneFault(t, faults, k.section, k.name, "is set 2 times", "one value: "+k.accepted)
			if delete(f.values, name); k.section == "tls" {
				return
			}
			_, faults = f.load(t, "")
			if !k.required {
				qt.Check(t, faults, qt.HasLen, 0)
				return
			}
			checkOneFault(t, faults, k.section, k.name, "is missing", k.accepted)
		})
	}
}

// TestAllFaultsAreReported guards against a Load that stops at the first fault.
func TestAllFaultsAreReported(t *testing.T) {
	f := newFixture(t)
	for name := range f.values {
		f.values[name] = invalidValues[name][0]
	}
	_, faults := f.load(t, "")
	qt.Check(t, faults, qt.HasLen, len(keys))
	f.values = nil
	_, faults = f.load(t, "")
	required := 0
	for _, k := range keys {
		if k.required {
			required++
		}
	}
	qt.Check(t, faults, qt.HasLen, required)
}

// TestUnknownKeysAndSections guards against a misspelt key or section that is silently ignored.
func TestUnknownKeysAndSections(t *testing.T) {
	f := newFixture(t)
	_, faults := f.load(t, "max-conections = 3\n")
	checkOneFault(t, faults, "limits", "max-conections", "is not a known key", "header-timeout, max-body-bytes, max-connections")
	_, faults = f.load(t, "[limit]\nmax-connections = 3\n")
	checkOneFault(t, faults, "limit", "", "is not a known section", "entry, store, peers, tls, limits")
	_, faults = f.load(t, "[DEFAULT]\nname = a\n")
	checkOneFault(t, faults, "", "name", "is outside any section", "a key in one of the sections entry, store, peers, tls, limits")
	_, faults = f.load(t, "no delimiter\n")
	checkOneFault(t, faults, "", "", "no delimiter", "an INI file with [section] and key = value lines")
	_, err := Load(filepath.Join(f.dir, "none.ini"))
	qt.Check(t, err, qt.ErrorMatches, ".*none.ini: .*; accepted: an INI file.*")
}

// TestInvalidCombinations guards against accepting values that are valid by themselves but
// cannot be used together.
func TestInvalidCombinations(t *testing.T) {
	for name, test := range map[string]struct{ set, value, section, key, reason string }{
		"certificate without key":                 {"tls key-file", "", "tls", "certificate-file", "without key-file"},
		"authority without certificate":           {"tls certificate-file,tls key-file", "", "tls", "peer-ca-file", "without certificate-file"},
		"key of another pair":                     {"tls key-file", "host.pem", "tls", "key-file", "does not fit certificate-file"},
		"operator address equals callers address": {"entry operator-address", "127.0.0.1:8080", "entry", "operator-address", "is also callers-address"},
		"peer address equals callers address":     {"peers address", "127.0.0.1:8080", "peers", "address", "is also an address"},
		"short secret":                            {"peers secret-file", "short", "peers", "secret-file", "names a file with 5 bytes"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.writeFile(t, "short", "abcde")
			for set := range strings.SplitSeq(test.set, ",") {
				switch {
				case test.value == "":
					delete(f.values, set)
				case strings.Contains(test.value, ":"):
					f.values[set] = test.value
				default:
					f.values[set] = filepath.Join(f.dir, test.value)
				}
			}
			_, faults := f.load(t, "")
			qt.Assert(t, faults, qt.HasLen, 1, qt.Commentf("%v", faults))
			checkOneFault(t, faults, test.section, test.key, test.reason, faults[0].Accepted)
		})
	}
}

// TestFieldsAndDefaults guards against a value that is stored in the wrong field, and against
// a default that is not applied.
func TestFieldsAndDefaults(t *testing.T) {
	f := newFixture(t)
	s, faults := f.load(t, "")
	qt.Assert(t, faults, qt.HasLen, 0)
	qt.Check(t, []any{
		s.Name, s.Zone, s.CallersAddress.String(), s.OperatorAddress.String(), s.PeerAddress.String(), s.StoreURL, s.StoreTimeout, s.ClusterSecret,
		s.CertificateFile, s.KeyFile, s.PeerCAFile, s.MaxBodyBytes, s.MaxConnections, s.HeaderTimeout, s.StopTimeout,
	}, qt.DeepEquals, []any{
		"entry-1", "a", "127.0.0.1:8080", "[::1]:8081", "127.0.0.1:8082", "http://127.0.0.1:7000", 250 * time.Millisecond, "0123456789abcdef",
		f.values["tls certificate-file"], f.values["tls key-file"], f.values["tls peer-ca-file"], int64(1048576), 500, 5 * time.Second, 30 * time.Second,
	})
	for _, k := range keys {
		if !k.required {
			delete(f.values, k.section+" "+k.name)
		}
	}
	s, faults = f.load(t, "")
	qt.Assert(t, faults, qt.HasLen, 0)
	qt.Check(t, []any{s.StoreTimeout, s.MaxBodyBytes, s.MaxConnections, s.HeaderTimeout, s.StopTimeout, s.CertificateFile}, qt.DeepEquals,
		[]any{time.Second, int64(1 << 30), 20000, 10 * time.Second, 65 * time.Second, ""})
}

const pageHead = `# Settings

The settings file of an entry host is an INI file. ` + "`egretdrum check-config FILE`" + ` prints every fault in it, one line each, and ends with code 1 if there is one. Unknown sections and keys, empty values and keys that are set twice are faults.

This page is made from the key tables in ` + "`settings/keys.go` and `platform/ownsettings.go`" + `. After a change there: ` + "`EGRETDRUM_UPDATE_DOCS=1 go test ./settings -run TestSettingsPage`" + `.
`

const platformHead = `
## The platform's settings file

` + "`egretdrum platform-host`" + ` reads the settings file of the users' platform, whose lines have the form ` + "`key=value`" + `. These keys are egretdrum's own. They may be missing; a value that is not accepted is a fault.

| key | accepted | default | meaning |
|---|---|---|---|
`

// TestSettingsPage guards against a docs/settings.md that differs from the key tables.
func TestSettingsPage(t *testing.T) {
	var want strings.Builder
	want.WriteString(pageHead)
	for _, section := range sectionNames() {
		fmt.Fprintf(&want, "\n## [%s]\n\n| key | accepted | default | meaning |\n|---|---|---|---|\n", section)
		for _, k := range keys {
			if k.section != section {
				continue
			}
			defaultValue := "none"
			if k.required {
				defaultValue = "required"
			} else if k.defaultValue != "" {
				defaultValue = "`" + k.defaultValue + "`"
			}
			fmt.Fprintf(&want, "| `%s` | %s | %s | %s |\n", k.name, k.accepted, defaultValue, k.description)
		}
	}
	want.WriteString(platformHead)
	for _, k := range platform.OwnSettings() {
		fmt.Fprintf(&want, "| `%s` | %s | `%s` | %s |\n", k.Name, k.Accepted, k.Default, k.Meaning)
	}
	file := filepath.Join("..", "docs", "settings.md")
	if os.Getenv("EGRETDRUM_UPDATE_DOCS") != "" {
		qt.Assert(t, os.WriteFile(file, []byte(want.String()), 0o644), qt.IsNil)
	}
	page, err := os.ReadFile(file)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(page), qt.Equals, want.String())
}
