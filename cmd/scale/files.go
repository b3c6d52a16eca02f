package main

import (
	"encoding/json"
	"fmt"
	"os"

	"example.org/ryeloft/internal/scale/result"
)

// checkWritable returns an error if an output file cannot be written. It is called before a run and keeps existing
// content.
func checkWritable(field, path string) error {
	if path == "" {
		return nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return usageError{fmt.Errorf("%s: %w", field, err)}
	}
	return f.Close()
}

func writeJSON(path string, v any) error {
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// readRuns reads the results of single runs from the files of the flag --add, by name.
func readRuns(files map[string]string) (map[string]*result.Run, error) {
	all := map[string]*result.Run{}
	for name, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, fmt.Errorf("add: %w", err)
		}
		r := &result.Run{}
		if err := json.Unmarshal(text, r); err != nil {
			return nil, fmt.Errorf("add: %s: %w", file, err)
		}
		all[name] = r
	}
	return all, nil
}
