package cmds_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/lentildeck/lentildeck/internal/oper/cmds"
	"gotest.tools/v3/assert"
)

const mixedLog = `not a line
{"fields":{"event":310,"instance":"b","job":"5c0e7a21d94b36f8","result":"oK"},"level":"info","timestamp":"2026-09-17T08:15:31.2Z","message":"admitted"}
  1.2 host {"fields":{"event":410,"token":7},"level":"info","timestamp":"2026-09-17T08:15:30.1Z","message":"termBegan"}
{"fields":{"event":310,"instance":"b","job":"aaaa7a21d94b36f8"},"level":"info","timestamp":"2026-09-17T08:15:31Z","message":"admitted"}
{"fields":{"job":"5c0e7a21d94b36f8"`

func TestExplainPrintsLinesAboutTheJobInTimeOrder(t *testing.T) {
	var out bytes.Buffer
	env := &cmds.Env{In: strings.NewReader(mixedLog), Out: &out, Err: &out}
	assert.NilError(t, cmds.Root(env).ParseAndRun(t.Context(), []string{"explain", "5c0e7a21d94b36f8"}))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Equal(t, len(lines), 2)
	assert.Assert(t, strings.Contains(lines[0], "termBegan") && strings.Contains(lines[0], "1.2 host"))
	assert.Assert(t, strings.Contains(lines[1], "admitted") && strings.Contains(lines[1], "result=oK"))
}

func TestExplainRequiresAnID(t *testing.T) {
	var out bytes.Buffer
	env := &cmds.Env{In: strings.NewReader(""), Out: &out, Err: &out}
	assert.ErrorContains(t, cmds.Root(env).ParseAndRun(t.Context(), []string{"explain"}), "needs the ID")
}
