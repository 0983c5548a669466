package cmds_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/lentildeck/lentildeck/internal/oper/cmds"
	"gotest.tools/v3/assert"
)

// run executes a command line and returns its exit code and what it printed.
func run(t *testing.T, input string, args ...string) (code int, output string) {
	t.Helper()
	var out bytes.Buffer
	env := &cmds.Env{In: strings.NewReader(input), Out: &out, Err: &out, Args: args}
	return cmds.Run(t.Context(), env), out.String()
}

func TestInvalidFlagsAreUsageErrors(t *testing.T) {
	for _, line := range []string{"--nosuch", "status --nosuch", "config show --nosuch", "replay --format", "trace --seed x quiet"} {
		code, output := run(t, "", strings.Fields(line)...)
		assert.Equal(t, code, cmds.ExitUsage, "%s: %s", line, output)
	}
	code, output := run(t, "", "status", "--help")
	assert.Equal(t, code, cmds.ExitUsage)
	assert.Assert(t, strings.Contains(output, "lentildeck status"), output)
}

// operatorsPort answers every call with a message and passes on the body.
func operatorsPort(t *testing.T) (url string, bodies chan string) {
	t.Helper()
	bodies = make(chan string, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var body bytes.Buffer
		_, err := body.ReadFrom(r.Body)
		assert.Check(t, err)
		bodies <- body.String()
		assert.Check(t, json.NewEncoder(w).Encode(map[string]string{"message": "valid"}))
	}))
	t.Cleanup(server.Close)
	return server.URL, bodies
}

func TestConfigPrintsItsAnswerInTheFormatAskedFor(t *testing.T) {
	for format, want := range map[string]string{"json": "{\"message\":\"valid\"}\n", "table": "valid\n"} {
		url, _ := operatorsPort(t)
		code, output := run(t, "{}", "config", "check", "--operators", url, "--format", format, "-")
		assert.Equal(t, code, cmds.ExitOK, output)
		assert.Equal(t, output, want)
	}
}

// A generated file is often one line, longer than the 64 KiB that a line scanner accepts.
func TestLongLinesAreReadFromStandardInput(t *testing.T) {
	url, bodies := operatorsPort(t)
	long := "{\"text\":\"" + strings.Repeat("x", 200<<10) + "\"}"
	code, output := run(t, long, "config", "check", "--operators", url, "-")
	assert.Equal(t, code, cmds.ExitOK, output)
	assert.Equal(t, <-bodies, long)
}
