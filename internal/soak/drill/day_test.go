package drill_test

import (
	"bytes"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/lentildeck/lentildeck/internal/soak/drill"
	"github.com/lentildeck/lentildeck/internal/soak/site"
	"gotest.tools/v3/assert"
)

func build(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "lentildeckd")
	output, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "../../../cmd/lentildeckd").CombinedOutput()
	assert.NilError(t, err, "%s", output)
	return binary
}

// A short day of faults against real processes; cmd/lentilsoak plays longer ones.
func TestSoak(t *testing.T) {
	small, err := site.Find("small")
	assert.NilError(t, err)
	plan := drill.Plan{Site: small, Seed: 48, Day: "away", Binary: build(t), Folder: t.TempDir()}
	result, err := drill.Play(t.Context(), plan)
	assert.NilError(t, err)
	t.Log(result)
	var report bytes.Buffer
	assert.NilError(t, drill.Report(&report, plan, result))
	assert.Equal(t, len(result.Findings), 0, "%s", report.String())
	assert.Equal(t, result.Accepted > 0 && result.Completed > 0, true, "%s", report.String())
}

func TestPlantsNameDaysAndRules(t *testing.T) {
	for _, name := range drill.Plants() {
		rule, day, err := drill.Rule(name)
		assert.NilError(t, err)
		assert.Equal(t, rule != "" && day != "", true, name)
	}
	_, _, err := drill.Rule("none")
	assert.ErrorContains(t, err, `plant "none" is not one of`)
}
