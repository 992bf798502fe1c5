package emulator

import (
	"net/http"
	"slices"
	"strings"
)

// changeKeys changes the keys of the account that a command names.
func (e *Emulator) changeKeys(r *http.Request, change func(keys []string, key string) ([]string, error)) (any, error) {
	var body struct {
		Account string `json:"account"`
		Key     string `json:"key"`
	}
	if err := readCommand(r, &body); err != nil {
		return nil, err
	}
	a := e.catalog.Accounts[body.Account]
	if a == nil {
		return nil, &notFoundError{"account", body.Account}
	}
	keys, err := change(slices.Clone(a.Keys), body.Key)
	if err != nil {
		return nil, err
	}
	return e.change(map[string]map[string]string{"account." + a.Name: {"keys": strings.Join(keys, ",")}}, nil)
}

func (e *Emulator) withdrawKey(r *http.Request) (any, error) {
	return e.changeKeys(r, func(keys []string, key string) ([]string, error) {
		if !slices.Contains(keys, key) {
			return nil, &notFoundError{"key", key}
		}
		return slices.DeleteFunc(keys, func(k string) bool { return k == key }), nil
	})
}

func (e *Emulator) addKey(r *http.Request) (any, error) {
	return e.changeKeys(r, func(keys []string, key string) ([]string, error) { return append(keys, key), nil })
}
