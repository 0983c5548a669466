package query_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/lentildeck/lentildeck/internal/oper/query"
	"github.com/lentildeck/lentildeck/internal/oper/view"
	"gotest.tools/v3/assert"
)

func TestParseAcceptsEveryStatement(t *testing.T) {
	for _, line := range []string{
		"jobs", "JOBS where phase = waiting", "jobs where workspace = recount and phase = waiting order by submitted", "workers in plovdiv where free > 0 limit 5",
		`jobs where why ~ "one rack" order by job desc limit 3`, "why recount-17", "show config", "show status", "admit j", "cancel j#1",
		"drain plovdiv", "drain plovdiv within 90s", "restore plovdiv", "centres", "guarantees", "instances",
	} {
		_, err := query.Parse(line)
		assert.NilError(t, err, line)
	}
}

func TestSyntaxErrorsNameColumnAndNearestWord(t *testing.T) {
	for _, row := range []struct{ line, column, nearest string }{
		{"jbos", "column 1", `"jobs"`}, {"workers inn plovdiv", "column 9", `"in"`}, {"jobs wher phase = waiting", "column 6", `"where"`},
		{"drian plovdiv", "column 1", `"drain"`}, {"why", "column 4", ""}, {"jobs where phase waiting", "column 18", ""}, {"", "column 1", ""},
		{"jobs limit many", "column", ""}, {strings.Repeat("x", 5000), "column 4096", ""},
	} {
		_, err := query.Parse(row.line)
		assert.ErrorContains(t, err, row.column)
		assert.ErrorContains(t, err, row.nearest)
	}
}

func firstColumn(t *testing.T, line string) [][]string {
	t.Helper()
	statement, err := query.Parse(line)
	assert.NilError(t, err)
	snapshot := &view.Snapshot{Workers: []view.Worker{
		{Worker: "plv-1/0", DataCentre: "plovdiv", Free: 8}, {Worker: "plv-1/1", DataCentre: "plovdiv", Free: 10}, {Worker: "hsk-1/0", DataCentre: "haskovo", Free: 0},
	}}
	table, err := query.Run(statement.Select, snapshot, nil)
	assert.NilError(t, err)
	names := make([][]string, len(table.Rows))
	for i, row := range table.Rows {
		names[i] = row[:1]
	}
	return names
}

func TestSelectFiltersSortsAndLimits(t *testing.T) {
	assert.DeepEqual(t, firstColumn(t, "workers in PLOVDIV order by free desc"), [][]string{{"plv-1/1"}, {"plv-1/0"}})
	assert.DeepEqual(t, firstColumn(t, "workers where free > 9"), [][]string{{"plv-1/1"}})
	assert.DeepEqual(t, firstColumn(t, "workers where worker ~ hsk and free = 0"), [][]string{{"hsk-1/0"}})
	assert.DeepEqual(t, firstColumn(t, "workers order by free limit 1"), [][]string{{"hsk-1/0"}})
}

func TestUnknownFieldErrorSuggestsNearestField(t *testing.T) {
	statement, err := query.Parse("workers where fre > 1")
	assert.NilError(t, err)
	_, err = query.Run(statement.Select, &view.Snapshot{}, nil)
	assert.ErrorContains(t, err, `did you mean "free"?`)
}

func TestMarshalJSONKeepsColumnOrder(t *testing.T) {
	text, err := json.Marshal(query.Table{Columns: []string{"b", "a"}, Rows: [][]string{{"1", `say "x"`}}})
	assert.NilError(t, err)
	assert.Equal(t, string(text), `[{"b":"1","a":"say \"x\""}]`)
}

func FuzzParse(f *testing.F) {
	for _, line := range []string{"jobs where a = b", "why x", "drain x within 5s", `jobs in "a b"`, "\x00"} {
		f.Add(line)
	}
	f.Fuzz(func(t *testing.T, line string) {
		statement, err := query.Parse(line)
		assert.Equal(t, (statement == nil) != (err == nil), true)
	})
}
