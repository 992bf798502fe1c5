// Package settings reads and validates the INI file of an entry host.
package settings

import (
	"crypto/tls"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Settings holds the validated values of one file.
type Settings struct {
	Name            string
	Zone            string
	CallersAddress  netip.AddrPort
	OperatorAddress netip.AddrPort
	PeerAddress     netip.AddrPort
	StoreURL        string
	StoreTimeout    time.Duration
	ClusterSecret   string
	CertificateFile string
	KeyFile         string
	PeerCAFile      string
	MaxBodyBytes    int64
	MaxConnections  int
	HeaderTimeout   time.Duration
	StopTimeout     time.Duration
}

// Load reads a file and reports all faults in it at once, as a *FaultsError.
func Load(file string) (*Settings, error) {
	// Shadows keep all values of a key that is set more than once, so that readKey can report it.
	f, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true, AllowDuplicateShadowValues: true, KeyValueDelimiters: "="}, file)
	if err != nil {
		reason := strings.Join(strings.Fields(err.Error()), " ")
		return nil, &FaultsError{Faults: []*FaultError{{File: file, Reason: reason, Accepted: "an INI file with [section] and key = value lines"}}}
	}
	s := &Settings{}
	faults := &FaultsError{}
	known := make(map[string]map[string]bool)
	for _, k := range keys {
		if known[k.section] == nil {
			known[k.section] = make(map[string]bool)
		}
		known[k.section][k.name] = true
		faults.add(readKey(file, f, k, s))
	}
	faults.Faults = append(faults.Faults, unknownKeys(file, f, known)...)
	faults.Faults = append(faults.Faults, s.checkCombinations(file, faults.hasTLSFault("certificate-file"), faults.hasTLSFault("key-file"))...)
	if len(faults.Faults) > 0 {
		return nil, faults
	}
	return s, nil
}

// readKey sets one value. A key that is present but empty is a fault and does not get the
// default, because the author of the file meant to set it.
func readKey(file string, f *ini.File, k key, s *Settings) *FaultError {
	value, present := k.defaultValue, false
	if sec, err := f.GetSection(k.section); err == nil && sec.HasKey(k.name) {
		present = true
		values := sec.Key(k.name).ValueWithShadows()
		if len(values) > 1 {
			return &FaultError{File: file, Section: k.section, Key: k.name, Reason: fmt.Sprintf("is set %d times", len(values)), Accepted: "one value: " + k.accepted}
		}
		value = sec.Key(k.name).String()
	}
	switch {
	case present && value == "":
		return &FaultError{File: file, Section: k.section, Key: k.name, Reason: "is empty", Accepted: k.accepted}
	case value == "" && k.required:
		return &FaultError{File: file, Section: k.section, Key: k.name, Reason: "is missing", Accepted: k.accepted}
	case value == "":
		return nil
	}
	if err := k.set(s, value); err != nil {
		return &FaultError{File: file, Section: k.section, Key: k.name, Reason: err.Error(), Accepted: k.accepted}
	}
	return nil
}

func unknownKeys(file string, f *ini.File, known map[string]map[string]bool) []*FaultError {
	var faults []*FaultError
	sections := strings.Join(sectionNames(), ", ")
	for _, sec := range f.Sections() {
		if sec.Name() == ini.DefaultSection {
			for _, k := range sec.Keys() {
				faults = append(faults, &FaultError{File: file, Key: k.Name(), Reason: "is outside any section", Accepted: "a key in one of the sections " + sections})
			}
			continue
		}
		if known[sec.Name()] == nil {
			faults = append(faults, &FaultError{File: file, Section: sec.Name(), Reason: "is not a known section", Accepted: sections})
			continue
		}
		for _, k := range sec.Keys() {
			if !known[sec.Name()][k.Name()] {
				faults = append(faults, &FaultError{File: file, Section: sec.Name(), Key: k.Name(), Reason: "is not a known key", Accepted: strings.Join(slices.Sorted(maps.Keys(known[sec.Name()])), ", ")})
			}
		}
	}
	return faults
}

// sectionNames returns the known sections in the order of the key table.
func sectionNames() []string {
	var names []string
	for _, k := range keys {
		if !slices.Contains(names, k.section) {
			names = append(names, k.section)
		}
	}
	return names
}

// checkCombinations checks values that depend on each other. It skips values that are invalid
// by themselves, so that each fault is reported only once.
func (s *Settings) checkCombinations(file string, badCertificate, badKey bool) []*FaultError {
	var faults []*FaultError
	add := func(section, key, reason, accepted string) {
		faults = append(faults, &FaultError{File: file, Section: section, Key: key, Reason: reason, Accepted: accepted})
	}
	bothValid := !badCertificate && !badKey
	if bothValid && (s.CertificateFile == "") != (s.KeyFile == "") {
		add("tls", "certificate-file", "is set without key-file or the other way round", "both or neither")
	}
	if s.PeerCAFile != "" && s.CertificateFile == "" && !badCertificate {
		add("tls", "peer-ca-file", "is set without certificate-file", "a certificate for this host as well")
	}
	if bothValid && s.CertificateFile != "" && s.KeyFile != "" {
		if _, err := tls.LoadX509KeyPair(s.CertificateFile, s.KeyFile); err != nil {
			add("tls", "key-file", "does not fit certificate-file: "+err.Error(), "the private key of the certificate")
		}
	}
	if collide(s.CallersAddress, s.OperatorAddress) {
		add("entry", "operator-address", "is also callers-address", "an address of its own")
	}
	if collide(s.PeerAddress, s.CallersAddress) || collide(s.PeerAddress, s.OperatorAddress) {
		add("peers", "address", "is also an address of [entry]", "an address of its own")
	}
	return faults
}

// collide reports whether two listeners would use the same address. With port 0 they do not,
// because the system then chooses a port for each listener.
func collide(a, b netip.AddrPort) bool { return a == b && a.IsValid() && a.Port() != 0 }
