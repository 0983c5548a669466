package main

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

func TestMutationReplacesATextThatIsThereOnce(t *testing.T) {
	source, folder := t.TempDir(), t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(source, "a.go"), []byte("one two two"), 0o600))
	_, err := mutate(source, folder, "a.go:one=>three")
	assert.NilError(t, err)
	changed, err := os.ReadFile(filepath.Join(folder, "mutated.go"))
	assert.NilError(t, err)
	assert.Equal(t, string(changed), "three two two")
	_, err = mutate(source, folder, "a.go:two=>three")
	assert.ErrorContains(t, err, `"two" 2 times`)
}
