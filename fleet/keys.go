package fleet

import "egretdrum.example/teamkey"

// keyOwner is the team that a key belongs to, with the stored form of the key.
type keyOwner struct {
	team string
	key  teamkey.Key
}

// Authenticate returns the team that secret is a key of. It needs one map lookup and one
// hash, independent of the number of teams and keys.
func (cfg *Config) Authenticate(secret string) (team string, ok bool) {
	id, ok := teamkey.ID(secret)
	if !ok {
		return "", false
	}
	owner, ok := cfg.keyOwners()[id]
	if !ok || !owner.key.Verify(secret) {
		return "", false
	}
	return owner.team, true
}

// keyOwners returns the index of keys by id. Decode, Apply and ApplyDelta build it, so that
// no request has to; any other Config builds it on first use.
func (cfg *Config) keyOwners() map[string]keyOwner {
	cfg.indexOnce.Do(func() {
		cfg.byKeyID = make(map[string]keyOwner)
		for team, c := range cfg.Contracts {
			for _, k := range c.Keys {
				cfg.byKeyID[k.ID] = keyOwner{team: team, key: k}
			}
		}
	})
	return cfg.byKeyID
}
