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
)

// bench is a valid settings file, by "section key", and a directory for its files.
type bench struct {
	dir    string
	values map[string]string
}

func newBench(t *testing.T) *bench {
	b := &bench{dir: t.TempDir()}
	server := httptest.NewTLSServer(nil)
	defer server.Close()
	pair := server.TLS.Certificates[0]
	key, err := x509.MarshalPKCS8PrivateKey(pair.PrivateKey)
	qt.Assert(t, err, qt.IsNil)
	certificate := b.file(t, "host.pem", string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: pair.Certificate[0]})))
	b.values = map[string]string{
		"entry name": "entry-1", "entry zone": "a", "entry callers-address": "127.0.0.1:8080", "entry operator-address": "[::1]:8081",
		"entry stop-timeout": "30s", "store url": "http://127.0.0.1:7000/", "store timeout": "250ms",
		"peers address": "127.0.0.1:8082", "peers secret-file": b.file(t, "secret", "0123456789abcdef\n"),
		"tls certificate-file": certificate, "tls peer-ca-file": certificate,
		"tls key-file":          b.file(t, "key.pem", string(pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: key}))),
		"limits max-body-bytes": "1048576", "limits max-connections": "500", "limits header-timeout": "5s",
	}
	return b
}

func (b *bench) file(t *testing.T, name, content string) string {
	path := filepath.Join(b.dir, name)
	qt.Assert(t, os.WriteFile(path, []byte(content), 0o600), qt.IsNil)
	return path
}

// load writes the file, with more lines at its end, and loads it.
func (b *bench) load(t *testing.T, more string) (*Settings, []*FaultError) {
	var text strings.Builder
	for _, section := range sectionNames() {
		fmt.Fprintf(&text, "[%s]\n", section)
		for _, k := range keys {
			if v, ok := b.values[k.section+" "+k.name]; ok && k.section == section {
				fmt.Fprintf(&text, "%s = %s\n", k.name, v)
			}
		}
	}
	s, err := Load(b.file(t, "entry.ini", text.String()+more))
	if err == nil {
		return s, nil
	}
	var faults *FaultsError
	qt.Assert(t, errors.As(err, &faults), qt.IsTrue)
	qt.Check(t, strings.Count(err.Error(), "\n")+1, qt.Equals, len(faults.Faults))
	return nil, faults.Faults
}

// check checks that there is exactly one fault, and what its line says.
func check(t *testing.T, faults []*FaultError, section, key, reason, accepted string) {
	t.Helper()
	qt.Assert(t, faults, qt.HasLen, 1, qt.Commentf("%v", faults))
	f := faults[0]
	qt.Check(t, []string{f.Section, f.Key, f.Accepted}, qt.DeepEquals, []string{section, key, accepted})
	qt.Check(t, f.Reason, qt.Contains, reason)
	for _, part := range []string{"entry.ini: ", section, key, reason, "; accepted: " + accepted} {
		qt.Check(t, f.Error(), qt.Contains, part)
	}
}

var bad = map[string][]string{
	"entry name": {"A", "a b", "-a", strings.Repeat("a", 64)}, "entry zone": {"Z", "a/b"},
	"entry callers-address": {"localhost:80", "127.0.0.1", "127.0.0.1:99999"}, "entry operator-address": {":8081", "x"},
	"entry stop-timeout": {"0s", "11m", "10"},
	"store url":          {"127.0.0.1:7000", "ftp://127.0.0.1:7000", "http://store:7000", "http://127.0.0.1:7000/kv", "http://a@127.0.0.1:7000"},
	"store timeout":      {"9ms", "31s", "soon"}, "peers address": {"peer:1"}, "peers secret-file": {"/none/secret"},
	"tls certificate-file": {"/none/host.pem"}, "tls key-file": {"/none/key.pem"}, "tls peer-ca-file": {"/none/ca.pem", "."},
	"limits max-body-bytes": {"0", "1GB", "1099511627777"}, "limits max-connections": {"0", "1000001", "-5"}, "limits header-timeout": {"99ms", "6m"},
}

// TestKeys guards, for each key, against a bad, empty, doubled or missing value that is
// accepted, or whose fault does not name file, section, key, reason and accepted form.
func TestKeys(t *testing.T) {
	for _, k := range keys {
		name := k.section + " " + k.name
		t.Run(name, func(t *testing.T) {
			qt.Check(t, len(bad[name]) > 0, qt.IsTrue)
			for _, v := range bad[name] {
				b := newBench(t)
				b.values[name] = v
				_, faults := b.load(t, "")
				check(t, faults, k.section, k.name, "", k.accepted)
			}
			b := newBench(t)
			good := b.values[name]
			b.values[name] = ""
			_, faults := b.load(t, "")
			check(t, faults, k.section, k.name, "is empty", k.accepted)
			b.values[name] = good + "\n" + k.name + " = " + good
			_, faults = b.load(t, "")
			check(t, faults, k.section, k.name, "is set 2 times", "one value: "+k.accepted)
			if delete(b.values, name); k.section == "tls" {
				return
			}
			_, faults = b.load(t, "")
			if !k.required {
				qt.Check(t, faults, qt.HasLen, 0)
				return
			}
			check(t, faults, k.section, k.name, "is missing", k.accepted)
		})
	}
}

// TestAllAtOnce guards against a check that stops at the first fault.
func TestAllAtOnce(t *testing.T) {
	b := newBench(t)
	for name := range b.values {
		b.values[name] = bad[name][0]
	}
	_, faults := b.load(t, "")
	qt.Check(t, faults, qt.HasLen, len(keys))
	b.values = nil
	_, faults = b.load(t, "")
	required := 0
	for _, k := range keys {
		if k.required {
			required++
		}
	}
	qt.Check(t, faults, qt.HasLen, required)
}

