package fleet

import (
	"bytes"
	"encoding/json"

	"egretdrum.example/change"
)

// Apply returns the next version of the configuration, which contains c. The whole
// document is validated, so a change that contradicts another object is refused.
func (cfg *Config) Apply(c change.Change) (*Config, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	next := cfg.clone()
	c.Version = cfg.Version + 1
	if err := next.replaceObject(c); err != nil {
		return nil, err
	}
	if err := next.Validate(); err != nil {
		return nil, err
	}
	next.keyOwners()
	return next, nil
}

// Object returns the JSON form of one object, empty if it does not exist.
func (cfg *Config) Object(kind, name string) (json.RawMessage, error) {
	return cfg.object(kind, name)
}

func (cfg *Config) object(kind, name string) (json.RawMessage, error) {
	switch kind {
	case change.KindContract:
		return encodeEntry(cfg.Contracts, name)
	case change.KindService:
		return encodeEntry(cfg.Services, name)
	case change.KindPool:
		return encodeEntry(cfg.Pools, name)
	case change.KindWave:
		return encodeEntry(cfg.Waves, name)
	case change.KindZone:
		return encodeEntry(cfg.Zones, name)
	default:
		return encodeEntry(cfg.Workers, name)
	}
}

func (cfg *Config) setObject(kind, name string, after json.RawMessage) error {
	switch kind {
	case change.KindContract:
		return decodeEntry(cfg.Contracts, name, after)
	case change.KindService:
		return decodeEntry(cfg.Services, name, after)
	case change.KindPool:
		return decodeEntry(cfg.Pools, name, after)
	case change.KindWave:
		return decodeEntry(cfg.Waves, name, after)
	case change.KindZone:
		return decodeEntry(cfg.Zones, name, after)
	default:
		return decodeEntry(cfg.Workers, name, after)
	}
}

func encodeEntry[V any](m map[string]V, name string) (json.RawMessage, error) {
	v, ok := m[name]
	if !ok {
		return nil, nil
	}
	b, err := json.Marshal(v)
	if err != nil {
		return nil, &DecodeError{Err: err}
	}
	return b, nil
}

func decodeEntry[V any](m map[string]V, name string, after json.RawMessage) error {
	if isEmpty(after) {
		delete(m, name)
		return nil
	}
	var v V
	d := json.NewDecoder(bytes.NewReader(after))
	d.DisallowUnknownFields()
	if err := d.Decode(&v); err != nil {
		return decodeError(after, err)
	}
	if d.InputOffset() != int64(len(bytes.TrimRight(after, " \t\r\n"))) {
		return &DecodeError{Position: position(after, d.InputOffset()), Err: errTrailing}
	}
	m[name] = v
	return nil
}

func equalJSON(a, b json.RawMessage) bool {
	if isEmpty(a) || isEmpty(b) {
		return isEmpty(a) && isEmpty(b)
	}
	var x, y bytes.Buffer
	if json.Compact(&x, a) != nil || json.Compact(&y, b) != nil {
		return false
	}
	return bytes.Equal(x.Bytes(), y.Bytes())
}

func isEmpty(m json.RawMessage) bool { return len(m) == 0 || string(m) == "null" }
