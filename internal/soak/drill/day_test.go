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

// soak plays a day on the small site and checks that it breaks no rule; cmd/lentilsoak plays longer ones.
func soak(t *testing.T, day string, seed uint64) {
	t.Helper()
	t.Parallel()
	small, err := site.Find("small")
	assert.NilError(t, err)
	plan := drill.Plan{Site: small, Seed: seed, Day: day, Binary: build(t), Folder: t.TempDir()}
	result, err := drill.Play(t.Context(), plan)
	assert.NilError(t, err)
	t.Log(result)
	var report bytes.Buffer
	assert.NilError(t, drill.Report(&report, plan, result))
	assert.Equal(t, len(result.Findings), 0, "%s", report.String())
	assert.Equal(t, result.Accepted > 0 && result.Completed > 0, true, "%s", report.String())
}

func TestStoreAwayAtTheEnd(t *testing.T) { soak(t, "away", 48) }

// Guards against jobs that stand because each new owner waits anew for the leases of workers that have crashed (issue 48, LOST).
func TestOwnersReplacedAfterWorkersCrashed(t *testing.T) { soak(t, "series", 6) }

func TestPlantsNameDaysAndRules(t *testing.T) {
	for _, name := range drill.Plants() {
		rule, day, err := drill.Rule(name)
		assert.NilError(t, err)
		assert.Equal(t, rule != "" && day != "", true, name)
	}
	_, _, err := drill.Rule("none")
	assert.ErrorContains(t, err, `plant "none" is not one of`)
}