// TestUnknown guards against a misspelt key or section that is passed over.
func TestUnknown(t *testing.T) {
	b := newBench(t)
	_, faults := b.load(t, "max-conections = 3\n")
	check(t, faults, "limits", "max-conections", "is not a known key", "header-timeout, max-body-bytes, max-connections")
	_, faults = b.load(t, "[limit]\nmax-connections = 3\n")
	check(t, faults, "limit", "", "is not a known section", "entry, store, peers, tls, limits")
	_, faults = b.load(t, "[DEFAULT]\nname = a\n")
	check(t, faults, "", "name", "is outside any section", "a key in one of the sections entry, store, peers, tls, limits")
	_, faults = b.load(t, "no delimiter\n")
	check(t, faults, "", "", "no delimiter", "an INI file with [section] and key = value lines")
	_, err := Load(filepath.Join(b.dir, "none.ini"))
	qt.Check(t, err, qt.ErrorMatches, ".*none.ini: .*; accepted: an INI file.*")
}

// TestTogether guards against values that are fine alone and cannot work together.
func TestTogether(t *testing.T) {
	for name, test := range map[string]struct{ set, value, section, key, reason string }{
		"certificate alone":   {"tls key-file", "", "tls", "certificate-file", "without key-file"},
		"authority alone":     {"tls certificate-file,tls key-file", "", "tls", "peer-ca-file", "without certificate-file"},
		"key of another pair": {"tls key-file", "host.pem", "tls", "key-file", "does not fit certificate-file"},
		"operators = callers": {"entry operator-address", "127.0.0.1:8080", "entry", "operator-address", "is also callers-address"},
		"peers = callers":     {"peers address", "127.0.0.1:8080", "peers", "address", "is also an address"},
		"short secret":        {"peers secret-file", "short", "peers", "secret-file", "names a file with 5 bytes"},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.file(t, "short", "abcde")
			for set := range strings.SplitSeq(test.set, ",") {
				switch {
				case test.value == "":
					delete(b.values, set)
				case strings.Contains(test.value, ":"):
					b.values[set] = test.value
				default:
					b.values[set] = filepath.Join(b.dir, test.value)
				}
			}
			_, faults := b.load(t, "")
			qt.Assert(t, faults, qt.HasLen, 1, qt.Commentf("%v", faults))
			check(t, faults, test.section, test.key, test.reason, faults[0].Accepted)
		})
	}
}

// TestValues guards against a value that ends up in another field, or a preset that is
// not used.
func TestValues(t *testing.T) {
	b := newBench(t)
	s, faults := b.load(t, "")
	qt.Assert(t, faults, qt.HasLen, 0)
	qt.Check(t, []any{
		s.Name, s.Zone, s.CallersAddress.String(), s.OperatorAddress.String(), s.PeerAddress.String(), s.StoreURL, s.StoreTimeout, s.ClusterSecret,
		s.CertificateFile, s.KeyFile, s.PeerCAFile, s.MaxBodyBytes, s.MaxConnections, s.HeaderTimeout, s.StopTimeout,
	}, qt.DeepEquals, []any{
		"entry-1", "a", "127.0.0.1:8080", "[::1]:8081", "127.0.0.1:8082", "http://127.0.0.1:7000", 250 * time.Millisecond, "0123456789abcdef",
		b.values["tls certificate-file"], b.values["tls key-file"], b.values["tls peer-ca-file"], int64(1048576), 500, 5 * time.Second, 30 * time.Second,
	})
	for _, k := range keys {
		if !k.required {
			delete(b.values, k.section+" "+k.name)
		}
	}
	s, faults = b.load(t, "")
	qt.Assert(t, faults, qt.HasLen, 0)
	qt.Check(t, []any{s.StoreTimeout, s.MaxBodyBytes, s.MaxConnections, s.HeaderTimeout, s.StopTimeout, s.CertificateFile}, qt.DeepEquals,
		[]any{time.Second, int64(1 << 30), 20000, 10 * time.Second, 65 * time.Second, ""})
}

const pageHead = `# Settings

The settings file of an entry host is an INI file. ` + "`egretdrum check-config FILE`" + ` prints every fault in it, one line each, and ends with code 1 if there is one. Unknown sections and keys, empty values and keys that are set twice are faults.

This page is made from the key table in ` + "`settings/keys.go`" + `. After a change there: ` + "`EGRETDRUM_UPDATE_DOCS=1 go test ./settings -run TestSettingsPage`" + `.
`

// TestSettingsPage guards against a page that does not list the keys as they are.
func TestSettingsPage(t *testing.T) {
	var want strings.Builder
	want.WriteString(pageHead)
	for _, section := range sectionNames() {
		fmt.Fprintf(&want, "\n## [%s]\n\n| key | accepted | default | meaning |\n|---|---|---|---|\n", section)
		for _, k := range keys {
			if k.section != section {
				continue
			}
			preset := "none"
			if k.required {
				preset = "required"
			} else if k.preset != "" {
				preset = "`" + k.preset + "`"
			}
			fmt.Fprintf(&want, "| `%s` | %s | %s | %s |\n", k.name, k.accepted, preset, k.meaning)
		}
	}
	file := filepath.Join("..", "docs", "settings.md")
	if os.Getenv("EGRETDRUM_UPDATE_DOCS") != "" {
		qt.Assert(t, os.WriteFile(file, []byte(want.String()), 0o644), qt.IsNil)
	}
	page, err := os.ReadFile(file)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(page), qt.Equals, want.String())
}
