package fault_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const root = "../../.."

var (
	testName = regexp.MustCompile(`Test[A-Z][A-Za-z0-9]*`)
	testFunc = regexp.MustCompile(`(?m)^func (Test[A-Z][A-Za-z0-9]*)\(`)
)

// tableColumns counts the column of the failure and those of the nine promises.
const tableColumns = 10

func declaredTests(t *testing.T) map[string]bool {
	t.Helper()
	found := make(map[string]bool)
	for _, folder := range []string{"internal", "platform"} {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, "_test.go") {
				return err
			}
			source, err := os.ReadFile(path)
			for _, match := range testFunc.FindAllStringSubmatch(string(source), -1) {
				found[match[1]] = true
			}
			return err
		})
		assert.NilError(t, err)
	}
	return found
}

// A test in platform/ may be listed as well as one of the product.
func TestTestsOfThePlatformAreKnown(t *testing.T) {
	assert.Equal(t, declaredTests(t)["TestCallerAPI"], true)
}

func TestPageNamesTestsThatExist(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs/FAULTS.md"))
	assert.NilError(t, err)
	known := declaredTests(t)
	for _, name := range testName.FindAllString(string(page), -1) {
		assert.Equal(t, known[name], true, "docs/FAULTS.md names %s, which does not exist", name)
	}
}

func TestEveryCellOfTheTableIsFilled(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs/FAULTS.md"))
	assert.NilError(t, err)
	table, _, ok := strings.Cut(string(page), "## Two at once")
	assert.Equal(t, ok, true)
	rows := 0
	for _, line := range strings.Split(table, "\n") {
		if !strings.HasPrefix(line, "| ") || strings.HasPrefix(line, "| ---") || strings.HasPrefix(line, "| failure") {
			continue
		}
		rows++
		cells := strings.Split(strings.Trim(line, "|"), "|")
		assert.Equal(t, len(cells), tableColumns, "%s", line)
		for _, cell := range cells[1:] {
			cell = strings.TrimSpace(cell)
			assert.Equal(t, cell == "-" || cell == "open" || testName.MatchString(cell), true, "%q in %s", cell, line)
		}
	}
	assert.Equal(t, rows >= 15, true)
}

func TestListedRedTestsExist(t *testing.T) {
	list, err := os.ReadFile(filepath.Join(root, "KNOWN-RED.txt"))
	assert.NilError(t, err)
	known := declaredTests(t)
	for _, line := range strings.Split(string(list), "\n") {
		if name, ok := strings.CutPrefix(line, "test: "); ok {
			assert.Equal(t, known[strings.TrimSpace(name)], true, "KNOWN-RED.txt lists %s, which does not exist", name)
		}
	}
}
