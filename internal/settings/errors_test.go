package settings

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"example.org/ryeloft/internal/balancer"
)

// fieldPaths returns the Go paths of all fields of a type, with the index [1] for slices of structs.
func fieldPaths(of reflect.Type, prefix string) []string {
	var paths []string
	for i := range of.NumField() {
		field := of.Field(i)
		paths = append(paths, prefix+field.Name)
		if field.Type.Kind() == reflect.Slice && field.Type.Elem().Kind() == reflect.Struct {
			paths = append(paths, fieldPaths(field.Type.Elem(), prefix+field.Name+"[1].")...)
		}
	}
	return paths
}

// keyPaths returns the paths of all keys of a document type, with the index [1] for slices.
func keyPaths(of reflect.Type, prefix string) []string {
	var paths []string
	for i := range of.NumField() {
		field := of.Field(i)
		path := prefix + field.Tag.Get("json")
		paths = append(paths, path)
		inner := field.Type
		if inner.Kind() == reflect.Slice {
			inner, path = inner.Elem(), path+"[1]"
		}
		if inner.Kind() == reflect.Struct {
			paths = append(paths, keyPaths(inner, path+".")...)
		}
	}
	return paths
}

// The balancer's check can name any field of its settings. Each field therefore needs a distinct key, and the key must
// exist in the settings document.
func TestEveryFieldHasAKey(t *testing.T) {
	known := map[string]bool{}
	for _, path := range keyPaths(reflect.TypeFor[document](), "") {
		known[path] = true
	}
	fieldByKey := map[string]string{}
	fields := fieldPaths(reflect.TypeFor[balancer.Settings](), "")
	for _, field := range fields {
		key := keyOf(field)
		if !known[key] {
			t.Errorf("%s has the key %q, which is not in the settings document", field, key)
		}
		if fieldByKey[key] != "" {
			t.Errorf("%s and %s have the same key %q", fieldByKey[key], field, key)
		}
		fieldByKey[key] = field
	}
	if len(keyByField) != len(fields) {
		t.Errorf("got %d keys, want %d, one per field", len(keyByField), len(fields))
	}
}

// For each setting that the balancer rejects, the error names both the field and its key.
func TestWithKey(t *testing.T) {
	for _, c := range []struct{ key, old, new, want string }{
		{"replicasOfMe", `:3`, `:0`, "setting Agents (replicasOfMe) cannot be 0"},
		{"rank", `:2`, `:3`, "setting Rank (rank) cannot be 3"},
		{"maxAttempts", `:6`, `:0`, "setting MaxAttempts (limits.maxAttempts) cannot be 0"},
		{"coldFrom", `:0.31`, `:1.5`, "setting SlowStartMinWeight (rules.coldFrom) cannot be 1.5"},
		{"warmAfter", `:8800`, `:-1`, "setting SlowStartDuration (rules.warmAfter) cannot be -1ms"},
		{"overloadFactor", `:2.5`, `:0`, "setting OverloadFactor (rules.overloadFactor) cannot be 0"},
		{"extraWindow", `:7000`, `:-1`, "setting RetryBudgetWindow (rules.extraWindow) cannot be -1ms"},
		{"extraFloor", `:4`, `:-4`, "setting RetryBudgetMin (rules.extraFloor) cannot be -4"},
		{"resendRatio", `:0.15`, `:-0.15`, "setting RetryBudgetRatio (rules.resendRatio) cannot be -0.15"},
		{"tick", `:1.5`, `:-1`, "setting Tick (tick) cannot be -1ms"},
		{"mustAskIn", `:10000`, `:0`, "setting MaxPollInterval (rules.mustAskIn) cannot be 0s"},
		{"categories", `:`, `:[],"x":`, "setting Classes (categories) cannot be empty"},
		{"aim", `:380`, `:0`, "setting Classes[0].LatencyObjective (categories[0].aim) cannot be 0s"},
		{"deadline", `:6000`, `:0`, "setting Classes[1].Deadline (categories[1].deadline) cannot be 0s"},
		{"credit", `:10,`, `:-10,`, "setting Classes[1].PriorityWeight (categories[1].credit) cannot be -10"},
		{"repeatWindow", `:5000`, `:-5`, "setting Classes[1].DedupWindow (categories[1].repeatWindow) cannot be -5ms"},
		{"portion", `:0.75`, `:-0.75`, "setting Tenants[1].Quota (accounts[1].portion) cannot be -0.75"},
	} {
		text := strings.Replace(fullText, fmt.Sprintf("%q%s", c.key, c.old), fmt.Sprintf("%q%s", c.key, c.new), 1)
		if text == fullText {
			t.Fatalf("%s: nothing replaced", c.key)
		}
		s, err := Parse([]byte(text))
		if err != nil {
			t.Fatalf("%s: %v", c.key, err)
		}
		_, err = balancer.New(s.Balancer, 0)
		withKey := WithKey(err)
		if withKey == nil || withKey.Error() != c.want {
			t.Errorf("%s: got error %v, want %s", c.key, withKey, c.want)
		}
		var value *ValueError
		var setting *balancer.SettingError
		if !errors.As(withKey, &value) || !errors.As(withKey, &setting) {
			t.Errorf("%s: got %v, want a *ValueError that wraps a *balancer.SettingError", c.key, withKey)
		}
	}
	if s, err := Parse([]byte(fullText)); err != nil {
		t.Error(err)
	} else if _, err := balancer.New(s.Balancer, 0); WithKey(err) != nil {
		t.Errorf("full text: got error %v, want none", err)
	}
}

// Errors that are not from the balancer's check, or name an unknown field, are returned unchanged.
func TestWithKeyKeepsOtherErrors(t *testing.T) {
	for _, err := range []error{errors.New("other"), &balancer.SettingError{Field: "Classes[1].Colour", Value: 1}} {
		if got := WithKey(err); !errors.Is(got, err) || got.Error() != err.Error() {
			t.Errorf("got %v, want %v", got, err)
		}
	}
	if WithKey(nil) != nil {
		t.Error("got an error for nil")
	}
}
