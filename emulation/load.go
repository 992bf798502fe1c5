package emulation

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strings"

	"gopkg.in/ini.v1"

	"egretdrum.example/catalog"
	"egretdrum.example/settings"
)

// File is a settings file whose sections can be changed while the emulation runs. It is not
// safe for concurrent use.
type File struct {
	name string
	ini  *ini.File
}

// Load reads a file.
func Load(name string) (*File, *Settings, error) { return load(name, name) }

// Parse is Load for the content of a file.
func Parse(name string, content []byte) (*File, *Settings, error) { return load(name, content) }

func load(name string, source any) (*File, *Settings, error) {
	// Shadows keep all values of a key that is set more than once, so that a fault can be reported.
	loaded, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true, AllowDuplicateShadowValues: true, KeyValueDelimiters: "="}, source)
	if err != nil {
		reason := strings.Join(strings.Fields(err.Error()), " ")
		return nil, nil, faultsError([]*settings.FaultError{{File: name, Reason: reason, Accepted: "an INI file with [section] and key = value lines"}})
	}
	f := &File{name, loaded}
	s, err := f.settings()
	return f, s, err
}

func faultsError(faults []*settings.FaultError) error { return &settings.FaultsError{Faults: faults} }

// changeable are the prefixes of the sections that Change accepts.
var changeable = []string{"pool.", "queue.", "account."}

// Change sets keys of sections and removes sections, and returns the resulting settings. After
// an error the file is unchanged.
func (f *File) Change(set map[string]map[string]string, remove []string) (*Settings, error) {
	changed, err := f.copy()
	if err != nil {
		return nil, err
	}
	for _, name := range slices.Concat(slices.Sorted(maps.Keys(set)), remove) {
		if !slices.ContainsFunc(changeable, func(prefix string) bool { return strings.HasPrefix(name, prefix) }) {
			return nil, faultsError([]*settings.FaultError{{File: f.name, Section: name, Reason: "cannot be changed while the emulation runs", Accepted: "pool.NAME, queue.NAME and account.NAME"}})
		}
	}
	for name, values := range set {
		for key, value := range values {
			changed.ini.Section(name).DeleteKey(key)
			changed.ini.Section(name).Key(key).SetValue(value)
		}
	}
	for _, name := range remove {
		changed.ini.DeleteSection(name)
	}
	s, err := changed.settings()
	if err != nil {
		return nil, err
	}
	f.ini = changed.ini
	return s, nil
}

func (f *File) copy() (*File, error) {
	var content bytes.Buffer
	if _, err := f.ini.WriteTo(&content); err != nil {
		return nil, err
	}
	c, _, err := load(f.name, content.Bytes())
	return c, err
}

// reader reads sections and collects the faults.
type reader struct {
	file   *File
	faults []*settings.FaultError
}

func (r *reader) fault(section, key, reason, accepted string) {
	r.faults = append(r.faults, &settings.FaultError{File: r.file.name, Section: section, Key: key, Reason: reason, Accepted: accepted})
}

// settings reads all sections and reports all faults at once.
func (f *File) settings() (*Settings, error) {
	r := &reader{file: f}
	s := &Settings{}
	fixed := map[string][]key[Settings]{"emulation": emulationKeys, "store": storeKeys, "workers": workerKeys, "machines": machineKeys}
	for name, keys := range fixed {
		readSection(r, name, keys, s)
	}
	sections := f.ini.Sections()
	slices.SortFunc(sections, func(a, b *ini.Section) int { return strings.Compare(a.Name(), b.Name()) })
	for _, sec := range sections {
		kind, name, _ := strings.Cut(sec.Name(), ".")
		switch {
		case sec.Name() == ini.DefaultSection:
			for _, k := range sec.Keys() {
				r.fault("", k.Name(), "is outside any section", "a key in a section")
			}
		case fixed[sec.Name()] != nil:
		case !slices.Contains(changeable, kind+"."):
			r.fault(sec.Name(), "", "is not a known section", "emulation, store, workers, machines, pool.NAME, queue.NAME, account.NAME")
		case !namePattern.MatchString(name):
			r.fault(sec.Name(), "", "has no valid name", acceptedName)
		default:
			r.readNamed(sec.Name(), kind, name, s)
		}
	}
	r.checkCombinations(s)
	if len(r.faults) > 0 {
		slices.SortStableFunc(r.faults, func(a, b *settings.FaultError) int { return strings.Compare(a.Section, b.Section) })
		return nil, faultsError(r.faults)
	}
	return s, nil
}

func (r *reader) readNamed(section, kind, name string, s *Settings) {
	switch kind {
	case "pool":
		p := Pool{Pool: catalog.Pool{Name: name}}
		readSection(r, section, poolKeys, &p)
		s.Pools = append(s.Pools, p)
	case "queue":
		q := &catalog.Queue{Name: name}
		readSection(r, section, queueKeys, q)
		s.Queues = append(s.Queues, q)
	case "account":
		a := &catalog.Account{Name: name}
		readSection(r, section, accountKeys, a)
		s.Accounts = append(s.Accounts, a)
	}
}

// readSection sets the values of a section. A key that is present but empty is a fault and does
// not get the default, because the author of the file meant to set it.
func readSection[T any](r *reader, section string, keys []key[T], t *T) {
	var names []string
	sec, err := r.file.ini.GetSection(section)
	present := err == nil
	for _, k := range keys {
		names = append(names, k.name)
		value := k.defaultValue
		if present && sec.HasKey(k.name) {
			values := sec.Key(k.name).ValueWithShadows()
			if len(values) > 1 {
				r.fault(section, k.name, fmt.Sprintf("is set %d times", len(values)), "one value: "+k.accepted)
				continue
			}
			if value = sec.Key(k.name).String(); value == "" {
				r.fault(section, k.name, "is empty", k.accepted)
				continue
			}
		} else if value == "" {
			r.fault(section, k.name, "is missing", k.accepted)
			continue
		}
		if err := k.set(t, value); err != nil {
			r.fault(section, k.name, err.Error(), k.accepted)
		}
	}
	if !present {
		return
	}
	for _, k := range sec.Keys() {
		if !slices.Contains(names, k.Name()) {
			r.fault(section, k.Name(), "is not a known key", strings.Join(names, ", "))
		}
	}
}

// checkCombinations checks values that depend on each other.
func (r *reader) checkCombinations(s *Settings) {
	pools := make(map[string]bool)
	for _, p := range s.Pools {
		pools[p.Name] = true
	}
	if len(pools) == 0 {
		r.fault("", "", "has no pool", "at least one section [pool.NAME]")
	}
	routes := make(map[string]string)
	for _, q := range s.Queues {
		if q.Pool != "" && !pools[q.Pool] {
			r.fault("queue."+q.Name, "pool", fmt.Sprintf("%q is not a pool of this file", q.Pool), "the name of a [pool.NAME]")
		}
		if other := routes[q.Host+q.Prefix]; other != "" && q.Prefix != "" {
			r.fault("queue."+q.Name, "prefix", "is also that of queue "+other, "a host and prefix of its own")
		}
		routes[q.Host+q.Prefix] = q.Name
	}
	owners := make(map[string]string)
	for _, a := range s.Accounts {
		for _, k := range a.Keys {
			if owners[k] != "" {
				r.fault("account."+a.Name, "keys", "a key is also that of account "+owners[k], "keys of its own")
			}
			owners[k] = a.Name
		}
	}
}
