// Package settings reads and checks the INI file of an entry host.
package settings

import (
	"net/netip"
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
	f, err := ini.LoadSources(ini.LoadOptions{AllowShadows: false, KeyValueDelimiters: "="}, file)
	if err != nil {
		return nil, &FaultsError{Faults: []*FaultError{{File: file, Reason: err.Error(), Accepted: "an INI file with [section] and key = value lines"}}}
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
	faults.Faults = append(faults.Faults, s.checkTogether(file)...)
	if len(faults.Faults) > 0 {
		return nil, faults
	}
	return s, nil
}

func readKey(file string, f *ini.File, k key, s *Settings) *FaultError {
	value := k.preset
	if sec, err := f.GetSection(k.section); err == nil && sec.HasKey(k.name) {
		value = sec.Key(k.name).String()
	}
	if value == "" && k.required {
		return &FaultError{File: file, Section: k.section, Key: k.name, Reason: "is missing", Accepted: k.accepted}
	}
	if value == "" {
		return nil
	}
	if err := k.set(s, value); err != nil {
		return &FaultError{File: file, Section: k.section, Key: k.name, Reason: err.Error(), Accepted: k.accepted}
	}
	return nil
}

func unknownKeys(file string, f *ini.File, known map[string]map[string]bool) []*FaultError {
	var faults []*FaultError
	for _, sec := range f.Sections() {
		if sec.Name() == ini.DefaultSection && len(sec.Keys()) == 0 {
			continue
		}
		if known[sec.Name()] == nil {
			faults = append(faults, &FaultError{File: file, Section: sec.Name(), Reason: "is not a known section", Accepted: "entry, store, peers, tls, limits"})
			continue
		}
		for _, k := range sec.Keys() {
			if !known[sec.Name()][k.Name()] {
				faults = append(faults, &FaultError{File: file, Section: sec.Name(), Key: k.Name(), Reason: "is not a known key", Accepted: "see docs/settings.md"})
			}
		}
	}
	return faults
}

func (s *Settings) checkTogether(file string) []*FaultError {
	var faults []*FaultError
	if (s.CertificateFile == "") != (s.KeyFile == "") {
		faults = append(faults, &FaultError{File: file, Section: "tls", Key: "certificate-file", Reason: "is set without key-file or the other way round", Accepted: "both or neither"})
	}
	if s.PeerCAFile != "" && s.CertificateFile == "" {
		faults = append(faults, &FaultError{File: file, Section: "tls", Key: "peer-ca-file", Reason: "is set without certificate-file", Accepted: "a certificate for this host as well"})
	}
	return faults
}
