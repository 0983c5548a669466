package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// MutationError means that the text to be replaced is not in the file exactly once.
type MutationError struct {
	File, Text string
	Found      int
}

// Error has the file, the text and how often it was found.
func (e *MutationError) Error() string {
	return fmt.Sprintf("%s has %q %d times, not once", e.File, e.Text, e.Found)
}

// buildProgram builds lentildeckd from the source tree. A mutation "FILE:OLD=>NEW" replaces a text in the build alone.
func buildProgram(ctx context.Context, source, folder, mutation string) (string, error) {
	binary := filepath.Join(folder, "lentildeckd")
	args := []string{"build", "-o", binary}
	if mutation != "" {
		overlay, err := mutate(source, folder, mutation)
		if err != nil {
			return "", err
		}
		args = append(args, "-overlay", overlay)
	}
	build := exec.CommandContext(ctx, "go", append(args, "./cmd/lentildeckd")...)
	build.Dir, build.Stdout, build.Stderr = source, os.Stderr, os.Stderr
	return binary, build.Run()
}

// mutate writes the changed file and the overlay for the build, and returns the path of the overlay.
func mutate(source, folder, mutation string) (string, error) {
	name, change, _ := strings.Cut(mutation, ":")
	before, after, _ := strings.Cut(change, "=>")
	path, err := filepath.Abs(filepath.Join(source, name))
	if err != nil {
		return "", err
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	if n := strings.Count(string(text), before); n != 1 || before == "" {
		return "", &MutationError{File: name, Text: before, Found: n}
	}
	changed, overlay := filepath.Join(folder, "mutated.go"), filepath.Join(folder, "overlay.json")
	if err := os.WriteFile(changed, []byte(strings.Replace(string(text), before, after, 1)), 0o600); err != nil {
		return "", err
	}
	data, err := json.Marshal(map[string]any{"Replace": map[string]string{path: changed}})
	if err != nil {
		return "", err
	}
	return overlay, os.WriteFile(overlay, data, 0o600)
}
