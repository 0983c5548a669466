package event_test

import (
	"os"
	"testing"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"gotest.tools/v3/assert"
)

func TestLogsPageMatchesCatalogue(t *testing.T) {
	page, err := os.ReadFile("../../../docs/LOGS.md")
	assert.NilError(t, err)
	assert.Equal(t, string(page), event.Markdown())
}

func TestNumbersAreUnique(t *testing.T) {
	seen := make(map[int]string)
	for _, kind := range event.Catalogue() {
		assert.Equal(t, seen[kind.Number], "", "number %d of %s", kind.Number, kind.Name)
		seen[kind.Number] = kind.Name
	}
}
