package setup_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/lentildeck/lentildeck/internal/node/setup"
	"gotest.tools/v3/assert"

	_ "github.com/lentildeck/lentildeck/internal/state/kvhttp"
)

func TestExampleSettingsAreValid(t *testing.T) {
	files, err := filepath.Glob("../../../examples/*.json")
	assert.NilError(t, err)
	assert.Equal(t, len(files) > 0, true)
	for _, file := range files {
		_, err := setup.Load(file)
		assert.NilError(t, err, file)
	}
}

func TestEveryInvalidSettingIsListedWithoutSecrets(t *testing.T) {
	source, err := os.ReadFile("../../../examples/plv-entry-0.json")
	assert.NilError(t, err)
	text := string(source)
	for _, change := range [][2]string{
		{`"instance": "plv-entry-0"`, `"instance": ""`}, {`"driver": "http", "endpoint": "http://127.0.0.1:7100" },`, `"driver": "carrier pigeon", "endpoint": "" },`},
		{`"operators": { "token": "local-stand-in-token" }`, `"operators": { "token": "short" }`}, {`"level": "info"`, `"level": "loud"`},
	} {
		text = strings.ReplaceAll(text, change[0], change[1])
	}
	_, err = setup.Parse([]byte(text))
	for _, path := range []string{"instance:", "store.driver:", "store.endpoint:", "list.driver:", "operators.token:", "log.level:"} {
		assert.ErrorContains(t, err, path)
	}
	assert.Equal(t, strings.Contains(err.Error(), `"short"`), false)
	_, err = setup.Parse([]byte(`{"limits": {"memoryMb": -1}}`))
	assert.ErrorContains(t, err, "limits:")
	_, err = setup.Parse([]byte(`{"instanse": "x"}`))
	assert.ErrorContains(t, err, "instanse")
}
