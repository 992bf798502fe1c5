// Package settings reads and checks the INI file of an entry host.
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

// Settings are the checked values of one file.
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
	// Shadows keep the values of a key that is set more than once, so that this is found.
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
	faults.Faults = append(faults.Faults, s.checkTogether(file, faults.hasTLS("certificate-file"), faults.hasTLS("key-file"))...)
	if len(faults.Faults) > 0 {
		return nil, faults
	}
	return s, nil
}

// readKey sets one value. A key without a value is a fault and not the preset, because
// its author meant to set something.
func readKey(file string, f *ini.File, k key, s *Settings) *FaultError {
	value, present := k.preset, false
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

// checkTogether checks values that depend on each other. Values that are faulty by
// themselves are left out, so that one fault is reported once.
func (s *Settings) checkTogether(file string, badCertificate, badKey bool) []*FaultError {
	var faults []*FaultError
	add := func(section, key, reason, accepted string) {
		faults = append(faults, &FaultError{File: file, Section: section, Key: key, Reason: reason, Accepted: accepted})
	}
	pair := !badCertificate && !badKey
	if pair && (s.CertificateFile == "") != (s.KeyFile == "") {
		add("tls", "certificate-file", "is set without key-file or the other way round", "both or neither")
	}
	if s.PeerCAFile != "" && s.CertificateFile == "" && !badCertificate {
		add("tls", "peer-ca-file", "is set without certificate-file", "a certificate for this host as well")
	}
	if pair && s.CertificateFile != "" && s.KeyFile != "" {
		if _, err := tls.LoadX509KeyPair(s.CertificateFile, s.KeyFile); err != nil {
			add("tls", "key-file", "does not fit certificate-file: "+err.Error(), "the private key of the certificate")
		}
	}
	if isSame(s.CallersAddress, s.OperatorAddress) {
		add("entry", "operator-address", "is also callers-address", "an address of its own")
	}
	if isSame(s.PeerAddress, s.CallersAddress) || isSame(s.PeerAddress, s.OperatorAddress) {
		add("peers", "address", "is also an address of [entry]", "an address of its own")
	}
	return faults
}

// isSame reports whether two listeners would collide. Port 0 is chosen by the system
// for each listener.
func isSame(a, b netip.AddrPort) bool { return a == b && a.IsValid() && a.Port() != 0 }
