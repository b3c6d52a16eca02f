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

// ReloadResult is the reloaded configuration, or the error that makes it unusable.
type ReloadResult struct {
	Config *Config
	Err    error
}

// Reload reads and checks the configuration file that is to replace the current configuration. Its error names the file
// and the invalid field.
func Reload(path string, current *Config) ReloadResult {
	next, err := read(path, func(text []byte) (*Config, error) { return ParseReload(text, current) })
	return ReloadResult{Config: next, Err: err}
}

// Watch reloads the file on each signal and sends the result, until ctx is done. A rejected file does not change the
// configuration that the next one is checked against. Signals that arrive while a result is being sent count as one,
// since the file is read after the last of them.
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

// ParseReload parses and checks a configuration that is to replace the current one. Its errors name the invalid field.
// It rejects a text that lacks a key of the current configuration, since a truncated file would silently reset the
// missing values to zero.
func ParseReload(text []byte, current *Config) (*Config, error) {
	next, err := Parse(text)
	if err != nil {
		return nil, err
	}
	if err := checkKeysPresent(current.contents, next.contents); err != nil {
		return nil, err
	}
	if err := checkDedupKeys(classesIn(current.contents), classesIn(next.contents)); err != nil {
		return nil, err
	}
	return next, nil
}

// dedupKeys are the keys that tell where and for how long servers recognize a repeated request. Only the classes of
// keyed requests have them. A missing dedupScope would be read as the whole fleet.
var dedupKeys = []string{"dedupScope", "repeatWindow"}

// checkDedupKeys returns a *settings.FieldError for the first class of keyed requests in next that lacks one of
// dedupKeys, unless such a class of the current configuration does without the key as well. Classes that are new or have
// another effect are not compared by missingKey.
func checkDedupKeys(current, next []map[string]any) error {
	for _, key := range dedupKeys {
		optional := slices.ContainsFunc(current, func(c map[string]any) bool { return isKeyed(c) && c[key] == nil })
		for i, class := range next {
			if isKeyed(class) && class[key] == nil && !optional {
				return &settings.FieldError{Field: fmt.Sprintf("settings.categories[%d].%s", i, key), Err: ErrMissing}
			}
		}
	}
	return nil
}

func isKeyed(class map[string]any) bool { return class["effect"] == "token" }

// classesIn returns the classes of a decoded configuration that has been parsed without an error.
func classesIn(contents any) (classes []map[string]any) {
	set, _ := contents.(map[string]any)["settings"].(map[string]any)
	list, _ := set["categories"].([]any)
	for _, element := range list {
		class, _ := element.(map[string]any)
		classes = append(classes, class)
	}
	return classes
}

// required has the keys that every configuration must contain, since a missing key would be read as zero.
var required = mustDecode(`{"name":"","listen":"","discovery":"","seed":"",
	"limits":{"cores":1,"memory_mb":1,"sockets":1},
	"settings":{"replicasOfMe":1,
		"categories":[{"name":"","aim":1,"deadline":1,"credit":1,"effect":""}],
		"limits":{"maxAttempts":1,"connectTimeout":1},
		"rules":{"coldFrom":1,"overloadFactor":1}}}`)

// decode returns the decoded configuration without its endpoint list, which discovery.Parse checks.
func decode(text []byte) (any, error) {
	var contents map[string]any
	if err := json.Unmarshal(text, &contents); err != nil {
		return nil, err
	}
	delete(contents, "known")
	return contents, nil
}

// mustDecode is like decode and panics on an error. It is for constant texts.
func mustDecode(text string) any {
	contents, err := decode([]byte(text))
	if err != nil {
		panic(err)
	}
	return contents
}

// checkKeysPresent returns a *settings.FieldError for the first key of reference that contents lacks.
func checkKeysPresent(reference, contents any) error {
	if field := missingKey(reference, contents, ""); field != "" {
		return &settings.FieldError{Field: field, Err: ErrMissing}
	}
	return nil
}

// missingKey returns the path of a key of reference that contents lacks, or "" if there is none. Both values are at the
// given path.
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

// missingInList checks that each object of the list in contents has the keys that all objects in reference share, and all
// keys of the object of the same name. A class with another effect may need other keys, so it is not the same.
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
		inner := fmt.Sprintf("%s[%d]", path, i)
		if missing := missingInObject(common, element, inner); missing != "" {
			return missing
		}
		if missing := missingKey(sameObject(reference, element), element, inner); missing != "" {
			return missing
		}
	}
	return ""
}

// sameObject returns the object of a list that has the name and the effect of the given object, or nil if there is none.
func sameObject(list []any, object any) any {
	wanted, _ := object.(map[string]any)
	i := slices.IndexFunc(list, func(element any) bool {
		o, _ := element.(map[string]any)
		return o["name"] != nil && o["name"] == wanted["name"] && o["effect"] == wanted["effect"]
	})
	if i < 0 {
		return nil
	}
	return list[i]
}

// commonKeys returns an object with the keys that all objects of a list share, or nil if the list is empty or has
// elements that are not objects. The values only mark a key as present, so nested keys are not compared.
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
