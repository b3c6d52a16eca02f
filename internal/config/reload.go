package config

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"example.org/ryeloft/internal/settings"
)

// ReloadResult is the configuration file read again, or why it cannot be used.
type ReloadResult struct {
	Config *Config
	Err    error
}

// Reload reads and checks the file that is to follow a configuration. Its error names the file and the field.
func Reload(path string, current *Config) ReloadResult {
	next, err := read(path, func(text []byte) (*Config, error) { return ParseReload(text, current) })
	return ReloadResult{Config: next, Err: err}
}

// Watch reloads the file at each signal and hands the result on, until the context ends. A file that is rejected leaves the
// present configuration as the one that the next has to follow. Signals that come while a result is handed on are as good
// as one, since the file is read after the last of them.
func Watch(ctx context.Context, path string, current *Config, signals <-chan os.Signal, results chan<- ReloadResult) {
	for {
		select {
		case <-signals:
		case <-ctx.Done():
			return
		}
		next := Reload(path, current)
		if next.Err == nil {
			current = next.Config
		}
		select {
		case results <- next:
		case <-ctx.Done():
			return
		}
	}
}

// ParseReload reads and checks the text that is to follow a configuration. Its errors name the field. It rejects a text
// that lacks a key which the present one has, since a truncated file would silently set what it does not say to zero.
func ParseReload(text []byte, current *Config) (*Config, error) {
	next, err := Parse(text)
	if err != nil {
		return nil, err
	}
	if err := checkKeysPresent(current.contents, next.contents); err != nil {
		return nil, err
	}
	return next, nil
}

// required is the least that a configuration has to say, since a missing key would be taken for zero.
var required = mustDecode(`{"name":"","listen":"","discovery":"","seed":"",
	"limits":{"cores":1,"memory_mb":1,"sockets":1},
	"settings":{"replicasOfMe":1,
		"categories":[{"name":"","aim":1,"deadline":1,"credit":1,"effect":""}],
		"limits":{"maxAttempts":1,"connectTimeout":1},
		"rules":{"coldFrom":1,"overloadFactor":1}}}`)

// decode returns what a configuration says without its endpoint list, which discovery.Parse checks.
func decode(text []byte) (any, error) {
	var contents map[string]any
	if err := json.Unmarshal(text, &contents); err != nil {
		return nil, err
	}
	delete(contents, "known")
	return contents, nil
}

// mustDecode decodes a text of this program.
func mustDecode(text string) any {
	contents, err := decode([]byte(text))
	if err != nil {
		panic(err)
	}
	return contents
}

// checkPresent returns a *settings.FieldError of the first key that the model has and the contents lack.
func checkKeysPresent(reference, contents any) error {
	if field := missingKey(reference, contents, ""); field != "" {
		return &settings.FieldError{Field: field, Err: ErrMissing}
	}
	return nil
}

// missingKey returns the path of a key that the model has and the contents lack, or nothing. The path of both is given.
func missingKey(reference, contents any, path string) string {
	switch reference := reference.(type) {
	case map[string]any:
		return missingInObject(reference, contents, path)
	case []any:
		return missingInList(reference, contents, path)
	}
	return ""
}

func missingInObject(reference map[string]any, contents any, path string) string {
	object, ok := contents.(map[string]any)
	if !ok {
		return path
	}
	for _, key := range slices.Sorted(maps.Keys(reference)) {
		inner := strings.TrimPrefix(path+"."+key, ".")
		if reference[key] != nil && object[key] == nil {
			return inner
		}
		if missing := missingKey(reference[key], object[key], inner); missing != "" {
			return missing
		}
	}
	return ""
}

// missingInList compares each object of a list with the keys that all objects of the model have.
func missingInList(reference []any, contents any, path string) string {
	list, ok := contents.([]any)
	if !ok {
		return path
	}
	common := commonKeys(reference)
	if common == nil {
		return ""
	}
	for i, element := range list {
		if missing := missingInObject(common, element, fmt.Sprintf("%s[%d]", path, i)); missing != "" {
			return missing
		}
	}
	return ""
}

// commonKeys returns an object of the keys that all objects of a list have, or nil if the list is empty or not all of
// its elements are objects. The values only say that something is there, so what is nested is not compared.
func commonKeys(list []any) map[string]any {
	var common map[string]any
	for _, element := range list {
		object, ok := element.(map[string]any)
		if !ok {
			return nil
		}
		if common == nil {
			common = map[string]any{}
			for key, value := range object {
				common[key] = value != nil
			}
		}
		maps.DeleteFunc(common, func(key string, _ any) bool { return object[key] == nil })
	}
	return common
}
