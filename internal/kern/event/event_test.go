package event_test

import (
	"errors"
	"fmt"
	"os"
	"testing"

	"github.com/apex/log"
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

// A list that can't be read for a minute must cause two lines, not one for each attempt.
func TestDependencyLogsChangesOnly(t *testing.T) {
	var lines []string
	handler := log.HandlerFunc(func(e *log.Entry) error {
		lines = append(lines, fmt.Sprint(e.Message, " ", e.Fields.Get("list"), " ", e.Fields.Get("error")))
		return nil
	})
	reads := event.ListReads(event.NewLog(&log.Logger{Handler: handler}), "workers")
	for _, err := range []error{nil, errors.New("down"), errors.New("slow"), nil, nil, errors.New("down")} {
		reads.Report(err)
	}
	assert.DeepEqual(t, lines, []string{"listLost workers down", "listBack workers <nil>", "listLost workers down"})
}
